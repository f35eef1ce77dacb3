package gateway

import (
	"context"
	"net/http"
	"time"

	"brasschute/internal/config/deployment"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/swapper"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/allotter"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/candidate"
	"brasschute/internal/serve/request"
	"brasschute/platform"

	"github.com/thejerf/suture/v4"
)

const (
	// askPause is how often a daemon that knows no configuration asks peers.
	askPause = 300 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration from a peer: up to a
	// megabyte within a region.
	fetchTimeout = time.Second
	// firstIncarnation is that of every endpoint: each start has a new id.
	firstIncarnation identifier.Incarnation = 1
	// learnPause is how often the peers' loads are summed: several times in a
	// period of the digests. loadAge is when a load says nothing any more.
	learnPause = 250 * time.Millisecond
	loadAge    = 4 * time.Second
	// peerIdle keeps connections between peers open over several periods.
	peerIdle = 30 * time.Second
)

// fewestDaemons is the least number of daemons that a deployment runs: one in
// each zone, and those of the seeds.
func fewestDaemons(d *deployment.Deployment) int {
	return max(len(d.Zones), len(d.Seeds)+1)
}

func (g *Gateway) buildPeers() {
	d := g.c.Deployment
	g.swapper = swapper.New(swapper.Config{
		Host: d.Host, Address: d.Peers.String(), Self: g.digest, Gatherer: &g.gatherer, Heard: g.heard, Objects: g.snapshot, Logger: g.c.Logger,
		Client: &http.Client{Transport: &http.Transport{
			DialContext: platform.Dialer().DialContext, IdleConnTimeout: peerIdle, DisableCompression: true,
		}},
	})
	for _, seed := range d.Seeds {
		g.swapper.Add(seed.String())
	}
	g.tree.Add(g.swapper)
	g.tree.Add(service(g.askPeers))
	g.tree.Add(service(g.learn))
}

// digest tells the peers what this daemon knows of its own doing.
func (g *Gateway) digest() *rpc.Digest {
	d := g.c.Deployment
	out := &rpc.Digest{
		Host: string(d.Host), AvailabilityZone: string(d.AvailabilityZone), Address: d.Peers.String(),
		Incarnation: uint64(g.started.UnixNano()), Sequence: g.sequence.Add(1), UnixMilli: g.clock.Now().UnixMilli(),
		Stopping: g.stopping.Load(),
	}
	if c := g.versioner.InForce(); c != nil {
		out.ConfigurationNumber = uint64(c.Number())
	}
	for _, n := range g.tallier.Counts() {
		out.Counts = append(out.Counts, &rpc.WindowCount{Window: n.Window, Organisation: string(n.Organisation), Count: uint32(n.Requests)})
	}
	for name, account := range g.allotter.Accounts() {
		out.Charges = append(out.Charges, &rpc.Charge{Organisation: string(name), Total: account.Total, Level: account.Level, AskedPerSecond: account.Asked})
	}
	for name, n := range g.demander.Demands() {
		out.Demands = append(out.Demands, &rpc.Demand{
			Service: string(name), Running: uint32(max(n.Running, 0)), RequestsPerSecond: n.Requests,
			TokensPerSecond: n.Tokens, RefusedPerSecond: n.Refused,
		})
	}
	for _, l := range g.registry.Loads(time.Now()) {
		out.Loads = append(out.Loads, &rpc.EndpointLoad{Endpoint: string(l.Endpoint), TokensPerSecond: l.TokensPerSecond, Running: uint32(l.Running)})
	}
	if g.lease != nil {
		_, out.HoldsDuties = g.lease.Held()
	}
	out.Leaving = g.leaving()
	out.Peers = g.swapper.Lately()
	return out
}

// heard takes in a peer's digest.
func (g *Gateway) heard(d *rpc.Digest) {
	host := identifier.Host(d.GetHost())
	accounts := make(map[identifier.Organisation]allotter.Account, len(d.GetCharges()))
	for _, c := range d.GetCharges() {
		accounts[identifier.Organisation(c.GetOrganisation())] = allotter.Account{Total: c.GetTotal(), Level: c.GetLevel(), Asked: c.GetAskedPerSecond()}
	}
	g.allotter.Heard(host, d.GetIncarnation(), accounts)
	g.spread(d)
	g.clock.Heard(host, time.UnixMilli(d.GetUnixMilli()))
}

