package autoscaler

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"brasschute/internal/config/catalog"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/fleet/poolrecorder"
	"brasschute/internal/fleet/sizer"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/demandmeter"
)

// The load of a replay: what one engine serves a second, the requests per second of all clients,
// their uncached tokens while caches are warm, and how long one runs.
const (
	replayEngineTokens = 14_000
	replayRequests     = 170
	replayRunTime      = 1500 * time.Millisecond
	replayBoot         = 4 * time.Second
	replayTick         = 100 * time.Millisecond
	replayTimeout      = 8 * time.Second
	replayRetryAfter   = 700 * time.Millisecond
)

// replay is a pool of engines in four zones and the clients that use it. Without reclaimable
// engines available, only on-demand ones are started.
type replay struct {
	t     *testing.T
	began time.Time
	// needed is the number of engines that the clients' requests need.
	needed float64
	meter  demandmeter.Meter
	// listed are the engines that serve, ordered the desired numbers, due when engines start.
	listed map[key]int
	due    map[key][]time.Time
	// noMore is set if no more reclaimable engines are available, fails if orders fail.
	noMore, fails bool
	// lostAt is when engines were last reclaimed: caches are cold until they have been filled again.
	lostAt time.Time
	// ended holds when running requests end.
	ended []time.Time
	// returns holds when refused requests return, in order; sent counts requests.
	returns []time.Time
	sent    int
	// carry is the part of a request that the last tick left.
	carry float64
}

func newReplay(t *testing.T, needed float64, reclaimable int) *replay {
	r := &replay{t: t, began: time.Now(), needed: needed, listed: make(map[key]int), due: make(map[key][]time.Time)}
	for _, z := range r.zones() {
		r.listed[key{"lm", z, document.ClassReclaimable}] = reclaimable
	}
	return r
}

func (r *replay) zones() []identifier.AvailabilityZone {
	return []identifier.AvailabilityZone{"a", "b", "c", "d"}
}

// order is the cloud's call. Engines beyond the desired number stop at once, missing ones start.
func (r *replay) order(_ context.Context, _ uint64, s identifier.Service, z identifier.AvailabilityZone, class document.Class, wanted int) error {
	k := key{s, z, class}
	if r.fails {
		return object.ErrUnavailable
	}
	if class == document.ClassReclaimable && r.noMore && wanted > r.listed[k] {
		return object.ErrConflict
	}
	for r.listed[k]+len(r.due[k]) > wanted && len(r.due[k]) > 0 {
		r.due[k] = r.due[k][:len(r.due[k])-1]
	}
	r.listed[k] = min(r.listed[k], wanted)
	for r.listed[k]+len(r.due[k]) < wanted {
		r.due[k] = append(r.due[k], time.Now().Add(replayBoot))
	}
	return nil
}

func (r *replay) reclaim(z identifier.AvailabilityZone) {
	k := key{"lm", z, document.ClassReclaimable}
	r.listed[k], r.due[k], r.noMore, r.lostAt = 0, nil, true, time.Now()
}

// engines returns the engines that serve, and with all set also those that start.
func (r *replay) engines(all bool) int {
	n := 0
	for _, listed := range r.listed {
		n += listed
	}
	if all {
		for _, due := range r.due {
			n += len(due)
		}
	}
	return n
}

// start lists the engines that have started.
func (r *replay) start() {
	for k, due := range r.due {
		for len(due) > 0 && !time.Now().Before(due[0]) {
			due = due[1:]
			r.listed[k]++
		}
		r.due[k] = due
	}
}

// tick lets clients send requests for one replayTick. After a loss their prompts are prefilled
// again, and with too few engines requests run longer and attempts are repeated.
func (r *replay) tick() {
	now := time.Now()
	r.start()
	scarcity := max(r.needed/max(float64(r.engines(false)), 1), 1)
	tokens := r.needed * replayEngineTokens / replayRequests
	if !r.lostAt.IsZero() && now.Sub(r.lostAt) < 10*time.Second {
		tokens *= 2.4
	}
	r.carry += replayRequests * replayTick.Seconds()
	for ; r.carry >= 1; r.carry-- {
		r.send(identifier.Tokens(tokens), replayTimeout, scarcity)
	}
	for len(r.returns) > 0 && !now.Before(r.returns[0]) {
		r.returns = r.returns[1:]
		r.send(identifier.Tokens(tokens), replayTimeout-replayRetryAfter, scarcity)
	}
	left := r.ended[:0]
	for _, at := range r.ended {
		if now.Before(at) {
			left = append(left, at)
			continue
		}
		r.meter.CountEnded("lm")
	}
	r.ended = left
}

