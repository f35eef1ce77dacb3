package scheduler

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
)

var start = time.Unix(1_000_000, 0)

// testScheduler returns the scheduler of an endpoint that prefills 50 tokens in a millisecond.
func testScheduler() *Scheduler {
	return New(Config{Slots: 8, MemoryTokens: 1_000_000, TokensPerSecond: 50_000})
}

// request returns a request of 5,000 tokens, whose prefill takes 100 ms.
func request(id string) *Request {
	return &Request{
		ID: identifier.Request(id), Daemon: "daemon", Rank: 1, Organisation: "a", Weight: 1, Fingerprint: identifier.Fingerprint(id),
		PromptTokens: 5000, OutputTokens: 100,
		ObjectiveLeft: 800 * time.Millisecond, SilenceLeft: 3200 * time.Millisecond, TimeLeft: 6 * time.Second,
	}
}

// fill starts requests until the next one waits.
func fill(s *Scheduler, now time.Time) {
	for i := range 2 {
		r := request(fmt.Sprint("filler", i))
		r.Rank = 0
		r.Organisation = "filler"
		s.Reserve(r, now)
	}
}

// Guards against an order other than by rank, chance to be on time, due place, organisation and
// objective. Each request of the list goes before the next one.
func TestOrder(t *testing.T) {
	s := testScheduler()
	s.shares.add(&Request{Organisation: "greedy", Rank: 1}, 1000, start)
	ms := time.Millisecond
	make := func(id string, change func(e *entry)) *entry {
		e := s.entryOf(request(id), start)
		change(e)
		return e
	}
	late := func(e *entry) { e.objective = start }
	order := []*entry{
		make("urgent", func(e *entry) { e.request.Rank = 0 }),
		make("starved", func(e *entry) { e.starvesAt = start; late(e) }),
		make("due", func(e *entry) { e.due = true; e.objective = start.Add(2000 * ms) }),
		make("early objective", func(e *entry) { e.objective = start.Add(500 * ms) }),
		make("later objective", func(*entry) {}),
		make("greedy", func(e *entry) { e.request.Organisation = "greedy"; e.objective = start.Add(400 * ms) }),
		make("due and late", func(e *entry) { e.due = true; late(e) }),
		make("late", late),
		make("not urgent", func(e *entry) { e.request.Rank = 2; e.due = true }),
	}
	for i := range order {
		for j := range order {
			a, b := s.orderKeyOf(order[i], start), s.orderKeyOf(order[j], start)
			if got := compareOrderKeys(&a, &b); got < 0 != (i < j) || got > 0 != (i > j) {
				t.Errorf("%s against %s: %d", order[i].request.ID, order[j].request.ID, got)
			}
		}
	}
	// While the endpoint is scarce, those that can't be on time go behind all others.
	s.scarcity.scarce = true
	a, b := s.orderKeyOf(order[7], start), s.orderKeyOf(order[8], start)
	if compareOrderKeys(&a, &b) < 0 {
		t.Error("a late request goes before one that can be on time")
	}
}

// Guards against more at the endpoint than keeps it busy, and against an endpoint that idles while
// requests wait: they start one after the other as the prefill advances.
func TestEndpointIsKeptBusyWithLittle(t *testing.T) {
	s := testScheduler()
	waiting := []*Request{request("0"), request("1"), request("2"), request("3"), request("4")}
	now := start
	for len(waiting) > 0 {
		r := waiting[0]
		if o := s.Reserve(r, now); o.Decision == Start {
			waiting = waiting[1:]
			if unread := s.engine.pending(lowestRank); unread > 50_000*engineQueue.Seconds()+5000 {
				t.Fatalf("%.0f tokens at the endpoint", unread)
			}
			continue
		} else if o.Decision != Wait || o.AskAgain <= 0 || o.AskAgain > 100*time.Millisecond {
			t.Fatalf("%+v", o)
		}
		now = now.Add(s.Reserve(r, now).AskAgain)
		if s.engine.pending(lowestRank) == 0 {
			t.Fatal("the endpoint idles while a request waits")
		}
	}
	if elapsed := now.Sub(start); elapsed > 400*time.Millisecond {
		t.Errorf("five requests of 100 ms have started after %v", elapsed)
	}
}

