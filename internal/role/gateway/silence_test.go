package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"brasschute/internal/config/deployment"
	"brasschute/internal/standin/hosting"
)

const (
	// batchCapacity is the number of requests a second that eight engines complete while more arrive
	// than they can serve.
	batchCapacity = 36.0
	// warmUp is how long a load runs before its outcomes count, so that the engines have the shared
	// prompt parts cached.
	warmUp = 3 * time.Second
)

// inResumableFleet runs a check like inBatchFleet, with streams that may be resumed. Their attempts
// may be given up for silence.
func inResumableFleet(t *testing.T, daemons, engines int, check func(m *batchFleet)) {
	t.Helper()
	inBatchFleet(t, daemons, engines, func(m *batchFleet) {
		m.configure(true)
		time.Sleep(applyTime)
		check(m)
	})
}

// received returns the number of requests that the engines have received.
func (m *batchFleet) received() (n int) {
	for _, e := range m.engines {
		n += e.Received()
	}
	return n
}

// count returns the sum of a counter over all daemons and tags.
func (m *batchFleet) count(name string) (sum int) {
	m.f.t.Helper()
	for _, g := range m.f.daemons {
		w := httptest.NewRecorder()
		g.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for lines := bufio.NewScanner(w.Body); lines.Scan(); {
			series, value, _ := strings.Cut(lines.Text(), " ")
			if !strings.HasPrefix(series, "brasschute_"+name+"{") {
				continue
			}
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				m.f.t.Error(err)
			}
			sum += int(n)
		}
	}
	return sum
}

// statusesOf counts the statuses of the attempts of all clients.
func statusesOf(list []outcome) map[int]int {
	out := make(map[int]int)
	for i := range list {
		for _, status := range list[i].statuses {
			out[status]++
		}
	}
	return out
}

// Demand is one and a half times what the engines can serve for ten seconds, then 0.8 times. Guards
// against daemons that take the wait in the engines' queues for silence: they cancel attempts, throw
// their prefill away, send them again, and answer 502 if they cannot.
func TestOverloadGivesUpNoAttempt(t *testing.T) {
	inResumableFleet(t, 4, 8, func(m *batchFleet) {
		m.load(batchCapacity*0.8, warmUp)
		begun := time.Now()
		m.load(batchCapacity*1.5, 10*time.Second)
		over := time.Now()
		m.load(batchCapacity*0.8, 20*time.Second)
		during, after := m.between(begun, over), m.between(over, time.Now())
		m.logOutcomes("overload", during)
		for i := range 10 {
			m.logOutcomes(fmt.Sprintf("from %d s", 2*i), m.between(over.Add(time.Duration(2*i)*time.Second), over.Add(time.Duration(2*i+2)*time.Second)))
		}
		statuses := statusesOf(append(during, after...))
		t.Logf("statuses %v, %d requests, %d received by engines, attempts given up %d, kept %d",
			statuses, m.requests, m.received(), m.count("attempts_given_up"), m.count("attempts_kept"))
		if n := statuses[http.StatusBadGateway]; n > 0 {
			t.Errorf("%d requests were answered 502", n)
		}
		if n := m.received(); n > m.requests {
			t.Errorf("engines received %d requests, clients sent %d", n, m.requests)
		}
		if m.count("attempts_kept") == 0 {
			t.Error("no silent attempt was kept")
		}
		late := m.between(over.Add(12*time.Second), time.Now())
		if got := fractionOf(late, nil, (*outcome).inTime); got < 0.9 {
			t.Errorf("%.3f in time from 12 s after the overload on", got)
		}
	})
}

// An engine stops to respond under usual load, without notice: its connections stay open. Guards
// against daemons that wait for it because they, or others, have heard from it before.
func TestStoppedEngineIsAbandoned(t *testing.T) {
	inResumableFleet(t, 4, 8, func(m *batchFleet) {
		m.load(usualLoad, 8*time.Second)
		stopped := time.Now()
		m.engines[0].SetBehaviour(func(*http.Request) hosting.Behaviour { return hosting.HoldUntilRelease })
		m.load(usualLoad, 12*time.Second)
		all, later := m.between(stopped, time.Now()), m.between(stopped.Add(4*time.Second), time.Now())
		m.engines[0].Release()
		m.logOutcomes("after the stop", all)
		m.logOutcomes("later", later)
		t.Logf("statuses %v, held %d, attempts given up %d, kept %d", statusesOf(all), m.engines[0].HeldCount(), m.count("attempts_given_up"), m.count("attempts_kept"))
		if got := fractionOf(all, nil, func(o *outcome) bool { return o.complete }); got < 0.98 {
			t.Errorf("%.3f served", got)
		}
		if got := fractionOf(later, nil, (*outcome).inTime); got < 0.9 {
			t.Errorf("%.3f in time from 4 s after the stop on", got)
		}
	})
}

