package scheduler

import "time"

const (
	// defaultSpeed, in tokens per second, stands for an estimate that is missing.
	defaultSpeed = 50_000
	// A measurement takes speedTime at least, so that a chunk more or less at its ends doesn't
	// matter, and changes the speed by a factor of at most maxSpeedStep, as one that is disturbed by
	// a pause of the host must not change what is refused. The speed stays within speedRange of the
	// estimate.
	speedTime    = 400 * time.Millisecond
	maxSpeedStep = 1.15
	speedRange   = 4
	// speedWeight is the weight of a measurement. With more, one that is disturbed changes whom the
	// scheduler refuses; with less, it refuses callers, or keeps too many, for long after the engine's
	// speed has changed.
	speedWeight = 0.4
)

// speed learns how fast the endpoint prefills from the first events that come while it is busy.
type speed struct {
	tokensPerSecond float64
	estimate        float64
	// since is when the present measurement began, with a first event after which the endpoint stayed
	// busy; zero if none is under way. tokens were prefilled since.
	since  time.Time
	tokens float64
}

func newSpeed(estimate float64) speed {
	if estimate <= 0 {
		estimate = defaultSpeed
	}
	return speed{tokensPerSecond: estimate, estimate: estimate}
}

// firstEvent records that a prompt has been prefilled, and whether the endpoint has more to prefill.
func (s *speed) firstEvent(tokens float64, busy bool, now time.Time) {
	if !s.since.IsZero() {
		s.tokens += tokens
		if elapsed := now.Sub(s.since); elapsed >= speedTime {
			s.learn(s.tokens / elapsed.Seconds())
			s.since = time.Time{}
		}
	}
	if !busy {
		s.since = time.Time{}
	} else if s.since.IsZero() {
		s.since, s.tokens = now, 0
	}
}

// learn takes in a measured speed.
func (s *speed) learn(measured float64) {
	measured = min(max(measured, s.tokensPerSecond/maxSpeedStep), s.tokensPerSecond*maxSpeedStep)
	measured = s.tokensPerSecond + speedWeight*(measured-s.tokensPerSecond)
	s.tokensPerSecond = min(max(measured, s.estimate/speedRange), s.estimate*speedRange)
}

// duration returns how long the prefill of tokens takes.
func (s *speed) duration(tokens float64) time.Duration {
	return time.Duration(tokens / s.tokensPerSecond * float64(time.Second))
}

// within returns how many tokens are prefilled in d.
func (s *speed) within(d time.Duration) float64 { return s.tokensPerSecond * d.Seconds() }
