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

// kind is one kind of model request: a prompt of parts that its subject shares with others and
// a part of its own.
type kind struct {
	name        string
	shared, own int
	output      int
	objective   time.Duration
	// part is its part of all requests; rank 0 is the most urgent.
	part float64
	rank int
}

var kinds = []kind{
	{"review", 13_300, 3_720, 120, time.Second, 0.5, 0},
	{"letter", 6_300, 2_890, 50, time.Second, 0.24, 1},
	{"query", 350, 1_110, 170, 800 * time.Millisecond, 0.26, 2},
}

const (
	// subjects is how many subjects share parts of prompts, for each kind.
	subjects = 12
	// eventTokens is what an event of a stream holds.
	eventTokens = 3
	// waitObjectives is how many objectives a client waits for a first event.
	waitObjectives = 4
	// refusalPart of an objective is how soon a request that is not sent must be refused.
	refusalPart = 0.125
)

// smallEngine works on twelve requests at once.
var smallEngine = batcher.Config{Slots: 12, MaxWaiting: 25, MemoryTokens: 500_836, PrefillTokensPerSecond: 56_100, StepTime: 6450 * time.Microsecond}

// models are the model engines of a fleet, and what became of its requests.
type models struct {
	f       *testFleet
	host    *shaper.Host
	client  *http.Client
	random  *rand.Rand
	engines []*hosting.Engine
	servers []*http.Server

	mu     sync.Mutex
	served []outcome
	group  sync.WaitGroup
	asked  int
}

// outcome is what became of one request, its second try included.
type outcome struct {
	kind *kind
	// at is when it was first sent, first when its first event came, since then; 0 for never.
	at    time.Time
	first time.Duration
	whole bool
	// refusals are how long each refusal took, and statuses what the tries ended with.
	refusals []time.Duration
	statuses []int
}

func (o *outcome) inTime() bool { return o.whole && o.first <= o.kind.objective }

// inModelFleet runs a check among daemons before engines that batch.
func inModelFleet(t *testing.T, daemons, engines int, check func(m *models)) {
	t.Helper()
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.rate = wide
		m := &models{f: f, host: f.network.Host(storeLink), random: rand.New(rand.NewPCG(3, 4))}
		clients := f.network.Host(storeLink)
		m.client = &http.Client{Transport: &http.Transport{DialContext: clients.DialContext, DisableKeepAlives: true}}
		f.stop = append(f.stop, m.close)
		for i := range engines {
			m.start(i)
		}
		m.configure()
		f.start(daemons)
		f.settle()
		check(m)
	})
}

func (m *models) start(i int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 64, 0, byte(1 + i)}), 8745)
	l, err := m.host.Listen(address)
	if err != nil {
		m.f.t.Fatal(err)
	}
	config := smallEngine
	e := hosting.NewEngine(hosting.Config{
		ID: fmt.Sprintf("i-%d", i), Service: modelService, Zone: fmt.Sprintf("zone-%d", i%m.f.zones), Address: address.String(),
		Batch: &config, TokensPerEvent: eventTokens, StreamLength: 1,
	})
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	m.engines, m.servers = append(m.engines, e), append(m.servers, server)
	m.f.store.Write(platform.EndpointKind, fmt.Sprintf("i-%d", i), e.Record("ready"))
}

func (m *models) close() {
	for _, s := range m.servers {
		_ = s.Close()
	}
}

func (m *models) configure() {
	var routes []any
	for _, k := range kinds {
		routes = append(routes, map[string]any{
			"Name": k.name, "Host": modelHost, "PathPrefix": "/" + k.name + "/", "Kind": "streaming", "Service": modelService,
			"TimeoutMs": 12000, "SloMs": k.objective.Milliseconds(), "GapSloMs": 500, "MaxAttempts": 2, "Priority": k.rank, "SessionAffinity": true,
		})
	}
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

// load sends so many requests a second for a time, at random daemons.
func (m *models) load(perSecond float64, d time.Duration) {
	const step = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for n := perSecond * step.Seconds(); n > m.random.Float64(); n-- {
			m.send()
		}
	}
}

// send sends a request of a random kind, once more if it is refused.
func (m *models) send() {
	draw, k := m.random.Float64(), &kinds[len(kinds)-1]
	for i := range kinds {
		if draw -= kinds[i].part; draw < 0 {
			k = &kinds[i]
			break
		}
	}
	m.asked++
	parts := fmt.Sprintf("%s-rules:%d,%s-%d:%d,own-%d:%d", k.name, k.shared/4, k.name, m.random.IntN(subjects), k.shared*3/4, m.asked, k.own)
	body, daemons := fmt.Sprint("request ", m.asked), [2]int{m.random.IntN(len(m.f.daemons)), m.random.IntN(len(m.f.daemons))}
	m.group.Go(func() {
		o := outcome{kind: k, at: time.Now()}
		for _, daemon := range daemons {
			pause, again := m.try(&o, daemon, parts, body)
			if !again {
				break
			}
			time.Sleep(pause)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.served = append(m.served, o)
	})
}

// try sends a request once. It returns when to try again, if it was refused in time for that.
func (m *models) try(o *outcome, daemon int, parts, body string) (pause time.Duration, again bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silent := time.AfterFunc(waitObjectives*o.kind.objective, cancel)
	defer silent.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+m.f.daemons[daemon].c.Deployment.Callers.String()+"/"+o.kind.name+"/", strings.NewReader(body))
	if err != nil {
		m.f.t.Error(err)
		return 0, false
	}
	r.Host = modelHost
	r.Header.Set("Request-Id", m.f.nextID())
	r.Header.Set("Deadline-Ms", "12000")
	r.Header.Set("Authorization", "Bearer "+deskKey)
	r.Header.Set("Token-Count", fmt.Sprintf("%d,%d", o.kind.shared+o.kind.own, o.kind.output))
	r.Header.Set("Prompt-Prefix", parts)
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

// read reads a stream; silent ends it when nothing comes.
func (o *outcome) read(resp *http.Response, silent *time.Timer) {
	if resp.StatusCode != http.StatusOK {
		return
	}
	last, events := hosting.EventText((o.kind.output+eventTokens-1)/eventTokens), ""
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if o.first == 0 && line != "" {
			o.first = time.Since(o.at)
		}
		silent.Reset(waitObjectives * o.kind.objective)
		events = (events + line)[max(0, len(events)+len(line)-len(last)):]
		if err != nil {
			o.whole = err == io.EOF && events == last
			return
		}
	}
}

