// Package versioner keeps the newest configuration that a daemon has seen.
//
// # Never back
//
// Configurations come from watches, lists that may be stale, and peers, in any
// order. [Versioner.Offer] takes one only if its number is higher than that in
// force, so that a daemon never handles a request by an older version than the
// one before.
//
// # Usage
//
//	v.Offer(c)
//	c := v.InForce() // nil until one is known
package versioner

import (
	"sync"
	"sync/atomic"

	"brasschute/internal/config/catalog"
)

// Versioner holds one catalog. The zero value holds none; it is safe for
// concurrent use.
type Versioner struct {
	mu      sync.Mutex
	current atomic.Pointer[catalog.Catalog]
}

// Offer brings a catalog into force if it is newer, and reports whether it did.
func (v *Versioner) Offer(c *catalog.Catalog) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.current.Load(); old != nil && old.Number() >= c.Number() {
		return false
	}
	v.current.Store(c)
	return true
}

// InForce returns the newest catalog, or nil.
func (v *Versioner) InForce() *catalog.Catalog { return v.current.Load() }
