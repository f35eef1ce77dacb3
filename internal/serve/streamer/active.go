package streamer

import (
	"context"
	"time"

	"brasschute/internal/engine/frame"
	"brasschute/internal/route/registry"
)

// activeAttempt is an attempt that can be interrupted. timer moves it off a leaving host.
type activeAttempt struct {
	pick   *registry.Pick
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// firstFrameObserver reports to the registry how long an attempt's first frame took.
type firstFrameObserver struct {
	Sink
	s        *Streamer
	pick     *registry.Pick
	begun    time.Time
	observed bool
}

// WriteFrame passes a frame on.
func (t *firstFrameObserver) WriteFrame(f *frame.Frame) error {
	if !t.observed {
		t.observed = true
		t.s.c.Registry.ObserveFirstToken(t.pick, time.Since(t.begun))
	}
	return t.Sink.WriteFrame(f)
}

// addActive registers an attempt. It schedules the move at once, as the host may have
// begun to leave since it was chosen.
func (s *Streamer) addActive(pick *registry.Pick, cancel context.CancelCauseFunc) *activeAttempt {
	a := &activeAttempt{pick: pick, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[a] = true
	if s.handingOver {
		cancel(ErrHandOver)
	}
	s.scheduleMove(a)
	return a
}

func (s *Streamer) removeActive(a *activeAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, a)
	if a.timer != nil {
		a.timer.Stop()
	}
}

// ScheduleMoves schedules a move for each stream whose host has begun to leave. It must
// be called after each change of the registry.
func (s *Streamer) ScheduleMoves() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.active {
		s.scheduleMove(a)
	}
}

func (s *Streamer) scheduleMove(a *activeAttempt) {
	if a.timer != nil {
		return
	}
	deadline, leaving := s.c.Registry.Leaving(a.pick)
	if !leaving {
		return
	}
	a.timer = time.AfterFunc(time.Until(deadline)-moveMargin, func() { a.cancel(errHostLeaving) })
}

func (s *Streamer) isHandingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handingOver
}

// HandOver interrupts all present and future streams.
func (s *Streamer) HandOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handingOver = true
	for a := range s.active {
		a.cancel(ErrHandOver)
	}
}
