package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/route/shedder"
	"brasschute/internal/standin/batcher"
)

const (
	// replayTime is how long requests arrive in a replay: longer than the scarcity of the heaviest
	// loads, so that the beginning and the end matter little.
	replayTime = 100 * time.Second
	// seeds is the number of replays of each load.
	seeds = 3
	// organisations send requests; the first of them hotFactor times as many as each other one.
	organisations = 5
	hotFactor     = 7.5
	// sharedGroups is the number of different shared parts of each route.
	sharedGroups = 2
	// callTime is the time of a call between daemons, reportDelay that until a report arrives.
	callTime    = 2 * time.Millisecond
	reportDelay = 25 * time.Millisecond
	// repeating is the part of clients that repeat a refused request at once.
	repeating = 0.3
)

// replayRoute is a row of a mix.
type replayRoute struct {
	name        string
	share       float64
	shared, own identifier.Tokens
	output      int
	objective   time.Duration
	deadline    time.Duration
	rank        int
}

// mix is a deployment's load and engine.
type mix struct {
	name   string
	routes []replayRoute
	engine batcher.Config
}

func mixes() []mix {
	engine := func(memory identifier.Tokens, speed float64) batcher.Config {
		return batcher.Config{
			Slots: 64, MaxWaiting: 1 << 20, MemoryTokens: memory, PrefillTokensPerSecond: speed,
			StepTime: 6 * time.Millisecond, PrefillChunk: 2048,
		}
	}
	ms := time.Millisecond
	return []mix{
		{"P", []replayRoute{
			{"diagnosis", 0.28, 13_300, 3720, 120, 800 * ms, 8 * time.Second, 1},
			{"summary", 0.22, 6300, 2890, 54, 800 * ms, 5 * time.Second, 0},
			{"query", 0.50, 350, 1110, 174, 500 * ms, 10 * time.Second, 2},
		}, engine(613_752, 62_000)},
		{"Q", []replayRoute{
			{"review", 0.37, 13_300, 3720, 120, 2000 * ms, 12 * time.Second, 2},
			{"draft", 0.16, 6300, 2890, 52, 800 * ms, 6 * time.Second, 1},
			{"explanation", 0.48, 350, 1110, 172, 500 * ms, 15 * time.Second, 0},
		}, engine(641_437, 51_000)},
	}
}

// arrival is a client's request.
type arrival struct {
	number       int
	at           time.Duration
	route        *replayRoute
	group        int
	organisation int
	own          identifier.Tokens
	repeats      bool
}

func (a *arrival) prompt() []batcher.PromptPart {
	return []batcher.PromptPart{
		{ID: fmt.Sprint(a.route.name, a.group), Tokens: a.route.shared},
		{ID: fmt.Sprint("own", a.number), Tokens: a.own},
	}
}

// weight is what serving the request in time is worth: half as much for each less urgent rank.
func (a *arrival) weight() float64 { return math.Pow(0.5, float64(a.route.rank)) }

// cost returns the time that the engine needs at least for the request, if its shared part is cached,
// by two bounds. Each of its chunks takes a step in which others decode, and each of its output tokens
// makes a step longer. Or all slots decode, so that its output tokens take the smallest part of steps.
func (a *arrival) cost(c *batcher.Config) (chunks, slots float64) {
	prefill := float64(a.own) / c.PrefillTokensPerSecond
	step, output := c.StepTime.Seconds(), float64(a.route.output)
	slower := step / float64(c.Slots-1)
	return prefill + math.Ceil(float64(a.own)/float64(c.PrefillChunk))*(step-slower) + output*slower,
		prefill + output*2*step/float64(c.Slots)
}

// arrivals returns the requests at a load, a multiple of what the engine can serve with warm caches.
func (m *mix) arrivals(load float64, seed uint64) []*arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	mean := 0.0
	for i := range m.routes {
		r := &m.routes[i]
		chunks, slots := (&arrival{route: r, own: r.own}).cost(&m.engine)
		mean += r.share * max(chunks, slots)
	}
	var all []*arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() * mean / load
		if at > replayTime.Seconds() {
			return all
		}
		a := &arrival{number: len(all), at: time.Duration(at * float64(time.Second)), repeats: random.Float64() < repeating, group: random.IntN(sharedGroups)}
		pick := random.Float64()
		for i := range m.routes {
			if a.route = &m.routes[i]; pick < a.route.share {
				break
			}
			pick -= a.route.share
		}
		if n := random.Float64() * (hotFactor + organisations - 1); n > hotFactor {
			a.organisation = 1 + int(n-hotFactor)
		}
		a.own = identifier.Tokens(float64(a.route.own) * (0.75 + 0.5*random.Float64()))
		all = append(all, a)
	}
}

