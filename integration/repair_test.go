package integration

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"brasschute/internal/ops/printer"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/standin/platform"
)

// configurationWithSize returns the configuration of the tests with a desired size of the pool
// "engines" in zone 1, and with a price for on-demand hosts of zone 2.
func configurationWithSize(hosts int) string {
	text := strings.Replace(configuration(), "HonoursFencing: true}",
		fmt.Sprintf("HonoursFencing: true, Wanted: [{AvailabilityZone: zone-1, Hosts: %d}]}", hosts), 1)
	text = strings.Replace(text, "Prices:\n", "Prices:\n  - {AvailabilityZone: zone-2, Class: on-demand, PerHour: 3}\n", 1)
	return text
}

// awaitRepaired waits until the pool has its desired size and all its engines have loaded the
// model.
func (d *daemon) awaitRepaired(wanted uint32) {
	d.f.t.Helper()
	eventually(d.f.t, "repaired", func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		loaded := uint32(0)
		for _, e := range s.Endpoints {
			if e.Pool == "engines" && e.Model == "letters-1" && e.State == "usable" {
				loaded++
			}
		}
		if len(s.Repairs) != 1 || s.Repairs[0].Live != wanted || loaded != wanted || s.Repairs[0].Doing != "nothing to do" {
			return fmt.Errorf("%v, %d loaded", s.Repairs, loaded)
		}
		return nil
	})
}

// cloudCalls returns the platform's counts of calls to its cloud.
func (f *fleet) cloudCalls() platform.CloudCalls {
	f.t.Helper()
	var c platform.CloudCalls
	if err := f.getJSON("http://"+f.platformAddress+"/admin/cloud", &c); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// TestRepairOfAZoneReclaimedInOneWave reclaims all engines of a zone at once while the zone has
// no hosts left. The controller must start exactly as many in another zone within the notice, the
// next request must be served, and the audit trail must hold every step with its reason.
func TestRepairOfAZoneReclaimedInOneWave(t *testing.T) {
	f := newFleet(t)
	d := f.addEntry(1)
	f.addEntry(2)
	d.mustApply(configurationWithSize(3), 0)
	f.addController(1, "controller-1")
	f.addController(2, "controller-2")
	d.awaitRepaired(3)
	f.setFaults(platform.Faults{RefuseStarts: []string{"zone-1/reclaimable"}})
	f.postJSON("http://"+f.platformAddress+"/admin/waves", platform.ReclaimWave{AvailabilityZone: "zone-1", Deadline: time.Now().Add(3 * time.Second)})
	eventually(t, "reclaim seen", func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		if s.Repairs[0].Leaving == 0 {
			return fmt.Errorf("%v", s.Repairs)
		}
		return nil
	})
	d.awaitRepaired(3)
	if r := d.do(http.MethodPost, "/v1/chat/completions", chat(4, false)); r.status != http.StatusOK {
		t.Fatalf("%d %s", r.status, r.body)
	}
	if c := f.cloudCalls(); c.Started != 6 {
		t.Fatalf("%+v", c)
	}
	for _, step := range []string{"start a host for engines in zone-1, reclaimable", "start a host for engines in zone-2, reclaimable"} {
		eventually(t, step, func() error { return checkAudited(d, step) })
	}
	eventually(t, "model order audited", func() error { return checkAudited(d, "load letters-1 on rented-1") })
	one, err := d.operator().Audit(context.Background(), &rpc.AuditRequest{Host: "rented-1"})
	if err != nil || len(one.Entries) != 2 {
		t.Fatalf("%v %v", one, err)
	}
	var text bytes.Buffer
	printer.New(&text).Audit(one)
	if !strings.Contains(text.String(), "the pool is short") {
		t.Fatal(text.String())
	}
}

// TestRepairSurvivesKilledController kills the lease holder right after the cloud's answers to
// its start calls were lost. Its successor must repeat the calls with the same tokens: no host
// may be started twice, none may be missing.
func TestRepairSurvivesKilledController(t *testing.T) {
	f := newFleet(t)
	d := f.addEntry(1)
	f.setFaults(platform.Faults{LoseStarts: 4})
	d.mustApply(configurationWithSize(4), 0)
	first := f.addController(1, "controller-1")
	eventually(t, "starts lost", func() error {
		if c := f.cloudCalls(); c.Started < 2 {
			return fmt.Errorf("%+v", c)
		}
		return nil
	})
	first.kill()
	f.addController(1, "controller-2")
	d.awaitRepaired(4)
	if c := f.cloudCalls(); c.Started != 4 {
		t.Fatalf("%+v", c)
	}
}

// TestRepairThroughOutageAndOperatorsChange reclaims all engines while the platform is down, and
// changes the desired size when it is back. The controller must repair to the new size at once,
// and later give back surplus hosts without cutting off a stream.
func TestRepairThroughOutageAndOperatorsChange(t *testing.T) {
	f := newFleet(t)
	d := f.addEntry(1)
	d.mustApply(configurationWithSize(2), 0)
	f.addController(1, "controller-1")
	d.awaitRepaired(2)
	f.postJSON("http://"+f.platformAddress+"/admin/waves", platform.ReclaimWave{AvailabilityZone: "zone-1", Deadline: time.Now().Add(time.Second)})
	f.setFaults(platform.Faults{Outage: true})
	eventually(t, "outage seen", func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		return checkEqual("reachable", s.PlatformReachable, false)
	})
	f.setFaults(platform.Faults{})
	d.mustApply(configurationWithSize(4), 1)
	d.awaitRepaired(4)
	d.mustApply(configurationWithSize(1), 2)
	d.awaitRepaired(1)
}