// learn sums what the other daemons send to each endpoint.
func (g *Gateway) learn(ctx context.Context) error {
	return waiter.Every(ctx, learnPause, func(context.Context) {
		now := time.Now()
		others := make(map[identifier.Endpoint]candidate.Others)
		for _, e := range g.gatherer.Latest(now) {
			if now.Sub(e.Heard) > loadAge {
				continue
			}
			for _, l := range e.Digest.GetLoads() {
				sum := others[identifier.Endpoint(l.GetEndpoint())]
				sum.TokensPerSecond += l.GetTokensPerSecond()
				sum.Running += int(l.GetRunning())
				others[identifier.Endpoint(l.GetEndpoint())] = sum
			}
		}
		g.registry.Learn(others)
	})
}

// spread takes over what a peer believes and this daemon does not know yet: the
// store may turn some daemons away, or be cut off from them, while it serves the
// others.
func (g *Gateway) spread(d *rpc.Digest) {
	for _, id := range d.GetLeaving() {
		if g.registry.MarkLeaving(identifier.Host(id), firstIncarnation, time.Time{}) {
			g.c.Logger.Info("endpoint leaving", "endpoint", id, "source", d.GetHost())
		}
	}
	c := g.versioner.InForce()
	if c != nil && uint64(c.Number()) < d.GetConfigurationNumber() && g.fetching.CompareAndSwap(false, true) {
		go func() {
			defer g.fetching.Store(false)
			g.fetch(d.GetAddress())
		}()
	}
}

// fetch takes the configuration from a peer that has a newer one.
func (g *Gateway) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	objects, err := g.swapper.AskOne(ctx, address)
	if err != nil {
		g.c.Logger.Warn("newer configuration not fetched from a peer", "address", address, "error", err)
		return
	}
	for _, o := range objects {
		if o.GetKey() == platform.CatalogKey {
			g.configuration(object.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue()})
		}
	}
}

// leaving lists the endpoints that are listed and known to leave.
func (g *Gateway) leaving() []string {
	var out []string
	for _, h := range g.registry.Hosts() {
		if h.State == inventory.StateLeaving {
			out = append(out, string(h.Host))
		}
	}
	return out
}

// remember keeps an object as the store has it.
func (g *Gateway) remember(o object.Object) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Deleted {
		delete(g.objects, o.Key)
		return
	}
	g.objects[o.Key] = o
}

func (g *Gateway) snapshot() []*rpc.StoredObject {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*rpc.StoredObject, 0, len(g.objects))
	for key, o := range g.objects {
		out = append(out, &rpc.StoredObject{Key: key, Version: o.Version, Value: o.Value})
	}
	return out
}

// askPeers fills the beliefs of a daemon that started while the store turns it
// away: it would otherwise refuse all that its peers serve.
func (g *Gateway) askPeers(ctx context.Context) error {
	for ctx.Err() == nil && (g.versioner.InForce() == nil || !g.listed.Load()) {
		waiter.For(ctx, askPause)
		if g.versioner.InForce() != nil && g.listed.Load() {
			return suture.ErrDoNotRestart
		}
		objects, err := g.swapper.Ask(ctx)
		if err != nil || len(objects) == 0 {
			continue
		}
		g.c.Logger.Info("beliefs taken from a peer", "objects", len(objects))
		for _, o := range objects {
			g.take(object.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue()})
		}
	}
	return suture.ErrDoNotRestart
}

func (g *Gateway) take(o object.Object) {
	if o.Key == platform.CatalogKey {
		g.configuration(o)
		return
	}
	g.endpoint(o)
}

// Admit admits a request within its organisation's quota.
func (g *Gateway) Admit(q *request.Request) allotter.Verdict {
	g.budget(q.Service).Earn()
	return g.allotter.Admit(q.Organisation, q.Charge())
}

// Spend grants a repeated send to a service.
func (g *Gateway) Spend(s identifier.Service) bool { return g.budget(s).Spend() }

// budget returns a service's retry budget: of the constant part each daemon has
// an equal share, so that all together stay within it.
func (g *Gateway) budget(s identifier.Service) *budgeter.Budgeter {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[s]
	if b == nil {
		bounds := g.c.Deployment.Bounds
		daemons := max(len(g.gatherer.Latest(time.Now()))+1, fewestDaemons(g.c.Deployment)+1)
		b = budgeter.New(budgeter.Config{
			Share:   bounds.RetryShare * budgetMargin,
			Reserve: max(bounds.RetryReserve*budgetMargin/float64(daemons), 1),
		})
		g.budgets[s] = b
	}
	return b
}

// budgetMargin leaves room for daemons that start anew with a full reserve.
const budgetMargin = 0.7

// began counts a request that began to run.
func (g *Gateway) began(q *request.Request) {
	if q.Organisation != nil {
		g.tallier.Began(q.Organisation.Name)
	}
}

// daemons counts those that send to the same endpoints.
func (g *Gateway) daemons() int {
	return len(g.gatherer.Latest(time.Now())) + 1
}
