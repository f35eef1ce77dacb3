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

// wanting is the tests' configuration with a wanted size for zone 1, and
// prices for the places where hosts can be had.
func wanting(hosts int) string {
	text := strings.Replace(configuration(), "HonoursFencing: true}",
		fmt.Sprintf("HonoursFencing: true, Wanted: [{AvailabilityZone: zone-1, Hosts: %d}]}", hosts), 1)
	text = strings.Replace(text, "Prices:\n", "Prices:\n  - {AvailabilityZone: zone-2, Class: on-demand, PerHour: 3}\n", 1)
	return text
}

// repaired waits until a pool has its wanted size and its engines the model.
func (d *daemon) repaired(wanted uint32) {
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

func (f *fleet) cloud() platform.CloudCalls {
	f.t.Helper()
	var c platform.CloudCalls
	if err := f.get("http://"+f.admin+"/admin/cloud", &c); err != nil {
		f.t.Fatal(err)
	}
	return c
}

func TestRepairOfAZoneReclaimedInOneWave(t *testing.T) {
	// All engines of a zone are reclaimed at once while the zone itself has no
	// replacements to give. The controller must take them from another zone,
	// within the notice, none too many, and the next letter must be served.
	// The audit tells the whole story.
	f := newFleet(t)
	d := f.addEntry(1)
	f.addEntry(2)
	d.mustApply(wanting(3), 0)
	f.addController(1, "controller-1")
	f.addController(2, "controller-2")
	d.repaired(3)
	f.faults(platform.Faults{RefuseStarts: []string{"zone-1/reclaimable"}})
	f.post("http://"+f.admin+"/admin/waves", platform.ReclaimWave{AvailabilityZone: "zone-1", Deadline: time.Now().Add(3 * time.Second)})
	eventually(t, "seen", func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		if s.Repairs[0].Leaving == 0 {
			return fmt.Errorf("%v", s.Repairs)
		}
		return nil
	})
	d.repaired(3)
	if r := d.do(http.MethodPost, "/v1/chat/completions", chat(4, false)); r.status != http.StatusOK {
		t.Fatalf("%d %s", r.status, r.body)
	}
	if c := f.cloud(); c.Started != 6 {
		t.Fatalf("%+v", c)
	}
	for _, step := range []string{"start a host for engines in zone-1, reclaimable", "start a host for engines in zone-2, reclaimable"} {
		eventually(t, step, func() error { return audited(d, step) })
	}
	eventually(t, "model ordered", func() error { return audited(d, "load letters-1 on rented-1") })
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

func TestRepairSurvivesKilledController(t *testing.T) {
	// The leading controller is killed right after the cloud's answers to its
	// starts were lost. Its successor must ask again with the same tokens: no
	// host may be started twice, none forgotten.
	f := newFleet(t)
	d := f.addEntry(1)
	f.faults(platform.Faults{LoseStarts: 4})
	d.mustApply(wanting(4), 0)
	first := f.addController(1, "controller-1")
	eventually(t, "starts lost", func() error {
		if c := f.cloud(); c.Started < 2 {
			return fmt.Errorf("%+v", c)
		}
		return nil
	})
	first.kill()
	f.addController(1, "controller-2")
	d.repaired(4)
	if c := f.cloud(); c.Started != 4 {
		t.Fatalf("%+v", c)
	}
}

func TestRepairThroughOutageAndOperatorsChange(t *testing.T) {
	// The platform is down during a whole wave; when it is back an operator
	// has changed the wanted size. The controller repairs to the new size at
	// once, and gives surplus hosts back later without cutting off a stream.
	f := newFleet(t)
	d := f.addEntry(1)
	d.mustApply(wanting(2), 0)
	f.addController(1, "controller-1")
	d.repaired(2)
	f.post("http://"+f.admin+"/admin/waves", platform.ReclaimWave{AvailabilityZone: "zone-1", Deadline: time.Now().Add(time.Second)})
	f.faults(platform.Faults{Outage: true})
	eventually(t, "outage seen", func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		return want("reachable", s.PlatformReachable, false)
	})
	f.faults(platform.Faults{})
	d.mustApply(wanting(4), 1)
	d.repaired(4)
	d.mustApply(wanting(1), 2)
	d.repaired(1)
}
