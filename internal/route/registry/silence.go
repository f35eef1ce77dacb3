package registry

import (
	"time"

	"brasschute/internal/core/identifier"
)

// silentInZone is the number of silent endpoints from which on a zone of which nothing
// else is heard is taken to be cut off, with those endpoints that run no stream of this
// daemon.
const silentInZone = 2

// heard counts what is known of a zone's endpoints.
type heard struct{ silent, talking int }

// listen marks the endpoints that have fallen silent. Where none would be left, none is
// marked: then it is this daemon that was held up, or there is nothing better.
func (p *pool) listen(now time.Time) {
	zones := make(map[identifier.AvailabilityZone]heard)
	for i := range p.candidates {
		c := &p.candidates[i]
		z := zones[c.AvailabilityZone]
		c.Silent = c.Activity.Silent(now)
		switch {
		case c.Silent:
			z.silent++
		case c.Activity.Streaming():
			z.talking++
		}
		zones[c.AvailabilityZone] = z
	}
	left := 0
	for i := range p.candidates {
		c := &p.candidates[i]
		if z := zones[c.AvailabilityZone]; z.silent >= silentInZone && z.talking == 0 {
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
