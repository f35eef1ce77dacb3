// Package rollout holds an operator's order to move a service to another version of its
// endpoints, and how far it has come.
//
// # Phases
//
//	Ordered → Trying → Moving → Switching → Complete
//	              ↘ Reverted (from each but Complete)
//
// While it is Trying, a small share of the requests goes to endpoints of the new version.
// While Moving, requests that would outlast the old endpoints do, too; while Switching all
// new ones, and the old endpoints end what they have. Complete and Reverted are final for an
// order; package promoter decides them.
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

// Phase says how far an order has come. A higher one follows a lower one, and Reverted goes
// before all others.
type Phase uint32

// The phases.
const (
	Ordered Phase = iota
	Trying
	Moving
	Switching
	Complete
	Reverted
)

// String is for logs.
func (p Phase) String() string {
	names := [...]string{"ordered", "trying", "moving", "switching", "complete", "reverted"}
	if int(p) >= len(names) {
		return fmt.Sprint("phase ", uint32(p))
	}
	return names[p]
}

// IsFinal tells whether nothing follows.
func (p Phase) IsFinal() bool { return p >= Complete }

// Rollout is an order with its state as it is stored.
type Rollout struct {
	Service  identifier.Service
	Target   identifier.Version
	Duration time.Duration
	// Created is what the store says of the order's first writing, if anything.
	Created string
	// Stored is the phase that the store tells: Ordered where it has no state of this order,
	// Trying where the state says that it is under way, Complete or Reverted.
	Stored Phase
	// Phase is the furthest that is known, from the store or from the holder of the duties.
	Phase Phase
	// Revision is that of the stored order with its state.
	Revision uint64
}

const (
	// Where the version may have only a share of all requests until the deadline, leadPart of
	// what that comes to is spent on the time for which all new requests go to it. That is
	// leastLead at the least, in which news reaches nearly all daemons, and mostLead at the
	// most, in which it is known besides that the old endpoints have nothing left to do.
	leadPart  = 0.3
	leastLead = 400 * time.Millisecond
	mostLead  = 1600 * time.Millisecond
)

// CutoverLead is how long before the deadline all new requests go to the version that is to be
// complete by then, where it may have a share of all until then.
func (r *Rollout) CutoverLead(share float64) time.Duration {
	lead := time.Duration(leadPart * share * float64(r.Duration))
	return min(max(lead, leastLead), mostLead)
}

// CountOld counts the endpoints of other versions.
func (r *Rollout) CountOld(endpoints map[identifier.Version]int) (n int) {
	for version, count := range endpoints {
		if version != r.Target {
			n += count
		}
	}
	return n
}

// OrderID numbers the order: the same for all who read it, whatever its state.
func (r *Rollout) OrderID() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d/%s", r.Service, r.Target, r.Duration, r.Created))
}
