package syncer

import (
	"math/rand/v2"
	"time"

	"brasschute/internal/peer/roster"
)

const (
	// period is how often a pair of a small fleet swaps. An organisation at eight times
	// its usual load sends some 10% of its quota's window in a second.
	period = time.Second
	// jitterPart is the part of a pause by which rounds come earlier or later.
	jitterPart = 5
	// eager is how long after its start a daemon calls those that it has not heard
	// yet each eagerPause. Until it hears the others it gives out its own part of
	// each quota only.
	eager      = 4 * time.Second
	eagerPause = 250 * time.Millisecond
	// slowAfter is when a silent address is tried only each fifth period.
	slowAfter = 5 * time.Second
	slowEach  = 5

	// tick is how often a daemon of a large fleet looks whom to call.
	tick = 125 * time.Millisecond
	// relayPeriod is how often it calls the first relay of its zone, and relays call each
	// other; standbyPeriod how often the others of its zone, whose sums stand by.
	relayPeriod   = 400 * time.Millisecond
	standbyPeriod = time.Second
	// strangers is how many daemons are tried at a time that were never heard, or by a
	// daemon that hears no relay; strangerPause is the pause between tries otherwise.
	strangers     = 3
	strangerPause = 2 * time.Second
	// missing is how long a relay has not been heard that the other one of a pair should
	// have called.
	missing = 1250 * time.Millisecond
)

// due returns the addresses to call now and the time until the next look.
func (s *Syncer) due() ([]string, time.Duration) {
	now := time.Now()
	if s.c.LargeFleet() {
		return s.reserve(s.relayed(now)), tick
	}
	s.mu.Lock()
	s.round++
	round := s.round
	s.mu.Unlock()
	young := now.Sub(s.started) < eager
	// In its first seconds a daemon looks more often, for those that it does not know.
	looks := int(period / eagerPause)
	regular := !young || round%looks == 1
	var out []string
	for _, d := range s.c.Roster.All(now) {
		if regular && s.mine(&d, now, round) || !regular && d.Host == "" {
			out = append(out, d.Address)
		}
	}
	pause := period
	if young {
		pause = eagerPause
	}
	return s.reserve(out), pause - pause/jitterPart + rand.N(2*pause/jitterPart)
}

// mostCalls bounds what is kept of calls; those of daemons that are forgotten go first.
const mostCalls = 4096

// reserve leaves out the peers to which a call is under way.
func (s *Syncer) reserve(addresses []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, c := range s.calls {
		if len(s.calls) <= mostCalls {
			break
		}
		if !c.busy {
			delete(s.calls, address)
		}
	}
	out := addresses[:0]
	for _, address := range addresses {
		if c := s.call(address); !c.busy {
			c.busy = true
			out = append(out, address)
		}
	}
	return out
}

// mine tells whether it is for this daemon, and time, to call a peer of a small fleet.
func (s *Syncer) mine(d *roster.Daemon, now time.Time, round int) bool {
	last := d.AnsweredAt
	if last.IsZero() {
		last = d.AddedAt
	}
	silent := now.Sub(last)
	if silent > slowAfter+period {
		return round%slowEach == 0
	}
	// The pair's other daemon calls, unless it has fallen silent: then it may
	// not know this one.
	return d.Host == "" || d.Host >= s.c.Host || silent >= 2*period+time.Second
}

// relayed returns whom to call now in a large fleet.
func (s *Syncer) relayed(now time.Time) []string {
	p := planner{s: s, now: now}
	relaying := s.c.Relaying()
	heard := false
	for i, d := range s.c.Roster.Relays(s.c.Zone, now) {
		// One that says that it does not relay has found others that go before it.
		heard = heard || d.Relaying && now.Sub(d.AnsweredAt) < standbyPeriod+relayPeriod
		switch {
		case relaying && d.Relaying && d.Host < s.c.Host && now.Sub(d.AnsweredAt) < missing:
		case i == 0:
			p.add(d.Address, relayPeriod)
		default:
			p.add(d.Address, standbyPeriod)
		}
	}
	if relaying {
		s.acrossZones(&p)
		for _, d := range s.c.Roster.DisplacedRelays(now) {
			p.add(d.Address, standbyPeriod)
		}
	}
	s.strange(&p, heard || relaying && now.Sub(s.started) > eager)
	return p.out
}

// acrossZones adds the relays of the other zones. Of a pair the one with the lower name
// calls, unless the other has not been heard.
func (s *Syncer) acrossZones(p *planner) {
	for _, zone := range s.c.Roster.Zones() {
		for _, d := range s.c.Roster.Relays(zone, p.now) {
			silent := p.now.Sub(d.AnsweredAt) >= missing
			switch {
			case d.Host < s.c.Host && !silent:
			case silent && !d.AnsweredAt.IsZero():
				p.add(d.Address, standbyPeriod)
			default:
				p.add(d.Address, relayPeriod)
			}
		}
	}
}

// strange adds some daemons that were never heard, by a daemon that hears no relay some of
// those that do not seem to live, of its zone if there are any: after a loss of all power, or
// a cut, the way back into the fleet.
func (s *Syncer) strange(p *planner, heard bool) {
	n, pause := 1, strangerPause
	if !heard {
		n, pause = strangers, eagerPause
	}
	if !p.wait(stranger, pause) {
		return
	}
	var list, near []string
	for _, d := range s.c.Roster.All(p.now) {
		silent := !heard && p.now.Sub(d.LastHeard()) >= roster.LivenessTimeout
		switch {
		case silent && d.Zone == s.c.Zone:
			near = append(near, d.Address)
		case silent || d.Host == "":
			list = append(list, d.Address)
		}
	}
	if len(near) > 0 {
		list = near
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	for _, address := range list[:min(n, len(list))] {
		p.add(address, standbyPeriod)
	}
}

// stranger stands for the addresses that are tried, in the times of the calls.
const stranger = ""

// planner collects the calls that are due.
type planner struct {
	s   *Syncer
	now time.Time
	out []string
}

// add adds an address if its last call was a period ago.
func (p *planner) add(address string, period time.Duration) {
	if p.wait(address, period) {
		p.out = append(p.out, address)
	}
}

// wait tells whether a period has passed since it last did for an address.
func (p *planner) wait(address string, period time.Duration) bool {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	c := p.s.call(address)
	if p.now.Before(c.next) {
		return false
	}
	// The daemons of a fleet start together; their calls need not stay so.
	c.next = p.now.Add(period - period/jitterPart + rand.N(period/jitterPart))
	return true
}
