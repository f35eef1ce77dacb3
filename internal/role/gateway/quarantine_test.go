package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/quarantiner"
)

const (
	// contactTime is how long news may take through the fleet.
	contactTime = 3 * time.Second
	// allowedSends is how often a request may still be sent later than contactTime after
	// the third engine ended under it.
	allowedSends = 3
	fatalBody    = "a body that ends engines"
	// engineCount is the number of model engines.
	engineCount = 12
)

// fatalOnly is the body that ends engines.
func fatalOnly(body string) bool { return body == fatalBody }

// flow sends requests of others, each with a body of its own, and one that comes again and
// again at any daemon, for a time. It returns what came back of each.
func (f *testFleet) flow(d time.Duration, each, again time.Duration, bodies ...string) (others, repeated []reply) {
	var mu sync.Mutex
	var all sync.WaitGroup
	send := func(to *[]reply, body string) {
		daemon := f.random.IntN(len(f.daemons))
		all.Go(func() {
			r := f.ask(daemon, streamPath, body)
			mu.Lock()
			defer mu.Unlock()
			*to = append(*to, r)
		})
	}
	begun := time.Now()
	next := begun
	for n := 0; time.Since(begun) < d; n++ {
		send(&others, fmt.Sprintf("letter %d", n))
		if !time.Now().Before(next) {
			for _, body := range bodies {
				send(&repeated, body)
			}
			next = next.Add(again)
		}
		time.Sleep(each)
	}
	all.Wait()
	return others, repeated
}

// failed counts the replies that were not whole streams.
func failed(list []reply) (n int) {
	for _, r := range list {
		if !r.whole {
			n++
		}
	}
	return n
}

// One request ended each engine that began to run it, and with it the answers of all others
// there; its client got 502 and sent it again, to any daemon. No daemon knew anything of it
// when it came again, so each sent it to the next engine: what one request did was forgotten
// when it ended. In a fleet of eight daemons sixteen engines ended within seven seconds, and
// a quarter of all callers got no answer meanwhile.
//
//	"outcome":"unknown","status":502,"events":0,"tokens":3167,"attempts":"i-36a88e710a … after event 0: unexpected EOF"
//	"outcome":"unknown","status":502,"events":0,"tokens":3167,"attempts":"i-55e2c4bcc4 … after event 0: unexpected EOF"
//	"outcome":"unknown","status":502,"events":0,"tokens":3167,"attempts":"i-55e2c4bcc4 … connection refused; i-240147c3ab … after event 0: unexpected EOF"
func TestRequestThatEndsEnginesIsNotSentOn(t *testing.T) {
	for _, daemons := range []int{8, 60} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inEngineFleet(t, daemons, fatalOnly, func(f *testFleet, e *engines) {
				others, repeated := f.flow(20*time.Second, 50*time.Millisecond, 600*time.Millisecond, fatalBody)
				if n := e.sentAfter(fatalBody); n > allowedSends {
					t.Errorf("sent %d times later than %v after the third engine had ended; %d ended in all", n, contactTime, len(e.ended(fatalBody)))
				}
				t.Logf("%d ends, %d of %d others failed", len(e.ended(fatalBody)), failed(others), len(others))
				for _, r := range repeated {
					if r.status == http.StatusOK && r.whole {
						t.Errorf("a request that ends its engine was answered: %+v", r)
					}
				}
			})
		})
	}
}

// inEngineFleet runs a check among daemons before model engines, once all know each other.
func inEngineFleet(t *testing.T, daemons int, fatal func(string) bool, check func(f *testFleet, e *engines)) {
	t.Helper()
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wide
		e := f.startEngines(fatal)
		if daemons > smallFleet {
			daemons = fleetSize(daemons)
		}
		f.start(daemons)
		f.settle()
		check(f, e)
	})
}

