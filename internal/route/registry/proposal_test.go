package registry

import (
	"testing"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/selector"
)

func proposalQuery() *Query {
	return &Query{Pool: "p", Select: selector.Query{Now: time.Now(), MaxInFlight: 2, PromptTokens: 1000, PrefillRate: 40_000, DecodeRate: 100, Target: time.Second, LateCost: 1}}
}

// coordinatorOf makes one daemon the coordinator of two endpoints and another that of the third.
func coordinatorOf(c *candidate.Candidate) identifier.Host {
	if c.Host == "h3" {
		return "b"
	}
	return "a"
}

// Proposals must count nowhere, be of different endpoints, and include one of another coordinator
// where there is one: it answers when the first one does not.
func TestProposeCountsNothing(t *testing.T) {
	r := newRegistry(t, "h1", "h2", "h3")
	var proposals []Proposal
	for seed := range uint64(20) {
		q := proposalQuery()
		q.Select.Seed = seed
		var d selector.Decision
		if proposals, d = r.Propose(q, coordinatorOf); len(proposals) != 2 || d.Index == selector.None {
			t.Fatalf("%d proposals", len(proposals))
		}
		if a, b := &proposals[0].Candidate, &proposals[1].Candidate; a.Endpoint == b.Endpoint || coordinatorOf(a) == coordinatorOf(b) {
			t.Errorf("seed %d: proposed %s and %s", seed, a.Endpoint, b.Endpoint)
		}
	}
	for _, c := range r.Endpoints() {
		if c.InFlight > 0 || c.PendingPrefill() > 0 {
			t.Errorf("a proposal counts at %s", c.Endpoint)
		}
	}
	pick := r.Take(proposalQuery(), &proposals[1], 20*time.Millisecond, time.Now())
	if pick == nil || pick.Endpoint != proposals[1].Candidate.Endpoint {
		t.Fatalf("took %+v", pick)
	}
	for _, c := range r.Endpoints() {
		if want := c.Endpoint == pick.Endpoint; (c.InFlight == 1) != want {
			t.Errorf("%d in flight at %s", c.InFlight, c.Endpoint)
		}
	}
	r.Release(pick, Succeeded)
}

// The home of a prompt must be proposed also if it is busy: its coordinator may know better.
func TestProposeIncludesTheHome(t *testing.T) {
	r := newRegistry(t, "h1", "h2", "h3")
	q := proposalQuery()
	q.Select.Prefix, q.Select.PriorTokens, q.Select.MaxInFlight = 77, 100, 100
	proposals, _ := r.Propose(q, coordinatorOf)
	var home identifier.Endpoint
	for i := range proposals {
		if proposals[i].Home {
			home = proposals[i].Candidate.Endpoint
		}
	}
	r.SetPeerLoads(map[identifier.Endpoint]candidate.SentLoad{home: {PendingPrefill: 1e6, TokensPerSecond: 1}})
	time.Sleep(2 * refreshPause)
	q.Select.Now = time.Now()
	proposals, _ = r.Propose(q, coordinatorOf)
	if len(proposals) != maxProposals || proposals[0].Home || !proposals[1].Home || proposals[1].Candidate.Endpoint != home {
		t.Errorf("home %s; proposals: %d, the first one is the home: %t", home, len(proposals), proposals[0].Home)
	}
}

// Between the proposal and the start a request may wait. What happens to the endpoint meanwhile must
// count.
func TestTakeChecksTheEndpointAgain(t *testing.T) {
	cases := map[string]func(t *testing.T, r *Registry){
		"leaving":  func(t *testing.T, r *Registry) { listHost(t, r, "h", 1, inventory.StateLeaving) },
		"replaced": func(t *testing.T, r *Registry) { listHost(t, r, "h", 2, inventory.StateLive) },
		"backoff":  func(_ *testing.T, r *Registry) { r.BackOff(choose(r), time.Second) },
		"full": func(_ *testing.T, r *Registry) {
			choose(r)
			choose(r)
		},
		"ejected": func(_ *testing.T, r *Registry) { r.Release(choose(r), Unreachable) },
	}
	for name, happen := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(t, "h")
			q := proposalQuery()
			proposals, _ := r.Propose(q, coordinatorOf)
			if len(proposals) != 1 || !r.Available(q, &proposals[0], time.Now()) {
				t.Fatal("not available before")
			}
			happen(t, r)
			if r.Available(q, &proposals[0], time.Now()) || r.Take(q, &proposals[0], time.Second, time.Now()) != nil {
				t.Error("the endpoint still takes the request")
			}
		})
	}
}
