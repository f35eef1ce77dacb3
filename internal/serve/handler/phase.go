package handler

import (
	"time"
)

// Phase is the progress of a graceful stop.
type Phase int

// The phases, in order.
const (
	Serving Phase = iota
	// LameDuck means that readiness fails but everything is still served.
	LameDuck
	// Refusing means that new requests are refused as not run. Resumptions are served.
	Refusing
	// HandingOver means that unfinished requests are handed over to peers.
	HandingOver
)

// String returns the name of the phase, which readiness and status show.
func (p Phase) String() string {
	return [...]string{"serving", "lame", "refusing", "handing over"}[p]
}

// Phase returns the progress of a graceful stop.
func (h *Handler) Phase() Phase {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.phase
}

// enter counts a request in flight. It returns false if the request must be refused.
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
		h.signalIdle()
	}
}

func (h *Handler) signalIdle() {
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
		h.signalIdle()
	}
}

// Drain stops gracefully: first the lame duck phase for the given time, then refusing
// until everything is answered or the deadline is near, then handing over. It returns
// when no request is in flight any more, or shortly after the deadline.
func (h *Handler) Drain(lameDuck time.Duration, deadline time.Time) {
	h.setPhase(LameDuck)
	waitFor(nil, min(lameDuck, time.Until(deadline)/2))
	h.setPhase(Refusing)
	waitFor(h.idle, time.Until(deadline)-handOverReserve)
	h.setPhase(HandingOver)
	h.c.Streamer.HandOver()
	waitFor(h.idle, time.Until(deadline)+handOverReserve)
}

func waitFor(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}