// ignorant lists the daemons that would send a held request on.
func (f *testFleet) ignorant(body string, daemons []int) (out []string) {
	for _, i := range daemons {
		if r := f.ask(i, streamPath, body); r.status != http.StatusServiceUnavailable || r.after == "" {
			out = append(out, fmt.Sprintf("%s: %+v", f.daemons[i].c.Deployment.Host, r))
		}
	}
	return out
}

// endTwice sends a fatal body to two daemons, one after the other.
func (f *testFleet) endTwice(body string, first, second int) {
	f.ask(first, streamPath, body)
	f.ask(second, streamPath, body)
}

// Two daemons see one ending each: neither knows enough by itself. A second later all hold
// the request, whoever is asked, and so does a daemon that starts later. A daemon of the
// version before tells nothing of it, which clears nothing.
func TestEndingsOfAllDaemonsCountTogether(t *testing.T) {
	for _, daemons := range []int{8, 60} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inEngineFleet(t, daemons, fatalOnly, func(f *testFleet, e *engines) {
				f.endTwice(fatalBody, 0, len(f.daemons)-1)
				time.Sleep(time.Second)
				if list := f.ignorant(fatalBody, f.uncut()); len(list) > 0 {
					t.Errorf("%d daemons send it on: %v", len(list), list)
				}
				f.start(1)
				f.settle()
				last := len(f.daemons) - 1
				f.daemons[last].noted(&rpc.Note{Host: "of the version before"})
				if list := f.ignorant(fatalBody, []int{last}); len(list) > 0 {
					t.Errorf("the new daemon sends it on: %v", list)
				}
				if n := len(e.ended(fatalBody)); n != 2 {
					t.Errorf("%d engines ended", n)
				}
			})
		})
	}
}

// A daemon is cut off from the others when the request ends engines, and holds it by what it
// saw itself. When it is back it tells the others what it saw, and takes over what they saw.
func TestCutOffDaemonsShareEndingsWhenTheyAreBack(t *testing.T) {
	for _, daemons := range []int{8, 60} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inEngineFleet(t, daemons, fatalOnly, func(f *testFleet, e *engines) {
				const alone = 1
				f.daemons[alone].quarantine.RecordEnding("seen behind the cut", quarantiner.Ending{Endpoint: "i-x"})
				f.daemons[alone].quarantine.RecordEnding("seen behind the cut", quarantiner.Ending{Endpoint: "i-y"})
				f.networks[alone].cut.Store(true)
				time.Sleep(2 * time.Second)
				f.endTwice(fatalBody, 0, 2)
				time.Sleep(10 * time.Second)
				f.networks[alone].cut.Store(false)
				time.Sleep(10 * time.Second)
				if list := f.ignorant(fatalBody, f.uncut()); len(list) > 0 {
					t.Errorf("%d daemons send it on: %v", len(list), list)
				}
				for _, g := range f.daemons {
					if !g.quarantine.Admit("seen behind the cut", "").Held {
						t.Errorf("%s does not know what was seen behind the cut", g.c.Deployment.Host)
					}
				}
				if n := len(e.ended(fatalBody)); n != 2 {
					t.Errorf("%d engines ended", n)
				}
			})
		})
	}
}

