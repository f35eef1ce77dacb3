// Package pacer holds all daemons together to what endpoints say they take.
//
// # Limits
//
// An endpoint in need names in its answers how many requests a second it takes from all
// daemons together, for as long as it says so. What one answer said holds for all requests to
// that life of the endpoint, at this daemon and, by news, at all others. An answer to a
// request that was sent after the limit was named, and that names none, ends it.
//
// # Who sends
//
// A fleet has more daemons than a small limit has requests. If each had its equal part, all
// of them could find their parts unused and send at the same moment, many times what the
// endpoint takes. So only a few daemons send to an endpoint with a limit of N a second:
// N + [spareSenders] of them, rounded down, those whose names hash highest with the
// endpoint's. All daemons find the same ones without talking. Each sends N through their
// number at an even pace and saves up no more than one request, so that T seconds bring no
// more than N·T + N + [spareSenders] requests, whatever came before.
//
// A daemon that hears only a part of the fleet takes that part of the limit: it may be cut
// off from others that go on sending.
//
// # News
//
// Of two words about a life the later one counts, by the fleet's estimate of the true time,
// which is told with it: passed on from daemon to daemon, an old word does not become newer.
//
// # Usage
//
//	p := pacer.New(pacer.Config{Host: name, Fleet: others, Now: clock.Now, Changed: log})
//	p.Heard(life, pacer.Named(2.5), sent)     // an answer
//	if p.Take(life, time.Now()) { send() }    // right before a request goes out
//	p.Hear(news); news = p.Told()             // peers
package pacer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// endedAge is how long it is remembered that a limit has ended: longer than news is on
	// its way.
	endedAge = time.Minute
	// maxAhead is how far ahead of this daemon's estimate of the time another one's may be.
	maxAhead = 2 * time.Second
	// mostLimits bounds the endpoints that are remembered, mostTold those that are told.
	mostLimits = 4096
	mostTold   = 64
)

// Incarnation is one life of an endpoint.
type Incarnation struct {
	Endpoint identifier.Endpoint
	Born     identifier.StartTime
}

// RateLimit is what an endpoint says of its limit.
type RateLimit struct {
	// PerSecond counts the requests of all daemons together. Limited: it names a limit.
	PerSecond float64
	Limited   bool
}

// NewRateLimit is the word of an endpoint that names a limit.
func NewRateLimit(perSecond float64) RateLimit { return RateLimit{perSecond, true} }

// Limit is the newest word of a life of an endpoint.
type Limit struct {
	Incarnation
	RateLimit
	// At is when it was said, by the fleet's estimate of the true time.
	At time.Time
}

// Change is a word that differs from the one before.
type Change struct {
	Limit
	Previous RateLimit
	// Local: an answer to this daemon said so, not another daemon.
	Local bool
	// Rate is what this daemon sends in a second, 0 if it does not.
	Rate float64
}

// Config names the pacer's collaborators.
type Config struct {
	Host  identifier.Host
	Fleet func() Fleet
	// Now estimates the true time.
	Now func() time.Time
	// OnChange is told of changes.
	OnChange func(Change)
}

// entry is what is known of one life.
type entry struct {
	Limit
	// named is when an answer to this daemon last named the limit.
	named time.Time
	// share is the part of the limit that this daemon sends, 0 for none, as of reviewed.
	share    float64
	reviewed time.Time
	// last is when a request last took its turn.
	last time.Time
}

// Pacer is safe for concurrent use.
type Pacer struct {
	c Config
	// limited counts the lives with a limit.
	limited atomic.Int64

	mu    sync.Mutex
	lives map[Incarnation]*entry
	// fleet is as of heard.
	fleet Fleet
	heard time.Time
}

// New returns a pacer that knows no limit.
func New(c Config) *Pacer { return &Pacer{c: c, lives: make(map[Incarnation]*entry)} }

// HasLimits tells whether some endpoint has a limit.
func (p *Pacer) HasLimits() bool { return p.limited.Load() > 0 }

