// Package versioner keeps the newest configuration that a daemon has seen.
//
// # Never back
//
// Configurations come from watches, lists that may be stale, and peers, in any
// order. [Versioner.Offer] takes one only if its number is higher than that in
// force, so that a daemon never handles a request by an older version than the
// one before.
//
// # Behind
//
// Numbers travel faster than configurations, which may be large. [Versioner.ObserveNumber]
// notes a number that others have, and [Versioner.Lag] says for how long this daemon
// has known that it lacks it.
//
// # Usage
//
//	v.Told(24)
//	v.Offer(c)
//	c := v.InForce() // nil until one is known
//	lag, behind := v.Lag()
package versioner

import (
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
)

// Lag is how far a daemon is behind others.
type Lag struct {
	// Number is the highest that others were heard to have.
	Number identifier.ConfigurationNumber
	// Since is when a number above the one in force was first heard of.
	Since time.Time
}

// Versioner holds one catalog. The zero value holds none; it is safe for
// concurrent use.
type Versioner struct {
	mu      sync.Mutex
	current atomic.Pointer[catalog.Catalog]
	// lag is nil while the newest known number is in force.
	lag atomic.Pointer[Lag]
}

// Offer brings a catalog into force if it is newer, and reports whether it did.
func (v *Versioner) Offer(c *catalog.Catalog) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.current.Load(); old != nil && old.Number() >= c.Number() {
		return false
	}
	v.current.Store(c)
	if lag := v.lag.Load(); lag != nil && lag.Number <= c.Number() {
		v.lag.Store(nil)
	}
	return true
}

// ObserveNumber notes the number of a configuration that others have.
func (v *Versioner) ObserveNumber(n identifier.ConfigurationNumber) {
	if lag := v.lag.Load(); lag != nil && lag.Number >= n {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.current.Load(); c != nil && c.Number() >= n || n == 0 {
		return
	}
	next := &Lag{Number: n, Since: time.Now()}
	if lag := v.lag.Load(); lag != nil {
		next.Number, next.Since = max(n, lag.Number), lag.Since
	}
	v.lag.Store(next)
}

// Lag returns how far the daemon is behind, and whether it is.
func (v *Versioner) Lag() (Lag, bool) {
	lag := v.lag.Load()
	if lag == nil {
		return Lag{}, false
	}
	return *lag, true
}

// Current returns the newest catalog, or nil.
func (v *Versioner) Current() *catalog.Catalog { return v.current.Load() }
