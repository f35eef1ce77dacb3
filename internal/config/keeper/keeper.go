// Package keeper holds the configuration in force at one daemon.
//
// Configurations reach a daemon from the platform's watch, from peers, and
// from an operator's call, in any order and more than once. The keeper accepts
// one only if its number is higher than that of the configuration in force, so
// that a stale read, a peer that is behind, or a platform restored from a backup
// can't bring an old configuration back.
//
// A configuration is compiled before it comes into force. One that does not
// compile, because it was written without the applier's checks, is refused: the
// last valid one stays in force, the OnRefused callback is called, and
// [Keeper.LastRefusal] returns the reason.
//
// # Usage
//
//	k := keeper.New(keeper.Config{OnChange: f})
//	accepted, err := k.Offer(source, &change)
//	s := k.Current() // nil before the first
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

// Change records who applied a configuration, and from which one it was made.
type Change struct {
	Number identifier.ConfigurationNumber
	// From is the number of the configuration that the draft was made from.
	From identifier.ConfigurationNumber
	// Who is the operator's name.
	Who string
	// WhenUnixMilli is the time by the clock of the daemon that applied it.
	WhenUnixMilli int64
	// Token is random. A writer that lost the response finds its write by it.
	Token string
	// Differs lists the removed and added lines, prefixed with "-" and "+".
	Differs []string
}

// Record is the configuration as stored on the platform. The text and its change
// record are one object, so that neither exists without the other.
type Record struct {
	Source string
	Change Change
	// History holds earlier changes, newest first.
	History []Change
}

// Snapshot is one configuration with its compiled plan. It is immutable.
type Snapshot struct {
	Source string
	Change Change
	Plan   *compiler.Plan
}

// Number returns the configuration's number.
func (s *Snapshot) Number() identifier.ConfigurationNumber { return s.Change.Number }

// Config holds the keeper's callbacks.
type Config struct {
	// OnChange is called after each new configuration, under the keeper's lock;
	// may be nil.
	OnChange func(*Snapshot)
	// OnRefused is called for each refused configuration; may be nil.
	OnRefused func(identifier.ConfigurationNumber, error)
}

// Keeper holds the configuration in force. It is safe for concurrent use.
type Keeper struct {
	c       Config
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	lastRefusal string
}

// New returns a keeper without a configuration.
func New(c Config) *Keeper {
	if c.OnChange == nil {
		c.OnChange = func(*Snapshot) {}
	}
	if c.OnRefused == nil {
		c.OnRefused = func(identifier.ConfigurationNumber, error) {}
	}
	return &Keeper{c: c}
}

// Current returns the configuration in force, or nil if there is none yet.
func (k *Keeper) Current() *Snapshot { return k.current.Load() }

// Number returns the number of the configuration in force, or 0 if there is none
// yet.
func (k *Keeper) Number() identifier.ConfigurationNumber {
	if s := k.Current(); s != nil {
		return s.Number()
	}
	return 0
}

// LastRefusal describes the configuration that was refused last. It is empty if
// none was refused since the one in force was accepted.
func (k *Keeper) LastRefusal() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastRefusal
}

// Apply offers the configuration of an object from the platform. It ignores
// deletions and objects of other keys.
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

// Offer brings a configuration into force if it is newer and valid, and reports
// whether it did. The error, a decoder.Problems, says why a newer one was refused.
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
	k.current.Store(s)
	k.lastRefusal = ""
	k.c.OnChange(s)
	return true
}

func (k *Keeper) refuse(n identifier.ConfigurationNumber, err error) {
	k.mu.Lock()
	k.lastRefusal = fmt.Sprintf("configuration %d: %v", n, err)
	k.mu.Unlock()
	k.c.OnRefused(n, err)
}
