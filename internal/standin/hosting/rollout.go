package hosting

import (
	"encoding/json"
	"time"
)

// RolloutKind is the kind of the objects by which operators order roll-outs.
const RolloutKind = "rollouts"

// RolloutDriverConfig describes how the platform carries out the roll-outs of one service.
type RolloutDriverConfig struct {
	Store   *Store
	Service string
	// BootTime is the time that endpoints of a new version take to start, DrainTime the time
	// from a revert until the endpoints of the reverted version start to drain.
	BootTime, DrainTime time.Duration
	// Start starts endpoints of a version, Stop ends those of all other versions at once, and
	// StartDrain lets those of a version drain.
	Start      func(version string)
	Stop       func(allBut string)
	StartDrain func(version string)
}

// RolloutDriver plays the platform's part in the roll-outs of a service: it starts, drains and
// stops endpoints. Use NewRolloutDriver.
type RolloutDriver struct{ c RolloutDriverConfig }

// NewRolloutDriver returns a driver without an order.
func NewRolloutDriver(c RolloutDriverConfig) *RolloutDriver { return &RolloutDriver{c: c} }

// Order orders a roll-out to a target version and acts on the states that the daemons store,
// until the timeout is over. It starts the endpoints of the target, stops all others when the
// roll-out is complete and drains those of the target when it is reverted. The duration is the
// one that the order names for the roll-out. Order returns the states in their sequence, and
// the time from the order to the last of them.
func (r *RolloutDriver) Order(target string, duration, timeout time.Duration) (states []string, took time.Duration) {
	const pollInterval = 20 * time.Millisecond
	start := time.Now()
	r.c.Store.Write(RolloutKind, r.c.Service, map[string]any{"Service": r.c.Service, "Target": target, "DurationS": duration.Seconds()})
	time.AfterFunc(r.c.BootTime, func() { r.c.Start(target) })
	for ; time.Since(start) < timeout; time.Sleep(pollInterval) {
		var status struct{ State, Target string }
		stored := r.c.Store.Status(RolloutKind, r.c.Service)
		if len(stored) == 0 || json.Unmarshal(stored, &status) != nil || status.Target != target {
			continue
		}
		if n := len(states); n > 0 && states[n-1] == status.State {
			continue
		}
		states, took = append(states, status.State), time.Since(start)
		switch status.State {
		case "complete":
			r.c.Stop(target)
		case "reverted":
			time.AfterFunc(r.c.DrainTime, func() { r.c.StartDrain(target) })
		}
	}
	return states, took
}
