package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/quantity"
	"brasschute/internal/engine/caller"
	"brasschute/internal/engine/frame"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/engine/report"
	"brasschute/internal/measure/baseline"
	"brasschute/internal/measure/collector"
	"brasschute/internal/measure/plotter"
	"brasschute/internal/measure/workload"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/migrator"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/serve/refusal"
	"brasschute/internal/serve/streamer"
	"brasschute/internal/standin/engine"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

var (
	seedFlag   = flag.Uint64("seed", 1, "seed of the workload")
	lengthFlag = flag.Duration("length", 2*time.Minute, "length of a run, in simulated time")
	fullFlag   = flag.Bool("full", false, "run all policies and scenarios")
	plotFlag   = flag.String("plots", "", "folder for charts of the tables; empty for none")
)

// Size of the deployment and delays of what the daemons see of it.
const (
	daemons          = 9
	engines          = 12
	zones            = 4
	engineSlots      = 16
	engineBlocks     = 2500
	reportLag        = 2 * time.Second
	eventLag         = 1500 * time.Millisecond
	eventLoss        = 0.1
	noticePeriod     = 8 * time.Second
	selectorPolicy   = "brasschute"
	firstTokenTarget = 330 * time.Millisecond
)

// scenario is a fault in the middle of a run.
type scenario string

const (
	steady  scenario = "steady"
	slowOne scenario = "one engine four times slower"
	reclaim scenario = "one zone reclaimed"
)

// deployment describes the system of one user: its requests, engines and prices.
type deployment struct {
	mix workload.Mix
	// prefill and decode are an engine's speeds in tokens per second.
	prefill int
	decode  int
	// Prices of an engine per hour, by the class of its host.
	reclaimablePrice, onDemandPrice float64
	// recomputeWeight is the routing setting RecomputeWeight.
	recomputeWeight float64
}

func deployments() []deployment {
	return []deployment{
		{mix: workload.Werkbrug(), prefill: 9000, decode: 60, reclaimablePrice: 0.9, onDemandPrice: 2.61, recomputeWeight: 0.0002},
		{mix: workload.HarrowbyTrent(), prefill: 6000, decode: 40, reclaimablePrice: 1.9, onDemandPrice: 5.51, recomputeWeight: 0.05},
	}
}

// experiment is one run: the daemons, the engines and the results.
type experiment struct {
	deployment deployment
	policy     string
	seed       uint64
	engines    []*engine.Engine
	hosts      []inventory.Host
	// unreachable holds the addresses of the engines whose hosts were reclaimed.
	unreachable map[string]bool
	mu          sync.Mutex
	daemons     []*daemon
	plan        *compiler.Plan
	pool        *document.Pool
	collector   *collector.Collector
	// rand chooses the daemons, lossRand the cache events that are lost. Each is
	// used by one goroutine only.
	rand     *rand.Rand
	lossRand *rand.Rand
}

// daemon is the routing part of one daemon.
type daemon struct {
	registry *registry.Registry
	streamer *streamer.Streamer
	migrator *migrator.Migrator
}

// RoundTrip calls a stand-in engine without a network. It returns as soon as the
// engine has sent the headers of its response.
func (e *experiment) RoundTrip(r *http.Request) (*http.Response, error) {
	e.mu.Lock()
	unreachable := e.unreachable[r.URL.Host]
	e.mu.Unlock()
	if unreachable {
		return nil, errors.New("connection refused")
	}
	var i int
	if _, err := fmt.Sscanf(r.URL.Host, "engine-%d", &i); err != nil {
		return nil, err
	}
	in, out := io.Pipe()
	w := &pipeWriter{header: make(http.Header), out: out, ready: make(chan int, 1)}
	go func() {
		e.engines[i].ServeHTTP(w, r)
		w.WriteHeader(http.StatusOK)
		_ = out.Close()
	}()
	select {
	case status := <-w.ready:
		return &http.Response{StatusCode: status, Header: w.header, Body: in, Request: r, ContentLength: -1}, nil
	case <-r.Context().Done():
		_ = in.Close()
		return nil, r.Context().Err()
	}
}

// pipeWriter is the http.ResponseWriter of a stand-in engine: it passes the status
// on once, and the body through a pipe.
type pipeWriter struct {
	header http.Header
	out    *io.PipeWriter
	ready  chan int
	once   sync.Once
}

func (p *pipeWriter) Header() http.Header { return p.header }
func (p *pipeWriter) Flush()              { p.WriteHeader(http.StatusOK) }
func (p *pipeWriter) WriteHeader(status int) {
	p.once.Do(func() { p.ready <- status })
}

