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
	"brasschute/internal/measure/plotter"
	"brasschute/internal/measure/collector"
	"brasschute/internal/measure/workload"
	"brasschute/internal/peer/membertracker"
	"brasschute/internal/peer/crashreporter"
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
	seedFlag = flag.Uint64("seed", 1, "seed of the workload")
	longFlag = flag.Duration("length", 2*time.Minute, "length of a run, in paused time")
	planFlag = flag.Bool("full", false, "run all policies and scenarios")
	plotFlag = flag.String("plots", "", "folder to draw the tables into")
)

const (
	daemons    = 9
	engines    = 12
	zones      = 4
	slots      = 16
	blocks     = 2500
	reportLag  = 2 * time.Second
	eventLag   = 1500 * time.Millisecond
	eventLoss  = 0.1
	notice     = 8 * time.Second
	ours       = "brasschute"
	firstToken = 330 * time.Millisecond
)

// scenario is what goes wrong in the middle of a run.
type scenario string

const (
	steady  scenario = "steady"
	slowOne scenario = "one engine four times slower"
	reclaim scenario = "one zone reclaimed"
)

// setup is one user's deployment.
type setup struct {
	mix     workload.Mix
	prefill int
	decode  int
	// cheap and dear are prices an hour; onDemand engines are dear.
	cheap, dear float64
	weight      float64
}

func setups() []setup {
	return []setup{
		{mix: workload.Werkbrug(), prefill: 9000, decode: 60, cheap: 0.9, dear: 2.61, weight: 0.0002},
		{mix: workload.HarrowbyTrent(), prefill: 6000, decode: 40, cheap: 1.9, dear: 5.51, weight: 0.05},
	}
}

// bench is one running experiment.
type bench struct {
	s       setup
	policy  string
	seed    uint64
	engines []*engine.Engine
	hosts   []inventory.Host
	gone    map[string]bool
	mu      sync.Mutex
	daemons []*daemon
	plan    *compiler.Plan
	pool    *document.Pool
	result  *collector.Collector
	// rand chooses daemons, losses which cache events are lost: each is used
	// by one goroutine.
	rand   *rand.Rand
	losses *rand.Rand
}

type daemon struct {
	registry  *registry.Registry
	streamer  *streamer.Streamer
	evacuator *migrator.Migrator
}

// RoundTrip calls a stand-in engine without a network.
func (b *bench) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	gone := b.gone[r.URL.Host]
	b.mu.Unlock()
	if gone {
		return nil, errors.New("connection refused")
	}
	var i int
	if _, err := fmt.Sscanf(r.URL.Host, "engine-%d", &i); err != nil {
		return nil, err
	}
	in, out := io.Pipe()
	w := &pipe{header: make(http.Header), out: out, ready: make(chan int, 1)}
	go func() {
		b.engines[i].ServeHTTP(w, r)
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

// pipe is the engine's side of a response.
type pipe struct {
	header http.Header
	out    *io.PipeWriter
	ready  chan int
	once   sync.Once
}

func (p *pipe) Header() http.Header { return p.header }
func (p *pipe) Flush()              { p.WriteHeader(http.StatusOK) }
func (p *pipe) WriteHeader(status int) {
	p.once.Do(func() { p.ready <- status })
}

func (p *pipe) Write(data []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	return p.out.Write(data)
}

func newBench(t *testing.T, s setup, policy string, seed uint64) *bench {
	b := &bench{s: s, policy: policy, seed: seed, gone: make(map[string]bool), result: collector.New(firstToken), rand: rand.New(rand.NewPCG(seed, 3)), losses: rand.New(rand.NewPCG(seed, 4))}
	for i := range engines {
		b.addEngine(i)
	}
	b.configure(t)
	for i := range daemons {
		b.addDaemon(i)
	}
	return b
}

func (b *bench) addEngine(i int) {
	name := fmt.Sprintf("engine-%d", i)
	class := document.ClassOnDemand
	// Five of twelve are reclaimable: 41% of the hosts.
	if i%5 < 2 {
		class = document.ClassReclaimable
	}
	b.engines = append(b.engines, engine.New(engine.Config{
		Endpoint: identifier.Endpoint(name), Incarnation: 1, Model: "m", Slots: slots, CacheBlocks: blocks,
		PrefillPerSecond: b.s.prefill, DecodePerSecond: b.s.decode, Transport: b,
	}))
	b.hosts = append(b.hosts, inventory.Host{
		Host: identifier.Host(name), AvailabilityZone: zone(i), Class: class, Incarnation: 1, State: inventory.StateLive,
		Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(name), Pool: "p", Address: name}},
	})
}

