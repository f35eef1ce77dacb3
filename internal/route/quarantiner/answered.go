package quarantiner

import (
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// generationTime is how long a generation grows. A request is remembered for one to two
	// generations.
	generationTime = 30 * time.Second
	// maxGeneration limits a generation, to about 300 KB. A full one is replaced early.
	maxGeneration = 4096
)

// answeredSet remembers the requests that were answered recently. The zero value is empty.
type answeredSet struct {
	// current is the generation that grows, since started; previous is the one before. They hold the time of the
	// last answer.
	current, previous map[identifier.Fingerprint]time.Time
	started           time.Time
}

// add adds a request that was answered now.
func (a *answeredSet) add(f identifier.Fingerprint, now time.Time) {
	a.expire(now)
	if a.current == nil || len(a.current) >= maxGeneration {
		a.previous, a.current, a.started = a.current, make(map[identifier.Fingerprint]time.Time), now
	}
	a.current[f] = now
}

// last returns when a request was last answered; ok is false if that was not recently.
func (a *answeredSet) last(f identifier.Fingerprint, now time.Time) (at time.Time, ok bool) {
	a.expire(now)
	if at, ok = a.current[f]; !ok {
		at, ok = a.previous[f]
	}
	return at, ok
}

// expire drops generations that are too old.
func (a *answeredSet) expire(now time.Time) {
	switch age := now.Sub(a.started); {
	case age > 2*generationTime:
		a.current, a.previous, a.started = nil, nil, now
	case age > generationTime:
		a.previous, a.current, a.started = a.current, nil, now
	}
}
