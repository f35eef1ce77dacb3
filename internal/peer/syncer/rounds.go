package syncer

import (
	"math/rand/v2"
	"time"

	"brasschute/internal/peer/roster"
)

const (
	// period is the time between swaps of each pair of daemons in a small fleet. An organisation
	// at eight times its usual load sends about 10% of its quota's window in a second.
	period = time.Second
	// jitterDivisor sets the jitter of pauses: up to a fifth of them.
	jitterDivisor = 5
	// startupTime is how long after its start a daemon calls those that it has not heard yet
	// every startupPause. Until it hears the others it gives out only its own share of each
	// quota.
	startupTime  = 4 * time.Second
	startupPause = 250 * time.Millisecond
	// slowAfter is how long an address is silent before it is called only every fifth period.
	slowAfter       = 5 * time.Second
	slowEveryRounds = 5

	// tick is how often a daemon of a large fleet checks which calls are due.
	tick = 125 * time.Millisecond
	// relayPeriod is the time between calls to the first relay of the zone, and between relays
	// of different zones. standbyPeriod is that to the other relays of the zone, whose sums are
	// on standby.
	relayPeriod   = 400 * time.Millisecond
	standbyPeriod = time.Second
	// maxUnheardCalls is how many unheard daemons a daemon that hears no relay calls every
	// startupPause. One that hears a relay calls one unheard daemon every unheardPause.
	maxUnheardCalls = 3
	unheardPause    = 2 * time.Second
	// relaySilence is how long a relay that should call this one may be silent before this one
	// calls it.
	relaySilence = 1250 * time.Millisecond
)

// due returns the addresses to call now and the time until it is called again.
func (s *Syncer) due() ([]string, time.Duration) {
	now := time.Now()
	if s.c.LargeFleet() {
		return s.reserve(s.dueInLargeFleet(now)), tick
	}
	s.mu.Lock()
	s.round++
	round := s.round
	s.mu.Unlock()
	starting := now.Sub(s.started) < startupTime
	// In its first seconds a daemon also calls unknown daemons more often than once per period.
	checksPerPeriod := int(period / startupPause)
	regular := !starting || round%checksPerPeriod == 1
	var out []string
	for _, d := range s.c.Roster.All(now) {
		if regular && s.shouldCall(&d, now, round) || !regular && d.Host == "" {
			out = append(out, d.Address)
		}
	}
	pause := period
	if starting {
		pause = startupPause
	}
	return s.reserve(out), pause - pause/jitterDivisor + rand.N(2*pause/jitterDivisor)
}

// maxPeerStates bounds the states of peers that are kept. Those without a call under way are
// dropped first.
const maxPeerStates = 4096

// reserve leaves out the peers to which a call is under way and marks the others as being
// called.
func (s *Syncer) reserve(addresses []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, c := range s.peers {
		if len(s.peers) <= maxPeerStates {
			break
		}
		if !c.busy {
			delete(s.peers, address)
		}
	}
	out := addresses[:0]
	for _, address := range addresses {
		if c := s.peerState(address); !c.busy {
			c.busy = true
			out = append(out, address)
		}
	}
	return out
}

// shouldCall reports whether this daemon should call a peer of a small fleet in this round.
func (s *Syncer) shouldCall(d *roster.Daemon, now time.Time, round int) bool {
	last := d.AnsweredAt
	if last.IsZero() {
		last = d.AddedAt
	}
	silent := now.Sub(last)
	if silent > slowAfter+period {
		return round%slowEveryRounds == 0
	}
	// The daemon with the lower host name calls, unless the peer has been silent: then it may
	// not know this daemon.
	return d.Host == "" || d.Host >= s.c.Host || silent >= 2*period+time.Second
}

// dueInLargeFleet returns the addresses to call now in a large fleet.
func (s *Syncer) dueInLargeFleet(now time.Time) []string {
	p := planner{s: s, now: now}
	relaying := s.c.Relaying()
	heard := false
	for i, d := range s.c.Roster.Relays(s.c.Zone, now) {
		// A daemon that reports that it is not a relay has found others that rank before it.
		heard = heard || d.Relaying && now.Sub(d.AnsweredAt) < standbyPeriod+relayPeriod
		switch {
		case relaying && d.Relaying && d.Host < s.c.Host && now.Sub(d.AnsweredAt) < relaySilence:
		case i == 0:
			p.add(d.Address, relayPeriod)
		default:
			p.add(d.Address, standbyPeriod)
		}
	}
	if relaying {
		s.addOtherZoneRelays(&p)
		for _, d := range s.c.Roster.DisplacedRelays(now) {
			p.add(d.Address, standbyPeriod)
		}
	}
	s.addUnheard(&p, heard || relaying && now.Sub(s.started) > startupTime)
	return p.out
}

// addOtherZoneRelays adds the relays of the other zones. Of a pair of relays the one with the
// lower host name calls, unless the other has been silent.
func (s *Syncer) addOtherZoneRelays(p *planner) {
	for _, zone := range s.c.Roster.Zones() {
		for _, d := range s.c.Roster.Relays(zone, p.now) {
			silent := p.now.Sub(d.AnsweredAt) >= relaySilence
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

// addUnheard adds some daemons that were never heard. If this daemon hears no relay, it also
// adds some that seem dead, those of its own zone first, so that it rejoins the fleet after a
// power loss or a partition.
func (s *Syncer) addUnheard(p *planner, heard bool) {
	n, pause := 1, unheardPause
	if !heard {
		n, pause = maxUnheardCalls, startupPause
	}
	if !p.claimIfDue(unheardKey, pause) {
		return
	}
	var list, sameZone []string
	for _, d := range s.c.Roster.All(p.now) {
		silent := !heard && p.now.Sub(d.LastHeard()) >= roster.LivenessTimeout
		switch {
		case silent && d.Zone == s.c.Zone:
			sameZone = append(sameZone, d.Address)
		case silent || d.Host == "":
			list = append(list, d.Address)
		}
	}
	if len(sameZone) > 0 {
		list = sameZone
	}
	shuffle(list)
	for _, address := range list[:min(n, len(list))] {
		p.add(address, standbyPeriod)
	}
}

// unheardKey is the key of Syncer.peers under which the next call to an unheard daemon is timed.
const unheardKey = ""

// planner collects the calls that are due.
type planner struct {
	s   *Syncer
	now time.Time
	out []string
}

// add adds an address if its period has passed.
func (p *planner) add(address string, period time.Duration) {
	if p.claimIfDue(address, period) {
		p.out = append(p.out, address)
	}
}

// claimIfDue reports whether the period of an address has passed, and if so starts the next one.
func (p *planner) claimIfDue(address string, period time.Duration) bool {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	c := p.s.peerState(address)
	if p.now.Before(c.next) {
		return false
	}
	// Random pauses, as the daemons of a fleet may have started at the same time.
	c.next = p.now.Add(period - period/jitterDivisor + rand.N(period/jitterDivisor))
	return true
}
