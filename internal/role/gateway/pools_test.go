package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"brasschute/internal/config/deployment"
	"brasschute/internal/fleet/poolrecorder"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/standin/hosting"
	"brasschute/platform"
)

// cloudAddress is the address of the stand-in cloud.
const cloudAddress = "10.250.0.1:80"

// startSizedFleet starts n daemons with the duty of sizing, whose service may have up to 30
// endpoints in each zone, and waits until the lease is held and acted on.
func (f *testFleet) startSizedFleet(n int) *hosting.Cloud {
	f.t.Helper()
	cloud := new(hosting.Cloud)
	l, err := f.storeHost.Listen(netip.MustParseAddrPort(cloudAddress))
	if err != nil {
		f.t.Fatal(err)
	}
	server := &http.Server{Handler: cloud}
	go func() { _ = server.Serve(l) }()
	f.stop = append(f.stop, func() { server.Close() })
	f.adjust = func(d *deployment.Deployment) {
		d.FleetSizing, d.Cloud = true, netip.MustParseAddrPort(cloudAddress)
	}
	prices := make(map[string]float64)
	for i := range f.zones {
		prices[fmt.Sprintf("zone-%d", i)] = 1
	}
	f.number++
	f.store.Write(platform.CatalogKind, "main", map[string]any{
		"Version": f.number,
		"Services": []any{map[string]any{
			"Name": "app", "MaxConns": 430, "Scale": map[string]any{"Min": 1, "Max": 30, "BootS": 4, "SpotPrice": 0.2, "ZonePrices": prices},
		}},
	})
	f.start(n)
	time.Sleep(2 * startTime)
	return cloud
}

// holder returns the index of the daemon that holds the lease, or -1, and fails the test if there
// are two.
func (f *testFleet) holder() int {
	f.t.Helper()
	out := -1
	for i, g := range f.daemons {
		if _, held := g.lease.Held(); held {
			if out >= 0 {
				f.t.Fatalf("daemons %d and %d hold the lease", out, i)
			}
			out = i
		}
	}
	return out
}

// awaitSuccessor returns the index of the daemon that acts next and how long that took.
func (f *testFleet) awaitSuccessor(former int, limit time.Duration) (successor int, took time.Duration) {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		time.Sleep(10 * time.Millisecond)
		if i := f.holder(); i >= 0 && i != former {
			if _, exclusive := f.daemons[i].lease.HeldExclusively(); exclusive {
				return i, time.Since(began)
			}
		}
	}
	f.t.Fatalf("no successor after %v", limit)
	return -1, 0
}

// Guards against a holder that is replaced late, and a successor that does not know what it knew.
// The holder is cut off from the store, and the successor can't read the record there either: the
// notes' copy counts. Without the announced revision the successor acted 6 to 7.5 s later.
func TestHolderThatLostTheStoreIsReplaced(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		cloud := f.startSizedFleet(4)
		former := f.holder()
		if former < 0 || len(cloud.Orders()) == 0 {
			t.Fatalf("holder %d, %d orders", former, len(cloud.Orders()))
		}
		host := string(f.daemons[former].c.Deployment.Host)
		f.store.SetFault(func(c hosting.Call) hosting.Fault {
			if c.Caller == host || c.Kind == "fleet" {
				return hosting.Unavailable
			}
			return hosting.NoFault
		})
		before, _ := f.daemons[former].lease.Held()
		successor, took := f.awaitSuccessor(former, 20*time.Second)
		// The last renewal may have been at this moment, and was heard of half a second later; then
		// a read and a write.
		if limit := 3400*time.Millisecond + dutyInterval + 200*time.Millisecond; took > limit {
			t.Errorf("a successor acts after %v, want %v", took, limit)
		}
		g := f.daemons[successor]
		if now, _ := g.lease.Held(); now <= before {
			t.Errorf("fencing number %d after %d", now, before)
		}
		time.Sleep(dutyInterval)
		record, source, _ := g.pools.Inherit(t.Context())
		if record == nil || source != poolrecorder.FromOwn || len(record.Pools) != 1 || len(record.Pools[0].Places) != 2*f.zones {
			t.Fatalf("the successor knows %+v from %s", record, source)
		}
		// The orders of the former holder were still in force: a new holder without its record would
		// repeat those that differ from what is listed.
		last := cloud.Orders()[len(cloud.Orders())-1]
		if last.Fencing > before {
			t.Errorf("the successor repeated an order: %+v", last)
		}
	})
}

