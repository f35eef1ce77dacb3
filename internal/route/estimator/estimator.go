// Package estimator estimates the prefill speed of the engines of a service.
//
// # Method
//
// An engine reads a prompt (prefill) before it writes (decode). How many prompt tokens it reads per
// second differs by a factor of ten between models and machines, and no configuration states it.
// Each first event provides a sample: the uncached prompt tokens of its request over the time it
// took, less the fixed latency that an engine has for any prompt, corrected for the streams that
// ran beside it. Long prompts determine the speed, short ones the fixed latency. The estimates
// follow the fastest quarter of the samples, because many requests wait for a prompt or two even at
// engines that are half idle. They move in steps of bounded size, so that no single sample, and no
// single engine that is slow or reports wrong figures, moves them far: one engine of twelve shifts
// them by a few hundredths.
//
// # Queueing is not slowness
//
// A request that waits behind others seems to be read slowly. If such samples counted, the estimate
// would fall under an overload, the load would seem to grow, and the pool would be enlarged. Slow
// samples therefore count only from engines that were presumed idle; fast ones always count,
// because only a fast engine produces them. An estimate that is too low makes idle engines look
// occupied, and is corrected by the fast samples.
//
// # Fleet-wide estimate
//
// Daemons gossip their estimates, and each uses the median, weighted by sample counts. A new
// process uses the estimates of its peers, and [initialSpeed] if they have none either.
//
// # Usage
//
//	e.ObserveFirstEvent(service, estimator.Observation{...})
//	speed := e.Estimate(service, time.Now()).Speed
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
	// initialSpeed is used until the first samples, in tokens per second: between the slowest and
	// the fastest engines seen (20,000 and 110,000).
	initialSpeed = 40_000
	// minSpeed and maxSpeed bound the estimate.
	minSpeed = 500
	maxSpeed = 5_000_000
	// initialStep is how far the first sample moves the logarithm of the estimate, minStep how far
	// each one does after many, and stepSamples the number of samples after which the step is half
	// as large. An estimate wrong by a factor of five is corrected within a dozen samples, and
	// later a hundred samples reach the true value to within a twentieth.
	initialStep = 0.8
	minStep     = 0.03
	stepSamples = 4
	// The speed may fall at once to minSpeedFraction of its mean over meanTime, but no further.
	// When a load begins, all caches are cold and the growing queues have not been reported yet:
	// sixty daemons estimated engines of 45,000 tokens per second at 9,000 within three seconds,
	// and twice the pool was ordered.
	minSpeedFraction = 0.8
	meanTime         = 8 * time.Second
	// slowFraction of the samples, three of four, are assumed to be slow because their requests
	// waited: the fastest quarter raises the estimate by as much in total as the others lower it.
	// The first warmupSamples samples count alike, to find the order of magnitude.
	slowFraction  = 0.75
	warmupSamples = 16
	// fullPrompt is the number of uncached tokens from which a sample has full weight: with a short
	// prompt, the fixed latency of the engine matters more than its speed. minWeight is the least
	// weight of a sample.
	fullPrompt = 2048
	minWeight  = 0.02
	// initialFixed is the fixed latency until the first samples; minFixed and maxFixed bound it.
	initialFixed = 10 * time.Millisecond
	minFixed     = time.Millisecond
	maxFixed     = time.Second
	// initialTokenInterval is the time between two output tokens until streams provide samples;
	// tokenWeight is the weight of the newest stream, and maxTokenInterval bounds the interval in
	// one stream.
	initialTokenInterval = 10 * time.Millisecond
	tokenWeight          = 0.05
	maxTokenInterval     = time.Second
	// idleFraction of a request's own tokens may be ahead of it at an engine that counts as idle.
	idleFraction = 0.5
	// maxSamples bounds the weight of one daemon's estimate.
	maxSamples = 500
	// peerTTL is how long the estimate of a peer is used.
	peerTTL = 20 * time.Second
)

// Speed is a prefill speed in prompt tokens per second.
type Speed float64

// Observation is the first event of one stream.
type Observation struct {
	// Uncached is the number of prompt tokens that the engine had to read, TokensAhead the number
	// presumed to be read before them, and Streams the number of streams that ran beside it.
	Uncached    identifier.Tokens
	TokensAhead float64
	Streams     float64
	// Took is the time from sending the request to its first event.
	Took time.Duration
}

// Estimate describes the engines of a service, by a number of samples.
type Estimate struct {
	Speed Speed
	// FixedLatency is the time to the first event apart from prefill.
	FixedLatency time.Duration
	Samples      int
}

// peerEstimate is the estimate of a service that a peer has reported.
type peerEstimate struct {
	Estimate
	at time.Time
}

// state is what is known of one service.
type state struct {
	local Estimate
	peers map[identifier.Host]peerEstimate
	// tokenInterval is the time between two output tokens in this daemon's streams.
	tokenInterval time.Duration
	// fixedSamples is the number of samples behind local.FixedLatency.
	fixedSamples int
	// mean is the mean of local.Speed over meanTime, as of meanAt.
	mean   float64
	meanAt time.Time
	// fleet is the median over all daemons as of fleetAt.
	fleet   Estimate
	fleetAt time.Time
}

// Estimator learns from this daemon's streams and from peers. The zero value is ready to use; it is
// safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	states map[identifier.Service]*state
}

func (e *Estimator) get(s identifier.Service) *state {
	if e.states == nil {
		e.states = make(map[identifier.Service]*state)
	}
	st := e.states[s]
	if st == nil {
		st = &state{local: Estimate{Speed: initialSpeed, FixedLatency: initialFixed}, tokenInterval: initialTokenInterval, peers: make(map[identifier.Host]peerEstimate)}
		e.states[s] = st
	}
	return st
}

