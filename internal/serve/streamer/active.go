package streamer

import (
	"context"
	"time"

	"brasschute/internal/engine/frame"
	"brasschute/internal/route/registry"
)

type active struct {
	pick   *registry.Pick
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// timed tells the registry when an attempt's first frame came.
type timed struct {
	Sink
	s     *Streamer
	pick  *registry.Pick
	begun time.Time
	told  bool
}

// WriteFrame passes a frame on.
func (t *timed) WriteFrame(f *frame.Frame) error {
	if !t.told {
		t.told = true
		t.s.c.Registry.ObserveFirstToken(t.pick, time.Since(t.begun))
	}
	return t.Sink.WriteFrame(f)
}

// enter lists an attempt for the sweep; the first sweep is made at once, as
// the host may have begun to leave since it was chosen.
func (s *Streamer) enter(pick *registry.Pick, cancel context.CancelCauseFunc) *active {
	a := &active{pick: pick, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[a] = true
	if s.over {
		cancel(ErrHandOver)
	}
	s.schedule(a)
	return a
}

func (s *Streamer) exit(a *active) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, a)
	if a.timer != nil {
		a.timer.Stop()
	}
}

// ScheduleMoves looks for streams whose engine has begun to leave. It is called after
// each change of the registry.
func (s *Streamer) ScheduleMoves() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.active {
		s.schedule(a)
	}
}

func (s *Streamer) schedule(a *active) {
	if a.timer != nil {
		return
	}
	deadline, leaving := s.c.Registry.Leaving(a.pick)
	if !leaving {
		return
	}
	a.timer = time.AfterFunc(time.Until(deadline)-moveMargin, func() { a.cancel(errMoving) })
}

func (s *Streamer) handsOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}

// HandOver interrupts all streams, present and future.
func (s *Streamer) HandOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	for a := range s.active {
		a.cancel(ErrHandOver)
	}
}