// bound returns an upper bound of the value that any order by rank serves in time: of each rank in
// turn, the requests that cost the engine least, in all of the time until the last objective, with
// each shared part computed once. Neither bursts nor the single objectives limit it. A step in which
// nothing decodes comes only before the first token, as each prompt is followed by more steps that
// decode than it has chunks.
func (m *mix) bound(all []*arrival) (lowest float64, rates [3]float64) {
	last, tail, longest := time.Duration(0), 0, 0.0
	for i := range m.routes {
		r := &m.routes[i]
		last, tail = max(last, r.objective), max(tail, r.output)
		longest = max(longest, math.Ceil(float64(r.shared+r.own)/float64(m.engine.PrefillChunk)))
	}
	step := m.engine.StepTime.Seconds()
	lowest = math.Inf(1)
	for way := range 2 {
		// What runs at the end has its other decode steps later.
		left := (replayTime + last).Seconds() + longest*step + float64(tail)*step
		if way == 1 {
			left += float64(tail) * step
		}
		cost := func(a *arrival) float64 {
			chunks, slots := a.cost(&m.engine)
			if way == 0 {
				return chunks
			}
			return slots
		}
		sorted := slices.Clone(all)
		slices.SortFunc(sorted, func(a, b *arrival) int {
			return cmp.Or(cmp.Compare(a.route.rank, b.route.rank), cmp.Compare(cost(a), cost(b)))
		})
		value := 0.0
		var served, asked [3]float64
		groups := make(map[string]bool)
		for _, a := range sorted {
			if id := a.prompt()[0].ID; !groups[id] && left > 0 {
				groups[id] = true
				left = max(left-float64(a.route.shared)/m.engine.PrefillTokensPerSecond, 0)
			}
			part := min(left/cost(a), 1)
			value += part * a.weight()
			left -= part * cost(a)
			asked[a.route.rank]++
			served[a.route.rank] += part
		}
		if value < lowest {
			lowest = value
			for i := range rates {
				rates[i] = served[i] / asked[i]
			}
		}
	}
	return lowest, rates
}

// result is what became of the requests.
type result struct {
	all    []*arrival
	onTime map[*arrival]bool
	served map[*arrival]bool
	// returns holds the tokens of requests that returned at a booked place by quarter of a second,
	// unbooked counts those that returned without one.
	returns           map[int64]float64
	refused, unbooked int
	maxWaiting        int
}

func (r *result) value() (sum float64) {
	for a := range r.onTime {
		sum += a.weight()
	}
	return sum
}

// replay sends the requests of clients to one engine.
type replay struct {
	m      *mix
	engine *batcher.Batcher
	result

	mu        sync.Mutex
	scheduler *Scheduler // nil for first come, first served
}

func (m *mix) replay(t *testing.T, all []*arrival, scheduled bool) *result {
	r := &replay{m: m, engine: batcher.New(m.engine), result: result{
		all: all, onTime: make(map[*arrival]bool), served: make(map[*arrival]bool), returns: make(map[int64]float64),
	}}
	if scheduled {
		r.scheduler = New(Config{Slots: m.engine.Slots, MemoryTokens: m.engine.MemoryTokens, TokensPerSecond: m.engine.PrefillTokensPerSecond})
	}
	start := time.Now()
	var clients sync.WaitGroup
	for _, a := range all {
		time.Sleep(time.Until(start.Add(a.at)))
		clients.Go(func() { r.client(t.Context(), a) })
	}
	clients.Wait()
	time.Sleep(time.Second) // the engine drops what was cancelled
	return &r.result
}

