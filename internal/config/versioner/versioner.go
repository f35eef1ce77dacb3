// Package versioner keeps the newest configuration that a daemon has seen.
//
// Configurations arrive from watches, from lists that may be stale, and from
// peers, in any order. [Versioner.Offer] accepts one only if its number is higher
// than that of the configuration in force, so that a daemon never handles a
// request with an older version than the request before.
//
// Numbers spread faster than configurations, which may be large.
// [Versioner.ObserveNumber] records a number that a peer has, and [Versioner.Lag]
// returns since when this daemon has known of a newer number than its own.
//
// # Usage
//
//	v.ObserveNumber(24)
//	v.Offer(c)
//	c := v.Current() // nil until one is known
//	lag, behind := v.Lag()
package versioner

import (
	"sync"
	"sync/atomic"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
)

// Lag describes how far a daemon is behind its peers.
type Lag struct {
	// Number is the highest configuration number seen at a peer.
	Number identifier.ConfigurationNumber
	// Since is when a number above the one in force was first observed.
	Since time.Time
}

// Versioner holds the newest catalog. The zero value holds none and is ready for
// use. It is safe for concurrent use.
type Versioner struct {
	mu      sync.Mutex
	current atomic.Pointer[catalog.Catalog]
	// lag is nil while the newest known number is in force.
	lag atomic.Pointer[Lag]
}

// Offer replaces the current catalog by a newer one and reports whether it did.
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

// ObserveNumber records the number of a configuration that a peer has.
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

// Lag returns how far the daemon is behind. The second result is false if it is
// not behind.
func (v *Versioner) Lag() (Lag, bool) {
	lag := v.lag.Load()
	if lag == nil {
		return Lag{}, false
	}
	return *lag, true
}

// Current returns the newest catalog, or nil if none is known yet.
func (v *Versioner) Current() *catalog.Catalog { return v.current.Load() }
