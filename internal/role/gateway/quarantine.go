package gateway

import (
	"context"
	"strings"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prober"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/quarantiner"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"

	"golang.org/x/time/rate"
)

// endingsPerSecond bounds the log lines of requests that endpoints broke off, and of those
// that come to be held; counters count all.
const endingsPerSecond = 20

// quarantine is what this daemon finds of requests under which endpoints end, and what it
// tells and hears of them.
type quarantine struct {
	*quarantiner.Quarantiner

	g      *Gateway
	prober *prober.Prober
	lines  *rate.Limiter
}

func newQuarantine(g *Gateway) *quarantine {
	z := &quarantine{
		g: g, prober: prober.New(prober.Config{Dialer: g.c.Network}), lines: rate.NewLimiter(endingsPerSecond, endingsPerSecond),
	}
	z.Quarantiner = quarantiner.New(quarantiner.Config{Host: g.c.Deployment.Host, Changed: z.changed})
	return z
}

// Broke looks whether an endpoint has ended that broke off a request, after it had brought
// some events of it. One that leaves ends as it should.
func (z *quarantine) Broke(ctx context.Context, q *request.Request, pick *registry.Pick, events int) {
	_, leaving := z.g.registry.Leaving(pick)
	found := z.prober.Probe(ctx, pick.Address)
	z.g.scope.Tagged(map[string]string{"probe": found.String()}).Counter("requests_broken_off").Inc(1)
	if found == prober.Listening {
		return
	}
	counts := found == prober.Refused && !leaving
	if z.lines.Allow() {
		z.g.c.Logger.Info("endpoint ended under a request", "request", q.ID, "fingerprint", q.Fingerprint(), "endpoint", pick.Endpoint,
			"life", pick.Incarnation, "born", pick.Born, "events", events, "probe", found, "leaving", leaving, "counts", counts)
	}
	if counts && z.Ended(q.Fingerprint(), quarantiner.Ending{Endpoint: pick.Endpoint, Born: pick.Born, Weak: events > 0}) {
		z.g.swapper.Hurry(true)
	}
}

// Answered clears a request that an endpoint has run to its end.
func (z *quarantine) Answered(q *request.Request) {
	if z.Quarantiner.Answered(q.Fingerprint()) {
		z.g.swapper.Hurry(true)
	}
}

// lift clears a request as an operator asks.
func (z *quarantine) lift(f identifier.Fingerprint) bool {
	lifted := z.Lift(f)
	z.g.c.Logger.Info("request lifted from quarantine", "fingerprint", f, "known", lifted)
	if lifted {
		z.g.swapper.Hurry(true)
	}
	return lifted
}

// changed notes that a request came to be held or free again.
func (z *quarantine) changed(s *quarantiner.Suspect) {
	message, state := "request free again", "free"
	if s.Held {
		message, state = "request held back from all endpoints", "held"
	}
	z.g.scope.Tagged(map[string]string{"state": state}).Counter("quarantine_changes").Inc(1)
	if z.lines.Allow() {
		z.g.c.Logger.Warn(message, "fingerprint", s.Fingerprint, "endings", describe(s.Endings))
	}
}

// describe lists endings for the log.
func describe(endings []quarantiner.Ending) string {
	out := make([]string, len(endings))
	now := time.Now()
	for i, e := range endings {
		out[i] = string(e.Endpoint) + " seen by " + string(e.Seen) + " " + now.Sub(e.At).Round(time.Millisecond).String() + " ago"
		if e.Weak {
			out[i] += ", weak"
		}
		if e.Void {
			out[i] += ", void"
		}
	}
	return strings.Join(out, "; ")
}

// told is what this daemon tells of suspects.
func (z *quarantine) told() []*rpc.Suspect {
	list := z.Told()
	out := make([]*rpc.Suspect, len(list))
	now := time.Now()
	for i, s := range list {
		out[i] = &rpc.Suspect{Fingerprint: string(s.Fingerprint)}
		for _, e := range s.Endings {
			out[i].Endings = append(out[i].Endings, &rpc.Ending{
				Endpoint: string(e.Endpoint), Born: int64(e.Born), Host: string(e.Seen), AgeMilli: now.Sub(e.At).Milliseconds(), Weak: e.Weak, Void: e.Void,
			})
		}
	}
	return out
}

// heard takes in what a peer tells of suspects. A relay passes news on to all that it tells,
// another daemon to some, as whoever saw an ending may not know all daemons.
func (z *quarantine) heard(told []*rpc.Suspect) {
	if len(told) == 0 {
		return
	}
	list := make([]quarantiner.Suspect, len(told))
	now := time.Now()
	for i, s := range told {
		list[i].Fingerprint = identifier.Fingerprint(s.GetFingerprint())
		for _, e := range s.GetEndings() {
			list[i].Endings = append(list[i].Endings, quarantiner.Ending{
				Endpoint: identifier.Endpoint(e.GetEndpoint()), Born: identifier.Born(e.GetBorn()), Seen: identifier.Host(e.GetHost()),
				At: now.Add(-time.Duration(max(e.GetAgeMilli(), 0)) * time.Millisecond), Weak: e.GetWeak(), Void: e.GetVoid(),
			})
		}
	}
	if z.Hear(list) {
		z.g.swapper.Hurry(z.g.large() && z.g.relaying())
	}
}
