package integration

import (
	"fmt"
	"net/http"
	"testing"

	"brasschute/internal/fault/injector"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/standin/platform"
)

// cell is one field of the partition table in docs/PARTITIONS.md.
type cell struct {
	request string
	send    func(d *daemon) *reply
	served  bool
	outcome string
}

func chatCall(d *daemon) *reply {
	return d.do(http.MethodPost, "/v1/chat/completions", chat(3, false))
}

func plainCall(d *daemon) *reply { return d.do(http.MethodGet, "/services/ledger/x", "") }

func bookingCall(d *daemon) *reply { return d.do(http.MethodPost, "/services/booking/x", "") }

func dedupCall(d *daemon) *reply {
	return d.do(http.MethodPost, "/services/dedup/x", "", "Idempotency-Key", "dedup-"+d.host)
}

// keyedCall uses a new key each time.
func keyedCall(keys *int) func(*daemon) *reply {
	return func(d *daemon) *reply {
		*keys++
		return d.confirm(fmt.Sprintf("partition-%d", *keys), "bond")
	}
}

func TestPartitionTable(t *testing.T) {
	// A zone is cut off from the other zones, from the platform, or from both.
	// Each kind of request must be served or refused as docs/PARTITIONS.md
	// says, always with the true outcome; and after healing all are served.
	f := newFleet(t)
	for zone := 1; zone <= 2; zone++ {
		f.addEngine(zone)
		f.addPlain(zone)
		f.addEntry(zone)
	}
	f.entries[0].mustApply(configuration(), 0)
	f.ready()
	d := f.entries[1]
	keys := 0
	cells := func(keyed bool) []cell {
		out := []cell{
			{"chat", chatCall, true, ""},
			{"plain", plainCall, true, ""},
			{"booking without key", bookingCall, true, ""},
			{"deduplicating service", dedupCall, true, ""},
			{"keyed confirmation", keyedCall(&keys), keyed, "not-run"},
		}
		return out
	}
	parts := []struct {
		name  string
		cut   func(on bool)
		keyed bool
	}{
		{"from the other zones", func(on bool) { f.part(2, on); f.partEndpoints(2, on) }, true},
		{"from the platform", func(on bool) { f.proxy.Set(zoneNet(2), injector.Fault{Cut: on}) }, false},
		{"from both", func(on bool) { f.isolate(2, on); f.partEndpoints(2, on) }, false},
	}
	for _, p := range parts {
		for _, c := range cells(p.keyed) {
			t.Run(p.name+"/"+c.request, func(t *testing.T) {
				p.cut(true)
				for range 5 {
					check(t, c, c.send(d))
				}
				p.cut(false)
				eventually(t, "healed", func() error {
					return want("status", c.send(d).status, http.StatusOK)
				})
			})
		}
	}
}

// partEndpoints cuts a zone's daemons off from endpoints of other zones.
func (f *fleet) partEndpoints(zone int, cut bool) {
	for _, e := range append(f.engines, f.plains...) {
		if e.zone != zone {
			e.proxy.Set(zoneNet(zone), injector.Fault{Cut: cut})
		}
	}
}

// check compares an answer with the table. A request that met a cut
// connection may also have an unknown outcome, never a wrong one.
func check(t *testing.T, c cell, r *reply) {
	t.Helper()
	if c.served && r.status == http.StatusOK {
		return
	}
	if c.served {
		t.Errorf("%s: %d %s %v, want it served", c.request, r.status, r.body, r.err)
		return
	}
	if r.outcome() != c.outcome || r.header.Get("Retry-After") == "" {
		t.Errorf("%s: %d %s %v, want %s", c.request, r.status, r.body, r.err, c.outcome)
	}
}

func TestPartitionHealsWithoutStampede(t *testing.T) {
	// The platform is away for a while and comes back. Each daemon must cost
	// it a handful of calls, not one for each request or retry in between.
	f := three(t)
	f.faults(platform.Faults{Outage: true})
	for _, d := range f.entries {
		eventually(t, d.host, func() error {
			s, err := d.status()
			if err != nil {
				return err
			}
			return want("platform reachable", s.PlatformReachable, false)
		})
		for range 50 {
			if r := plainCall(d); r.status != http.StatusOK {
				t.Fatalf("%d %s", r.status, r.body)
			}
		}
	}
	var before, after platform.Calls
	if err := f.get("http://"+f.admin+"/admin/calls", &before); err != nil {
		t.Fatal(err)
	}
	// Without pauses that grow, the daemons would call thousands of times.
	if most := int64(100 * len(f.entries)); before.Refused > most {
		t.Errorf("%d calls during the outage, at most %d expected", before.Refused, most)
	}
	f.faults(platform.Faults{})
	f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	for _, d := range f.entries {
		d.inForce(2)
	}
	if err := f.get("http://"+f.admin+"/admin/calls", &after); err != nil {
		t.Fatal(err)
	}
	const perDaemon = 6
	calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches
	if most := int64(perDaemon * len(f.entries)); calls > most {
		t.Fatalf("%d calls for %d daemons, at most %d expected", calls, len(f.entries), most)
	}
}

// state waits until a daemon believes a member to be in a state.
func (d *daemon) believes(host string, state rpc.State) {
	d.f.t.Helper()
	eventually(d.f.t, fmt.Sprintf("%s believes %s %s", d.host, host, state), func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		for _, m := range s.Members {
			if m.Host == host {
				return want("state", m.State, state)
			}
		}
		return fmt.Errorf("not listed")
	})
}