// Guards against a reservation that counts twice, and against a request that is unknown when its
// daemon says that it was sent.
func TestReserveAndStartedAreIdempotent(t *testing.T) {
	s := testScheduler()
	r := request("a")
	for range 3 {
		if o := s.Reserve(r, start); o.Decision != Start || o.Cached != 0 {
			t.Fatalf("%+v", o)
		}
	}
	for range 3 {
		s.Started(request("b"), start)
	}
	if st := s.State(start); st.Started != 2 || st.Backlog != 200*time.Millisecond {
		t.Errorf("%+v", st)
	}
	if keys := s.Keys("daemon"); len(keys) != 2 {
		t.Errorf("%v", keys)
	}
	s.End(r.Key(), start)
	s.DropDaemon("daemon", start)
	if st := s.State(start); st.Started != 0 || st.Backlog != 0 || s.engine.memory != 0 {
		t.Errorf("%+v", st)
	}
}

// Guards against parts that count as cached when a request is sent instead of after its first event.
func TestPartsAreCachedAfterTheFirstEvent(t *testing.T) {
	s := testScheduler()
	shared := func(id string) *Request {
		r := request(id)
		r.Blocks, r.Sizes = []prefix.Block{1, 2}, []identifier.Tokens{1000, 4000}
		return r
	}
	s.Reserve(shared("a"), start)
	if o := s.Quote(shared("b"), start); o.Cached != 0 {
		t.Errorf("%d tokens cached before the first event", o.Cached)
	}
	s.FirstEvent(shared("a").Key(), start.Add(100*time.Millisecond))
	if o := s.Quote(shared("b"), start.Add(100*time.Millisecond)); o.Cached != 4000 {
		t.Errorf("%d tokens cached after the first event", o.Cached)
	}
}

// Guards against a waiting request that is kept although its daemon has gone.
func TestWaitingRequestIsDroppedUnlessAskedForAgain(t *testing.T) {
	s := testScheduler()
	fill(s, start)
	if o := s.Reserve(request("a"), start); o.Decision != Wait {
		t.Fatalf("%+v", o)
	}
	if n := s.State(start.Add(entryTTL)).Waiting; n != 1 {
		t.Errorf("%d wait", n)
	}
	if n := s.State(start.Add(entryTTL + 1)).Waiting; n != 0 {
		t.Errorf("%d wait", n)
	}
}

// scarce returns a scarce scheduler and a refused request, with the offer that it got.
func scarce(t *testing.T) (*Scheduler, *Request, Offer) {
	s := testScheduler()
	for i := range 12 {
		r := request(fmt.Sprint("filler", i))
		r.Rank = 0
		s.Started(r, start)
	}
	r := request("a")
	o := s.Reserve(r, start)
	if o.Decision != Refuse || !o.Scarce || o.RetryAfter <= 0 || o.Reason == "" {
		t.Fatalf("%+v", o)
	}
	return s, r, o
}

// Guards against a repetition that gains anything, and against a return at its place that counts as a
// newcomer.
func TestBookedPlace(t *testing.T) {
	s, r, o := scarce(t)
	at := start.Add(o.RetryAfter)
	for i, early := range []time.Duration{0, 5 * time.Millisecond, o.RetryAfter / 2} {
		again := *r
		again.ID = identifier.Request(fmt.Sprint("again", i))
		now := start.Add(early)
		if got := s.Reserve(&again, now); got.Decision != Refuse || !now.Add(got.RetryAfter).Equal(at) {
			t.Errorf("after %v: %+v, want the same place in %v", early, got, at.Sub(now))
		}
		if n := s.State(now).Booked; n != 1 {
			t.Errorf("%d booked", n)
		}
	}
	for _, test := range []struct {
		at   time.Duration
		want bool
	}{{-50 * time.Millisecond, false}, {0, true}, {lateTolerance, true}} {
		if got := s.entryOf(r, at.Add(test.at)).due; got != test.want {
			t.Errorf("%v after the place: due %v", test.at, got)
		}
	}
	s.advance(at.Add(lateTolerance + 1))
	if s.entryOf(r, at.Add(lateTolerance+1)).due || len(s.bookings.buckets) != 0 {
		t.Error("the booking has not expired")
	}
}

// Guards against less urgent requests that are called back before more urgent ones, and against less
// urgent ones that leave no early place to those.
func TestUrgentRequestsReturnFirst(t *testing.T) {
	last := time.Duration(0)
	b := newBookings()
	for rank := range 4 {
		r := request("a")
		r.Rank = rank
		k, _ := b.find(&entry{request: *r, uncached: 5000}, 0, 50_000, start)
		if d := k.at.Sub(start); d <= last || d > r.TimeLeft/3 {
			t.Errorf("rank %d: return in %v after %v", rank, d, last)
		}
		last = k.at.Sub(start)
	}
	for i := range 100 {
		r := request(fmt.Sprint(i))
		r.Rank = 2
		k, _ := b.find(&entry{request: *r, uncached: 5000}, 0, 50_000, start)
		b.add(r, k)
	}
	r := request("urgent")
	r.Rank = 0
	later := start.Add(500 * time.Millisecond) // when the first places of the others are the next ones
	if k, note := b.find(&entry{request: *r, uncached: 4000}, 0, 50_000, later); k.at.Sub(later) > 500*time.Millisecond {
		t.Errorf("return in %v, %s", k.at.Sub(later), note)
	}
}

