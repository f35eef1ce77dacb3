package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"brasschute/internal/fault/injector"
	"brasschute/internal/standin/plain"
	"brasschute/internal/standin/platform"

	"pgregory.net/rapid"
)

// newTwoZoneFleet starts a plain service and an entry daemon in each of two zones, with a
// configuration in force.
func newTwoZoneFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addPlainService(1)
	f.addPlainService(2)
	f.addEntry(1)
	f.addEntry(2)
	f.entries[0].mustApply(configuration(), 0)
	f.awaitReady()
	return f
}

// confirmPath is a path of a service that requires an idempotency key.
const confirmPath = "/services/confirm/rollover"

// confirm sends a request with an idempotency key to confirmPath.
func (d *daemon) confirm(key, body string) *reply {
	return d.do(http.MethodPost, confirmPath, body, "Idempotency-Key", key)
}

// TestOnceSameKeyAtTwoDaemons sends the same idempotency key through two daemons at once, as from
// two devices of one user. The request must run once; the other caller gets the stored answer or
// is told that the request is under way. Without the claim, both would run.
func TestOnceSameKeyAtTwoDaemons(t *testing.T) {
	f := newTwoZoneFleet(t)
	for i := range 20 {
		key := fmt.Sprintf("key-%d", i)
		var replies [2]*reply
		var group sync.WaitGroup
		for n, d := range f.entries {
			group.Go(func() { replies[n] = d.confirm(key, "bond 7") })
		}
		group.Wait()
		if n := executionCount(key, f.plainServices...); n != 1 {
			t.Fatalf("%s ran %d times: %+v %+v", key, n, replies[0], replies[1])
		}
		for _, r := range replies {
			if r.status != http.StatusOK && (r.status != http.StatusConflict || r.outcome() != "unknown") {
				t.Fatalf("%s: %d %s", key, r.status, r.body)
			}
		}
	}
}

