package hosting

import (
	"encoding/json"
	"time"
)

// RolloutKind is the kind of object in which operators order roll-outs.
const RolloutKind = "rollouts"

// RolloutDriverConfig says what the platform does for the orders of one service.
type RolloutDriverConfig struct {
	Store   *Store
	Service string
	// BootTime is how long the endpoints of a version take to start, DrainTime how long those of a
	// reverted one go on.
	BootTime, DrainTime time.Duration
	// Start starts endpoints of a version; Stop ends those of all other versions at once,
	// Leave lets those of a version drain.
	Start func(version string)
	Stop  func(allBut string)
	StartDrain func(version string)
}

// RolloutDriver is what the platform does for a service's roll-outs. Use Order.
type RolloutDriver struct{ c RolloutDriverConfig }

// NewRolloutDriver returns one that has no order.
func NewRolloutDriver(c RolloutDriverConfig) *RolloutDriver { return &RolloutDriver{c: c} }

// Order writes an order, starts the endpoints of its version and acts by the states that the
// daemons store, until one is final or a time has passed. It returns the states, and when the
// last of them was stored, since the order.
func (r *RolloutDriver) Order(target string, d, most time.Duration) (states []string, took time.Duration) {
	const look = 20 * time.Millisecond
	begun := time.Now()
	r.c.Store.Write(RolloutKind, r.c.Service, map[string]any{"Service": r.c.Service, "Target": target, "DurationS": d.Seconds()})
	time.AfterFunc(r.c.BootTime, func() { r.c.Start(target) })
	for ; time.Since(begun) < most; time.Sleep(look) {
		var status struct{ State, Target string }
		raw := r.c.Store.Status(RolloutKind, r.c.Service)
		if len(raw) == 0 || json.Unmarshal(raw, &status) != nil || status.Target != target {
			continue
		}
		if n := len(states); n > 0 && states[n-1] == status.State {
			continue
		}
		states, took = append(states, status.State), time.Since(begun)
		switch status.State {
		case "complete":
			r.c.Stop(target)
		case "reverted":
			time.AfterFunc(r.c.DrainTime, func() { r.c.StartDrain(target) })
		}
	}
	return states, took
}