// Guards against a request that is held although it can't be on time and nothing is left for it, and
// against the refusal of one that can.
func TestLateRequestIsRefusedAtOnceWhileScarce(t *testing.T) {
	s := testScheduler()
	for i := range 5 {
		s.Started(request(fmt.Sprint(i)), start)
	}
	late := request("late")
	late.ObjectiveLeft = 100 * time.Millisecond
	if o := s.Quote(late, start); o.Decision != Refuse || !o.Scarce {
		t.Errorf("%+v", o)
	}
	if o := s.Quote(request("in time"), start); o.Decision != Wait {
		t.Errorf("%+v", o)
	}
	s.scarcity.scarce, s.scarcity.present = false, 0
	if o := s.Quote(late, start); o.Decision != Wait {
		t.Errorf("not scarce: %+v", o)
	}
}

// Guards against a prediction as if it started now for a request that can't start because it is late.
func TestLateRequestIsPredictedToWait(t *testing.T) {
	s := testScheduler()
	ahead := request("ahead")
	ahead.PromptTokens = 1000
	s.Started(ahead, start)
	s.arrivalRate.add(0, 20_000, start)
	s.scarcity.scarce = true
	late := request("late")
	late.ObjectiveLeft = 10 * time.Millisecond
	if o := s.Quote(late, start); o.Decision == Start || o.StartIn <= 20*time.Millisecond {
		t.Errorf("%+v", o)
	}
}

// Guards against more returns in a quarter of a second than it has room for, places beyond a third of
// the remaining time, and bookings without bound.
func TestBookingsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBookings()
		now := start
		const speed = 50_000.0
		for i := range rapid.IntRange(1, 400).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			b.expire(now)
			r := request(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "request")))
			r.Rank = rapid.IntRange(0, 4).Draw(t, "rank")
			r.TimeLeft = time.Duration(rapid.IntRange(0, 90_000).Draw(t, "left")) * time.Millisecond
			e := &entry{request: *r, uncached: float64(rapid.IntRange(1, 30_000).Draw(t, "tokens"))}
			k, _ := b.find(e, float64(rapid.IntRange(0, 100_000).Draw(t, "backlog")), speed, now)
			known := b.byFingerprint[keyOf(r)] == k
			if !known && k.at.Sub(now) > r.TimeLeft/3+time.Millisecond {
				t.Fatalf("place in %v with %v left", k.at.Sub(now), r.TimeLeft)
			}
			b.add(r, k)
			sums := make(map[int64]float64)
			for _, k := range b.byFingerprint {
				for j, tokens := range k.parts {
					sums[k.first+int64(j)] += tokens
				}
			}
			for n, sum := range sums {
				if sum > 1.2*speed*bucketDuration.Seconds()+1 || sum-b.buckets[n] > 1 || b.buckets[n]-sum > 1 {
					t.Fatalf("bucket %d: %.0f tokens booked, %.0f counted", n, sum, b.buckets[n])
				}
			}
			if len(b.byFingerprint) > maxBookings || len(b.buckets) > len(sums) {
				t.Fatalf("%d bookings, %d buckets", len(b.byFingerprint), len(b.buckets))
			}
		}
	})
}