// TestOnceRepeatGetsTheStoredAnswer repeats a request, whose answer the caller did not see, with
// the same key at another daemon. The caller must get the first answer again. Another body with
// the same key must be refused as not run.
func TestOnceRepeatGetsTheStoredAnswer(t *testing.T) {
	f := newTwoZoneFleet(t)
	first := f.entries[0].confirm("k", "bond 7")
	if first.status != http.StatusOK {
		t.Fatalf("%d %s", first.status, first.body)
	}
	eventually(t, "replay", func() error {
		again := f.entries[1].confirm("k", "bond 7")
		if again.header.Get("Idempotent-Replayed") != "true" {
			return fmt.Errorf("%d %s", again.status, again.body)
		}
		return checkEqual("answer", again.body, first.body)
	})
	other := f.entries[1].confirm("k", "bond 8")
	if other.status != http.StatusUnprocessableEntity || other.outcome() != "not-run" {
		t.Fatalf("another body: %d %s", other.status, other.body)
	}
	if n := executionCount("k", f.plainServices...); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestOnceDaemonDiesAfterSending kills a daemon between sending a request and its answer. The
// caller repeats the request at another daemon, which cannot know whether it ran: it must say so
// and not run it again.
func TestOnceDaemonDiesAfterSending(t *testing.T) {
	f := newTwoZoneFleet(t)
	for _, p := range f.plainServices {
		p.setHold(true)
	}
	first := background(func() *reply { return f.entries[0].confirm("k", "bond 7") })
	eventually(t, "sent", func() error { return checkEqual("executions", executionCount("k", f.plainServices...), 1) })
	f.entries[0].kill()
	first()
	for _, p := range f.plainServices {
		p.setHold(false)
	}
	r := f.entries[1].confirm("k", "bond 7")
	if r.status != http.StatusConflict || r.outcome() != "unknown" || r.header.Get("Retry-After") == "" {
		t.Fatalf("%d %s", r.status, r.body)
	}
	if n := executionCount("k", f.plainServices...); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestOncePlatformOutage sends requests with a key while the platform is down and the key cannot
// be claimed. They must be refused as not run, at once, with a Retry-After, unless the endpoints
// deduplicate keys themselves. After the outage the same key must run once.
func TestOncePlatformOutage(t *testing.T) {
	f := newTwoZoneFleet(t)
	f.setFaults(platform.Faults{Outage: true})
	d := f.entries[0]
	r := d.confirm("k", "bond 7")
	if r.status != http.StatusServiceUnavailable || r.outcome() != "not-run" || r.header.Get("Retry-After") == "" {
		t.Fatalf("%d %s", r.status, r.body)
	}
	if r := d.do(http.MethodPost, "/services/dedup/x", "", "Idempotency-Key", "d"); r.status != http.StatusOK {
		t.Fatalf("deduplicating service: %d %s", r.status, r.body)
	}
	if n := executionCount("k", f.plainServices...); n != 0 {
		t.Fatalf("ran %d times though refused as not run", n)
	}
	f.setFaults(platform.Faults{})
	if r := d.confirm("k", "bond 7"); r.status != http.StatusOK {
		t.Fatalf("after the outage: %d %s", r.status, r.body)
	}
	if n := executionCount("k", f.plainServices...); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestOnceLostAnswerOfTheClaim loses the platform's answer after it has stored a claim. The
// daemon must read the claim back and find that it is its own. If it took it for another
// daemon's, a request that no daemon runs would be refused for ever.
func TestOnceLostAnswerOfTheClaim(t *testing.T) {
	f := newTwoZoneFleet(t)
	f.setFaults(platform.Faults{LoseAnswers: 1})
	r := f.entries[0].confirm("k", "bond 7")
	if r.status != http.StatusOK {
		t.Fatalf("%d %s", r.status, r.body)
	}
	if n := executionCount("k", f.plainServices...); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestOnceClaimIsWithdrawnAfterGivingUp loses the platform's answer after it has stored a claim,
// and then takes the platform down. The daemon gives up and answers "not run" although the claim
// is stored. Once the platform is back it must withdraw the claim, or the caller's repeat is
// refused as under way.
func TestOnceClaimIsWithdrawnAfterGivingUp(t *testing.T) {
	f := newTwoZoneFleet(t)
	f.setFaults(platform.Faults{LoseAnswers: 1, FailAfterLost: true})
	r := f.entries[0].confirm("k", "bond 7")
	if r.status != http.StatusServiceUnavailable || r.outcome() != "not-run" {
		t.Fatalf("%d %s", r.status, r.body)
	}
	f.setFaults(platform.Faults{})
	eventually(t, "repeat", func() error {
		return checkEqual("status", f.entries[1].confirm("k", "bond 7").status, http.StatusOK)
	})
	if n := executionCount("k", f.plainServices...); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestOnceEndpointFails sends non-idempotent requests without a key to a failing endpoint. If a
// request cannot have been sent, it may go to another endpoint or is "not-run". If it may have
// been sent, it must not be repeated, and the outcome is "unknown".
func TestOnceEndpointFails(t *testing.T) {
	cases := []struct {
		name   string
		fault  injector.Fault
		plain  plain.Behaviour
		status int
		// outcome is what the caller must be told. alternative is also right where it depends on
		// the moment of the cut.
		outcome     string
		alternative string
		runs        int
	}{
		{"healthy", injector.Fault{}, plain.Behaviour{}, 200, "", "", 1},
		// The reset may come before or after the kernel has accepted the first byte.
		{"cut as the connection is made", injector.Fault{Cut: true}, plain.Behaviour{}, 502, "unknown", "not-run", 0},
		{"answer lost", injector.Fault{LoseAnswers: true}, plain.Behaviour{}, 502, "unknown", "unknown", 1},
		{"answer truncated", injector.Fault{DropAfter: 120}, plain.Behaviour{}, 502, "unknown", "unknown", 1},
		{"refused by the endpoint", injector.Fault{}, plain.Behaviour{Refuse: true}, 503, "not-run", "not-run", 0},
		{"failed after it ran", injector.Fault{}, plain.Behaviour{Fail: true}, 500, "", "", 1},
	}
	f := newFleet(t)
	f.addPlainService(1)
	d := f.addEntry(1)
	d.mustApply(configuration(), 0)
	f.awaitReady()
	p := f.plainServices[0]
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p.proxy.Set(injector.All, c.fault)
			p.setBehaviour(c.plain)
			id := fmt.Sprintf("booking-%d", i)
			r := d.do(http.MethodPost, "/services/booking/shift", "", "Request-Id", id)
			if got := r.outcome(); got != c.outcome && got != c.alternative || got == c.outcome && r.status != c.status {
				t.Errorf("got %d %s, want %d %s", r.status, r.body, c.status, c.outcome)
			}
			p.proxy.Set(injector.All, injector.Fault{})
			if n := executionCount(id, p); n != c.runs {
				t.Errorf("ran %d times, want %d", n, c.runs)
			}
			p.setBehaviour(plain.Behaviour{})
			eventually(t, "healthy again", func() error {
				return checkEqual("status", d.do(http.MethodGet, "/services/ledger/x", "").status, http.StatusOK)
			})
		})
	}
}

// TestOnceEndpointDown sends non-idempotent requests while the process of one endpoint is gone.
// As its host refuses connections, nothing can have been sent: the request must run at a second
// endpoint, or be "not-run" if there is none.
func TestOnceEndpointDown(t *testing.T) {
	f := newFleet(t)
	f.addPlainService(1)
	f.addPlainService(1)
	d := f.addEntry(1)
	d.mustApply(configuration(), 0)
	f.awaitReady()
	f.plainServices[0].proxy.Close()
	for i := range 6 {
		id := fmt.Sprintf("booking-%d", i)
		if r := d.do(http.MethodPost, "/services/booking/shift", "", "Request-Id", id); r.status != http.StatusOK {
			t.Fatalf("%d %s", r.status, r.body)
		}
		if n := executionCount(id, f.plainServices...); n != 1 {
			t.Fatalf("ran %d times", n)
		}
	}
	f.plainServices[1].proxy.Close()
	r := d.do(http.MethodPost, "/services/booking/shift", "")
	if r.outcome() != "not-run" || r.header.Get("Retry-After") == "" {
		t.Fatalf("%d %s", r.status, r.body)
	}
}

// TestOnceUnderRandomFaults sends the same key to two daemons in turn or at once, under random
// faults of platform and endpoints. No key may run more than once; a key must not have run if all
// its callers were told "not-run", and must have run if one of them was answered.
func TestOnceUnderRandomFaults(t *testing.T) {
	f := newTwoZoneFleet(t)
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		n++
		key := fmt.Sprintf("random-%d", n)
		var replies []*reply
		for range rapid.IntRange(1, 4).Draw(rt, "steps") {
			f.drawFaults(rt)
			first := rapid.IntRange(0, 1).Draw(rt, "daemon")
			second := background(func() *reply { return nil })
			if rapid.Bool().Draw(rt, "both at once") {
				second = background(func() *reply { return f.entries[1-first].confirm(key, "bond") })
			}
			replies = append(replies, f.entries[first].confirm(key, "bond"))
			if r := second(); r != nil {
				replies = append(replies, r)
			}
		}
		f.clearFaults()
		ran := executionCount(key, f.plainServices...)
		checkReplies(rt, key, ran, replies)
	})
}