// client sends a request, and returns after a refusal: once at once if it is one of those that do,
// and once after the time that it was told.
func (r *replay) client(ctx context.Context, a *arrival) {
	first := time.Now()
	repeats := a.repeats
	for attempt := 0; ; attempt++ {
		o, refused := r.attempt(ctx, a, attempt, first)
		switch {
		case !refused:
			return
		case repeats:
			repeats = false
			time.Sleep(callTime)
		case attempt > 1 || attempt == 1 && !a.repeats:
			return
		default:
			time.Sleep(o.RetryAfter)
			r.mu.Lock()
			if strings.Contains(o.Reason, "no place") {
				r.unbooked++
			} else {
				r.returns[numberOf(time.Now())] += float64(a.own)
			}
			r.mu.Unlock()
		}
	}
}

// attempt asks for a place until it is granted or refused, and runs the request.
func (r *replay) attempt(ctx context.Context, a *arrival, attempt int, first time.Time) (o Offer, refused bool) {
	q := r.request(a, attempt)
	silence := time.Now().Add(shedder.ClientTimeout(&catalog.Route{FirstEventObjective: a.route.objective}))
	deadline := first.Add(a.route.deadline)
	for r.scheduler != nil {
		time.Sleep(callTime)
		now := time.Now()
		q.ObjectiveLeft, q.SilenceLeft, q.TimeLeft = first.Add(a.route.objective).Sub(now), silence.Sub(now), deadline.Sub(now)
		r.mu.Lock()
		o = r.scheduler.Reserve(q, now)
		r.maxWaiting = max(r.maxWaiting, len(r.scheduler.waiting))
		if o.Decision == Refuse {
			r.refused++
		}
		r.mu.Unlock()
		if o.Decision == Refuse {
			return o, true
		}
		if o.Decision == Start {
			break
		}
		time.Sleep(o.AskAgain)
	}
	r.run(ctx, a, q, silence, first)
	return o, false
}

func (r *replay) request(a *arrival, attempt int) *Request {
	block := prefix.Block(a.route.rank*100 + a.group + 1)
	return &Request{
		ID: identifier.Request(fmt.Sprint(a.number, "-", attempt)), Daemon: identifier.Host(fmt.Sprint("daemon", a.number%5)),
		Rank: a.route.rank, Organisation: identifier.Organisation(fmt.Sprint(a.organisation)), Weight: 1,
		Fingerprint:  identifier.Fingerprint(fmt.Sprint(a.number)),
		PromptTokens: a.route.shared + a.own, OutputTokens: identifier.Tokens(a.route.output),
		Blocks: []prefix.Block{block}, Sizes: []identifier.Tokens{a.route.shared},
	}
}