func (p *pipeWriter) Write(data []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	return p.out.Write(data)
}

func newExperiment(t *testing.T, dep deployment, policy string, seed uint64) *experiment {
	e := &experiment{deployment: dep, policy: policy, seed: seed, unreachable: make(map[string]bool), collector: collector.New(firstTokenTarget), rand: rand.New(rand.NewPCG(seed, 3)), lossRand: rand.New(rand.NewPCG(seed, 4))}
	for i := range engines {
		e.addEngine(i)
	}
	e.configure(t)
	for i := range daemons {
		e.addDaemon(i)
	}
	return e
}

func (e *experiment) addEngine(i int) {
	name := fmt.Sprintf("engine-%d", i)
	class := document.ClassOnDemand
	// The share of reclaimable hosts is meant to be 41%, five of twelve; indexes 0,
	// 1, 5, 6, 10 and 11 make it six.
	if i%5 < 2 {
		class = document.ClassReclaimable
	}
	e.engines = append(e.engines, engine.New(engine.Config{
		Endpoint: identifier.Endpoint(name), Incarnation: 1, Model: "m", Slots: engineSlots, CacheBlocks: engineBlocks,
		PrefillPerSecond: e.deployment.prefill, DecodePerSecond: e.deployment.decode, Transport: e,
	}))
	e.hosts = append(e.hosts, inventory.Host{
		Host: identifier.Host(name), AvailabilityZone: zone(i), Class: class, Incarnation: 1, State: inventory.StateLive,
		Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(name), Pool: "p", Address: name}},
	})
}

func zone(i int) identifier.AvailabilityZone {
	return identifier.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones))
}

func (e *experiment) configure(t *testing.T) {
	var prices strings.Builder
	for i := range zones {
		fmt.Fprintf(&prices, "  - {AvailabilityZone: zone-%d, Class: reclaimable, PerHour: %g}\n", i, e.deployment.reclaimablePrice)
		fmt.Fprintf(&prices, "  - {AvailabilityZone: zone-%d, Class: on-demand, PerHour: %g}\n", i, e.deployment.onDemandPrice)
	}
	plan, err := compiler.Compile("experiment", fmt.Appendf(nil, `
Priorities: [p]
Services: [{Name: s, Kind: model, Pool: p, Idempotent: true, Timeout: 2m}]
Pools: [{Name: p, Model: m, MaxInFlight: 64, Slots: %d, PrefillPerSecond: %d, DecodePerSecond: %d}]
Prices:
%sRouting: {FirstToken: %s, RecomputeWeight: %g}
`, engineSlots, e.deployment.prefill, e.deployment.decode, prices.String(), quantity.Duration(firstTokenTarget), e.deployment.recomputeWeight))
	if err != nil {
		t.Fatal(err)
	}
	e.plan = plan
	e.pool, _ = plan.Pool("p")
}

func (e *experiment) addDaemon(i int) {
	self := &rpc.Member{Host: fmt.Sprintf("entry-%d", i), AvailabilityZone: string(zone(i)), PeerAddress: fmt.Sprint(i)}
	c := registry.Config{LeavingHosts: membertracker.New(membertracker.Config{Self: self}), Price: e.plan.Price, Daemons: func() int { return daemons }}
	if e.policy != selectorPolicy {
		c.Select = baseline.New(baseline.Kind(e.policy), e.seed+uint64(i)).Select
	}
	d := &daemon{}
	c.OnChange = func() {
		if d.streamer == nil {
			return
		}
		d.streamer.ScheduleMoves()
		if d.migrator != nil {
			d.migrator.Trigger()
		}
	}
	d.registry = registry.New(c)
	client := caller.New(caller.Config{Transport: e})
	if e.policy == selectorPolicy {
		d.migrator = migrator.New(migrator.Config{Registry: d.registry, Caller: client})
	}
	d.streamer = streamer.New(streamer.Config{
		Registry: d.registry, Caller: client, Budgeter: budgeter.New(budgeter.Config{}), Zone: zone(i),
		Quarantine: crashreporter.New(crashreporter.Config{
			Dialer: noNetwork{}, Leaving: d.registry.Leaving, OnChange: func(bool) {}, Logger: log.New(io.Discard), Metrics: tally.NoopScope,
		}),
	})
	e.daemons = append(e.daemons, d)
	for n := range e.hosts {
		value, _ := json.Marshal(e.hosts[n])
		d.registry.ApplyObject(&object.Object{Key: inventory.HostPrefix + string(e.hosts[n].Host), Value: value})
	}
}

// noNetwork is a dialer that opens no connections: RoundTrip calls the engines
// without a network.
type noNetwork struct{}