// Guards against a quote that changes anything or differs from what Reserve then says, against waits
// without end and refusals without need, and against state without bounds. Of two schedulers with the
// same calls, one is asked for quotes, too.
func TestRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, quoted := testScheduler(), testScheduler()
		now := start
		known := make(map[Key]*Request)
		for i := range rapid.IntRange(1, 150).Draw(t, "calls") {
			pause := time.Duration(rapid.IntRange(0, 80).Draw(t, "pause")) * time.Millisecond
			quoted.Quote(drawRequest(t, 1000), now.Add(pause/3))
			now = now.Add(pause)
			r := drawRequest(t, rapid.IntRange(0, i).Draw(t, "request"))
			known[r.Key()] = r
			call := rapid.IntRange(0, 9).Draw(t, "call")
			for _, s := range []*Scheduler{s, quoted} {
				switch call {
				case 0:
					s.Started(r, now)
				case 1, 2:
					s.FirstEvent(r.Key(), now)
				case 3:
					s.End(r.Key(), now)
				}
			}
			if call > 3 {
				q := quoted.Quote(r, now)
				idle := len(s.engine.runs) < s.c.Slots/2
				o, same := s.Reserve(r, now), quoted.Reserve(r, now)
				if !reflect.DeepEqual(o, same) || !reflect.DeepEqual(q, o) {
					t.Fatalf("quote %+v\nreserve %+v\nwithout a quote %+v", q, same, o)
				}
				if o.Decision == Refuse && idle && len(s.waiting) == 0 {
					t.Fatalf("refused with %d started and none waiting: %+v", len(s.engine.runs), o)
				}
				if o.Decision == Refuse && o.RetryAfter > r.TimeLeft/3+time.Millisecond && s.bookings.byFingerprint[keyOf(r)] == nil {
					t.Fatalf("return in %v with %v left", o.RetryAfter, r.TimeLeft)
				}
			}
			st := s.State(now)
			if same := quoted.State(now); st != same {
				t.Fatalf("%+v, without quotes %+v", same, st)
			}
			if st.Waiting > maxWaiting || st.Booked > maxBookings || st.Started > maxStarted {
				t.Fatalf("%+v", st)
			}
		}
		if len(s.waiting) != len(quoted.waiting) || s.engine.memory != quoted.engine.memory {
			t.Fatalf("%d and %d wait", len(s.waiting), len(quoted.waiting))
		}
	})
}

func drawRequest(t *rapid.T, n int) *Request {
	r := request(fmt.Sprint(n))
	r.Rank = n % 3
	r.Organisation = identifier.Organisation(fmt.Sprint(n % 4))
	r.PromptTokens = identifier.Tokens(rapid.IntRange(0, 30_000).Draw(t, "tokens"))
	ms := func(name string, lowest, highest int) time.Duration {
		return time.Duration(rapid.IntRange(lowest, highest).Draw(t, name)) * time.Millisecond
	}
	r.ObjectiveLeft, r.SilenceLeft, r.TimeLeft = ms("objective", -2000, 2000), ms("silence", 1, 8000), ms("left", 1, 15_000)
	return r
}

// Guards against more than 64 waiting requests, and against a newcomer that is turned away although
// less urgent ones wait.
func TestWaitingRequestsAreBounded(t *testing.T) {
	s := New(Config{Slots: 256, MemoryTokens: 10_000_000, TokensPerSecond: 50_000})
	fill(s, start)
	for i := range 2 * maxWaiting {
		r := request(fmt.Sprint(i))
		r.PromptTokens, r.Rank = 10, 2
		s.Reserve(r, start)
	}
	if n := len(s.waiting); n != maxWaiting {
		t.Errorf("%d wait", n)
	}
	urgent := request("urgent")
	if o := s.Reserve(urgent, start); o.Decision != Wait || len(s.waiting) != maxWaiting {
		t.Errorf("%+v, %d wait", o, len(s.waiting))
	}
}

// Guards against an entry that waits without end behind newcomers of an organisation that got less.
func TestNobodyStarves(t *testing.T) {
	s := testScheduler()
	fill(s, start)
	r := request("patient")
	r.Organisation, r.ObjectiveLeft = "greedy", 3*time.Second
	s.shares.add(r, 1e9, start)
	now := start
	for i := 0; ; i++ {
		if s.Reserve(r, now).Decision == Start {
			break
		}
		other := request(fmt.Sprint(i))
		other.PromptTokens = 2000 // takes twice the time until the next one
		s.Reserve(other, now)
		now = now.Add(20 * time.Millisecond)
		r.ObjectiveLeft, r.SilenceLeft, r.TimeLeft = r.ObjectiveLeft-20*time.Millisecond, r.SilenceLeft-20*time.Millisecond, r.TimeLeft-20*time.Millisecond
		if now.Sub(start) > 2*time.Second {
			t.Fatal("still waits after more than half of its client's timeout")
		}
		for _, k := range s.Keys("daemon") {
			if run := s.engine.runs[k]; run.remaining == 0 {
				s.FirstEvent(k, now)
				s.End(k, now)
			}
		}
	}
}

// Guards against a state of scarcity without a reason, or that changes with each request.
func TestScarcityHasHysteresis(t *testing.T) {
	s, _, _ := scarce(t)
	if st := s.State(start); !st.Scarce || st.Reason == "" {
		t.Fatalf("%+v", st)
	}
	for _, k := range s.Keys("daemon") {
		s.End(k, start)
	}
	if st := s.State(start.Add(calmTime / 2)); !st.Scarce {
		t.Errorf("%+v", st)
	}
	s.State(start.Add(calmTime))
	if st := s.State(start.Add(2 * calmTime)); st.Scarce || st.Reason != "" {
		t.Errorf("%+v", st)
	}
}