// Guards against a release that candidates hear of only when the lease expires.
func TestReleasedDutiesAreTakenOverAtOnce(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.startSizedFleet(4)
		former := f.holder()
		if former < 0 {
			t.Fatal("no holder")
		}
		var record poolrecorder.Record
		if err := json.Unmarshal(f.store.Spec("fleet", "pools"), &record); err != nil || len(record.Pools) != 1 {
			t.Fatalf("stored record: %+v, %v", record, err)
		}
		g := f.daemons[former]
		g.stopping.Store(true)
		time.Sleep(2 * dutyInterval)
		g.release(t.Context())
		if _, took := f.awaitSuccessor(former, 20*time.Second); took > 2300*time.Millisecond {
			t.Errorf("a successor acts %v after the release", took)
		}
	})
}

// Notes of the previous version, late ones, and those of a former holder must neither hide that
// the lease is held nor that it has ended.
func TestHeardLease(t *testing.T) {
	const duration = 3 * time.Second
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	type heard struct {
		ms   int
		note *rpc.Note
	}
	for name, c := range map[string]struct {
		notes []heard
		ms    int
		// decides and held are what is expected then.
		decides, held bool
	}{
		"nothing":              {nil, 0, false, false},
		"announced":            {[]heard{{0, &rpc.Note{Host: "a", HoldsDuties: true, LeaseRevision: 7}}}, 2900, true, true},
		"expired":              {[]heard{{0, &rpc.Note{Host: "a", HoldsDuties: true, LeaseRevision: 7}}}, 3100, true, false},
		"not renewed":          {[]heard{{0, &rpc.Note{Host: "a", LeaseRevision: 7}}, {2000, &rpc.Note{Host: "a", LeaseRevision: 7}}}, 3100, true, false},
		"late note":            {[]heard{{0, &rpc.Note{Host: "a", LeaseRevision: 7}}, {2000, &rpc.Note{Host: "a", LeaseRevision: 6}}}, 3100, true, false},
		"renewed":              {[]heard{{0, &rpc.Note{Host: "a", LeaseRevision: 7}}, {1000, &rpc.Note{Host: "a", LeaseRevision: 8}}}, 3100, true, true},
		"released":             {[]heard{{0, &rpc.Note{Host: "a", LeaseRevision: 7}}, {500, &rpc.Note{Host: "a"}}}, 600, true, false},
		"note of another host": {[]heard{{0, &rpc.Note{Host: "a", LeaseRevision: 7}}, {500, &rpc.Note{Host: "b"}}}, 600, true, true},
		"previous version":     {[]heard{{0, &rpc.Note{Host: "a", LeaseRevision: 7}}, {500, &rpc.Note{Host: "b", HoldsDuties: true}}}, 600, false, false},
		"version after that": {[]heard{
			{0, &rpc.Note{Host: "a", LeaseRevision: 7}}, {500, &rpc.Note{Host: "b", HoldsDuties: true}}, {900, &rpc.Note{Host: "c", LeaseRevision: 9}},
		}, 3600, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var l heardLease
			for _, h := range c.notes {
				l.hear(h.note, at(h.ms))
			}
			if decides, held := l.decides(at(c.ms), duration); decides != c.decides || held != c.held {
				t.Errorf("decides %v, held %v", decides, held)
			}
		})
	}
}

// A holder cut off from the store may no longer be sent, to daemons of the previous version, as
// one that holds the lease, but names its revision and its record while it does.
func TestNoteOfHolder(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		f.startSizedFleet(2)
		former := f.holder()
		if former < 0 {
			t.Fatal("no holder")
		}
		g := f.daemons[former]
		// Right after a renewal the lease is valid for longer than until the first check.
		for renewal := g.lease.Revision(); g.lease.Revision() == renewal; {
			time.Sleep(pollInterval)
		}
		f.refuseStoreCalls(g.c.Deployment.Host)
		time.Sleep(1500 * time.Millisecond)
		if n := g.newNote(); n.GetHoldsDuties() || n.GetLeaseRevision() == 0 || len(n.GetPools()) == 0 {
			t.Errorf("note of a holder that can't renew: %v", n)
		}
		time.Sleep(2 * time.Second)
		if n := g.newNote(); n.GetLeaseRevision() != 0 || len(n.GetPools()) != 0 {
			t.Errorf("note after the lease has expired: %v", n)
		}
	})
}
