package quotalimiter

import (
	"time"

	"brasschute/internal/core/identifier"
)

// sameAge is the difference in age within which two daemons count as started
// together: the processes of a fleet start within a second.
const sameAge = 2 * time.Second

// suspension is how far this host's clock must fall behind another's between two
// news for it to have been suspended: its clock stands still meanwhile. Delays of
// news are below the period of the digests.
const suspension = 1500 * time.Millisecond

// leastSpan is the least time over which another daemon's rate is measured. Daemons
// that wake up, or have just started, swap two digests within a millisecond: over
// that span a single request made a rate thousands of times the true one, and a
// bucket stood at -150 million tokens, refusing every second request for 45 s.
const leastSpan = 400 * time.Millisecond

// minority is the part of the fleet that a daemon does not hear from which on it
// takes itself, and not the others, to have been cut off.
const minority = 0.5

// Account is what one daemon tells of an organisation.
type Account struct {
	// Total is all that it charged since its start.
	Total float64
	// Level is its estimate of the fleet's bucket, less what it takes the others
	// to have charged unheard; NoLevel: it has none.
	Level   float64
	NoLevel bool
	// Asked is what its clients ask for in a second, refused or not.
	Asked float64
}

// Update is what another daemon tells, or what several daemons together do.
type Update struct {
	// Host is the daemon's, or names the group.
	Host        identifier.Host
	Incarnation uint64
	// Age is the time since the daemon's start; of a group, that of who tells.
	Age time.Duration
	// Daemons is the number of daemons that this is of, 0 for one; Silent of them are not
	// heard by those that tell.
	Daemons, Silent int
	Accounts        map[identifier.Organisation]Account
}

type remoteKey struct {
	host        identifier.Host
	incarnation uint64
}

// remote is what another daemon charged, or a group of them.
type remote struct {
	// daemons is their number, silent that of those among them that are not heard.
	daemons, silent int
	born            time.Time
	heard           time.Time
	age             time.Duration
	byOrg           map[identifier.Organisation]*count
}

// count is one organisation's: rate is what it charges in a second, asked what
// its clients ask for, level what it told of the bucket.
type count struct {
	total, rate, asked, level float64
	noLevel                   bool
	// rated: the rate is measured, over leastSpan at least: from spanTotal, which had
	// been charged at spanFrom.
	rated     bool
	spanTotal float64
	spanFrom  time.Time
	// overdue is what it was charged when it fell silent.
	overdue float64
}

func (r *remote) count(o identifier.Organisation) *count {
	n := r.byOrg[o]
	if n == nil {
		n = new(count)
		r.byOrg[o] = n
	}
	return n
}

// Accounts returns what is to be told to the others.
func (a *Limiter) Accounts() map[identifier.Organisation]Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[identifier.Organisation]Account, len(a.buckets))
	now := time.Now()
	for name, b := range a.buckets {
		unseen, _ := a.refresh(b, name, now)
		out[name] = Account{Total: b.own, Level: b.level() - unseen, Asked: b.asked}
	}
	return out
}

// Merge takes in another daemon's accounts. What it charged since it was heard
// last is taken from the bucket now.
func (a *Limiter) Merge(n Update) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	k := remoteKey{n.Host, n.Incarnation}
	r := a.others[k]
	if r == nil {
		r = &remote{born: now.Add(-n.Age), byOrg: make(map[identifier.Organisation]*count)}
		if !a.succeed(n.Host, r.born, now) {
			return
		}
		a.others[k] = r
	} else if n.Age < r.age {
		// Overtaken by newer news: its totals are counted already.
		return
	}
	since := now.Sub(r.heard)
	knows := a.knowsMore(r, n.Age, since, now)
	r.heard, r.age = now, n.Age
	r.daemons = max(n.Daemons, 1)
	r.silent = min(max(n.Silent, 0), r.daemons)
	a.regrouped(now)
	a.hear(now)
	for name, told := range n.Accounts {
		c := r.count(name)
		a.account(c, name, told, since, knows, r.daemons)
		if knows {
			// By this daemon's clock, which may have stood still, no rate can be told.
			c.spanTotal, c.spanFrom = told.Total, now
		}
		c.measure(told, now)
		c.take(told)
	}
}