// send sends one request. With too few engines every third is refused, and returns once, and every
// other one of the rest is sent to a second engine.
func (r *replay) send(tokens identifier.Tokens, timeout time.Duration, scarcity float64) {
	now := time.Now()
	r.sent++
	counted := r.meter.ReturnDelay("lm", "diagnosis", timeout) > 0
	if scarcity > 1 && r.sent%3 == 0 {
		r.meter.CountRefused("lm", counted)
		if timeout == replayTimeout {
			r.returns = append(r.returns, now.Add(replayRetryAfter))
		}
		return
	}
	r.meter.CountPlaced("lm", tokens, counted)
	r.ended = append(r.ended, now.Add(time.Duration(scarcity*float64(replayRunTime))))
	if scarcity > 1 && r.sent%2 == 0 {
		r.meter.CountEnded("lm")
		r.meter.CountPlaced("lm", tokens, true)
	}
}

func (r *replay) service() []Service {
	s := Service{
		Service: "lm", Demand: r.meter.Demands()["lm"], Capacity: sizer.Capacity{Tokens: replayEngineTokens, Running: 40},
		Scale: &catalog.Scale{Min: 1, Max: 60, BootTime: replayBoot, ReclaimablePriceRatio: 0.15, Prices: map[identifier.AvailabilityZone]float64{"a": 1, "b": 1, "c": 1, "d": 1}},
	}
	for _, z := range r.zones() {
		s.Zones = append(s.Zones, sizer.Zone{
			Zone: z, OnDemand: r.listed[key{"lm", z, document.ClassOnDemand}], Reclaimable: r.listed[key{"lm", z, document.ClassReclaimable}],
		})
	}
	return []Service{s}
}

// run replays until a time after the first reclaim, with steps of a holder unless it is nil.
func (r *replay) run(a *Autoscaler, fencing uint64, until time.Duration, check func(now time.Duration)) {
	for ; time.Since(r.began) < until; time.Sleep(replayTick) {
		r.tick()
		if a != nil && time.Since(r.began)%(500*time.Millisecond) == 0 {
			a.Step(context.Background(), fencing, r.service())
		}
		if check != nil {
			check(time.Since(r.began))
		}
	}
}

func (r *replay) newHolder() *Autoscaler {
	return New(Config{SetDesired: r.order, Logger: log.New(io.Discard)})
}

// lossResult is what a lossReplay showed.
type lossResult struct {
	// first are the engines that serve or start after the first step of the new holder, served
	// those that serve a start plus 2 s after the last reclaim, most the most that served or
	// started after the new holder's first step.
	first, served, most int
}

// lossReplay replays reclaims of four zones within 13 s, the holder being cut off 6.5 s after the
// first. The next holder takes over at a given time, and inherits the record if inherit is set.
func lossReplay(t *testing.T, needed float64, takeover time.Duration, inherit bool) (out lossResult) {
	r := newReplay(t, needed, 28)
	old := r.newHolder()
	r.run(old, 1, 6*time.Second, nil)
	r.began = time.Now()
	next := 0
	reclaims := []time.Duration{0, 4300 * time.Millisecond, 8600 * time.Millisecond, 13 * time.Second}
	reclaimDue := func(now time.Duration) {
		if next < len(reclaims) && now >= reclaims[next] {
			r.reclaim(r.zones()[next])
			next++
		}
	}
	r.run(old, 1, 6500*time.Millisecond, reclaimDue)
	raw, err := json.Marshal(old.Record())
	if err != nil {
		t.Fatal(err)
	}
	heardAt := time.Now()
	r.run(nil, 0, takeover, reclaimDue)
	a := r.newHolder()
	if inherit {
		var record poolrecorder.Record
		if err := json.Unmarshal(raw, &record); err != nil {
			t.Fatal(err)
		}
		record.At = heardAt
		a.Inherit(2, &record)
	}
	a.Step(context.Background(), 2, r.service())
	out.first = r.engines(true)
	settled := reclaims[len(reclaims)-1] + replayBoot + 2*time.Second
	r.run(a, 2, 27*time.Second, func(now time.Duration) {
		reclaimDue(now)
		out.most = max(out.most, r.engines(true))
		if now <= settled {
			out.served = r.engines(false)
		}
	})
	return out
}

