package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/wrapper"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/pathtracker"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/dispatcher"
	"brasschute/internal/serve/proxier"
	"brasschute/platform"

	"golang.org/x/time/rate"
)

const (
	// pathProbeInterval is how often due probes of paths to endpoints are started.
	pathProbeInterval = 100 * time.Millisecond
	// maxPathLogsPerSecond limits the log lines about paths to services.
	maxPathLogsPerSecond = 5
)

// buildPaths builds what sends requests to endpoints, over this daemon's links or through peers, and
// what sends those of peers.
func (g *Gateway) buildPaths() {
	d := g.c.Deployment
	g.pathLogs = rate.NewLimiter(maxPathLogsPerSecond, maxPathLogsPerSecond)
	g.paths = pathtracker.New(pathtracker.Config{Endpoints: g.endpointsOf, OnChange: g.onPathChange})
	g.peerSender = sender.New(sender.Config{Dialer: dialFunc(g.peerBytes.Dial(g.c.Network.DialContext))})
	g.dispatcher = dispatcher.New(dispatcher.Config{
		Sender: g.sender, Tracker: g.paths, PeerSender: g.peerSender, Zone: d.AvailabilityZone, Peers: g.helpers, OnRelayed: g.countRelayed,
	})
	g.tree.Add(serviceFunc(g.probePaths))
}

// buildProxier builds what sends the requests of peers to endpoints.
func (g *Gateway) buildProxier() {
	g.proxier = proxier.New(proxier.Config{
		Registry: g.registry, Dispatcher: g.dispatcher, Tracker: g.paths, Endpoints: g.endpointsOf, Codec: platform.Codec{}, ReplyObserver: g, Quarantine: g.quarantine,
		Bodies: g.messages, Incarnations: g.verifier,
		OnOutcome: func(o wrapper.Outcome) {
			g.scope.Tagged(map[string]string{"outcome": string(o)}).Counter("peer_requests").Inc(1)
		},
	})
}

// refusesPeers reports whether an endpoint's address that refuses this daemon's connections refuses
// those of its peers.
func (g *Gateway) refusesPeers(ctx context.Context, address string) bool {
	var to pathtracker.Destination
	g.registry.EachHost(func(h *inventory.Host) {
		if h.Endpoints[0].Address == address {
			to = destinationOf(h)
		}
	})
	return to.Endpoint == "" || g.dispatcher.Refuses(ctx, to)
}

// unreachableToPeers reports whether an endpoint that does not respond to this daemon does not respond to its peers.
func (g *Gateway) unreachableToPeers(ctx context.Context, k *registry.Pick) bool {
	to := pathtracker.Destination{Service: identifier.Service(k.Pool), Endpoint: k.Endpoint, StartTime: k.StartTime, Address: k.Address}
	return g.dispatcher.Unreachable(ctx, to, k.AvailabilityZone)
}

// destinationOf returns the endpoint of a host as a destination.
func destinationOf(h *inventory.Host) pathtracker.Destination {
	e := &h.Endpoints[0]
	return pathtracker.Destination{Service: identifier.Service(e.Pool), Endpoint: e.Endpoint, StartTime: h.Born, Address: e.Address}
}

// dialFunc adapts a function to a dialer.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialContext calls f.
func (f dialFunc) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return f(ctx, network, address)
}

// helpers returns the live peers that can send requests on behalf of this daemon.
func (g *Gateway) helpers() []dispatcher.Peer {
	live := g.roster.LiveDaemons(time.Now())
	out := make([]dispatcher.Peer, 0, len(live))
	for i := range live {
		if p := &live[i]; !p.Stopping {
			out = append(out, dispatcher.Peer{Host: p.Host, Zone: p.Zone, Address: p.Address, Capacity: int(p.Capacity)})
		}
	}
	return out
}

// countRelayed counts a request that was handed to a peer.
func (g *Gateway) countRelayed(o wrapper.Outcome) {
	g.scope.Tagged(map[string]string{"outcome": string(o)}).Counter("requests_through_peers").Inc(1)
}

// endpointsOf returns the listed endpoints of a service that are not leaving.
func (g *Gateway) endpointsOf(service identifier.Service) (out []pathtracker.Destination) {
	g.registry.EachHost(func(h *inventory.Host) {
		if identifier.Service(h.Endpoints[0].Pool) == service && !g.isLeaving(h) {
			out = append(out, destinationOf(h))
		}
	})
	return out
}

// onPathChange counts and logs that a service is partitioned from this daemon, or no longer.
func (g *Gateway) onPathChange(c pathtracker.Change) {
	state := "reached again"
	if c.Partitioned {
		state = "partitioned"
	}
	g.scope.Tagged(map[string]string{"state": state, "service": string(c.Service)}).Counter("service_paths").Inc(1)
	if !g.pathLogs.Allow() {
		return
	}
	if c.Partitioned {
		g.c.Logger.Warn("service partitioned from this daemon", "service", c.Service, "failed_endpoints", c.FailedEndpoints, "reached_by_peers", c.ReachedByPeers,
			"since_connection_ms", c.SinceConnection.Milliseconds(), "error", c.LastError)
		return
	}
	g.c.Logger.Info("service reached again", "service", c.Service, "lasted_ms", c.Lasted.Milliseconds())
}

// probePaths runs the probes that the path tracker asks for.
func (g *Gateway) probePaths(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	return waiter.Every(ctx, pathProbeInterval, func(ctx context.Context) {
		for _, d := range g.paths.DueProbes(time.Now()) {
			running.Go(func() { g.dispatcher.Probe(ctx, d) })
		}
	})
}
