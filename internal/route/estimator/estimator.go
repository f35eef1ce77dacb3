// Package estimator learns how fast the engines of a service are.
//
// # What is learned
//
// An engine reads prompts before it writes, and how many tokens it reads in a second
// differs by a factor of ten between models and machines; no configuration says it.
// Each first event tells: its request's uncached prompt tokens over its time, less the
// fixed time that an engine takes for any prompt, corrected for the streams that ran
// beside it. Long prompts tell the speed, short ones the fixed time. The estimates
// follow the quicker quarter of what is seen, as many wait for a prompt or two even at
// engines that are half idle, by steps of bounded size, so that no single answer,
// and no single engine that is slow or lies, moves them far: one engine of twelve
// shifts them by some hundredths.
//
// # Queues are not slowness
//
// A request that waits behind others seems to be read slowly. Under an overload the
// estimate would fall, the load seem to grow, and the pool with it. So slow answers
// count only from engines that were taken to be unoccupied; fast ones always do, as
// nothing but a fast engine gives them. An estimate that is too low calls engines
// occupied that are not, and is mended by the fast ones.
//
// # One estimate for the fleet
//
// Daemons tell each other theirs, and each goes by the median, weighted by the number
// of answers that it rests on. A new process goes by what the others know, and by
// [firstSpeed] if nobody knows anything.
//
// # Usage
//
//	e.Observe(service, estimator.Observation{...})
//	speed := e.Of(service, time.Now()).Speed
package estimator

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/selector"
)

const (
	// firstSpeed is taken until the first answers: between the fastest and the
	// slowest engines that were met (20,000 and 110,000 tokens a second).
	firstSpeed = 40_000
	// leastSpeed and mostSpeed bound what is believed.
	leastSpeed = 500
	mostSpeed  = 5_000_000
	// firstStep is how far the first answer moves the logarithm of the estimate,
	// leastStep how far each one does after many: five times the truth is left
	// behind within a dozen answers, and later a hundred of them are as good as
	// a twentieth of the truth.
	firstStep  = 0.8
	leastStep  = 0.03
	stepAnswer = 4
	// fallPart of the mean of late is the least that the speed may fall to at once, and
	// meanTime the time over which that mean is taken. When a load begins, all caches
	// are cold and the queues are not yet known: sixty daemons found engines of 45,000
	// tokens a second to read 9,000 within three seconds, and twice the pool was ordered.
	fallPart = 0.8
	meanTime = 8 * time.Second
	// quickPart of the answers make the estimate quicker by as much in all as the others
	// make it slower: three of four are taken to have waited.
	// The first settled answers count alike, to find the order of magnitude.
	quickPart = 0.75
	settled   = 16
	// fullPrompt is the number of uncached tokens from which on an answer counts
	// fully: with a short prompt the engine's fixed time says more than its reading.
	fullPrompt = 2048
	leastPart  = 0.02
	// firstFixed is taken for the fixed time until the first answers; mostFixed bounds it.
	firstFixed = 10 * time.Millisecond
	leastFixed = time.Millisecond
	mostFixed  = time.Second
	// firstToken is taken for the time between two output tokens until streams tell it;
	// tokenWeight is the weight of the newest stream, mostToken bounds one.
	firstToken  = 10 * time.Millisecond
	tokenWeight = 0.05
	mostToken   = time.Second
	// idlePart of a request's own tokens may be ahead of it at an engine that
	// counts as unoccupied.
	idlePart = 0.5
	// mostAnswers bounds the weight of one daemon's estimate.
	mostAnswers = 500
	// toldAge is how long what another daemon told counts.
	toldAge = 20 * time.Second
)

// Speed is a number of prompt tokens read in a second.
type Speed float64

// Observation is one first event.
type Observation struct {
	// Uncached is the number of prompt tokens that the engine had to read, Ahead that
	// of those presumed to be read before, Streams the streams that ran beside it.
	Uncached identifier.Tokens
	TokensAhead    float64
	Streams  float64
	// Took is the time from sending to the first event.
	Took time.Duration
}

// Estimate is what is known of an engine, and the number of answers that it rests on.
type Estimate struct {
	Speed Speed
	// FixedLatency is the time to a first event without any prompt to read.
	FixedLatency   time.Duration
	Samples int
}

// told is what another daemon told of a service.
type told struct {
	Estimate
	at time.Time
}

// learned is what is known of one service.
type learned struct {
	own    Estimate
	others map[identifier.Host]told
	// token is the time between two output tokens of this daemon's streams.
	token time.Duration
	// short is the number of answers that own.Fixed rests on.
	short int
	// mean is that of own.Speed over meanTime, as of meant.
	mean  float64
	meant time.Time
	// fleet is the median as of at.
	fleet Estimate
	at    time.Time
}

// Estimator learns. The zero value is ready; it is safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	by map[identifier.Service]*learned
}

func (e *Estimator) get(s identifier.Service) *learned {
	if e.by == nil {
		e.by = make(map[identifier.Service]*learned)
	}
	l := e.by[s]
	if l == nil {
		l = &learned{own: Estimate{Speed: firstSpeed, FixedLatency: firstFixed}, token: firstToken, others: make(map[identifier.Host]told)}
		e.by[s] = l
	}
	return l
}

