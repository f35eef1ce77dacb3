package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"brasschute/internal/fault/shaper"
	"brasschute/internal/standin/batcher"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// requestClass is one class of model requests. Its prompt has parts that requests with the same
// subject share, and a part of its own.
type requestClass struct {
	name                    string
	sharedTokens, ownTokens int
	outputTokens            int
	objective               time.Duration
	// share is the class's fraction of all requests. Priority 0 is the most urgent.
	share    float64
	priority int
}

var requestClasses = []requestClass{
	{"review", 13_300, 3_720, 120, time.Second, 0.5, 0},
	{"letter", 6_300, 2_890, 50, time.Second, 0.24, 1},
	{"query", 350, 1_110, 170, 800 * time.Millisecond, 0.26, 2},
}

const (
	// subjects is the number of subjects whose requests share prompt parts, for each class.
	subjects       = 12
	tokensPerEvent = 3
	// clientTimeoutFactor is how long a client waits for the next event, in multiples of the
	// objective.
	clientTimeoutFactor = 4
	// maxRefusalFraction is the fraction of the objective within which a request that is not
	// sent to an engine must be refused.
	maxRefusalFraction = 0.125
)

// smallEngine runs up to twelve requests at once.
var smallEngine = batcher.Config{Slots: 12, MaxWaiting: 25, MemoryTokens: 500_836, PrefillTokensPerSecond: 56_100, StepTime: 6450 * time.Microsecond}

// batchFleet holds batching model engines and the outcomes of the requests sent to their fleet.
type batchFleet struct {
	f       *testFleet
	host    *shaper.Host
	client  *http.Client
	random  *rand.Rand
	engines []*hosting.Engine
	servers []*http.Server

	mu       sync.Mutex
	outcomes []outcome
	group    sync.WaitGroup
	requests int
}

// outcome is the outcome of one request, including its second attempt.
type outcome struct {
	class *requestClass
	// sentAt is when the request was first sent. firstEvent is the time from then to the first
	// event, 0 if none came.
	sentAt     time.Time
	firstEvent time.Duration
	complete   bool
	// refusals are the times that refusals took, statuses the results of the attempts.
	refusals []time.Duration
	statuses []int
}

func (o *outcome) inTime() bool { return o.complete && o.firstEvent <= o.class.objective }

// inBatchFleet runs a check among daemons in front of engines that batch requests.
func inBatchFleet(t *testing.T, daemons, engines int, check func(m *batchFleet)) {
	t.Helper()
	inPreparedBatchFleet(t, daemons, engines, nil, check)
}

// inPreparedBatchFleet is inBatchFleet with a function that changes the configuration of each daemon
// before it is built.
func inPreparedBatchFleet(t *testing.T, daemons, engines int, prepare func(*Config), check func(m *batchFleet)) {
	t.Helper()
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.prepare = prepare
		f.rate = wideLink
		m := &batchFleet{f: f, host: f.network.Host(storeLink), random: rand.New(rand.NewPCG(3, 4))}
		clients := f.network.Host(storeLink)
		m.client = &http.Client{Transport: &http.Transport{DialContext: clients.DialContext, DisableKeepAlives: true}}
		f.stop = append(f.stop, m.close)
		for i := range engines {
			m.start(i)
		}
		m.configure(false)
		f.start(daemons)
		f.settle()
		check(m)
	})
}

func (m *batchFleet) start(i int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 64, 0, byte(1 + i)}), 8745)
	l, err := m.host.Listen(address)
	if err != nil {
		m.f.t.Fatal(err)
	}
	config := smallEngine
	e := hosting.NewEngine(hosting.Config{
		ID: fmt.Sprintf("i-%d", i), Service: modelService, Zone: fmt.Sprintf("zone-%d", i%m.f.zones), Address: address.String(),
		Batch: &config, TokensPerEvent: tokensPerEvent, StreamLength: 1,
	})
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	m.engines, m.servers = append(m.engines, e), append(m.servers, server)
	m.f.store.Write(platform.EndpointKind, fmt.Sprintf("i-%d", i), e.Record("ready"))
}

func (m *batchFleet) close() {
	for _, s := range m.servers {
		_ = s.Close()
	}
}

// configure writes a configuration whose streams may be resumed, or may not.
func (m *batchFleet) configure(resumable bool) {
	var routes []any
	for _, k := range requestClasses {
		routes = append(routes, map[string]any{
			"Name": k.name, "Host": modelHost, "PathPrefix": "/" + k.name + "/", "Kind": "streaming", "Service": modelService,
			"TimeoutMs": 12000, "SloMs": k.objective.Milliseconds(), "GapSloMs": 500, "MaxAttempts": 2, "Priority": k.priority, "SessionAffinity": true, "Resumable": resumable,
		})
	}
	m.writeRoutes(routes...)
}