// ObserveResponse takes in what an answer says to a request that was sent at a time.
func (p *Pacer) ObserveResponse(l Incarnation, w RateLimit, sent time.Time) {
	if !w.Limited && !p.HasLimits() {
		return
	}
	p.mu.Lock()
	e := p.lives[l]
	if !w.Limited && (e == nil || sent.Before(e.named)) {
		// Nothing to end; or the answer may have been made before the limit was.
		p.mu.Unlock()
		return
	}
	at := p.c.Now()
	if e != nil && !at.After(e.At) {
		// The clock that stamped the word before is ahead of this one.
		at = e.At.Add(time.Millisecond)
	}
	change, news := p.set(Limit{Incarnation: l, RateLimit: w, At: at})
	if e = p.lives[l]; e != nil && w.Limited {
		e.named = time.Now()
	}
	p.mu.Unlock()
	if news {
		change.Local = true
		p.c.OnChange(change)
	}
}

// Merge takes in what another daemon tells.
func (p *Pacer) Merge(news []Limit) {
	var changes []Change
	p.mu.Lock()
	latest := p.c.Now().Add(maxAhead)
	for _, l := range news {
		if l.At.After(latest) {
			l.At = latest
		}
		if e := p.lives[l.Incarnation]; e != nil && !l.At.After(e.At) {
			continue
		}
		if change, changed := p.set(l); changed {
			changes = append(changes, change)
		}
	}
	p.mu.Unlock()
	for _, c := range changes {
		p.c.OnChange(c)
	}
}

// set keeps a word that is the newest of its life, and reports whether it says something
// else than the one before. The caller holds the lock.
func (p *Pacer) set(l Limit) (c Change, changed bool) {
	e := p.lives[l.Incarnation]
	if e == nil {
		if len(p.lives) >= mostLimits {
			return Change{}, false
		}
		e = &entry{Limit: Limit{Incarnation: l.Incarnation}}
		p.lives[l.Incarnation] = e
	}
	before := e.RateLimit
	e.Limit = l
	if before == l.RateLimit {
		return Change{}, false
	}
	if l.Limited != before.Limited {
		p.limited.Add(delta(l.Limited))
	}
	e.reviewed = time.Time{}
	p.review(e, time.Now())
	return Change{Limit: l, Previous: before, Rate: e.share}, true
}

// delta is by how much the number of limits changes.
func delta(limited bool) int64 {
	if limited {
		return 1
	}
	return -1
}

// Ready tells whether a request to a life of an endpoint may go out now.
func (p *Pacer) Ready(l Incarnation, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.lives[l]
	return e == nil || p.open(e, now)
}

func (p *Pacer) open(e *entry, now time.Time) bool {
	if !e.Limited {
		return true
	}
	p.review(e, now)
	return e.share > 0 && now.Sub(e.last) >= e.pause()
}

// Take takes the turn of a request that goes out now, and reports whether it may.
func (p *Pacer) Take(l Incarnation, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.lives[l]
	if e == nil || !e.Limited {
		return true
	}
	if !p.open(e, now) {
		return false
	}
	e.last = now
	return true
}

// Return gives back the turn of a request that has not gone out.
func (p *Pacer) Return(l Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.lives[l]; e != nil && e.share > 0 {
		e.last = e.last.Add(-e.pause())
	}
}

// NextSend is when the next turn comes at a life of an endpoint; zero if this daemon sends
// nothing there.
func (p *Pacer) NextSend(l Incarnation) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.lives[l]; e != nil && e.Limited && e.share > 0 {
		return e.last.Add(e.pause())
	}
	return time.Time{}
}

// Limits returns what is known, by endpoint; limits that have ended are left out.
func (p *Pacer) Limits() []Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Limit, 0, len(p.lives))
	for _, e := range p.lives {
		if e.Limited {
			out = append(out, e.Limit)
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Updates is what this daemon tells others: the newest words, those that ended a limit
// included.
func (p *Pacer) Updates() []Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Limit, 0, len(p.lives))
	for _, e := range p.lives {
		out = append(out, e.Limit)
	}
	slices.SortFunc(out, func(a, b Limit) int { return b.At.Compare(a.At) })
	return out[:min(len(out), mostTold)]
}

// Prune forgets what is known of lives that are not listed any more, and limits that ended
// long ago.
func (p *Pacer) Prune(listed func(Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.c.Now().Add(-endedAge)
	for l, e := range p.lives {
		if e.At.After(old) || e.Limited && listed(l) {
			continue
		}
		if e.Limited {
			p.limited.Add(-1)
		}
		delete(p.lives, l)
	}
}
