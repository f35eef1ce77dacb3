package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
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
			inBubble(t, func(t *testing.T) {
				f := newTestFleet(t)
				defer f.end()
				f.rate = wide
				e := f.startEngines(engineCount, fatalOnly)
				f.start(fleetSize(daemons))
				f.settle()
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
