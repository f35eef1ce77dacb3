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
	// propagationTime is how long an update may take to reach the whole fleet.
	propagationTime = 3 * time.Second
	// allowedSends is how often a request may still be sent later than propagationTime after
	// the third engine ended under it.
	allowedSends = 3
	fatalBody    = "a body that ends engines"
	engineCount  = 12
)

// isFatal reports whether a body is the one that ends engines.
func isFatal(body string) bool { return body == fatalBody }

// sendMixed sends, for a time d, distinct requests every interval and the given bodies every
// repeatInterval, all to random daemons. It returns the replies to both kinds.
func (f *testFleet) sendMixed(d time.Duration, interval, repeatInterval time.Duration, bodies ...string) (others, repeated []clientReply) {
	var mu sync.Mutex
	var group sync.WaitGroup
	send := func(to *[]clientReply, body string) {
		daemon := f.random.IntN(len(f.daemons))
		group.Go(func() {
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
			next = next.Add(repeatInterval)
		}
		time.Sleep(interval)
	}
	group.Wait()
	return others, repeated
}

// countFailed counts the replies that are not complete streams.
func countFailed(list []clientReply) (n int) {
	for _, r := range list {
		if !r.complete {
			n++
		}
	}
	return n
}

// A request ends each engine that begins to run it, and with it the answers of all other
// requests there. Its client gets 502 and sends it again, to any daemon. If what one request did
// is forgotten when it ends, each daemon sends it to the next engine: in a fleet of eight
// daemons sixteen engines ended within seven seconds, and a quarter of all callers got no answer
// meanwhile. The daemons logged:
//
//	"outcome":"unknown","status":502,"events":0,"tokens":3167,"attempts":"i-36a88e710a … after event 0: unexpected EOF"
//	"outcome":"unknown","status":502,"events":0,"tokens":3167,"attempts":"i-55e2c4bcc4 … after event 0: unexpected EOF"
//	"outcome":"unknown","status":502,"events":0,"tokens":3167,"attempts":"i-55e2c4bcc4 … connection refused; i-240147c3ab … after event 0: unexpected EOF"
func TestRequestThatEndsEnginesIsNotSentOn(t *testing.T) {
	for _, daemons := range []int{8, 60} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inEngineFleet(t, daemons, isFatal, func(f *testFleet, e *engineFleet) {
				others, repeated := f.sendMixed(20*time.Second, 50*time.Millisecond, 600*time.Millisecond, fatalBody)
				if n := e.sentAfter(fatalBody); n > allowedSends {
					t.Errorf("sent %d times later than %v after the third engine had ended; %d ended in all", n, propagationTime, len(e.exitsUnder(fatalBody)))
				}
				t.Logf("%d ends, %d of %d others failed", len(e.exitsUnder(fatalBody)), countFailed(others), len(others))
				for _, r := range repeated {
					if r.status == http.StatusOK && r.complete {
						t.Errorf("a request that ends its engine was answered: %+v", r)
					}
				}
			})
		})
	}
}

// inEngineFleet runs a check among daemons in front of model engines, once all daemons know
// each other.
func inEngineFleet(t *testing.T, daemons int, fatal func(string) bool, check func(f *testFleet, e *engineFleet)) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wideLink
		e := f.startEngines(fatal)
		if daemons > smallFleetSize {
			daemons = scaledFleetSize(daemons)
		}
		f.start(daemons)
		f.settle()
		check(f, e)
	})
}

// forwarding lists the daemons that would forward a request in quarantine.
func (f *testFleet) forwarding(body string, daemons []int) (out []string) {
	for _, i := range daemons {
		if r := f.ask(i, streamPath, body); r.status != http.StatusServiceUnavailable || r.retryAfter == "" {
			out = append(out, fmt.Sprintf("%s: %+v", f.daemons[i].c.Deployment.Host, r))
		}
	}
	return out
}

