package scheduler

import (
	"math"
	"time"

	"brasschute/internal/core/decayingsum"
	"brasschute/internal/core/identifier"
)

const (
	// shareTime is how long the use of the endpoint by an organisation counts: as long as a scarcity
	// usually lasts, so that a burst at its start counts until its end.
	shareTime = 10 * time.Second
	// maxShares bounds the tracked pairs of organisation and rank. The pair with the smallest share is
	// dropped for a new one.
	maxShares = 1024
)

// shares counts what organisations got of the endpoint recently, by their weights. Each rank counts by
// itself: what an organisation gets in a rank that is served in full is not scarce.
type shares struct {
	used map[shareKey]decayingsum.Sum
	// means holds the mean of each rank that was asked for at meansAt; infinite if only one
	// organisation or none got anything.
	means   map[int]float64
	meansAt time.Time
}

type shareKey struct {
	organisation identifier.Organisation
	rank         int
}

func newShares() shares {
	return shares{used: make(map[shareKey]decayingsum.Sum), means: make(map[int]float64)}
}

// add records that a request takes tokens of prefill.
func (s *shares) add(r *Request, tokens float64, now time.Time) {
	key := shareKey{r.Organisation, r.Rank}
	if _, known := s.used[key]; !known && len(s.used) >= maxShares {
		s.forget(now)
	}
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	clear(s.means)
	used := s.used[key]
	used.Add(tokens/weight, shareTime, now)
	s.used[key] = used
}

// of returns what the organisation of a request got in its rank, divided by its weight.
func (s *shares) of(r *Request, now time.Time) float64 {
	return s.used[shareKey{r.Organisation, r.Rank}].Value(shareTime, now)
}

// over reports whether the organisation of a request got more than the mean in its rank.
func (s *shares) over(r *Request, now time.Time) bool {
	if !s.meansAt.Equal(now) {
		s.meansAt = now
		clear(s.means)
	}
	mean, known := s.means[r.Rank]
	if !known {
		sum, n := 0.0, 0.0
		for key, used := range s.used {
			if v := used.Value(shareTime, now); key.rank == r.Rank && v >= 1 {
				sum += v
				n++
			}
		}
		if mean = math.Inf(1); n > 1 {
			mean = sum / n
		}
		s.means[r.Rank] = mean
	}
	return s.of(r, now) > mean
}

// forget drops the share that is smallest.
func (s *shares) forget(now time.Time) {
	var least shareKey
	lowest := math.Inf(1)
	for key, used := range s.used {
		if v := used.Value(shareTime, now); v < lowest {
			least, lowest = key, v
		}
	}
	delete(s.used, least)
}