// writeRoutes writes a configuration with some routes to the engines.
func (m *batchFleet) writeRoutes(routes ...any) {
	m.f.number++
	m.f.store.Write(platform.CatalogKind, "main", map[string]any{
		"Version": m.f.number, "Routes": routes,
		"Services": []any{map[string]any{
			"Name": modelService, "MaxConns": 1300,
			"Engine": map[string]any{"Slots": smallEngine.Slots, "KvTokens": int(smallEngine.MemoryTokens)},
		}},
		"Tenants": []any{map[string]any{"Name": "desk", "ApiKeys": []string{deskKey}}},
	})
}

// load sends requests to random daemons at a rate for a time.
func (m *batchFleet) load(perSecond float64, d time.Duration) {
	const step = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for n := perSecond * step.Seconds(); n > m.random.Float64(); n-- {
			m.send()
		}
	}
}

// send sends a request of a random class, and once more if it is refused.
func (m *batchFleet) send() {
	draw, k := m.random.Float64(), &requestClasses[len(requestClasses)-1]
	for i := range requestClasses {
		if draw -= requestClasses[i].share; draw < 0 {
			k = &requestClasses[i]
			break
		}
	}
	m.requests++
	parts := fmt.Sprintf("%s-rules:%d,%s-%d:%d,own-%d:%d", k.name, k.sharedTokens/4, k.name, m.random.IntN(subjects), k.sharedTokens*3/4, m.requests, k.ownTokens)
	body, daemons := fmt.Sprint("request ", m.requests), [2]int{m.random.IntN(len(m.f.daemons)), m.random.IntN(len(m.f.daemons))}
	m.group.Go(func() {
		o := outcome{class: k, sentAt: time.Now()}
		for _, daemon := range daemons {
			pause, again := m.attempt(&o, daemon, parts, body)
			if !again {
				break
			}
			time.Sleep(pause)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.outcomes = append(m.outcomes, o)
	})
}

// attempt sends a request once. If it is refused, attempt returns the pause before a retry.
func (m *batchFleet) attempt(o *outcome, daemon int, parts, body string) (pause time.Duration, again bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silent := time.AfterFunc(clientTimeoutFactor*o.class.objective, cancel)
	defer silent.Stop()
	r, err := m.newRequest(ctx, daemon, o.class.name, body, parts, o.class.sharedTokens+o.class.ownTokens, o.class.outputTokens)
	if err != nil {
		m.f.t.Error(err)
		return 0, false
	}
	sent := time.Now()
	resp, err := m.client.Do(r)
	if err != nil {
		o.statuses = append(o.statuses, 0)
		return 0, false
	}
	defer resp.Body.Close()
	o.statuses = append(o.statuses, resp.StatusCode)
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		o.refusals = append(o.refusals, time.Since(sent))
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second)), err == nil
	}
	o.read(resp, silent)
	return 0, false
}

// newRequest returns a request for a route at a daemon, with the parts of its prompt and its numbers of tokens.
func (m *batchFleet) newRequest(ctx context.Context, daemon int, route, body, parts string, promptTokens, outputTokens int) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.f.daemons[daemon].c.Deployment.Callers.String()+"/"+route+"/", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = modelHost
	r.Header.Set("Request-Id", m.f.nextID())
	r.Header.Set("Deadline-Ms", "12000")
	r.Header.Set("Authorization", "Bearer "+deskKey)
	r.Header.Set("Token-Count", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	r.Header.Set("Prompt-Prefix", parts)
	return r, nil
}

// read reads a stream. The timer silent aborts it when no event comes.
func (o *outcome) read(resp *http.Response, silent *time.Timer) {
	if resp.StatusCode != http.StatusOK {
		return
	}
	last, events := hosting.EventText((o.class.outputTokens+tokensPerEvent-1)/tokensPerEvent), ""
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if o.firstEvent == 0 && line != "" {
			o.firstEvent = time.Since(o.sentAt)
		}
		silent.Reset(clientTimeoutFactor * o.class.objective)
		events = (events + line)[max(0, len(events)+len(line)-len(last)):]
		if err != nil {
			o.complete = err == io.EOF && events == last
			return
		}
	}
}

// between waits for all requests and returns the outcomes of those sent in a time span.
func (m *batchFleet) between(from, to time.Time) (out []outcome) {
	m.group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.outcomes {
		if !o.sentAt.Before(from) && o.sentAt.Before(to) {
			out = append(out, o)
		}
	}
	return out
}

