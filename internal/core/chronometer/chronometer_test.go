package chronometer

import (
	"fmt"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
)

// clocks provides a monotonic clock and a wall clock that can jump.
type clocks struct {
	truth time.Time
	jump  time.Duration
}

func (c *clocks) chronometer() *Chronometer {
	return New(Config{Wall: func() time.Time { return c.truth.Add(c.jump) }, Monotonic: func() time.Time { return c.truth }})
}

// The wall clock of some hosts jumps by 2.4 s while daemons run and others start. Without a
// correction, requests would be counted in the wrong usage window.
func TestWallClockJump(t *testing.T) {
	c := &clocks{truth: time.Unix(1_000_000, 0)}
	running := c.chronometer()
	c.jump = 2400 * time.Millisecond
	c.truth = c.truth.Add(time.Second)
	if got := running.Now(); !got.Equal(c.truth) {
		t.Errorf("estimate of a running daemon off by %v", got.Sub(c.truth))
	}
	late := c.chronometer()
	if off := late.Now().Sub(c.truth); off != c.jump {
		t.Fatalf("estimate off by %v before the first sample, want the jump", off)
	}
	for n := range 4 {
		late.Observe(identifier.Host(fmt.Sprint(n)), c.truth)
	}
	if off := late.Now().Sub(c.truth).Abs(); off > tolerance {
		t.Errorf("estimate off by %v after samples from four peers", off)
	}
}

// A single peer with a wrong clock must not move the estimate.
func TestSingleWrongPeer(t *testing.T) {
	c := &clocks{truth: time.Unix(1_000_000, 0)}
	m := c.chronometer()
	m.Observe("wrong", c.truth.Add(time.Hour))
	m.Observe("right", c.truth)
	m.Observe("other", c.truth.Add(time.Millisecond))
	if off := m.Now().Sub(c.truth).Abs(); off > tolerance {
		t.Errorf("estimate off by %v", off)
	}
}