// Guards against a new holder that measures growth from the endpoints left after a loss, and takes
// prompts that are prefilled again for new demand.
func TestCapacityReturnsAtOnceAfterHolderIsReplaced(t *testing.T) {
	for _, c := range []struct {
		needed   int
		takeover time.Duration
	}{
		// After 3.4 s without a renewal, and after the last reclaim.
		{51, 10 * time.Second},
		{51, 13500 * time.Millisecond},
		// With a need that rose to 135 by the figures while clients sent no more than before.
		{77, 10 * time.Second},
		{77, 13500 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.needed, " needed, taken over after ", c.takeover), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, needed := lossReplay(t, float64(c.needed), c.takeover, true), float64(c.needed)
				t.Logf("%+v", got)
				if float64(got.first) < 0.9*needed {
					t.Errorf("%d engines after the first orders, %d are needed", got.first, c.needed)
				}
				if got.served < c.needed {
					t.Errorf("%d engines serve a start plus 2 s after the last reclaim, %d are needed", got.served, c.needed)
				}
				if float64(got.most) > 1.3*needed {
					t.Errorf("%d engines serve or start, %d are needed", got.most, c.needed)
				}
			})
		})
	}
}

// Guards against a replay that passes whatever the new holder knows: without the record, the
// fault of the test above must show.
func TestLossReplayNeedsTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if got := lossReplay(t, 51, 13500*time.Millisecond, false); got.first > 25 {
			t.Errorf("%d engines after the first orders of a holder without a record", got.first)
		}
		if got := lossReplay(t, 51, 10*time.Second, false); got.most < 100 {
			t.Errorf("at most %d engines with a holder without a record", got.most)
		}
	})
}

// Guards against on-demand engines that are kept long after their need has gone: 120 were
// ordered, and the first of them given back 13 s after the need was back at 60.
func TestOnDemandIsGivenBackSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most, needed = 135, 60
		r := newReplay(t, most, 0)
		r.noMore = true
		a := r.newHolder()
		for _, z := range r.zones() {
			r.listed[key{"lm", z, document.ClassOnDemand}] = 35
		}
		r.run(a, 1, 20*time.Second, nil)
		before := r.engines(true)
		if before < most {
			t.Fatalf("%d engines for a need of %d", before, most)
		}
		r.needed = needed
		r.began = time.Now()
		// The rates take some half-lives of two seconds to show the fall.
		r.run(a, 1, 9*time.Second, nil)
		if got := r.engines(true); got > needed+20 {
			t.Errorf("%d engines 9 s after the need fell to %d from %d", got, needed, before)
		}
		r.run(a, 1, 40*time.Second, func(time.Duration) {
			if got := r.engines(true); got < needed {
				t.Fatalf("%d engines for a need of %d", got, needed)
			}
		})
	})
}

// Guards against giving back, between the reclaims of a wave, on-demand engines that its next
// zone will need, and against keeping all others until the wave is over.
func TestOnDemandForAWaveIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const needed = 40
		r := newReplay(t, needed, 14)
		a := r.newHolder()
		for _, z := range r.zones() {
			r.listed[key{"lm", z, document.ClassOnDemand}] = 20
		}
		// The rates show the load before the holder's first step.
		r.run(nil, 0, 15*time.Second, nil)
		r.began = time.Now()
		r.run(a, 1, 3*time.Second, nil)
		r.reclaim("a")
		r.began = time.Now()
		onDemand := func() (n int) {
			for _, z := range r.zones() {
				n += r.listed[key{"lm", z, document.ClassOnDemand}]
			}
			return n
		}
		least := onDemand()
		r.run(a, 1, reclaimShrinkDelay, func(time.Duration) { least = min(least, onDemand()) })
		if least < needed {
			t.Errorf("%d on-demand engines within %v of a reclaim, %d are needed without reclaimable ones", least, reclaimShrinkDelay, needed)
		}
	})
}