func (noNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, net.ErrClosed
}

// observe polls the engines once a second and passes their load reports and cache
// events on, late, and the events with gaps.
func (e *experiment) observe(ctx context.Context) {
	after := make([]uint64, engines)
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for i := range e.engines {
			var r report.Report
			var events engine.Events
			if e.get(i, "/v1/load", &r) != nil || e.get(i, fmt.Sprintf("/v1/cache/events?after=%d", after[i]), &events) != nil {
				continue
			}
			after[i] = events.Next
			e.deliver(r, events)
		}
	}
}

// deliver passes a load report to all daemons, and the cache events that are not
// lost to one of them.
func (e *experiment) deliver(r report.Report, events engine.Events) {
	time.AfterFunc(reportLag, func() {
		for _, d := range e.daemons {
			d.registry.ApplyReport(&r, r.Taken)
		}
	})
	var kept []engine.Event
	for _, event := range events.Events {
		if e.lossRand.Float64() >= eventLoss {
			kept = append(kept, event)
		}
	}
	// Each engine is observed by one daemon; the others don't see its cache
	// events.
	observer := e.daemons[int(r.Incarnation+engineNumber(r.Endpoint))%daemons]
	time.AfterFunc(eventLag, func() {
		for _, event := range kept {
			observer.registry.ApplyCacheEvent(r.Endpoint, event.Block, event.Stored)
		}
	})
}

// engineNumber returns the number in the name of an engine.
func engineNumber(e identifier.Endpoint) identifier.Incarnation {
	var i identifier.Incarnation
	_, _ = fmt.Sscanf(string(e), "engine-%d", &i)
	return i
}