// between returns the outcomes of the requests that were sent in a span, once all have ended.
func (m *models) between(from, to time.Time) (out []outcome) {
	m.group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.served {
		if !o.at.Before(from) && o.at.Before(to) {
			out = append(out, o)
		}
	}
	return out
}

// share is the part of some outcomes of a kind, all if nil, for which something holds.
func share(list []outcome, k *kind, holds func(*outcome) bool) float64 {
	n, all := 0, 0
	for i := range list {
		if k != nil && list[i].kind != k {
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

// report writes a line on some outcomes.
func (m *models) report(when string, list []outcome) {
	m.f.t.Helper()
	line := fmt.Sprintf("%s: %d requests, in time %.3f, whole %.3f, refused %.3f;", when, len(list), share(list, nil, (*outcome).inTime),
		share(list, nil, func(o *outcome) bool { return o.whole }), share(list, nil, refused))
	for i := range kinds {
		line += fmt.Sprintf(" %s %.3f", kinds[i].name, share(list, &kinds[i], (*outcome).inTime))
	}
	m.f.t.Log(line)
}

const (
	// usualLoad is what eight engines serve with a third of their slots taken: nearly all in
	// time if each request goes to the engine that does least.
	usualLoad = 18.0
	// overload times the usual one is more than the engines can read.
	overload = 5
	// recovery is the longest that a client waits for its first event, and a stream's time:
	// nothing of the overload is left then.
	recovery = 8 * time.Second
)

// Five times as many requests as usual come for four seconds, more than the engines can read.
// What can't be served in time is refused at once and told when to come back, the less urgent
// ones first; and once those that were taken have ended all is as it was.
func TestLoadThatNoEngineCanServe(t *testing.T) {
	inModelFleet(t, 20, 8, func(m *models) {
		begun := time.Now()
		m.load(usualLoad, 12*time.Second)
		burst := time.Now()
		m.load(overload*usualLoad, 4*time.Second)
		over := time.Now()
		m.load(usualLoad, recovery+6*time.Second)
		calm, during, after := m.between(begun.Add(4*time.Second), burst), m.between(burst, over), m.between(over.Add(recovery), time.Now())
		m.report("calm", calm)
		m.report("burst", during)
		m.report("after", after)
		if got := share(calm, nil, (*outcome).inTime); got < 0.95 {
			t.Errorf("calm: %.3f in time", got)
		}
		if got := share(calm, nil, refused); got > 0 {
			t.Errorf("calm: %.3f refused", got)
		}
		if got := share(after, nil, (*outcome).inTime); got < 0.95 {
			t.Errorf("after the burst: %.3f in time", got)
		}
		for _, o := range during {
			for _, took := range o.refusals {
				if limit := time.Duration(refusalPart * float64(o.kind.objective)); took > limit {
					t.Errorf("%s refused after %v, a part of %v at most", o.kind.name, took, limit)
				}
			}
		}
		for i := 1; i < len(kinds); i++ {
			urgent, less := share(during, &kinds[i-1], (*outcome).inTime), share(during, &kinds[i], (*outcome).inTime)
			if urgent < less-0.15 {
				t.Errorf("burst: %s %.3f in time, the less urgent %s %.3f", kinds[i-1].name, urgent, kinds[i].name, less)
			}
		}
	})
}

// The engines of an availability zone end at once, without a word, and none are to be had for
// them; their records stay for three seconds. What they ran is lost; what comes a moment later
// is served by the others, none of which is asked for more than it can do.
func TestLossOfAZonesEngines(t *testing.T) {
	inModelFleet(t, 20, 8, func(m *models) {
		// The engines that are left are as busy as all of them are with the usual load.
		const load = 0.75 * usualLoad
		m.load(load, 8*time.Second)
		lost := time.Now()
		for i, s := range m.servers {
			if i%m.f.zones == 0 {
				_ = s.Close()
				time.AfterFunc(recordTime, func() { m.f.store.Remove(platform.EndpointKind, fmt.Sprintf("i-%d", i)) })
			}
		}
		m.load(load, 10*time.Second)
		after := m.between(lost.Add(500*time.Millisecond), time.Now())
		m.report("after the loss", after)
		if got := share(after, nil, func(o *outcome) bool { return o.whole }); got < 0.98 {
			t.Errorf("%.3f served", got)
		}
		if got := share(after, nil, (*outcome).inTime); got < 0.9 {
			t.Errorf("%.3f in time", got)
		}
	})
}