// Guards against a bound of growth that follows what is left once the loss is some time ago: the
// cloud starts no engines for half a minute after three zones lost theirs.
func TestGrowthFollowsWhatServedUntilReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const needed = 51
		r := newReplay(t, needed, 20)
		a := r.newHolder()
		r.run(a, 1, 15*time.Second, nil)
		for _, z := range r.zones() {
			r.reclaim(z)
		}
		r.fails = true
		r.run(a, 1, 45*time.Second, nil)
		r.fails = false
		r.run(a, 1, 46*time.Second, nil)
		if got := r.engines(true); got < needed {
			t.Errorf("%d engines serve or start a second after the cloud starts some again, %d are needed", got, needed)
		}
	})
}

// Guards against a loss that was replaced long ago and still keeps the bound of growth at what
// served then, also after the lease has changed hands.
func TestReplacedLossDoesNotHoldTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Logger: log.New(io.Discard)})
		a.peaks["lm"] = &peak{engines: 100, at: time.Now()}
		a.onDemandDemands["lm"] = new(peak)
		a.loss("lm").at = time.Now()
		bound := func(needed, serving float64) float64 {
			a.demands["lm"] = &peak{engines: needed, at: time.Now()}
			return a.maxEndpoints("lm", serving, time.Now())
		}
		time.Sleep(peakWindow + time.Second)
		if got := bound(60, 40); got != 100*maxGrowthFactor {
			t.Errorf("at most %.0f before the loss is replaced", got)
		}
		if got := bound(60, 60); got != 60*maxGrowthFactor {
			t.Errorf("at most %.0f once the loss is replaced", got)
		}
		r := a.Record()
		a = New(Config{Logger: log.New(io.Discard)})
		a.Inherit(2, r)
		time.Sleep(peakWindow + time.Second)
		if got := bound(50, 30); got != 30*maxGrowthFactor {
			t.Errorf("at most %.0f for a later need, with 30 that serve", got)
		}
	})
}

// Guards against services that no longer exist being inherited and recorded for ever, and against a
// record that is discarded because the catalog has not been read yet.
func TestUnknownServicesAreDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(t, 20, 10)
		old := r.newHolder()
		r.run(old, 1, 5*time.Second, nil)
		record := old.Record()
		removed := record.Pools[0]
		removed.Service = "removed"
		record.Pools = append(record.Pools, removed)
		next := r.newHolder()
		next.Inherit(2, record)
		next.Step(t.Context(), 2, nil)
		if got := len(next.Record().Pools); got != 2 {
			t.Errorf("%d services recorded before the catalog is known, want 2", got)
		}
		next.Step(t.Context(), 2, r.service())
		if got := next.Record().Pools; len(got) != 1 || got[0].Service != "lm" {
			t.Errorf("recorded %+v", got)
		}
		if next.losses["removed"] != nil || next.corrections["removed"] != nil || next.states[key{"removed", "a", document.ClassReclaimable}] != nil {
			t.Error("a removed service is kept")
		}
	})
}

// Guards against a successor that forgets a refusal or an order of its predecessor: a zone
// without reclaimable engines was asked again, and orders under way were repeated.
func TestRecordHoldsOrdersAndRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(t, 60, 12)
		r.noMore = true
		old := r.newHolder()
		r.run(old, 1, 6*time.Second, nil)
		orders := 0
		next := New(Config{Logger: log.New(io.Discard), SetDesired: func(ctx context.Context, f uint64, s identifier.Service, z identifier.AvailabilityZone, c document.Class, n int) error {
			orders++
			return r.order(ctx, f, s, z, c, n)
		}})
		// The last step of the old holder sent what was due.
		old.Step(context.Background(), 1, r.service())
		next.Inherit(2, old.Record())
		next.Step(context.Background(), 2, r.service())
		if orders != 0 {
			t.Errorf("%d orders of a successor with nothing changed", orders)
		}
	})
}
