package integration

import (
	"fmt"
	"net/http"
	"testing"

	"brasschute/internal/fault/injector"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/standin/platform"
)

// partitionCase is a kind of request in the table of docs/PARTITIONS.md, with its expected
// result.
type partitionCase struct {
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

// keyedCall returns a function that sends requests, each with a new idempotency key.
func keyedCall(keys *int) func(*daemon) *reply {
	return func(d *daemon) *reply {
		*keys++
		return d.confirm(fmt.Sprintf("partition-%d", *keys), "bond")
	}
}

// TestPartitionTable cuts a zone off from the other zones, from the platform, or from both. Each
// kind of request must be served or refused as docs/PARTITIONS.md says, with the true outcome,
// and all must be served after the partition heals.
func TestPartitionTable(t *testing.T) {
	f := newFleet(t)
	for zone := 1; zone <= 2; zone++ {
		f.addEngine(zone)
		f.addPlainService(zone)
		f.addEntry(zone)
	}
	f.entries[0].mustApply(configuration(), 0)
	f.awaitReady()
	d := f.entries[1]
	keys := 0
	cases := func(keyed bool) []partitionCase {
		out := []partitionCase{
			{"chat", chatCall, true, ""},
			{"plain", plainCall, true, ""},
			{"booking without key", bookingCall, true, ""},
			{"deduplicating service", dedupCall, true, ""},
			{"keyed confirmation", keyedCall(&keys), keyed, "not-run"},
		}
		return out
	}
	partitions := []struct {
		name  string
		cut   func(on bool)
		keyed bool
	}{
		{"from the other zones", func(on bool) { f.partition(2, on); f.partitionEndpoints(2, on) }, true},
		{"from the platform", func(on bool) { f.platformProxy.Set(zoneNet(2), injector.Fault{Cut: on}) }, false},
		{"from both", func(on bool) { f.isolate(2, on); f.partitionEndpoints(2, on) }, false},
	}
	for _, p := range partitions {
		for _, c := range cases(p.keyed) {
			t.Run(p.name+"/"+c.request, func(t *testing.T) {
				p.cut(true)
				for range 5 {
					checkPartitionCase(t, c, c.send(d))
				}
				p.cut(false)
				eventually(t, "healed", func() error {
					return checkEqual("status", c.send(d).status, http.StatusOK)
				})
			})
		}
	}
}

// partitionEndpoints cuts a zone's daemons off from the endpoints of other zones, or removes
// these cuts.
func (f *fleet) partitionEndpoints(zone int, cut bool) {
	for _, e := range append(f.engines, f.plainServices...) {
		if e.zone != zone {
			e.proxy.Set(zoneNet(zone), injector.Fault{Cut: cut})
		}
	}
}

// checkPartitionCase compares an answer with the expected result.
func checkPartitionCase(t *testing.T, c partitionCase, r *reply) {
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

// TestPartitionHealsWithoutStampede counts the calls of the daemons to the platform during and
// after an outage. Each daemon may make only a few, not one for each request or retry in the
// meantime.
func TestPartitionHealsWithoutStampede(t *testing.T) {
	f := newThreeZoneFleet(t)
	f.setFaults(platform.Faults{Outage: true})
	for _, d := range f.entries {
		eventually(t, d.host, func() error {
			s, err := d.status()
			if err != nil {
				return err
			}
			return checkEqual("platform reachable", s.PlatformReachable, false)
		})
		for range 50 {
			if r := plainCall(d); r.status != http.StatusOK {
				t.Fatalf("%d %s", r.status, r.body)
			}
		}
	}
	var before, after platform.Calls
	if err := f.getJSON("http://"+f.platformAddress+"/admin/calls", &before); err != nil {
		t.Fatal(err)
	}
	// Without a growing backoff, the daemons would make thousands of calls.
	if most := int64(100 * len(f.entries)); before.Refused > most {
		t.Errorf("%d calls during the outage, at most %d expected", before.Refused, most)
	}
	f.setFaults(platform.Faults{})
	f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	for _, d := range f.entries {
		d.awaitConfiguration(2)
	}
	if err := f.getJSON("http://"+f.platformAddress+"/admin/calls", &after); err != nil {
		t.Fatal(err)
	}
	const perDaemon = 6
	calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches
	if most := int64(perDaemon * len(f.entries)); calls > most {
		t.Fatalf("%d calls for %d daemons, at most %d expected", calls, len(f.entries), most)
	}
}

// awaitMemberState waits until the daemon lists a member with a state.
func (d *daemon) awaitMemberState(host string, state rpc.State) {
	d.f.t.Helper()
	eventually(d.f.t, fmt.Sprintf("%s lists %s as %s", d.host, host, state), func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		for _, m := range s.Members {
			if m.Host == host {
				return checkEqual("state", m.State, state)
			}
		}
		return fmt.Errorf("not listed")
	})
}