// Guards against a scarcity that sustains itself: by the slots that it withholds from a waiting request,
// or by a request that waits for the memory that is left to cached parts or for more than there is.
func TestWithheldRoomIsNoScarcity(t *testing.T) {
	for _, test := range []struct {
		name            string
		started         int
		tokens          identifier.Tokens
		scarce, blocked bool
	}{
		{"slot withheld", 31, 10, true, false},
		{"memory left to cached parts", 1, 900_000, false, false},
		{"larger than the memory", 1, 2_000_000, false, false},
		{"all slots taken", 32, 10, false, true},
		{"memory taken", 1, 999_800, false, true},
	} {
		s := New(Config{Slots: 32, MemoryTokens: 1_000_000, TokensPerSecond: 50_000})
		for i := range test.started {
			r := request(fmt.Sprint("started", i))
			r.PromptTokens = 10
			s.Started(r, start)
			s.FirstEvent(r.Key(), start)
		}
		s.scarcity.scarce = test.scarce
		r := request("waiting")
		r.Rank, r.PromptTokens = 2, test.tokens
		s.enter(s.entryOf(r, start), start)
		if got := s.blocked() != ""; got != test.blocked {
			t.Errorf("%s: blocked %v: %s", test.name, got, s.blocked())
		}
	}
}

// Guards against more started requests than are tracked, if an endpoint states that many slots.
func TestStartedRequestsAreBounded(t *testing.T) {
	s := New(Config{Slots: 2 * maxStarted, TokensPerSecond: 50_000})
	for i := range maxStarted {
		r := request(fmt.Sprint(i))
		s.Started(r, start)
		s.FirstEvent(r.Key(), start)
	}
	if o := s.Reserve(request("next"), start); o.Decision == Start || len(s.engine.runs) != maxStarted {
		t.Errorf("%+v with %d started", o, len(s.engine.runs))
	}
}

// Guards against a speed that follows an idle endpoint, or a single measurement.
func TestSpeedIsLearnedInSteps(t *testing.T) {
	s := newSpeed(50_000)
	now := start
	for range 20 { // idle between requests
		now = now.Add(time.Second)
		s.firstEvent(1000, false, now)
	}
	if s.tokensPerSecond != 50_000 {
		t.Errorf("%.0f tokens/s learned while idle", s.tokensPerSecond)
	}
	last := s.tokensPerSecond
	for range 200 { // 30,000 tokens/s while busy
		now = now.Add(100 * time.Millisecond)
		s.firstEvent(3000, true, now)
		if last/s.tokensPerSecond > maxSpeedStep {
			t.Fatalf("from %.0f to %.0f tokens/s at once", last, s.tokensPerSecond)
		}
		last = s.tokensPerSecond
	}
	if last < 29_000 || last > 31_000 {
		t.Errorf("%.0f tokens/s learned of 30,000", last)
	}
	for range 1000 { // an endpoint that hardly answers
		now = now.Add(time.Second)
		s.firstEvent(10, true, now)
	}
	if s.tokensPerSecond < 50_000/speedRange-1 {
		t.Errorf("%.0f tokens/s", s.tokensPerSecond)
	}
}

func benchmarkScheduler() *Scheduler {
	s := New(Config{Slots: 64, MemoryTokens: 613_752, TokensPerSecond: 62_000})
	for i := range 4 {
		s.Started(request(fmt.Sprint("started", i)), start)
	}
	for i := range maxWaiting {
		r := request(fmt.Sprint(i))
		r.ObjectiveLeft = time.Hour
		r.SilenceLeft, r.TimeLeft = time.Hour, time.Hour
		r.Organisation = identifier.Organisation(fmt.Sprint(i % 9))
		s.Reserve(r, start)
	}
	return s
}

func BenchmarkQuote(b *testing.B) {
	s, r := benchmarkScheduler(), request("new")
	b.ReportAllocs()
	for b.Loop() {
		s.Quote(r, start)
	}
}

func BenchmarkReserve(b *testing.B) {
	s, r := benchmarkScheduler(), request("0")
	r.ObjectiveLeft, r.SilenceLeft, r.TimeLeft = time.Hour, time.Hour, time.Hour
	b.ReportAllocs()
	for b.Loop() {
		s.Reserve(r, start)
	}
}
