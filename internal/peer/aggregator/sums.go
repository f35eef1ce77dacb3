package aggregator

import (
	"math"
	"slices"
	"time"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/candidate"
)

const (
	// maxTotal is more tokens than a fleet charges in years, maxRunning more requests than it
	// runs at a time. maxDaemonsSummed exceeds the number of daemons, maxItems that of
	// organisations or endpoints.
	maxTotal         = 1e15
	maxRunning       = 1 << 20
	maxDaemonsSummed = 1 << 16
	maxItems         = 8192
	// minLoadRate is the rate below which an endpoint's load is a rounding error.
	minLoadRate = 1e-9
)

// validAmount reports whether a number can be a sum.
func validAmount(v float64) bool { return v >= 0 && v <= maxTotal }

// dropInvalid removes the items of a summary that can't be true, and returns how many it
// removed.
func dropInvalid(s *rpc.Summary) (rejected int) {
	if s.GetDaemons() > maxDaemonsSummed || s.GetSilent() > s.GetDaemons() {
		s.Daemons, s.Silent = min(s.GetDaemons(), maxDaemonsSummed), min(s.GetSilent(), s.GetDaemons(), maxDaemonsSummed)
		rejected++
	}
	s.Charges = filter(s.GetCharges(), &rejected, func(c *rpc.Charge) bool {
		return validAmount(c.GetTotal()) && validAmount(c.GetAskedPerSecond()) && validAmount(math.Abs(c.GetLevel()))
	})
	s.Demands = filter(s.GetDemands(), &rejected, func(d *rpc.Demand) bool {
		return d.GetRunning() <= maxRunning && validAmount(d.GetRequestsPerSecond()) && validAmount(d.GetTokensPerSecond()) &&
			validAmount(d.GetRefusedPerSecond()) && validAmount(d.GetFirstEventsPerSecond()) && validAmount(d.GetLatePerSecond())
	})
	s.Loads = filter(s.GetLoads(), &rejected, func(l *rpc.EndpointLoad) bool {
		return l.GetRunning() <= maxRunning && validAmount(l.GetTokensPerSecond()) && validAmount(l.GetUnreadTokens())
	})
	return rejected
}

// filter returns the items that pass a check, maxItems at most, and counts the others in
// rejected.
func filter[T any](items []*T, rejected *int, valid func(*T) bool) []*T {
	out := items[:0]
	for _, item := range items {
		if len(out) < maxItems && valid(item) {
			out = append(out, item)
			continue
		}
		*rejected++
	}
	return out
}

// charge is the sum of an organisation's charges. level is nil if the daemon that sums has no
// estimate.
type charge struct {
	total, asked float64
	level        *float64
}

// demand is the sum of the demands for a service, with requests, tokens, refused requests, first
// events and late ones per second.
type demand struct {
	running                   int64
	requests, tokens, refused float64
	firstEvents, late         float64
}

// loadKey identifies one incarnation of an endpoint.
type loadKey struct {
	endpoint string
	born     int64
}

// load is the sum of what is sent to an endpoint: requests, prompt tokens per second, and prompt
// tokens of requests without any event yet.
type load struct {
	running        int64
	tokens, unread float64
	// lastSign is when the endpoint last showed a sign of life to any of the senders, by their
	// ages of the sign and this daemon's clock; zero if unknown. secondSign is the latest sign to
	// the other senders.
	lastSign, secondSign time.Time
}

// addSign adds a sign of life.
func (l *load) addSign(at time.Time) {
	switch {
	case at.After(l.lastSign):
		l.lastSign, l.secondSign = at, l.lastSign
	case at.After(l.secondSign):
		l.secondSign = at
	}
}

// SignOf returns when the endpoint of a load showed its last sign of life, given when the load was
// heard of; zero if unknown.
func SignOf(l *rpc.EndpointLoad, heardAt time.Time) time.Time {
	if l.EventAgeMilli == nil {
		return time.Time{}
	}
	return heardAt.Add(-time.Duration(l.GetEventAgeMilli()) * time.Millisecond)
}

// eventAge returns the age of a sign of life at a time as a message has it, nil if it is unknown or
// too old to matter.
func eventAge(sign, at time.Time) *uint32 {
	age := at.Sub(sign)
	if sign.IsZero() || age > candidate.MaxSignAge {
		return nil
	}
	milli := uint32(max(age, 0) / time.Millisecond)
	return &milli
}

