package registry

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// silentInZone is the number of silent endpoints from which on a zone without any active stream is
// considered partitioned. Its endpoints without streams of this daemon then count as silent, too.
const silentInZone = 2

// streamCounts counts the endpoints of a zone by the state of their streams.
type streamCounts struct{ silent, streaming int }

// markSilent marks the endpoints that have fallen silent. If no endpoint would be left, none is
// marked: then this daemon itself was paused, or there is no better choice.
func (p *pool) markSilent(now time.Time) {
	signs := make(map[identifier.AvailabilityZone]time.Time)
	for i := range p.candidates {
		c := &p.candidates[i]
		signs[c.AvailabilityZone] = later(signs[c.AvailabilityZone], c.Activity.Signs().Own)
	}
	zones := make(map[identifier.AvailabilityZone]streamCounts)
	for i := range p.candidates {
		c := &p.candidates[i]
		z := zones[c.AvailabilityZone]
		c.Silent = c.Activity.Silent(now, signs[c.AvailabilityZone])
		switch {
		case c.Silent:
			z.silent++
		case c.Activity.Streaming():
			z.streaming++
		}
		zones[c.AvailabilityZone] = z
	}
	left := 0
	for i := range p.candidates {
		c := &p.candidates[i]
		z := zones[c.AvailabilityZone]
		if z.silent >= silentInZone && z.streaming == 0 && candidate.ZoneSilent(now, signs[c.AvailabilityZone]) {
			c.Silent = true
		}
		if !c.Silent && !c.Leaving && !c.Ejected(now) {
			left++
		}
	}
	if left > 0 {
		return
	}
	for i := range p.candidates {
		p.candidates[i].Silent = false
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Signs returns the last signs of life of a pick's endpoint and zone.
func (r *Registry) Signs(k *Pick) candidate.Signs {
	signs := k.Activity.Signs()
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.find(k)
	if own == nil {
		return signs
	}
	r.forEach(func(c *candidate.Candidate) {
		if c.AvailabilityZone == own.AvailabilityZone {
			signs.Zone = later(signs.Zone, c.Activity.Signs().Own)
		}
	})
	return signs
}
