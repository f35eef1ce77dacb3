// Package keeper holds the configuration in force at one daemon.
//
// # Never backwards
//
// Configurations reach a daemon from the platform's watch, from peers, and
// from an operator's own call, in any order and more than once. The keeper
// takes one only if its number is above the one in force. A stale read, a
// peer that lags, or a platform restored from a backup can therefore not
// bring an old configuration back.
//
// # Never bad
//
// A configuration is compiled before it comes into force. One that does not
// compile, having been written by other hands than ours, is refused aloud:
// the last good one stays in force, and [Keeper.LastRefusal] says what was wrong.
//
// # Usage
//
//	k := keeper.New(keeper.Config{Changed: f})
//	accepted, err := k.Offer(&keeper.Snapshot{...})
//	s := k.InForce() // nil before the first
package keeper

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"brasschute/internal/config/compiler"
	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

// Change says who made a configuration out of which.
type Change struct {
	Number identifier.ConfigurationNumber
	From   identifier.ConfigurationNumber
	Who    string
	// WhenUnixMilli is by the clock of the daemon that applied it.
	WhenUnixMilli int64
	// Token is random; by it a writer whose answer was lost finds its write.
	Token string
	// Differs lists removed and added lines, "-" and "+" in front.
	Differs []string
}

// Record is the configuration as the platform holds it: the text, and the
// record of how it came to be, in one object, so that neither exists without
// the other.
type Record struct {
	Source string
	Change Change
	// History holds earlier changes, newest first.
	History []Change
}

// Snapshot is one configuration with its plan.
type Snapshot struct {
	Source string
	Change Change
	Plan   *compiler.Plan
}

// Number returns the configuration's number.
func (s *Snapshot) Number() identifier.ConfigurationNumber { return s.Change.Number }

// Config names who is told of changes.
type Config struct {
	// OnChange is called after each new configuration; may be nil.
	OnChange func(*Snapshot)
	// OnRefused is told of each configuration that is refused; may be nil.
	OnRefused func(identifier.ConfigurationNumber, error)
}

// Keeper holds the configuration in force. It is safe for concurrent use.
type Keeper struct {
	c       Config
	inForce atomic.Pointer[Snapshot]

	mu      sync.Mutex
	refused string
}

// New returns a keeper without configuration.
func New(c Config) *Keeper {
	if c.OnChange == nil {
		c.OnChange = func(*Snapshot) {}
	}
	if c.OnRefused == nil {
		c.OnRefused = func(identifier.ConfigurationNumber, error) {}
	}
	return &Keeper{c: c}
}

// Current returns the configuration in force, nil if there is none yet.
func (k *Keeper) Current() *Snapshot { return k.inForce.Load() }

// Number returns the number in force, 0 if there is none yet.
func (k *Keeper) Number() identifier.ConfigurationNumber {
	if s := k.Current(); s != nil {
		return s.Number()
	}
	return 0
}

// LastRefusal describes the last configuration refused, if it is newer than the
// one in force; else it is empty.
func (k *Keeper) LastRefusal() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.refused
}

// Apply takes in the platform's object, if it is the configuration.
func (k *Keeper) Apply(o *object.Object) {
	if o.Key != inventory.ConfigurationKey || o.Deleted {
		return
	}
	var s Record
	if err := json.Unmarshal(o.Value, &s); err != nil {
		k.refuse(0, fmt.Errorf("the platform's object is not a configuration: %w", err))
		return
	}
	_, _ = k.Offer(s.Source, &s.Change)
}

// Offer brings a configuration into force if it is newer and valid. It
// reports whether it did; an error says why a newer one was refused.
func (k *Keeper) Offer(source string, c *Change) (accepted bool, err error) {
	if c.Number <= k.Number() {
		return false, nil
	}
	plan, err := compiler.Compile(fmt.Sprintf("configuration %d", c.Number), []byte(source))
	if err != nil {
		k.refuse(c.Number, err)
		return false, err
	}
	return k.install(&Snapshot{Source: source, Change: *c, Plan: plan}), nil
}

func (k *Keeper) install(s *Snapshot) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Number() <= k.Number() {
		return false
	}
	k.inForce.Store(s)
	k.refused = ""
	k.c.OnChange(s)
	return true
}

func (k *Keeper) refuse(n identifier.ConfigurationNumber, err error) {
	k.mu.Lock()
	k.refused = fmt.Sprintf("configuration %d: %v", n, err)
	k.mu.Unlock()
	k.c.OnRefused(n, err)
}
