package registry

import (
	"time"

	"brasschute/internal/core/identifier"
)

// silentInZone is the number of silent endpoints from which on a zone without any active stream is
// considered partitioned. Its endpoints without streams of this daemon then count as silent, too.
const silentInZone = 2

// streamCounts counts the endpoints of a zone by the state of their streams.
type streamCounts struct{ silent, streaming int }

// markSilent marks the endpoints that have fallen silent. If no endpoint would be left, none is
// marked: then this daemon itself was paused, or there is no better choice.
func (p *pool) markSilent(now time.Time) {
	zones := make(map[identifier.AvailabilityZone]streamCounts)
	for i := range p.candidates {
		c := &p.candidates[i]
		z := zones[c.AvailabilityZone]
		c.Silent = c.Activity.Silent(now)
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
		if z := zones[c.AvailabilityZone]; z.silent >= silentInZone && z.streaming == 0 {
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