// sendFatalTwice sends a fatal body to two daemons, one after the other.
func (f *testFleet) sendFatalTwice(body string, first, second int) {
	f.ask(first, streamPath, body)
	f.ask(second, streamPath, body)
}

// Two daemons see one ending each, and neither has enough evidence alone. A second later all
// daemons must hold the request, and so must a daemon that starts later. A daemon of the
// previous version reports no endings, which must not release the request.
func TestEndingsOfAllDaemonsCountTogether(t *testing.T) {
	for _, daemons := range []int{8, 60} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inEngineFleet(t, daemons, isFatal, func(f *testFleet, e *engineFleet) {
				f.sendFatalTwice(fatalBody, 0, len(f.daemons)-1)
				time.Sleep(time.Second)
				if list := f.forwarding(fatalBody, f.connected()); len(list) > 0 {
					t.Errorf("%d daemons forward it: %v", len(list), list)
				}
				f.start(1)
				f.settle()
				last := len(f.daemons) - 1
				f.daemons[last].mergeNote(&rpc.Note{Host: "of the version before"})
				if list := f.forwarding(fatalBody, []int{last}); len(list) > 0 {
					t.Errorf("the new daemon forwards it: %v", list)
				}
				if n := len(e.exitsUnder(fatalBody)); n != 2 {
					t.Errorf("%d engines ended", n)
				}
			})
		})
	}
}

// A daemon that is isolated when a request ends engines holds the requests that it saw end
// engines itself. When the isolation ends, both sides must learn what the other saw.
func TestCutOffDaemonsShareEndingsWhenTheyAreBack(t *testing.T) {
	for _, daemons := range []int{8, 60} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			inEngineFleet(t, daemons, isFatal, func(f *testFleet, e *engineFleet) {
				const isolated = 1
				f.daemons[isolated].quarantine.RecordEnding("seen behind the cut", quarantiner.Ending{Endpoint: "i-x"})
				f.daemons[isolated].quarantine.RecordEnding("seen behind the cut", quarantiner.Ending{Endpoint: "i-y"})
				f.networks[isolated].isolated.Store(true)
				time.Sleep(2 * time.Second)
				f.sendFatalTwice(fatalBody, 0, 2)
				time.Sleep(10 * time.Second)
				f.networks[isolated].isolated.Store(false)
				time.Sleep(10 * time.Second)
				if list := f.forwarding(fatalBody, f.connected()); len(list) > 0 {
					t.Errorf("%d daemons forward it: %v", len(list), list)
				}
				for _, g := range f.daemons {
					if !g.quarantine.Admit("seen behind the cut", "").Held {
						t.Errorf("%s does not know what the isolated daemon saw", g.c.Deployment.Host)
					}
				}
				if n := len(e.exitsUnder(fatalBody)); n != 2 {
					t.Errorf("%d engines ended", n)
				}
			})
		})
	}
}