// Three requests that end engines come at once, and other requests with them: most of those
// run at an engine when it ends, and some at two in a row. Those that may be resumed are
// served, and none of them is held.
func TestOthersAreNotBlamed(t *testing.T) {
	fatal := func(body string) bool { return strings.HasPrefix(body, fatalBody) }
	inEngineFleet(t, 8, fatal, func(f *testFleet, e *engines) {
		var all sync.WaitGroup
		var mu sync.Mutex
		lost := 0
		for n := range 600 {
			daemon, body := f.random.IntN(len(f.daemons)), fmt.Sprintf("draft %d", n)
			if n%20 == 0 {
				body = fmt.Sprint(fatalBody, n/20%3)
			}
			all.Go(func() {
				if r := f.ask(daemon, resumePath, body); !r.whole && !fatal(body) {
					t.Logf("%s: %+v", body, r)
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		all.Wait()
		if lost > 0 {
			t.Errorf("%d of 570 other requests were not served", lost)
		}
		for _, g := range f.daemons {
			if list, _ := g.held(); len(list) > 3 {
				t.Errorf("%s holds %d requests: %+v", g.c.Deployment.Host, len(list), list)
			}
		}
		for i := range 3 {
			body := fmt.Sprint(fatalBody, i)
			t.Logf("%s: %d ends", body, len(e.ended(body)))
			if n := e.sentAfter(body); n > allowedSends {
				t.Errorf("%s was sent %d times later than %v after the third ending", body, n, contactTime)
			}
		}
	})
}

// A popular request, the same for all who ask, runs at all engines when half of them end at
// once, for a reason of their own. It is served at once by the others.
func TestPopularRequestIsNotBlamedForAMassEnd(t *testing.T) {
	inEngineFleet(t, 8, func(string) bool { return false }, func(f *testFleet, e *engines) {
		const popular = "what is the rate today"
		var all sync.WaitGroup
		ask := func() {
			daemon := f.random.IntN(len(f.daemons))
			all.Go(func() { f.ask(daemon, streamPath, popular) })
		}
		for n := range 100 {
			ask()
			if n == 50 {
				e.endHalf()
			}
			time.Sleep(10 * time.Millisecond)
		}
		all.Wait()
		for i := range f.daemons {
			if r := f.ask(i, streamPath, popular); !r.whole {
				t.Errorf("daemon %d: %+v", i, r)
			}
		}
	})
}

// An operator knows that a request is sound, and lifts it at one daemon.
func TestLiftedRequestIsServedEverywhere(t *testing.T) {
	sound := false
	inEngineFleet(t, 8, func(body string) bool { return body == fatalBody && !sound }, func(f *testFleet, _ *engines) {
		f.endTwice(fatalBody, 0, 1)
		time.Sleep(time.Second)
		sound = true
		g := f.daemons[3]
		list := g.quarantine.List()
		if len(list) == 0 || !list[0].Held {
			t.Fatalf("held: %+v", list)
		}
		w := httptest.NewRecorder()
		g.metrics().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/quarantine/"+string(list[0].Fingerprint), nil))
		if w.Code != http.StatusNoContent {
			t.Errorf("status %d", w.Code)
		}
		time.Sleep(time.Second)
		for i := range f.daemons {
			if r := f.ask(i, streamPath, fatalBody); !r.whole {
				t.Errorf("daemon %d: %+v", i, r)
			}
		}
	})
}

// Impatient clients send the same request to all daemons at once, again and again, before
// anything of it is known. Those that wait at an engine when it comes to be held are
// withdrawn.
func TestBurstOfARequestThatEndsEngines(t *testing.T) {
	inEngineFleet(t, 8, fatalOnly, func(f *testFleet, e *engines) {
		_, repeated := f.flow(10*time.Second, 50*time.Millisecond, time.Second, slices.Repeat([]string{fatalBody}, 24)...)
		if n := e.sentAfter(fatalBody); n > allowedSends {
			t.Errorf("sent %d times later than %v after the third engine had ended", n, contactTime)
		}
		held := 0
		for _, r := range repeated {
			if r.status == http.StatusServiceUnavailable && r.after != "" {
				held++
			}
		}
		t.Logf("%d ends, %d sends, %d of %d arrivals refused", len(e.ended(fatalBody)), len(e.sends), held, len(repeated))
		if held < len(repeated)*3/4 {
			t.Errorf("%d of %d arrivals were refused", held, len(repeated))
		}
	})
}

// Engines start again under the ids that they had, at once, and end under the same request
// again: each life counts.
func TestEachLifeOfAnEngineCounts(t *testing.T) {
	inEngineFleet(t, 8, fatalOnly, func(f *testFleet, e *engines) {
		e.sameIDs = true
		_, _ = f.flow(20*time.Second, 50*time.Millisecond, 300*time.Millisecond, fatalBody)
		if n := len(e.ended(fatalBody)); n > 3 {
			t.Errorf("%d engines ended", n)
		}
	})
}