func zone(i int) identifier.AvailabilityZone {
	return identifier.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones))
}

func (b *bench) configure(t *testing.T) {
	var prices strings.Builder
	for i := range zones {
		fmt.Fprintf(&prices, "  - {AvailabilityZone: zone-%d, Class: reclaimable, PerHour: %g}\n", i, b.s.cheap)
		fmt.Fprintf(&prices, "  - {AvailabilityZone: zone-%d, Class: on-demand, PerHour: %g}\n", i, b.s.dear)
	}
	plan, err := compiler.Compile("experiment", fmt.Appendf(nil, `
Priorities: [p]
Services: [{Name: s, Kind: model, Pool: p, Idempotent: true, Timeout: 2m}]
Pools: [{Name: p, Model: m, MaxInFlight: 64, Slots: %d, PrefillPerSecond: %d, DecodePerSecond: %d}]
Prices:
%sRouting: {FirstToken: %s, RecomputeWeight: %g}
`, slots, b.s.prefill, b.s.decode, prices.String(), quantity.Duration(firstToken), b.s.weight))
	if err != nil {
		t.Fatal(err)
	}
	b.plan = plan
	b.pool, _ = plan.Pool("p")
}

func (b *bench) addDaemon(i int) {
	self := &rpc.Member{Host: fmt.Sprintf("entry-%d", i), AvailabilityZone: string(zone(i)), PeerAddress: fmt.Sprint(i)}
	c := registry.Config{LeavingHosts: membertracker.New(membertracker.Config{Self: self}), Price: b.plan.Price, Daemons: func() int { return daemons }}
	if b.policy != ours {
		c.Select = baseline.New(baseline.Kind(b.policy), b.seed+uint64(i)).Select
	}
	d := &daemon{}
	c.OnChange = func() {
		if d.streamer == nil {
			return
		}
		d.streamer.ScheduleMoves()
		if d.evacuator != nil {
			d.evacuator.Trigger()
		}
	}
	d.registry = registry.New(c)
	reach := caller.New(caller.Config{Transport: b})
	if b.policy == ours {
		d.evacuator = migrator.New(migrator.Config{Registry: d.registry, Caller: reach})
	}
	d.streamer = streamer.New(streamer.Config{
		Registry: d.registry, Caller: reach, Budgeter: budgeter.New(budgeter.Config{}), Zone: zone(i),
		Quarantine: crashreporter.New(crashreporter.Config{
			Dialer: noNetwork{}, Leaving: d.registry.Leaving, OnNews: func(bool) {}, Logger: log.New(io.Discard), Metrics: tally.NoopScope,
		}),
	})
	b.daemons = append(b.daemons, d)
	for n := range b.hosts {
		value, _ := json.Marshal(b.hosts[n])
		d.registry.Apply(&object.Object{Key: inventory.HostPrefix + string(b.hosts[n].Host), Value: value})
	}
}

// noNetwork opens no connections: the engines are called without.
type noNetwork struct{}

func (noNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, net.ErrClosed
}

// observe passes each engine's load and cache events on, late and with gaps.
func (b *bench) observe(ctx context.Context) {
	after := make([]uint64, engines)
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		for i := range b.engines {
			var r report.Report
			var ev engine.Events
			if b.ask(i, "/v1/load", &r) != nil || b.ask(i, fmt.Sprintf("/v1/cache/events?after=%d", after[i]), &ev) != nil {
				continue
			}
			after[i] = ev.Next
			b.later(r, ev)
		}
	}
}

