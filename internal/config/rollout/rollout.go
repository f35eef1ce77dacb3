// Package rollout holds an operator's order to move a service to another version of its
// endpoints, and the order's progress.
//
// An order passes through these phases:
//
//	Ordered → Canary → Migrating → Switching → Complete
//	              ↘ Reverted (from each but Complete)
//
// In Canary (logged as "trying"), a small share of the requests goes to endpoints of the target
// version. In Migrating (logged as "moving"), requests that would outlast the old endpoints go
// there as well. In Switching, all new requests do, while the old endpoints finish those they
// have. Complete and Reverted are final for an order; package promoter decides them.
//
// # Usage
//
//	if r.Phase == rollout.Reverted { use no endpoint of r.Target }
package rollout

import (
	"fmt"
	"time"

	"brasschute/internal/core/identifier"

	"github.com/cespare/xxhash/v2"
)

// Phase is the progress of an order. Phases only increase, and Reverted, the highest,
// overrides all others.
type Phase uint32

// The phases, see the package comment.
const (
	Ordered Phase = iota
	Canary
	Migrating
	Switching
	Complete
	Reverted
)

// String returns the name of the phase for logs.
func (p Phase) String() string {
	names := [...]string{"ordered", "trying", "moving", "switching", "complete", "reverted"}
	if int(p) >= len(names) {
		return fmt.Sprint("phase ", uint32(p))
	}
	return names[p]
}

// IsFinal reports whether no other phase follows.
func (p Phase) IsFinal() bool { return p >= Complete }

// Rollout is an order with its stored state.
type Rollout struct {
	Service  identifier.Service
	Target   identifier.Version
	Duration time.Duration
	// Created is the store's creation mark of the order, empty if it has none. It is only
	// compared, never interpreted.
	Created string
	// Stored is the phase according to the store: Ordered if the store has no state of this
	// order, Canary if the order is under way, else Complete or Reverted.
	Stored Phase
	// Phase is the furthest phase known, from the store or from the lease holder.
	Phase Phase
	// Revision is the store's revision of the order with its state.
	Revision uint64
}

const (
	// If the target version may only receive a share of all requests until the deadline, the
	// cutover lead is cutoverLeadRatio of that share of the duration. An update reaches nearly
	// all daemons within minCutoverLead; within maxCutoverLead it is also known that the old
	// endpoints have no requests left.
	cutoverLeadRatio = 0.3
	minCutoverLead   = 400 * time.Millisecond
	maxCutoverLead   = 1600 * time.Millisecond
)

// CutoverLead returns how long before the deadline all new requests switch to the target
// version, for a version that may receive the given share of all requests until then.
func (r *Rollout) CutoverLead(share float64) time.Duration {
	lead := time.Duration(cutoverLeadRatio * share * float64(r.Duration))
	return min(max(lead, minCutoverLead), maxCutoverLead)
}

// CountOld returns the number of endpoints of versions other than the target, from the
// endpoints by version.
func (r *Rollout) CountOld(endpoints map[identifier.Version]int) (n int) {
	for version, count := range endpoints {
		if version != r.Target {
			n += count
		}
	}
	return n
}

// OrderID returns a hash that identifies the order. It is the same at all daemons and does
// not depend on the order's state.
func (r *Rollout) OrderID() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d/%s", r.Service, r.Target, r.Duration, r.Created))
}
