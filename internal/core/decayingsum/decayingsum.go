// Package decayingsum sums amounts that lose their weight over time.
//
// # Usage
//
//	var s decayingsum.Sum
//	s.Add(amount, decayTime, time.Now())
//	recent := s.Value(decayTime, time.Now())
package decayingsum

import (
	"math"
	"time"
)

// Sum is a sum of amounts that count for 1/e after a time, the same for all calls. The zero value is an empty sum.
type Sum struct {
	sum float64
	at  time.Time
}

// Value returns the sum at a time.
func (s Sum) Value(over time.Duration, now time.Time) float64 {
	if s.sum == 0 {
		return 0
	}
	return s.sum * math.Exp(-now.Sub(s.at).Seconds()/over.Seconds())
}

// Add adds an amount.
func (s *Sum) Add(amount float64, over time.Duration, now time.Time) {
	*s = Sum{s.Value(over, now) + amount, now}
}