// slowly makes engines serve some bodies only after a delay.
func slowly(bodyPrefix string, delay time.Duration) func(string) bool {
	return func(body string) bool {
		if strings.HasPrefix(body, bodyPrefix) {
			time.Sleep(delay)
		}
		return false
	}
}

// inSlowFleet runs a check with some daemons and engines that serve bodies that begin with "slow"
// after a delay. A daemon's retry budget has one retry.
func inSlowFleet(t *testing.T, daemons, engines int, delay time.Duration, check func(f *testFleet)) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wideLink
		f.adjust = func(d *deployment.Deployment) { d.Bounds.RetryReserve, d.Bounds.RetryShare = 1, 1e-6 }
		e := f.prepareEngines(slowly("slow", delay))
		for i := range engines {
			e.start(i)
		}
		f.start(daemons)
		f.settle()
		check(f)
	})
}

// askAll sends bodies at once and returns the replies.
func (f *testFleet) askAll(path string, bodies ...string) []clientReply {
	out := make([]clientReply, len(bodies))
	var group sync.WaitGroup
	for i, body := range bodies {
		group.Go(func() { out[i] = f.ask(0, path, body) })
	}
	group.Wait()
	return out
}

// Engines take three seconds to answer, longer than the silence timeout, and there is one retry for
// three requests. Guards against attempts that are cancelled before a retry is known to be left:
// their requests end with 502, though the engines run them. It also guards against a granted retry
// that takes from the budget twice.
func TestSilentAttemptGoesOnWithoutRetry(t *testing.T) {
	inSlowFleet(t, 1, 2, 3*time.Second, func(f *testFleet) {
		for _, r := range f.askAll(resumePath, "slow 1", "slow 2", "slow 3") {
			if !r.complete {
				t.Errorf("not served: %+v", r)
			}
		}
		m := &batchFleet{f: f}
		if n := m.count("attempts_given_up"); n != 1 {
			t.Errorf("%d attempts given up, want 1", n)
		}
	})
}

// Requests wait at an engine until their time is up. Guards against an engine that is ejected for
// being busy, although it answers other requests meanwhile, and against one that answers nothing
// and is not ejected.
func TestExplainedWaitIsNoFailure(t *testing.T) {
	inSlowFleet(t, 1, 1, 30*time.Second, func(f *testFleet) {
		ejected := func() (n int) {
			for _, c := range f.daemons[0].registry.Endpoints() {
				if c.Ejected(time.Now()) {
					n++
				}
			}
			return n
		}
		time.AfterFunc(time.Second, func() {
			if r := f.ask(0, streamPath, "quick"); !r.complete {
				t.Errorf("not served: %+v", r)
			}
		})
		f.askAll(streamPath, "slow 1", "slow 2", "slow 3")
		if ejected() > 0 {
			t.Error("the engine is ejected, though it answered while the requests waited")
		}
		f.askAll(streamPath, "slow 4", "slow 5", "slow 6")
		if ejected() == 0 {
			t.Error("the engine is not ejected, though it answered nothing")
		}
	})
}

// One daemon receives an answer of an engine, in a small fleet and in one whose digests pass through
// relays. Guards against signs of life that the others don't learn of, and against signs that seem
// younger than they are: an engine that ended would then be waited for.
func TestSignsOfLifeReachAllDaemons(t *testing.T) {
	const (
		// transit is how long a sign may seem younger than it is, aging how long it may seem older:
		// a digest and the sums of two relays are each up to 100 ms old when they are sent.
		transit = 30 * time.Millisecond
		aging   = 350 * time.Millisecond
	)
	for _, daemons := range []int{4, smallFleetSize + 2} {
		inSlowFleet(t, daemons, 1, 0, func(f *testFleet) {
			if r := f.ask(0, streamPath, "quick"); !r.complete {
				t.Fatalf("not served: %+v", r)
			}
			answered := time.Now()
			time.Sleep(3 * time.Second)
			for i, g := range f.daemons[1:] {
				for _, c := range g.registry.Endpoints() {
					if c.Pool != modelService {
						continue
					}
					if late := c.Activity.Signs().Peers.Sub(answered); late > transit || late < -aging {
						t.Errorf("%d daemons: daemon %d believes in a sign %v after the answer", daemons, i+1, late)
					}
				}
			}
		})
	}
}

// An engine refuses a request at once. Guards against an engine that counts as silent, although it
// answers: a response is a sign of life as well as an event.
func TestRefusalIsASignOfLife(t *testing.T) {
	inEngineFleet(t, 1, slowly("slow", 0), func(f *testFleet, e *engineFleet) {
		e.refuses = func(int) bool { return true }
		asked := time.Now()
		if r := f.ask(0, streamPath, "letter"); r.status != http.StatusServiceUnavailable {
			t.Fatalf("not refused: %+v", r)
		}
		for _, c := range f.daemons[0].registry.Endpoints() {
			if c.Activity.Signs().Own.After(asked) {
				return
			}
		}
		t.Error("no engine has shown a sign of life")
	})
}
