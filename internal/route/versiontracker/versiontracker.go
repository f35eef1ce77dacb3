// Package versiontracker tracks which software versions the endpoints of each service have had
// lately.
//
// A service has a sole version if all endpoints that were listed within the retention time have the
// same one. Then each stream of the service that a client may still take up began at that version.
// This holds only if the tracker has seen all versions of that time: it has observed the list for so
// long without a gap, or from the first start of the system on (see [Tracker.ConfirmFirst]), or another
// daemon has proved it (see [Tracker.Adopt]). The list counts as current for [confirmTimeout] after the time for
// which [Tracker.Confirm] confirms it.
//
// # Usage
//
//	t := versiontracker.New(versiontracker.Config{Retention: time.Minute, Now: uptime})
//	changed := t.Observe(listed) // after each change of the list of endpoints
//	t.Confirm(at)                // whenever the list is known to have been current at a time
//	version := t.Version(service)
package versiontracker

import (
	"iter"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

// confirmTimeout is how long a list counts as current: as long as a daemon counts as live without a
// sign of life.
const confirmTimeout = 3 * time.Second

// Config holds the settings of a tracker.
type Config struct {
	// Retention is how long a version counts after its last endpoint has left the list: longer than
	// clients wait for a stream.
	Retention time.Duration
	// Now returns the current time of a clock that continues while the host is suspended.
	Now func() time.Time
}

// Sole says whether a service has a sole version.
type Sole struct {
	// Version is the only version that was seen, if Several is not set. It is empty if endpoints
	// state none.
	Version identifier.Version
	// Several is set if several versions were seen, or none at all.
	Several bool
	// Proven is set if no other version can have served within the retention time.
	Proven bool
}

// Tracker tracks versions. It is safe for concurrent use.
type Tracker struct {
	c Config

	mu sync.Mutex
	// completeFrom is when all versions of the retention time have been seen; zero before the first
	// list.
	completeFrom time.Time
	confirmedAt  time.Time
	// first is set if no version served before this daemon started, gap once the list has not been current for a
	// time since.
	first, gap bool
	services   map[identifier.Service]*service
}

// service is what was seen of one service.
type service struct {
	// leftAt holds when the last endpoint of a version left the list; zero while one is listed.
	leftAt map[identifier.Version]time.Time
	// proven is set once another daemon has proved the sole version.
	proven bool
}

// New returns a tracker that has seen nothing.
func New(c Config) *Tracker {
	return &Tracker{c: c, services: make(map[identifier.Service]*service)}
}

// Observe records the versions of all listed endpoints. It returns the services that have a version
// more than before.
func (t *Tracker) Observe(listed iter.Seq2[identifier.Service, identifier.Version]) (changed []identifier.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.c.Now()
	if t.completeFrom.IsZero() {
		t.completeFrom = now
		if !t.first || t.gap {
			t.completeFrom = now.Add(t.c.Retention)
		}
	}
	seen := make(map[identifier.Service]map[identifier.Version]bool)
	for name, version := range listed {
		if seen[name] == nil {
			seen[name] = make(map[identifier.Version]bool)
		}
		seen[name][version] = true
	}
	for name, s := range t.services {
		s.leave(seen[name], now)
	}
	for name, versions := range seen {
		if t.add(name, versions) {
			changed = append(changed, name)
		}
	}
	return changed
}

// leave records the versions that are no longer listed.
func (s *service) leave(listed map[identifier.Version]bool, now time.Time) {
	for version, at := range s.leftAt {
		if at.IsZero() && !listed[version] {
			s.leftAt[version] = now
		}
	}
}

// add records the listed versions of a service and reports whether one of them is new. The caller
// holds the lock.
func (t *Tracker) add(name identifier.Service, listed map[identifier.Version]bool) (added bool) {
	s := t.services[name]
	if s == nil {
		s = &service{leftAt: make(map[identifier.Version]time.Time)}
		t.services[name] = s
	}
	for version := range listed {
		if _, known := s.leftAt[version]; !known {
			added = true
		}
		s.leftAt[version] = time.Time{}
	}
	return added
}

// Version returns what is known of the version of a service.
func (t *Tracker) Version(name identifier.Service) Sole {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return Sole{Several: true}
	}
	now := t.c.Now()
	for version, at := range s.leftAt {
		if !at.IsZero() && now.Sub(at) >= t.c.Retention {
			delete(s.leftAt, version)
		}
	}
	if len(s.leftAt) != 1 {
		return Sole{Several: true}
	}
	complete := s.proven || !now.Before(t.completeFrom)
	out := Sole{Proven: complete && now.Sub(t.confirmedAt) <= confirmTimeout}
	for version := range s.leftAt {
		out.Version = version
	}
	return out
}

// Unproven returns the services with one version that is not proved to be the only one.
func (t *Tracker) Unproven() (out []identifier.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.c.Now().Before(t.completeFrom) {
		return nil
	}
	for name, s := range t.services {
		if len(s.leftAt) == 1 && !s.proven {
			out = append(out, name)
		}
	}
	return out
}

// Adopt records that another daemon has proved the sole version of a service.
func (t *Tracker) Adopt(name identifier.Service, version identifier.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return
	}
	if _, seen := s.leftAt[version]; seen && len(s.leftAt) == 1 {
		s.proven = true
	}
}

// ConfirmedAt returns the time at which the list was known to be current last; zero if it never was.
func (t *Tracker) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// ConfirmFirst records that no version served before this daemon started. A setting can't prove that: a process that
// is started again may have the settings of its predecessor.
func (t *Tracker) ConfirmFirst() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.first = true
	if now := t.c.Now(); !t.gap && now.Before(t.completeFrom) {
		t.completeFrom = now
	}
}

// Confirm records that the list of endpoints was current at a time, which is not after the present one. After a gap,
// versions may have come and left unseen.
func (t *Tracker) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Before(t.confirmedAt) {
		return
	}
	if !t.confirmedAt.IsZero() && at.Sub(t.confirmedAt) > confirmTimeout {
		t.completeFrom, t.gap = at.Add(t.c.Retention), true
		for _, s := range t.services {
			s.proven = false
		}
	}
	t.confirmedAt = at
}