// ObserveFirstEvent takes in a first event.
func (e *Estimator) ObserveFirstEvent(s identifier.Service, o Observation) {
	if o.Uncached <= 0 || o.Took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.get(s)
	uncached := float64(o.Uncached)
	reading := uncached / float64(l.own.Speed) * (1 + selector.BatchSlowdown*max(o.Streams, 0))
	faster := o.Took.Seconds()-l.own.FixedLatency.Seconds() < reading
	if !faster && o.TokensAhead > idlePart*uncached {
		return
	}
	weight := max(min(uncached/fullPrompt, 1), leastPart)
	speed := max(float64(l.own.Speed)*quicker(faster, l.own.Samples, weight), l.least(time.Now()))
	l.own.Speed = Speed(min(max(speed, leastSpeed), mostSpeed))
	l.own.Samples = min(l.own.Samples+1, mostAnswers)
	switch {
	case o.Took < l.own.FixedLatency:
		l.fix(true, 1)
	case weight < 1:
		l.fix(faster, 1-weight)
	}
}

// ObserveStream takes in the length of a stream, in output tokens, and the time from its first
// event to its last.
func (e *Estimator) ObserveStream(s identifier.Service, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.get(s)
	each := min(took/time.Duration(tokens), mostToken)
	l.token += time.Duration(tokenWeight * float64(each-l.token))
}

// TokenInterval returns the time between two output tokens, as this daemon's streams tell it.
func (e *Estimator) TokenInterval(s identifier.Service) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.get(s).token, time.Microsecond)
}

// least is what the speed may fall to now.
func (l *learned) least(now time.Time) float64 {
	if l.meant.IsZero() {
		l.mean = float64(l.own.Speed)
	} else {
		part := math.Exp(-now.Sub(l.meant).Seconds() / meanTime.Seconds())
		l.mean = part*l.mean + (1-part)*float64(l.own.Speed)
	}
	l.meant = now
	return fallPart * l.mean
}

// fix moves the estimate of the fixed time by an answer that was quicker than
// estimated, or was not.
func (l *learned) fix(quick bool, weight float64) {
	fixed := l.own.FixedLatency.Seconds() / quicker(quick, l.short, weight)
	l.own.FixedLatency = time.Duration(min(max(fixed, leastFixed.Seconds()), mostFixed.Seconds()) * float64(time.Second))
	l.short++
}

// quicker is the factor by which an engine is taken to be quicker than before, or slower
// if it is below one, after one more answer than those that the estimate rests on;
// quick: the answer was quicker than estimated.
func quicker(quick bool, answers int, weight float64) float64 {
	size := max(firstStep/(1+float64(answers)/stepAnswer), leastStep) * weight
	switch {
	case answers < settled:
	case quick:
		size *= 2 * quickPart
	default:
		size *= 2 * (1 - quickPart)
	}
	if !quick {
		size = -size
	}
	return math.Exp(size)
}

// Local returns what this daemon has learned itself, to be told to the others.
func (e *Estimator) Local() map[identifier.Service]Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[identifier.Service]Estimate, len(e.by))
	for s, l := range e.by {
		if l.own.Samples > 0 {
			out[s] = l.own
		}
	}
	return out
}

// Merge takes in what another daemon has learned.
func (e *Estimator) Merge(from identifier.Host, s identifier.Service, t Estimate, now time.Time) {
	if t.Samples <= 0 || !(t.Speed >= leastSpeed && t.Speed <= mostSpeed) {
		return
	}
	t.FixedLatency = min(max(t.FixedLatency, leastFixed), mostFixed)
	t.Samples = min(t.Samples, mostAnswers)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.get(s).others[from] = told{t, now}
}

// medianPause is how often the median is taken anew.
const medianPause = 200 * time.Millisecond

// Estimate returns what the fleet knows of a service's engines.
func (e *Estimator) Estimate(s identifier.Service, now time.Time) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.get(s)
	if l.at.IsZero() || now.Sub(l.at) >= medianPause {
		l.fleet, l.at = l.median(now), now
		if l.own.Samples == 0 {
			// What the others know is a better start than the first value.
			l.own = Estimate{Speed: l.fleet.Speed, FixedLatency: l.fleet.FixedLatency}
		}
	}
	return l.fleet
}

// median is the estimate in the middle of all daemons', by speed, weighted by their
// answers. What is too old is forgotten.
func (l *learned) median(now time.Time) Estimate {
	all := []Estimate{l.own}
	for host, t := range l.others {
		if now.Sub(t.at) > toldAge {
			delete(l.others, host)
			continue
		}
		all = append(all, t.Estimate)
	}
	slices.SortFunc(all, func(a, b Estimate) int { return cmp.Compare(a.Speed, b.Speed) })
	sum := 0
	for _, t := range all {
		sum += t.Samples
	}
	if sum == 0 {
		return l.own
	}
	below := 0
	for _, t := range all {
		below += t.Samples
		if 2*below >= sum {
			return t
		}
	}
	return l.own
}