// knowsMore tells whether a daemon that is heard after a time has followed the
// fleet while this one has not: before this one started, or while this one was cut
// off from most of the others or suspended. To charge all that such a daemon
// charged meanwhile to a bucket that was not refilled meanwhile would refuse
// requests for as long again.
func (a *Limiter) knowsMore(r *remote, age, since time.Duration, now time.Time) bool {
	switch {
	case r.heard.IsZero():
		return r.born.Before(a.start.Add(-sameAge))
	case since >= a.silence():
		if a.alone(now) {
			a.isolated = now
		}
		return now.Sub(a.isolated) < joining
	}
	return age-r.age-since > suspension
}

// alone tells whether this daemon has heard at most half of the others lately, as it
// has not after a pause of its own, however young it is.
func (a *Limiter) alone(now time.Time) bool {
	silence, lately, all := a.silence(), 0, 0
	for _, r := range a.others {
		all += r.daemons
		if now.Sub(r.heard) < silence {
			lately += r.daemons
		}
	}
	return float64(lately) <= minority*float64(all)
}

// account brings the bucket up to what some daemons tell after a time since they were
// heard last; knows: they have followed the fleet while this daemon has not.
func (a *Limiter) account(n *count, name identifier.Organisation, told Account, since time.Duration, knows bool, daemons int) {
	b := a.buckets[name]
	if b == nil {
		return
	}
	now := time.Now()
	unseen, _ := a.refresh(b, name, now)
	charged := max(told.Total-n.total, 0)
	switch silence := a.silence(); {
	case knows && told.NoLevel:
		// What it charged can't be told from what this daemon has missed.
	case knows:
		b.adopt(told.Level, unseen, a.isolated, now)
	case since >= silence && n.rated:
		// Beyond its equal part, which was set aside: to take over its level
		// instead put all daemons at the lowest estimate of sixty after a cut.
		part := b.rate * a.equal() * float64(daemons)
		covered := n.overdue + part*(since-silence).Seconds()
		b.take(max(charged-covered, -n.overdue))
	default:
		b.take(charged)
	}
}

// measure takes in the rate of what was charged since the last measurement, if that
// was leastSpan ago.
func (n *count) measure(told Account, now time.Time) {
	if n.spanFrom.IsZero() {
		n.spanTotal, n.spanFrom = told.Total, now
		return
	}
	span := now.Sub(n.spanFrom)
	if span < leastSpan {
		return
	}
	weight := rateWeight
	if !n.rated {
		weight, n.rated = 1, true
	}
	n.rate += weight * (max(told.Total-n.spanTotal, 0)/span.Seconds() - n.rate)
	n.spanTotal, n.spanFrom = max(told.Total, n.spanTotal), now
}

func (n *count) take(told Account) {
	n.total = max(n.total, told.Total)
	n.asked, n.level, n.noLevel, n.overdue = told.Asked, told.Level, told.NoLevel, 0
}

// succeed ends the earlier processes of a host, of which a new one is heard: what
// they are taken to have charged unheard ends with the start of the new one. It
// reports false for news of a process that has been succeeded itself.
func (a *Limiter) succeed(host identifier.Host, born, now time.Time) bool {
	for k, r := range a.others {
		if k.host != host {
			continue
		}
		if born.Before(r.born) {
			return false
		}
		unheard := min(born.Sub(r.heard), a.silence())
		for name, n := range r.byOrg {
			if b := a.buckets[name]; b != nil && unheard > 0 {
				a.refresh(b, name, now)
				b.take(n.rate * unheard.Seconds())
			}
		}
		delete(a.others, k)
	}
	return true
}