// get calls an engine and decodes the JSON of its answer.
func (e *experiment) get(i int, path string, out any) error {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://engine-%d%s", i, path), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := e.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// injectFault injects the scenario's fault in the middle of the run.
func (e *experiment) injectFault(s scenario, length time.Duration) {
	time.Sleep(length / 2)
	switch s {
	case slowOne:
		e.setBehaviour(0, engine.Behaviour{Slow: 4})
	case reclaim:
		e.reclaim()
	}
}

// setBehaviour sets the behaviour of an engine.
func (e *experiment) setBehaviour(i int, behaviour engine.Behaviour) {
	body, _ := json.Marshal(behaviour)
	r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://engine-%d/admin/behaviour", i), strings.NewReader(string(body)))
	if resp, err := e.RoundTrip(r); err == nil {
		resp.Body.Close()
	}
}

// reclaim announces that all hosts of zone-1 are reclaimed, and makes their engines
// unreachable at the end of the notice.
func (e *experiment) reclaim() {
	deadline := time.Now().Add(noticePeriod)
	for i := range e.hosts {
		if e.hosts[i].AvailabilityZone != "zone-1" {
			continue
		}
		for _, d := range e.daemons {
			d.registry.MarkLeaving(e.hosts[i].Host, 1, deadline)
		}
	}
	time.Sleep(noticePeriod)
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.hosts {
		if e.hosts[i].AvailabilityZone == "zone-1" {
			e.unreachable[string(e.hosts[i].Host)] = true
		}
	}
}

// frameMeter measures what a client sees of a stream.
type frameMeter struct {
	start, last time.Time
	firstToken  time.Duration
	maxGap      time.Duration
	usage       frame.Usage
}

func (m *frameMeter) WriteFrame(f *frame.Frame) error {
	now := time.Now()
	if m.firstToken == 0 {
		m.firstToken = now.Sub(m.start)
	} else {
		m.maxGap = max(m.maxGap, now.Sub(m.last))
	}
	m.last = now
	if f.Usage != nil {
		m.usage = *f.Usage
	}
	return nil
}

// send runs one request on a daemon and adds its result to the collector.
func (e *experiment) send(d *daemon, n int, r workload.Request) {
	service, _ := e.plan.Service("s")
	body, _ := json.Marshal(map[string]any{"model": "s", "stream": true, "max_tokens": r.OutputTokens, "prompt": r.Prompt})
	c := &call.Call{
		Request: identifier.Request(fmt.Sprint(n)), Instance: identifier.Request(fmt.Sprintf("%d~%d", n, e.seed)), Received: time.Now(),
		Plan: e.plan, Service: service, Pool: e.pool, Body: body, Prompt: r.Prompt, Blocks: prefix.Blocks(nil, r.Prompt),
		PromptTokens: prefix.Tokens(len(r.Prompt)), MaxTokens: r.OutputTokens, PriorTokens: r.PriorTokens, Conversation: r.Conversation, Streaming: true,
	}
	rec := &recorder.Record{}
	out := &frameMeter{start: time.Now()}
	err := d.streamer.Run(context.Background(), &streamer.Job{Call: c, Record: rec}, out)
	sample := collector.Sample{Organisation: r.Organisation, FirstToken: out.firstToken, MaxTokenGap: out.maxGap, Cost: rec.Cost, PromptTokens: c.PromptTokens}
	var problem *refusal.Problem
	if errors.As(err, &problem) {
		sample.Refused = string(problem.Kind())
	}
	prior := r.PriorTokens / prefix.BlockTokens * prefix.BlockTokens
	sample.RecomputedTokens = max(prior-out.usage.CachedTokens, 0)
	if rec.RecomputedTokens > 0 {
		sample.RecomputedTokens = rec.RecomputedTokens
	}
	e.collector.Add(sample)
}

// run runs one experiment and returns its summary.
func run(t *testing.T, dep deployment, policy string, sc scenario, seed uint64, length time.Duration) collector.Summary {
	t.Helper()
	var out collector.Summary
	synctest.Test(t, func(t *testing.T) {
		e := newExperiment(t, dep, policy, seed)
		ctx, cancel := context.WithCancel(context.Background())
		go e.observe(ctx)
		for _, d := range e.daemons {
			if d.migrator != nil {
				go func() { _ = d.migrator.Serve(ctx) }()
			}
		}
		go e.injectFault(sc, length)
		generator := workload.New(dep.mix, seed)
		end := time.Now().Add(length)
		var requests sync.WaitGroup
		for n := 0; time.Now().Before(end); n++ {
			r := generator.Next()
			time.Sleep(r.Pause)
			d := e.daemons[e.rand.IntN(daemons)]
			requests.Go(func() { e.send(d, n, r) })
		}
		requests.Wait()
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		out = e.collector.Summary()
	})
	return out
}

func policies() []string {
	out := []string{selectorPolicy}
	for _, k := range baseline.Kinds() {
		out = append(out, string(k))
	}
	return out
}

// TestTable runs all policies and scenarios with -full and prints their tables.
// Without -full it guards against requests that are refused when a zone is
// reclaimed under them: a short run must answer all of them.
func TestTable(t *testing.T) {
	if !*fullFlag {
		s := run(t, deployments()[0], selectorPolicy, reclaim, *seedFlag, 10*time.Second)
		if s.Answered == 0 || len(s.Refused) != 0 {
			t.Fatalf("%+v", s)
		}
		return
	}
	out := os.Stdout
	for _, dep := range deployments() {
		c := newCharts(dep.mix.Name)
		for _, sc := range []scenario{steady, slowOne, reclaim} {
			fmt.Fprintf(out, "\n%s, %s, seed %d, %s\n\n%s\n", dep.mix.Name, sc, *seedFlag, *lengthFlag, collector.TableHeader)
			for _, p := range policies() {
				s := run(t, dep, p, sc, *seedFlag, *lengthFlag)
				fmt.Fprintln(out, s.Row(p))
				c.add(p, &s)
			}
		}
		c.save(t)
	}
}

// charts holds the cost and the recomputed tokens of one user's runs by policy, a
// value for each scenario.
type charts struct {
	user       string
	cost       map[string][]float64
	recomputed map[string][]float64
}

func newCharts(user string) *charts {
	return &charts{user: user, cost: make(map[string][]float64), recomputed: make(map[string][]float64)}
}

func (c *charts) add(policy string, s *collector.Summary) {
	c.cost[policy] = append(c.cost[policy], s.CostPerThousandInTarget)
	c.recomputed[policy] = append(c.recomputed[policy], float64(s.RecomputedTokens))
}

// save writes the charts, if -plots names a folder.
func (c *charts) save(t *testing.T) {
	t.Helper()
	if *plotFlag == "" {
		return
	}
	name := strings.ToLower(strings.ReplaceAll(strings.ReplaceAll(c.user, " & ", "-"), " ", "-"))
	c.draw(t, c.cost, "cost per thousand requests in target", name+"-cost.png")
	c.draw(t, c.recomputed, "recomputed tokens", name+"-recomputed.png")
}

func (c *charts) draw(t *testing.T, series map[string][]float64, unit, file string) {
	t.Helper()
	p := plotter.New(plotter.Config{Title: fmt.Sprintf("%s, seed %d", c.user, *seedFlag), Unit: unit})
	for _, policy := range policies() {
		p.Add(policy, series[policy])
	}
	if err := p.Save(filepath.Join(*plotFlag, file), []string{string(steady), string(slowOne), string(reclaim)}); err != nil {
		t.Fatal(err)
	}
}