func (b *bench) later(r report.Report, ev engine.Events) {
	time.AfterFunc(reportLag, func() {
		for _, d := range b.daemons {
			d.registry.ApplyReport(&r, r.Taken)
		}
	})
	var kept []engine.Event
	for _, e := range ev.Events {
		if b.losses.Float64() >= eventLoss {
			kept = append(kept, e)
		}
	}
	// One daemon in the zone observes an engine; the others do not hear of
	// its cache.
	observer := b.daemons[int(r.Incarnation+uint64Of(r.Endpoint))%daemons]
	time.AfterFunc(eventLag, func() {
		for _, e := range kept {
			observer.registry.ApplyCacheEvent(r.Endpoint, e.Block, e.Stored)
		}
	})
}

func uint64Of(e identifier.Endpoint) identifier.Incarnation {
	var i identifier.Incarnation
	_, _ = fmt.Sscanf(string(e), "engine-%d", &i)
	return i
}

func (b *bench) ask(i int, path string, out any) error {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://engine-%d%s", i, path), http.NoBody)
	if err != nil {
		return err
	}
	resp, err := b.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// disturb makes the scenario happen in the middle of the run.
func (b *bench) disturb(s scenario, length time.Duration) {
	time.Sleep(length / 2)
	switch s {
	case slowOne:
		b.behave(0, engine.Behaviour{Slow: 4})
	case reclaim:
		b.reclaim()
	}
}

func (b *bench) behave(i int, behaviour engine.Behaviour) {
	body, _ := json.Marshal(behaviour)
	r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://engine-%d/admin/behaviour", i), strings.NewReader(string(body)))
	if resp, err := b.RoundTrip(r); err == nil {
		resp.Body.Close()
	}
}

// reclaim takes zone-1's engines away after their notice.
func (b *bench) reclaim() {
	deadline := time.Now().Add(notice)
	for i := range b.hosts {
		if b.hosts[i].AvailabilityZone != "zone-1" {
			continue
		}
		for _, d := range b.daemons {
			d.registry.MarkLeaving(b.hosts[i].Host, 1, deadline)
		}
	}
	time.Sleep(notice)
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.hosts {
		if b.hosts[i].AvailabilityZone == "zone-1" {
			b.gone[string(b.hosts[i].Host)] = true
		}
	}
}

// sink measures what a caller sees.
type sink struct {
	begun, last time.Time
	first       time.Duration
	between     time.Duration
	usage       frame.Usage
}

func (s *sink) WriteFrame(f *frame.Frame) error {
	now := time.Now()
	if s.first == 0 {
		s.first = now.Sub(s.begun)
	} else {
		s.between = max(s.between, now.Sub(s.last))
	}
	s.last = now
	if f.Usage != nil {
		s.usage = *f.Usage
	}
	return nil
}

func (b *bench) send(d *daemon, n int, r workload.Request) {
	service, _ := b.plan.Service("s")
	body, _ := json.Marshal(map[string]any{"model": "s", "stream": true, "max_tokens": r.OutputTokens, "prompt": r.Prompt})
	c := &call.Call{
		Request: identifier.Request(fmt.Sprint(n)), Instance: identifier.Request(fmt.Sprintf("%d~%d", n, b.seed)), Received: time.Now(),
		Plan: b.plan, Service: service, Pool: b.pool, Body: body, Prompt: r.Prompt, Blocks: prefix.Blocks(nil, r.Prompt),
		PromptTokens: prefix.Tokens(len(r.Prompt)), MaxTokens: r.OutputTokens, PriorTokens: r.PriorTokens, Conversation: r.Conversation, Streaming: true,
	}
	rec := &recorder.Record{}
	out := &sink{begun: time.Now()}
	err := d.streamer.Run(context.Background(), &streamer.Job{Call: c, Record: rec}, out)
	sample := collector.Sample{Organisation: r.Organisation, FirstToken: out.first, MaxTokenGap: out.between, Cost: rec.Cost, PromptTokens: c.PromptTokens}
	var problem *refusal.Problem
	if errors.As(err, &problem) {
		sample.Refused = string(problem.Kind())
	}
	known := r.PriorTokens / prefix.BlockTokens * prefix.BlockTokens
	sample.RecomputedTokens = max(known-out.usage.CachedTokens, 0)
	if rec.RecomputedTokens > 0 {
		sample.RecomputedTokens = rec.RecomputedTokens
	}
	b.result.Add(sample)
}

// run carries one experiment through and returns its summary.
func run(t *testing.T, s setup, policy string, sc scenario, seed uint64, length time.Duration) collector.Summary {
	t.Helper()
	var out collector.Summary
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, s, policy, seed)
		ctx, cancel := context.WithCancel(context.Background())
		go b.observe(ctx)
		for _, d := range b.daemons {
			if d.evacuator != nil {
				go func() { _ = d.evacuator.Serve(ctx) }()
			}
		}
		go b.disturb(sc, length)
		w := workload.New(s.mix, seed)
		end := time.Now().Add(length)
		var group sync.WaitGroup
		for n := 0; time.Now().Before(end); n++ {
			r := w.Next()
			time.Sleep(r.Pause)
			d := b.daemons[b.rand.IntN(daemons)]
			group.Go(func() { b.send(d, n, r) })
		}
		group.Wait()
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		out = b.result.Summary()
	})
	return out
}