// sums are the sums over some daemons, as of a time.
type sums struct {
	at              time.Time
	daemons, silent int
	charges         map[string]*charge
	demands         map[string]*demand
	loads           map[loadKey]*load
	// encoded holds the sums as a message without anybody's part left out; nil until the first one.
	encoded *encodedSums
}

func newSums(at time.Time) *sums {
	return &sums{at: at, charges: make(map[string]*charge), demands: make(map[string]*demand), loads: make(map[loadKey]*load)}
}

// agesAt returns the time to which the ages in messages refer: the end of the time for which the sums
// are reused. So no age is understated.
func (s *sums) agesAt() time.Time { return s.at.Add(maxSumAge) }

// getOrCreate returns the value of a key, which it creates if there is none.
func getOrCreate[K comparable, V any](m map[K]*V, k K) *V {
	v := m[k]
	if v == nil {
		v = new(V)
		m[k] = v
	}
	return v
}

// addTotal adds the charges of an organisation.
func (s *sums) addTotal(organisation string, total float64) {
	getOrCreate(s.charges, organisation).total += total
}

// addMember adds a daemon, without its totals, which are kept for the whole zone. A silent daemon
// is only counted. The levels are those of the daemon that sums.
func (s *sums) addMember(m *member, silent, own bool) {
	s.daemons++
	if silent {
		s.silent++
		return
	}
	for _, c := range m.digest.GetCharges() {
		sum := getOrCreate(s.charges, c.GetOrganisation())
		sum.asked += c.GetAskedPerSecond()
		if own {
			sum.level = c.Level
		}
	}
	s.addActivity(m.digest.GetDemands(), m.digest.GetLoads(), 1, m.heardAt)
}

// addGroup adds the daemons of another zone.
func (s *sums) addGroup(g *group, now time.Time) {
	for o, total := range g.totals {
		s.addTotal(o, total)
	}
	if source := g.sources[g.primary]; source != nil {
		s.daemons += int(source.summary.GetDaemons())
		if now.Sub(g.heardAt) > silentAfter {
			s.silent += int(source.summary.GetDaemons())
			return
		}
		s.silent += int(source.summary.GetSilent())
		for _, c := range source.summary.GetCharges() {
			getOrCreate(s.charges, c.GetOrganisation()).asked += c.GetAskedPerSecond()
		}
		s.addActivity(source.summary.GetDemands(), source.summary.GetLoads(), 1, source.heardAt)
	}
}

// addActivity adds the demands and loads of daemons, which were heard of at the given time, or
// subtracts them with a factor of -1.
func (s *sums) addActivity(demands []*rpc.Demand, loads []*rpc.EndpointLoad, factor float64, heardAt time.Time) {
	for _, d := range demands {
		sum := getOrCreate(s.demands, d.GetService())
		sum.running += int64(factor) * int64(d.GetRunning())
		sum.requests += factor * d.GetRequestsPerSecond()
		sum.tokens += factor * d.GetTokensPerSecond()
		sum.refused += factor * d.GetRefusedPerSecond()
		sum.firstEvents += factor * d.GetFirstEventsPerSecond()
		sum.late += factor * d.GetLatePerSecond()
	}
	for _, l := range loads {
		sum := getOrCreate(s.loads, loadKey{l.GetEndpoint(), l.GetBorn()})
		sum.running += int64(factor) * int64(l.GetRunning())
		sum.tokens += factor * l.GetTokensPerSecond()
		sum.unread += factor * l.GetUnreadTokens()
		sum.addSign(SignOf(l, heardAt))
	}
}

// message returns the sums as a message, without the part of one of the daemons unless it is
// nil. A relay sends such messages to each daemon of its zone several times a second; all share the
// items in which that daemon has no part.
func (s *sums) message(without *member) *rpc.Summary {
	if s.encoded == nil {
		s.encoded = &encodedSums{newItems(s.charges, encodeCharge), newItems(s.demands, encodeDemand), newItems(s.loads, s.encodeLoad)}
	}
	out := &rpc.Summary{Daemons: uint32(s.daemons), Silent: uint32(s.silent)}
	negative := newSums(s.at)
	if without != nil {
		s.subtract(without, negative, out)
	}
	out.Charges = s.encoded.charges.replace(remaining(s.charges, negative.charges, (*charge).plus), encodeCharge)
	out.Demands = s.encoded.demands.replace(remaining(s.demands, negative.demands, (*demand).plus), encodeDemand)
	out.Loads = s.encoded.loads.replace(remaining(s.loads, negative.loads, (*load).plus), s.encodeLoad)
	return out
}