// run sends a request to the engine and reports on it.
func (r *replay) run(ctx context.Context, a *arrival, q *Request, silence, first time.Time) {
	deadline := first.Add(a.route.deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	quiet := time.AfterFunc(time.Until(silence), cancel)
	report := func(f func(now time.Time)) {
		if r.scheduler != nil {
			time.AfterFunc(reportDelay, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				f(time.Now())
			})
		}
	}
	priority := 0
	if r.scheduler != nil {
		priority = a.route.rank
	}
	err := r.engine.Run(ctx, &batcher.Job{Prompt: a.prompt(), OutputTokens: a.route.output, Priority: priority}, func(token int) error {
		if token == 1 && quiet.Stop() {
			report(func(now time.Time) { r.scheduler.FirstEvent(q.Key(), now) })
			r.mu.Lock()
			if time.Since(first) <= a.route.objective {
				r.onTime[a] = true
			}
			r.mu.Unlock()
		}
		return nil
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.served[a] = true
	} else {
		delete(r.onTime, a)
	}
	report(func(now time.Time) { r.scheduler.End(q.Key(), now) })
}

// byRank returns the part of requests that were served in time, by rank.
func (r *result) byRank() (rates [3]float64) {
	var asked [3]float64
	for _, a := range r.all {
		asked[a.route.rank]++
		if r.onTime[a] {
			rates[a.route.rank]++
		}
	}
	for i := range rates {
		rates[i] /= asked[i]
	}
	return rates
}

// leastPart returns the smallest ratio of what an organisation was served in time to its equal part.
// That is, of each rank, all that it asked for, or as much as everybody else who asked for more, as
// requests of a more urgent rank go first whoever sent them.
func (r *result) leastPart() float64 {
	var got, equal [organisations]float64
	for rank := range 3 {
		var asked [organisations]float64
		total := 0.0
		for _, a := range r.all {
			if a.route.rank != rank {
				continue
			}
			asked[a.organisation] += float64(a.own)
			if r.onTime[a] {
				got[a.organisation] += float64(a.own)
				total += float64(a.own)
			}
		}
		for i, part := range equalParts(asked[:], total) {
			equal[i] += part
		}
	}
	least := math.Inf(1)
	for i := range got {
		least = min(least, got[i]/equal[i])
	}
	return least
}

// equalParts divides a total so that nobody gets more than it asked for and the others get equal parts.
func equalParts(asked []float64, total float64) []float64 {
	sorted := slices.Sorted(slices.Values(asked))
	level := math.Inf(1)
	for i, a := range sorted {
		if even := total / float64(len(sorted)-i); a >= even {
			level = even
			break
		}
		total -= a
	}
	parts := make([]float64, len(asked))
	for i, a := range asked {
		parts[i] = min(a, level)
	}
	return parts
}

// mostReturns returns the most tokens that returned in a quarter of a second, relative to what the
// engine prefills in that time.
func (r *result) mostReturns(m *mix) (most float64) {
	for _, tokens := range r.returns {
		most = max(most, tokens/(m.engine.PrefillTokensPerSecond*bucketDuration.Seconds()))
	}
	return most
}

// The replays guard against an order that wastes the engine on requests that are late anyway, lets one
// organisation or rank push out the others, or calls clients back together. The caches are cold.
func TestReplays(t *testing.T) {
	for _, m := range mixes() {
		for _, load := range []float64{1.2, 1.5, 2} {
			t.Run(fmt.Sprint(m.name, load), func(t *testing.T) {
				value, best := 0.0, 0.0
				for seed := range uint64(seeds) {
					all := m.arrivals(load, seed+1)
					var r, unscheduled *result
					synctest.Test(t, func(t *testing.T) { r = m.replay(t, all, true) })
					b, rates := m.bound(all)
					value, best = value+r.value(), best+b
					r.check(t, &m)
					t.Logf("seed %d: %.3f of the bound, in time by rank %.2f, bound %.2f; least part %.2f; returns %.2f, %d without a place; %d refusals",
						seed+1, r.value()/b, r.byRank(), rates, r.leastPart(), r.mostReturns(&m), r.unbooked, r.refused)
					if seed == 0 {
						synctest.Test(t, func(t *testing.T) { unscheduled = m.replay(t, all, false) })
						t.Logf("first come, first served: %.3f of the bound, by rank %.2f, least part %.2f", unscheduled.value()/b, unscheduled.byRank(), unscheduled.leastPart())
					}
				}
				if value < 0.9*best {
					t.Errorf("%.3f of what an all-knowing order serves in time", value/best)
				}
			})
		}
	}
}

// check checks the rules that hold for each replay.
func (r *result) check(t *testing.T, m *mix) {
	if part := r.leastPart(); part < 0.8 {
		t.Errorf("an organisation got %.2f of its equal part", part)
	}
	if n := r.mostReturns(m); n > 1.2 {
		t.Errorf("%.2f of the engine's capacity returned in a quarter of a second", n)
	}
	if r.maxWaiting > maxWaiting {
		t.Errorf("%d requests wait", r.maxWaiting)
	}
	if rates := r.byRank(); rates[0] < rates[1] || rates[1] < rates[2] {
		t.Errorf("in time by rank: %.3f", rates)
	}
	var asked, served [3]float64
	for _, a := range r.all {
		asked[a.route.rank]++
		if r.served[a] {
			served[a.route.rank]++
		}
	}
	if served[0]/asked[0] < served[1]/asked[1] || served[1]/asked[1] < served[2]/asked[2] {
		t.Errorf("served by rank: %.0f of %.0f", served, asked)
	}
}

// On calm load, nothing is lost by the scheduler: it guards against refusals and waits without need.
func TestCalmReplay(t *testing.T) {
	for _, m := range mixes() {
		all := m.arrivals(0.7, 1)
		var r *result
		synctest.Test(t, func(t *testing.T) { r = m.replay(t, all, true) })
		if n := float64(len(r.onTime)) / float64(len(all)); n < 0.97 {
			t.Errorf("%s: %.3f in time", m.name, n)
		}
	}
}
