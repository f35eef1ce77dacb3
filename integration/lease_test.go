package integration

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"brasschute/internal/engine/order"
)

// orders returns the orders that the engine got from controllers, oldest first.
func (e *endpoint) orders() []order.Order {
	e.f.t.Helper()
	var out []order.Order
	if err := e.f.getJSON("http://"+e.address+"/admin/orders", &out); err != nil {
		e.f.t.Fatal(err)
	}
	return out
}

// awaitOrder waits until the last order of the engine is to load model.
func (e *endpoint) awaitOrder(model string) {
	e.f.t.Helper()
	eventually(e.f.t, e.name+" ordered", func() error {
		all := e.orders()
		if len(all) == 0 {
			return fmt.Errorf("no order")
		}
		return checkEqual("model", all[len(all)-1].Model, model)
	})
}

// TestLeasePausedLeaderWakesUp pauses the lease holder for longer than its lease. Its successor
// orders a new model; then the first one resumes and still believes that it holds the lease. Its
// orders must not undo the successor's, neither at an engine that honours fencing numbers nor at
// one that ignores them.
func TestLeasePausedLeaderWakesUp(t *testing.T) {
	f := newFleet(t)
	f.addEngine(1)
	f.addEngine(1, "--ignores-fencing")
	d := f.addEntry(1)
	d.mustApply(strings.ReplaceAll(configuration(), "letters-1", "letters-2"), 0)
	f.awaitReady()
	first := f.addController(1, "controller-1")
	for _, e := range f.engines {
		e.awaitOrder("letters-2")
	}
	f.addController(1, "controller-2")
	first.signal(syscall.SIGSTOP)
	d.mustApply(strings.ReplaceAll(configuration(), "letters-1", "letters-3"), 1)
	for _, e := range f.engines {
		e.awaitOrder("letters-3")
	}
	first.signal(syscall.SIGCONT)
	// The resumed controller gets the newer configuration, too. The orders of a later one come from
	// whichever controller holds the lease.
	d.mustApply(strings.ReplaceAll(configuration(), "letters-1", "letters-4"), 2)
	for _, e := range f.engines {
		e.awaitOrder("letters-4")
		fencing := uint64(0)
		for _, o := range e.orders() {
			if o.FencingNumber < fencing {
				t.Errorf("%s: orders %+v", e.name, e.orders())
			}
			fencing = o.FencingNumber
		}
	}
}

// TestLeaseSurvivesKilledLeader kills the lease holder while it rolls out a model to several
// engines. Its successor must complete the roll-out, so that each engine has the wanted model.
func TestLeaseSurvivesKilledLeader(t *testing.T) {
	f := newFleet(t)
	for range 6 {
		f.addEngine(1)
	}
	d := f.addEntry(1)
	d.mustApply(strings.ReplaceAll(configuration(), "letters-1", "letters-2"), 0)
	f.awaitReady()
	first := f.addController(1, "controller-1")
	eventually(t, "roll-out begun", func() error {
		for _, e := range f.engines {
			if len(e.orders()) > 0 {
				return nil
			}
		}
		return fmt.Errorf("no order yet")
	})
	f.addController(1, "controller-2")
	first.kill()
	for _, e := range f.engines {
		e.awaitOrder("letters-2")
	}
}
