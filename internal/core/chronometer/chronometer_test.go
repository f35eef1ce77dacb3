package chronometer

import (
	"fmt"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
)

// clocks are a wall clock that can jump and a steady one.
type clocks struct {
	truth time.Time
	jump  time.Duration
}

func (c *clocks) chronometer() *Chronometer {
	return New(Config{Wall: func() time.Time { return c.truth.Add(c.jump) }, Monotonic: func() time.Time { return c.truth }})
}

// The time of day jumps by two seconds on some hosts while daemons run, and
// processes start meanwhile. Requests would be counted in a wrong window.
func TestJumpsOfTheWallClock(t *testing.T) {
	c := &clocks{truth: time.Unix(1_000_000, 0)}
	running := c.chronometer()
	c.jump = 2400 * time.Millisecond
	c.truth = c.truth.Add(time.Second)
	if got := running.Now(); !got.Equal(c.truth) {
		t.Errorf("a running daemon is off by %v", got.Sub(c.truth))
	}
	late := c.chronometer()
	if off := late.Now().Sub(c.truth); off != c.jump {
		t.Fatalf("off by %v before it has heard anyone", off)
	}
	for n := range 4 {
		late.Observe(identifier.Host(fmt.Sprint(n)), c.truth)
	}
	if off := late.Now().Sub(c.truth).Abs(); off > tolerance {
		t.Errorf("off by %v after four peers", off)
	}
}

func TestOneWrongPeerChangesNothing(t *testing.T) {
	c := &clocks{truth: time.Unix(1_000_000, 0)}
	m := c.chronometer()
	m.Observe("wrong", c.truth.Add(time.Hour))
	m.Observe("right", c.truth)
	m.Observe("other", c.truth.Add(time.Millisecond))
	if off := m.Now().Sub(c.truth).Abs(); off > tolerance {
		t.Errorf("off by %v", off)
	}
}