// ObserveFirstEvent adds the sample of a first event.
func (e *Estimator) ObserveFirstEvent(s identifier.Service, o Observation) {
	if o.Uncached <= 0 || o.Took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.get(s)
	uncached := float64(o.Uncached)
	prefillTime := uncached / float64(st.local.Speed) * (1 + selector.BatchSlowdown*max(o.Streams, 0))
	faster := o.Took.Seconds()-st.local.FixedLatency.Seconds() < prefillTime
	if !faster && o.TokensAhead > idleFraction*uncached {
		return
	}
	weight := max(min(uncached/fullPrompt, 1), minWeight)
	speed := max(float64(st.local.Speed)*speedFactor(faster, st.local.Samples, weight), st.minAllowedSpeed(time.Now()))
	st.local.Speed = Speed(min(max(speed, minSpeed), maxSpeed))
	st.local.Samples = min(st.local.Samples+1, maxSamples)
	switch {
	case o.Took < st.local.FixedLatency:
		st.adjustFixed(true, 1)
	case weight < 1:
		st.adjustFixed(faster, 1-weight)
	}
}

// ObserveStream adds the sample of a stream: its length in output tokens and the time from its
// first event to its last.
func (e *Estimator) ObserveStream(s identifier.Service, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.get(s)
	interval := min(took/time.Duration(tokens), maxTokenInterval)
	st.tokenInterval += time.Duration(tokenWeight * float64(interval-st.tokenInterval))
}

// TokenInterval returns the time between two output tokens in this daemon's streams.
func (e *Estimator) TokenInterval(s identifier.Service) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.get(s).tokenInterval, time.Microsecond)
}

// minAllowedSpeed returns what the speed may fall to now.
func (st *state) minAllowedSpeed(now time.Time) float64 {
	if st.meanAt.IsZero() {
		st.mean = float64(st.local.Speed)
	} else {
		weight := math.Exp(-now.Sub(st.meanAt).Seconds() / meanTime.Seconds())
		st.mean = weight*st.mean + (1-weight)*float64(st.local.Speed)
	}
	st.meanAt = now
	return minSpeedFraction * st.mean
}

// adjustFixed adjusts the estimate of the fixed latency by a sample that was faster than estimated,
// or not.
func (st *state) adjustFixed(faster bool, weight float64) {
	fixed := st.local.FixedLatency.Seconds() / speedFactor(faster, st.fixedSamples, weight)
	st.local.FixedLatency = time.Duration(min(max(fixed, minFixed.Seconds()), maxFixed.Seconds()) * float64(time.Second))
	st.fixedSamples++
}

// speedFactor returns the factor by which one sample changes an estimate that rests on the given
// number of samples: above one if the sample was faster than estimated, otherwise below one.
func speedFactor(faster bool, samples int, weight float64) float64 {
	step := max(initialStep/(1+float64(samples)/stepSamples), minStep) * weight
	switch {
	case samples < warmupSamples:
	case faster:
		step *= 2 * slowFraction
	default:
		step *= 2 * (1 - slowFraction)
	}
	if !faster {
		step = -step
	}
	return math.Exp(step)
}

// Local returns this daemon's own estimates, to be reported to peers.
func (e *Estimator) Local() map[identifier.Service]Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[identifier.Service]Estimate, len(e.states))
	for s, st := range e.states {
		if st.local.Samples > 0 {
			out[s] = st.local
		}
	}
	return out
}

// Merge records the estimate that a peer reports. Estimates without samples or with a speed out of
// bounds are ignored.
func (e *Estimator) Merge(from identifier.Host, s identifier.Service, reported Estimate, now time.Time) {
	if reported.Samples <= 0 || !(reported.Speed >= minSpeed && reported.Speed <= maxSpeed) {
		return
	}
	reported.FixedLatency = min(max(reported.FixedLatency, minFixed), maxFixed)
	reported.Samples = min(reported.Samples, maxSamples)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.get(s).peers[from] = peerEstimate{reported, now}
}

// medianInterval is how often the median is recomputed.
const medianInterval = 200 * time.Millisecond

// Estimate returns the fleet-wide estimate of a service's engines.
func (e *Estimator) Estimate(s identifier.Service, now time.Time) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.get(s)
	if st.fleetAt.IsZero() || now.Sub(st.fleetAt) >= medianInterval {
		st.fleet, st.fleetAt = st.median(now), now
		if st.local.Samples == 0 {
			// The estimates of peers are a better start than the initial value.
			st.local = Estimate{Speed: st.fleet.Speed, FixedLatency: st.fleet.FixedLatency}
		}
	}
	return st.fleet
}

// median returns the median of all daemons' estimates by speed, weighted by their samples, and
// drops estimates that are too old.
func (st *state) median(now time.Time) Estimate {
	all := []Estimate{st.local}
	for host, estimate := range st.peers {
		if now.Sub(estimate.at) > peerTTL {
			delete(st.peers, host)
			continue
		}
		all = append(all, estimate.Estimate)
	}
	slices.SortFunc(all, func(a, b Estimate) int { return cmp.Compare(a.Speed, b.Speed) })
	sum := 0
	for _, estimate := range all {
		sum += estimate.Samples
	}
	if sum == 0 {
		return st.local
	}
	below := 0
	for _, estimate := range all {
		below += estimate.Samples
		if 2*below >= sum {
			return estimate
		}
	}
	return st.local
}
