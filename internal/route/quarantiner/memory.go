package quarantiner

import (
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// generationTime is how long one generation of a memory grows: what was added is
	// known for one to two of them.
	generationTime = 30 * time.Second
	// maxGeneration bounds a generation, to some 300 KB; a full one ends early.
	maxGeneration = 4096
)

// memory knows the requests that were answered lately. The zero value knows none.
type memory struct {
	now, before map[identifier.Fingerprint]struct{}
	begun       time.Time
}

func (m *memory) add(f identifier.Fingerprint, now time.Time) {
	m.age(now)
	if m.now == nil || len(m.now) >= maxGeneration {
		m.before, m.now, m.begun = m.now, make(map[identifier.Fingerprint]struct{}), now
	}
	m.now[f] = struct{}{}
}

func (m *memory) has(f identifier.Fingerprint, now time.Time) bool {
	m.age(now)
	_, is := m.now[f]
	_, was := m.before[f]
	return is || was
}

// age drops what is too old.
func (m *memory) age(now time.Time) {
	switch age := now.Sub(m.begun); {
	case age > 2*generationTime:
		m.now, m.before, m.begun = nil, nil, now
	case age > generationTime:
		m.before, m.now, m.begun = m.now, nil, now
	}
}