// Three requests that end engines come at once with other requests, most of which run at an
// engine when it ends, some at two in a row. The resumable ones must be served, and none of
// them may be put into quarantine.
func TestOthersAreNotBlamed(t *testing.T) {
	fatal := func(body string) bool { return strings.HasPrefix(body, fatalBody) }
	inEngineFleet(t, 8, fatal, func(f *testFleet, e *engineFleet) {
		var group sync.WaitGroup
		var mu sync.Mutex
		lost := 0
		for n := range 600 {
			daemon, body := f.random.IntN(len(f.daemons)), fmt.Sprintf("draft %d", n)
			if n%20 == 0 {
				body = fmt.Sprint(fatalBody, n/20%3)
			}
			group.Go(func() {
				if r := f.ask(daemon, resumePath, body); !r.complete && !fatal(body) {
					t.Logf("%s: %+v", body, r)
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		group.Wait()
		if lost > 0 {
			t.Errorf("%d of 570 other requests were not served", lost)
		}
		for _, g := range f.daemons {
			if list, _ := g.heldRequests(); len(list) > 3 {
				t.Errorf("%s holds %d requests: %+v", g.c.Deployment.Host, len(list), list)
			}
		}
		for i := range 3 {
			body := fmt.Sprint(fatalBody, i)
			t.Logf("%s: %d ends", body, len(e.exitsUnder(body)))
			if n := e.sentAfter(body); n > allowedSends {
				t.Errorf("%s was sent %d times later than %v after the third ending", body, n, propagationTime)
			}
		}
	})
}

// A popular request, identical for all clients, runs at all engines when half of them end at
// once for another reason. The other engines must serve it at once.
func TestPopularRequestIsNotBlamedForAMassEnd(t *testing.T) {
	inEngineFleet(t, 8, func(string) bool { return false }, func(f *testFleet, e *engineFleet) {
		const popular = "what is the rate today"
		var all sync.WaitGroup
		ask := func() {
			daemon := f.random.IntN(len(f.daemons))
			all.Go(func() { f.ask(daemon, streamPath, popular) })
		}
		for n := range 100 {
			ask()
			if n == 50 {
				e.exitHalf()
			}
			time.Sleep(10 * time.Millisecond)
		}
		all.Wait()
		for i := range f.daemons {
			if r := f.ask(i, streamPath, popular); !r.complete {
				t.Errorf("daemon %d: %+v", i, r)
			}
		}
	})
}

// An operator knows that a request is harmless and releases it at one daemon. All daemons must
// serve it again.
func TestLiftedRequestIsServedEverywhere(t *testing.T) {
	sound := false
	inEngineFleet(t, 8, func(body string) bool { return body == fatalBody && !sound }, func(f *testFleet, _ *engineFleet) {
		f.sendFatalTwice(fatalBody, 0, 1)
		time.Sleep(time.Second)
		sound = true
		g := f.daemons[3]
		list := g.quarantine.List()
		if len(list) == 0 || !list[0].Held {
			t.Fatalf("held: %+v", list)
		}
		w := httptest.NewRecorder()
		g.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/quarantine/"+string(list[0].Fingerprint), nil))
		if w.Code != http.StatusNoContent {
			t.Errorf("status %d", w.Code)
		}
		time.Sleep(time.Second)
		for i := range f.daemons {
			if r := f.ask(i, streamPath, fatalBody); !r.complete {
				t.Errorf("daemon %d: %+v", i, r)
			}
		}
	})
}

// Impatient clients send the same request to all daemons at once, again and again, before
// anything is known about it. Copies waiting at an engine when the request is put into
// quarantine must be withdrawn.
func TestBurstOfARequestThatEndsEngines(t *testing.T) {
	inEngineFleet(t, 8, isFatal, func(f *testFleet, e *engineFleet) {
		_, repeated := f.sendMixed(10*time.Second, 50*time.Millisecond, time.Second, slices.Repeat([]string{fatalBody}, 24)...)
		if n := e.sentAfter(fatalBody); n > allowedSends {
			t.Errorf("sent %d times later than %v after the third engine had ended", n, propagationTime)
		}
		held := 0
		for _, r := range repeated {
			if r.status == http.StatusServiceUnavailable && r.retryAfter != "" {
				held++
			}
		}
		t.Logf("%d ends, %d sends, %d of %d arrivals refused", len(e.exitsUnder(fatalBody)), len(e.sends), held, len(repeated))
		if held < len(repeated)*3/4 {
			t.Errorf("%d of %d arrivals were refused", held, len(repeated))
		}
	})
}

// Engines restart at once under their previous ids and end under the same request again. Each
// incarnation must count as an engine of its own.
func TestEachLifeOfAnEngineCounts(t *testing.T) {
	inEngineFleet(t, 8, isFatal, func(f *testFleet, e *engineFleet) {
		e.sameIDs = true
		_, _ = f.sendMixed(20*time.Second, 50*time.Millisecond, 300*time.Millisecond, fatalBody)
		if n := len(e.exitsUnder(fatalBody)); n > 3 {
			t.Errorf("%d engines ended", n)
		}
	})
}