func policies() []string {
	out := []string{ours}
	for _, k := range baseline.Kinds() {
		out = append(out, string(k))
	}
	return out
}

// TestTable prints all tables with -full; without it, it runs one small part
// and checks that nothing is refused.
func TestTable(t *testing.T) {
	if !*planFlag {
		s := run(t, setups()[0], ours, reclaim, *seedFlag, 10*time.Second)
		if s.Answered == 0 || len(s.Refused) != 0 {
			t.Fatalf("%+v", s)
		}
		return
	}
	out := os.Stdout
	for _, s := range setups() {
		d := newDrawing(s.mix.Name)
		for _, sc := range []scenario{steady, slowOne, reclaim} {
			fmt.Fprintf(out, "\n%s, %s, seed %d, %s\n\n%s\n", s.mix.Name, sc, *seedFlag, *longFlag, collector.TableHeader)
			for _, p := range policies() {
				sum := run(t, s, p, sc, *seedFlag, *longFlag)
				fmt.Fprintln(out, sum.Row(p))
				d.add(p, &sum)
			}
		}
		d.save(t)
	}
}

// drawing collects the two measures of one user's runs.
type drawing struct {
	user string
	cost map[string][]float64
	lost map[string][]float64
}

func newDrawing(user string) *drawing {
	return &drawing{user: user, cost: make(map[string][]float64), lost: make(map[string][]float64)}
}

func (d *drawing) add(policy string, s *collector.Summary) {
	d.cost[policy] = append(d.cost[policy], s.CostPerThousand)
	d.lost[policy] = append(d.lost[policy], float64(s.Recomputed))
}

func (d *drawing) save(t *testing.T) {
	t.Helper()
	if *plotFlag == "" {
		return
	}
	name := strings.ToLower(strings.ReplaceAll(strings.ReplaceAll(d.user, " & ", "-"), " ", "-"))
	d.draw(t, d.cost, "cost per thousand requests in target", name+"-cost.png")
	d.draw(t, d.lost, "recomputed tokens", name+"-recomputed.png")
}

func (d *drawing) draw(t *testing.T, series map[string][]float64, unit, file string) {
	t.Helper()
	p := plotter.New(plotter.Config{Title: fmt.Sprintf("%s, seed %d", d.user, *seedFlag), Unit: unit})
	for _, policy := range policies() {
		p.Add(policy, series[policy])
	}
	if err := p.Save(filepath.Join(*plotFlag, file), []string{string(steady), string(slowOne), string(reclaim)}); err != nil {
		t.Fatal(err)
	}
}
