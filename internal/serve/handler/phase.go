package handler

import (
	"time"
)

// Phase is how far a graceful stop has come.
type Phase int

// The phases, in their order.
const (
	Serving Phase = iota
	// LameDuck: not ready, but everything is still served.
	LameDuck
	// Refusing: new requests are refused as not run.
	Refusing
	// HandingOver: what is unfinished goes to peers.
	HandingOver
)

// String names the phase.
func (p Phase) String() string {
	return [...]string{"serving", "lame", "refusing", "handing over"}[p]
}

// Phase returns how far a graceful stop has come.
func (h *Handler) Phase() Phase {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.phase
}

// enter counts a request in; it reports false when requests are refused.
func (h *Handler) enter(resumed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase == HandingOver || h.phase == Refusing && !resumed {
		return false
	}
	h.inFlight++
	return true
}

func (h *Handler) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.inFlight == 0 && h.phase >= Refusing {
		h.closeIdle()
	}
}

func (h *Handler) closeIdle() {
	select {
	case <-h.idle:
	default:
		close(h.idle)
	}
}

func (h *Handler) setPhase(p Phase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.phase = max(h.phase, p)
	if h.inFlight == 0 && h.phase >= Refusing {
		h.closeIdle()
	}
}

// Drain stops gracefully: lame for a time, then refusing until everything is
// answered or the deadline is near, then handing over. It returns when no
// request is in flight any more.
func (h *Handler) Drain(lame time.Duration, deadline time.Time) {
	h.setPhase(LameDuck)
	wait(nil, min(lame, time.Until(deadline)/2))
	h.setPhase(Refusing)
	wait(h.idle, time.Until(deadline)-handOverTime)
	h.setPhase(HandingOver)
	h.c.Streamer.HandOver()
	wait(h.idle, time.Until(deadline)+handOverTime)
}

func wait(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}