// encodedSums holds sums as the items of messages.
type encodedSums struct {
	charges items[string, charge, rpc.Charge]
	demands items[string, demand, rpc.Demand]
	loads   items[loadKey, load, rpc.EndpointLoad]
}

// items holds the items of a message and their positions, by key. An item is nil if its sum is
// empty.
type items[K comparable, V, M any] struct {
	list      []*M
	positions map[K]int
}

func newItems[K comparable, V, M any](sums map[K]*V, encode func(K, *V) *M) items[K, V, M] {
	out := items[K, V, M]{list: make([]*M, 0, len(sums)), positions: make(map[K]int, len(sums))}
	for k, v := range sums {
		out.positions[k] = len(out.list)
		out.list = append(out.list, encode(k, v))
	}
	return out
}

// replace returns the items with those of some keys replaced, without empty ones.
func (i *items[K, V, M]) replace(sums map[K]*V, encode func(K, *V) *M) []*M {
	out := slices.Clone(i.list)
	for k, v := range sums {
		out[i.positions[k]] = encode(k, v)
	}
	return slices.DeleteFunc(out, func(m *M) bool { return m == nil })
}

// remaining returns the sums of those keys that have a negative part, with that part added.
func remaining[K comparable, V any](sums, negative map[K]*V, plus func(*V, *V) *V) map[K]*V {
	out := make(map[K]*V, len(negative))
	for k, part := range negative {
		if sum := sums[k]; sum != nil {
			out[k] = plus(sum, part)
		}
	}
	return out
}

func (c *charge) plus(part *charge) *charge {
	return &charge{total: c.total + part.total, asked: c.asked + part.asked, level: c.level}
}

func (d *demand) plus(part *demand) *demand {
	return &demand{
		d.running + part.running, d.requests + part.requests, d.tokens + part.tokens, d.refused + part.refused,
		d.firstEvents + part.firstEvents, d.late + part.late,
	}
}

// plus returns the load with the negative part of one sender added. If that sender had the last sign
// of life, the next one counts.
func (l *load) plus(part *load) *load {
	out := &load{running: l.running + part.running, tokens: l.tokens + part.tokens, unread: l.unread + part.unread, lastSign: l.lastSign}
	if part.lastSign.Equal(l.lastSign) {
		out.lastSign = l.secondSign
	}
	return out
}

func encodeCharge(organisation string, c *charge) *rpc.Charge {
	return &rpc.Charge{Organisation: organisation, Total: max(c.total, 0), Level: c.level, AskedPerSecond: max(c.asked, 0)}
}

func encodeDemand(service string, d *demand) *rpc.Demand {
	return &rpc.Demand{
		Service: service, Running: uint32(max(d.running, 0)), RequestsPerSecond: max(d.requests, 0),
		TokensPerSecond: max(d.tokens, 0), RefusedPerSecond: max(d.refused, 0),
		FirstEventsPerSecond: max(d.firstEvents, 0), LatePerSecond: max(d.late, 0),
	}
}

// encodeLoad returns nil for a load that is only a rounding error and has no sign of life.
func (s *sums) encodeLoad(key loadKey, l *load) *rpc.EndpointLoad {
	age := eventAge(l.lastSign, s.agesAt())
	if l.running <= 0 && l.tokens < minLoadRate && l.unread < minLoadRate && age == nil {
		return nil
	}
	return &rpc.EndpointLoad{
		Endpoint: key.endpoint, Born: key.born, Running: uint32(max(l.running, 0)), TokensPerSecond: max(l.tokens, 0),
		UnreadTokens: max(l.unread, 0), EventAgeMilli: age,
	}
}

// subtract adds the contribution of a daemon, as of its last digest, to negative with a negative
// factor, and subtracts the daemon from the count in out.
func (s *sums) subtract(m *member, negative *sums, out *rpc.Summary) {
	out.Daemons = uint32(max(s.daemons-1, 0))
	out.Silent = min(out.Silent, out.Daemons)
	for o, total := range m.counted {
		getOrCreate(negative.charges, o).total -= total
	}
	for _, c := range m.digest.GetCharges() {
		getOrCreate(negative.charges, c.GetOrganisation()).asked -= c.GetAskedPerSecond()
	}
	negative.addActivity(m.digest.GetDemands(), m.digest.GetLoads(), -1, m.heardAt)
}