// drawFaults sets random faults at the platform and at each plain service.
func (f *fleet) drawFaults(rt *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(rt, "platform") {
	case 0:
		f.setFaults(platform.Faults{Outage: true})
	case 1:
		f.setFaults(platform.Faults{LoseAnswers: rapid.IntRange(1, 3).Draw(rt, "lost")})
	default:
		f.setFaults(platform.Faults{})
	}
	faults := []injector.Fault{{}, {}, {Cut: true}, {LoseAnswers: true}, {DropAfter: 100}}
	for _, p := range f.plainServices {
		p.proxy.Set(injector.All, rapid.SampledFrom(faults).Draw(rt, p.name))
		p.setBehaviour(plain.Behaviour{Refuse: rapid.IntRange(0, 3).Draw(rt, "refuse") == 0})
	}
}

// clearFaults removes the faults of the platform and of the plain services.
func (f *fleet) clearFaults() {
	f.setFaults(platform.Faults{})
	for _, p := range f.plainServices {
		p.proxy.Set(injector.All, injector.Fault{})
		p.setBehaviour(plain.Behaviour{})
	}
}

// checkReplies compares how often a key ran with what its callers were told.
func checkReplies(rt *rapid.T, key string, ran int, replies []*reply) {
	if ran > 1 {
		rt.Fatalf("%s ran %d times", key, ran)
	}
	allNotRun, answered := true, false
	for _, r := range replies {
		if r.err != nil {
			rt.Fatalf("%s: %v", key, r.err)
		}
		allNotRun = allNotRun && r.outcome() == "not-run"
		answered = answered || r.status == http.StatusOK
	}
	if allNotRun && ran != 0 {
		rt.Fatalf("%s ran, though all callers were told not-run", key)
	}
	if answered && ran != 1 {
		rt.Fatalf("%s was answered and ran %d times", key, ran)
	}
}