// fractionOf returns the fraction of the outcomes of a class (nil for all) for which holds
// returns true.
func fractionOf(list []outcome, k *requestClass, holds func(*outcome) bool) float64 {
	n, all := 0, 0
	for i := range list {
		if k != nil && list[i].class != k {
			continue
		}
		all++
		if holds(&list[i]) {
			n++
		}
	}
	return float64(n) / float64(max(all, 1))
}

func refused(o *outcome) bool { return len(o.refusals) > 0 }

// logOutcomes logs a summary of some outcomes.
func (m *batchFleet) logOutcomes(when string, list []outcome) {
	m.f.t.Helper()
	line := fmt.Sprintf("%s: %d requests, in time %.3f, complete %.3f, refused %.3f;", when, len(list), fractionOf(list, nil, (*outcome).inTime),
		fractionOf(list, nil, func(o *outcome) bool { return o.complete }), fractionOf(list, nil, refused))
	for i := range requestClasses {
		line += fmt.Sprintf(" %s %.3f", requestClasses[i].name, fractionOf(list, &requestClasses[i], (*outcome).inTime))
	}
	m.f.t.Log(line)
}

const (
	// usualLoad, in requests a second, takes a third of the slots of eight engines: nearly all
	// requests are in time if each goes to the least loaded engine.
	usualLoad = 18.0
	// overload times the usual load is more than the engines can prefill.
	overload = 5
	// recovery is the longest time that a client waits for its first event plus the time of a
	// stream, after which nothing of the overload is left.
	recovery = 8 * time.Second
)

// Five times the usual load comes for four seconds, more than the engines can prefill. Requests
// that cannot be served in time must be refused at once with a Retry-After, the less urgent
// ones first. Once the admitted ones have ended, everything must be as before.
func TestOverloadIsShedByPriority(t *testing.T) {
	inBatchFleet(t, 20, 8, func(m *batchFleet) {
		begun := time.Now()
		m.load(usualLoad, 12*time.Second)
		burst := time.Now()
		m.load(overload*usualLoad, 4*time.Second)
		over := time.Now()
		m.load(usualLoad, recovery+6*time.Second)
		calm, during, after := m.between(begun.Add(4*time.Second), burst), m.between(burst, over), m.between(over.Add(recovery), time.Now())
		m.logOutcomes("calm", calm)
		m.logOutcomes("burst", during)
		m.logOutcomes("after", after)
		if got := fractionOf(calm, nil, (*outcome).inTime); got < 0.95 {
			t.Errorf("calm: %.3f in time", got)
		}
		if got := fractionOf(calm, nil, refused); got > 0 {
			t.Errorf("calm: %.3f refused", got)
		}
		if got := fractionOf(after, nil, (*outcome).inTime); got < 0.95 {
			t.Errorf("after the burst: %.3f in time", got)
		}
		for _, o := range during {
			for _, took := range o.refusals {
				if limit := time.Duration(maxRefusalFraction * float64(o.class.objective)); took > limit {
					t.Errorf("%s refused after %v, want at most %v", o.class.name, took, limit)
				}
			}
		}
		for i := 1; i < len(requestClasses); i++ {
			urgent, less := fractionOf(during, &requestClasses[i-1], (*outcome).inTime), fractionOf(during, &requestClasses[i], (*outcome).inTime)
			if urgent < less-0.15 {
				t.Errorf("burst: %s %.3f in time, the less urgent %s %.3f", requestClasses[i-1].name, urgent, requestClasses[i].name, less)
			}
		}
	})
}

// The engines of an availability zone end at once without notice and are not replaced. Their
// records stay for three seconds. Requests running there are lost; those that come a moment
// later must be served by the other engines, none of which may be asked for more than it can do.
func TestLossOfAZonesEngines(t *testing.T) {
	inBatchFleet(t, 20, 8, func(m *batchFleet) {
		// The remaining engines are as busy as all of them are with the usual load.
		const load = 0.75 * usualLoad
		m.load(load, 8*time.Second)
		lost := time.Now()
		for i, s := range m.servers {
			if i%m.f.zones == 0 {
				_ = s.Close()
				time.AfterFunc(recordLifetime, func() { m.f.store.Remove(platform.EndpointKind, fmt.Sprintf("i-%d", i)) })
			}
		}
		m.load(load, 10*time.Second)
		after := m.between(lost.Add(500*time.Millisecond), time.Now())
		m.logOutcomes("after the loss", after)
		if got := fractionOf(after, nil, func(o *outcome) bool { return o.complete }); got < 0.98 {
			t.Errorf("%.3f served", got)
		}
		if got := fractionOf(after, nil, (*outcome).inTime); got < 0.9 {
			t.Errorf("%.3f in time", got)
		}
	})
}