// adopt takes over the level that a daemon with a longer memory tells: the mean of
// all such. The lowest of sixty estimates lies a second's worth of a quota below
// what is left.
func (b *bucket) adopt(level, unseen float64, isolated, now time.Time) {
	if now.Sub(b.adoptedAt) > joining || isolated.After(b.adoptedAt) {
		b.adopted = 0
	}
	b.adopted++
	b.adoptedAt = now
	wanted := b.level() + (level+unseen-b.level())/float64(b.adopted)
	b.held = wanted
	if b.adopted == 1 {
		// When it was charged is not known: held to be charged now, it would weigh for
		// a whole window while the others' leaves theirs second by second.
		b.recent.spread(b.used(wanted), now)
		return
	}
	b.recent.correct(b.used(wanted), now)
}

// adoptTold takes over the levels that were told before the bucket was needed.
func (a *Limiter) adoptTold(b *bucket, o identifier.Organisation, now time.Time) {
	unseen, _ := a.unseen(o, now)
	for _, r := range a.others {
		if n := r.byOrg[o]; n != nil && !n.noLevel && now.Sub(r.heard) < a.silence() {
			b.at = now
			b.recent.pass(now)
			b.adopt(n.level, unseen, a.isolated, now)
		}
	}
}

// unseen estimates what the other daemons charged since they were heard, and sums
// what their clients ask for. What daemons that have fallen silent are taken to
// have charged, until their parts are set aside, is taken from the bucket for good:
// were it forgotten, a cut would give out three seconds' worth of the quota again.
func (a *Limiter) unseen(o identifier.Organisation, now time.Time) (charged, asked float64) {
	silence := a.silence()
	for _, r := range a.others {
		n := r.byOrg[o]
		if n == nil {
			continue
		}
		asked += n.asked
		since := now.Sub(r.heard)
		switch {
		case since < silence && n.rated:
			charged += n.rate * since.Seconds()
		case since < silence:
			// Heard once: it gives out its share of what its clients ask for.
			charged += a.given(o, n.asked) * since.Seconds()
		case n.rate > 0 && a.buckets[o] != nil:
			n.overdue = n.rate * silence.Seconds()
			n.rate = 0
			a.buckets[o].take(n.overdue)
		}
	}
	if b := a.buckets[o]; b != nil && b.saved > 0 {
		// The others know about as much as this daemon: together they give out what is
		// left and what comes in, however high the rates of before.
		charged = min(charged, max(b.level(), 0)+b.rate*newsTime.Seconds())
	}
	return charged, asked
}

// given is what is admitted of a demand: all, or its share of the rate.
func (a *Limiter) given(o identifier.Organisation, asked float64) float64 {
	b := a.buckets[o]
	if b == nil || b.all <= b.rate {
		return asked
	}
	return asked * b.rate / b.all
}

// share is this daemon's part of what is asked of an organisation's quota.
func (a *Limiter) share(own, all float64) float64 {
	equal := a.equal()
	if all <= 0 {
		return equal
	}
	return max(own/all, leastShare*equal)
}

// equal is the part of a quota that each daemon has where demands are not known.
func (a *Limiter) equal() float64 {
	all := 1
	for _, r := range a.others {
		all += r.daemons
	}
	return 1 / float64(all)
}

// reserved is the part of each quota that is set aside for daemons that are
// not heard.
func (a *Limiter) reserved(now time.Time) float64 {
	if now.Sub(a.counted) < reservedAge {
		return a.aside
	}
	a.counted, a.aside = now, a.countSilent(now)
	return a.aside
}

func (a *Limiter) countSilent(now time.Time) float64 {
	latest := make(map[identifier.Host]*remote, len(a.others))
	for k, r := range a.others {
		if now.Sub(r.heard) > memory {
			delete(a.others, k)
			continue
		}
		if l := latest[k.host]; l == nil || r.heard.After(l.heard) {
			latest[k.host] = r
		}
	}
	silent, all, silence := 0, 1, a.silence()
	for _, r := range latest {
		all += r.daemons
		if now.Sub(r.heard) > silence {
			silent += r.daemons
		} else {
			silent += r.silent
		}
	}
	if daemons := a.c.FleetSize(); now.Sub(a.start) < joining && all < daemons {
		silent += daemons - all
		all = daemons
	}
	part := float64(silent) / float64(all)
	if part > minority && now.Sub(a.start) >= joining {
		a.isolated = now
	}
	return part
}
