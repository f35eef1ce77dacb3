package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"brasschute/internal/config/keeper"
	"brasschute/internal/fault/injector"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/standin/platform"

	"github.com/twitchtv/twirp"
)

// newThreeZoneFleet starts a plain service and one entry daemon in each of three zones, with a
// configuration in force.
func newThreeZoneFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addPlainService(1)
	for zone := 1; zone <= 3; zone++ {
		f.addEntry(zone)
	}
	f.entries[0].mustApply(configuration(), 0)
	f.awaitReady()
	return f
}

// ruleNamed returns a rule with the given name that matches requests for the service "letters".
func ruleNamed(name string) string {
	return fmt.Sprintf(`{Name: %s, When: 'Service == "letters"', Then: {Priority: urgent}}`, name)
}

// awaitConfiguration waits until the daemon has configuration number n in force.
func (d *daemon) awaitConfiguration(n uint64) {
	d.f.t.Helper()
	eventually(d.f.t, d.host, func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		return checkEqual("configuration", s.ConfigurationNumber, n)
	})
}

// TestConfigurationReachesAllDaemons applies a rule while one daemon is cut off from the platform
// and can get it only from a peer. The command must not end before every reachable daemon has the
// rule in force, and it must name these daemons.
func TestConfigurationReachesAllDaemons(t *testing.T) {
	f := newThreeZoneFleet(t)
	f.platformProxy.Set(zoneNet(3), injector.Fault{Cut: true})
	a := f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	if got := len(a.InForce); got != 3 || len(a.Behind)+len(a.Unreachable) != 0 {
		t.Fatalf("%v", a)
	}
}

// TestConfigurationNamesWhoCannotBeReached applies a rule while one daemon is cut off from the
// platform and its peers. The command must succeed and name that daemon, which must have the rule
// in force once the partition heals.
func TestConfigurationNamesWhoCannotBeReached(t *testing.T) {
	f := newThreeZoneFleet(t)
	f.isolate(3, true)
	a := f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	if !slices.Contains(a.Unreachable, "entry-3") || len(a.InForce) != 2 {
		t.Fatalf("%v", a)
	}
	f.isolate(3, false)
	f.entries[2].awaitConfiguration(2)
}

// isolate cuts the daemons of a zone off from the platform and, in both directions, from the
// daemons of other zones, or removes these cuts.
func (f *fleet) isolate(zone int, cut bool) {
	f.platformProxy.Set(zoneNet(zone), injector.Fault{Cut: cut})
	f.partition(zone, cut)
}

// partition cuts the daemons of a zone off from the daemons of other zones in both directions, or
// removes these cuts.
func (f *fleet) partition(zone int, cut bool) {
	for _, d := range f.entries {
		if d.zone != zone {
			d.peerProxy.Set(zoneNet(zone), injector.Fault{Cut: cut})
			continue
		}
		for other := 1; other <= 3; other++ {
			if other != zone {
				d.peerProxy.Set(zoneNet(other), injector.Fault{Cut: cut})
			}
		}
	}
}

// TestConfigurationForDaemonStartedInOutage starts a daemon while the platform is down, as when a
// host is replaced. It knows only a peer from its settings, and must get the configuration in
// force from it.
func TestConfigurationForDaemonStartedInOutage(t *testing.T) {
	f := newThreeZoneFleet(t)
	f.setFaults(platform.Faults{Outage: true})
	d := f.addEntry(1, fmt.Sprintf("Seeds: [%q]", f.entries[0].peerProxy.Address()))
	d.awaitConfiguration(1)
	// Without a list of hosts it must refuse requests as not run, and not crash.
	if r := d.do(http.MethodGet, "/services/ledger/x", ""); r.outcome() != "not-run" {
		t.Fatalf("%d %s", r.status, r.body)
	}
	f.setFaults(platform.Faults{})
	eventually(t, "served", func() error {
		return checkEqual("status", d.do(http.MethodGet, "/services/ledger/x", "").status, http.StatusOK)
	})
}

// TestConfigurationNeverRevertsOnStaleReads lets the platform lose its history of changes after
// an apply, and answer lists from a stale copy. The daemons list again and must keep the newer
// configuration.
func TestConfigurationNeverRevertsOnStaleReads(t *testing.T) {
	f := newThreeZoneFleet(t)
	var before struct{ Revision uint64 }
	if err := f.getJSON("http://"+f.platformAddress+"/v1/objects?prefix=none/", &before); err != nil {
		t.Fatal(err)
	}
	f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	var calls platform.Calls
	if err := f.getJSON("http://"+f.platformAddress+"/admin/calls", &calls); err != nil {
		t.Fatal(err)
	}
	f.setFaults(platform.Faults{StaleRevision: before.Revision, Forget: true})
	eventually(t, "lists again", func() error {
		var now platform.Calls
		if err := f.getJSON("http://"+f.platformAddress+"/admin/calls", &now); err != nil {
			return err
		}
		if now.Reads < calls.Reads+int64(len(f.entries)) {
			return fmt.Errorf("%d reads", now.Reads-calls.Reads)
		}
		return nil
	})
	for _, d := range f.entries {
		d.awaitConfiguration(2)
	}
}

// TestConfigurationOfTwoOperators applies two drafts of the same configuration at once through
// two daemons. One must succeed. The other must fail with a conflict that names the change of the
// first, and no part of it may be in force.
func TestConfigurationOfTwoOperators(t *testing.T) {
	f := newThreeZoneFleet(t)
	for round := range uint64(5) {
		from := 1 + round
		var errs [2]error
		var group sync.WaitGroup
		for i := range 2 {
			group.Go(func() {
				_, errs[i] = f.entries[i].apply(configuration(ruleNamed(fmt.Sprintf("by-%d-%d", i, round))), from)
			})
		}
		group.Wait()
		if (errs[0] == nil) == (errs[1] == nil) {
			t.Fatalf("round %d: %v, %v", round, errs[0], errs[1])
		}
		conflict := errs[0]
		if conflict == nil {
			conflict = errs[1]
		}
		e := twirpError(conflict)
		if e == nil || e.Code() != twirp.Aborted || !strings.Contains(e.Msg(), "conflict") {
			t.Fatalf("round %d: %v", round, conflict)
		}
		for _, d := range f.entries {
			d.awaitConfiguration(from + 1)
		}
	}
	// A draft that comes later does not conflict at the platform, but it must be refused as well if
	// it is based on an older configuration.
	if _, err := f.entries[2].apply(configuration(ruleNamed("late")), 1); twirpError(err) == nil || twirpError(err).Code() != twirp.Aborted {
		t.Fatalf("a draft from an old number: %v", err)
	}
}

// TestConfigurationAnswerLostAfterWrite loses the platform's answer after it has stored a
// configuration. The operator must learn that the change is in force, and the history must hold
// it once.
func TestConfigurationAnswerLostAfterWrite(t *testing.T) {
	f := newThreeZoneFleet(t)
	f.setFaults(platform.Faults{LoseAnswers: 1})
	a := f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	if a.Number != 2 {
		t.Fatalf("%v", a)
	}
	h, err := f.entries[1].operator().History(t.Context(), &rpc.HistoryRequest{})
	if err != nil || len(h.Changes) != 2 || h.Changes[0].Number != 2 || h.Changes[0].Who != "alex" || h.Changes[0].From != 1 {
		t.Fatalf("%v %v", h, err)
	}
	if !slices.ContainsFunc(h.Changes[0].Differs, func(line string) bool { return strings.HasPrefix(line, "+Rules: [{Name: x") }) {
		t.Fatalf("differs: %q", h.Changes[0].Differs)
	}
}

// TestConfigurationOutcomeUnknown loses the platform's answer after it has stored a
// configuration, and then takes the platform down. The operator must be told that the outcome is
// unknown, never that nothing changed, and the change must be in force after the outage.
func TestConfigurationOutcomeUnknown(t *testing.T) {
	f := newThreeZoneFleet(t)
	f.setFaults(platform.Faults{LoseAnswers: 1, FailAfterLost: true})
	_, err := f.entries[0].apply(configuration(ruleNamed("x")), 1)
	if e := twirpError(err); e == nil || e.Code() != twirp.Unknown {
		t.Fatalf("%v", err)
	}
	f.setFaults(platform.Faults{})
	f.entries[1].awaitConfiguration(2)
	// An apply that cannot read from the platform has changed nothing, and must say so.
	f.platformProxy.Set(zoneNet(1), injector.Fault{Cut: true})
	_, err = f.entries[0].apply(configuration(ruleNamed("y")), 2)
	if e := twirpError(err); e == nil || e.Code() != twirp.Unavailable || !strings.HasPrefix(e.Msg(), "nothing changed") {
		t.Fatalf("%v", err)
	}
}

// overwriteObject writes an object of the platform directly, without the checks of an apply.
func (f *fleet) overwriteObject(key string, value any) {
	f.t.Helper()
	var o object.Object
	if err := f.getJSON("http://"+f.platformAddress+"/v1/objects/"+key, &o); err != nil {
		f.t.Fatal(err)
	}
	body, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+f.platformAddress+"/v1/objects/"+key, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(o.Version)))
	resp, err := f.client.Do(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		f.t.Fatal(resp, err)
	}
	resp.Body.Close()
}

// TestConfigurationBadObjectIsRefused writes an invalid configuration directly to the platform.
// Every daemon must keep the last valid one and report what it refused, and the next apply must
// replace the invalid one.
func TestConfigurationBadObjectIsRefused(t *testing.T) {
	f := newThreeZoneFleet(t)
	f.overwriteObject(inventory.ConfigurationKey, keeper.Record{Source: "Rules: nonsense", Change: keeper.Change{Number: 7}})
	for _, d := range f.entries {
		eventually(t, d.host, func() error {
			s, err := d.status()
			if err != nil {
				return err
			}
			if s.ConfigurationNumber != 1 || !strings.Contains(s.RefusedConfiguration, "configuration 7") {
				return fmt.Errorf("in force %d, refused %q", s.ConfigurationNumber, s.RefusedConfiguration)
			}
			return nil
		})
	}
	a := f.entries[0].mustApply(configuration(ruleNamed("good")), 1)
	if a.Number != 8 || len(a.InForce) != 3 {
		t.Fatalf("%v", a)
	}
}

// TestConfigurationSurvivesRestoredPlatform restores an old configuration at the platform, as a
// backup does. No daemon may go back to it, and operators must be able to apply new ones.
func TestConfigurationSurvivesRestoredPlatform(t *testing.T) {
	f := newThreeZoneFleet(t)
	var o object.Object
	if err := f.getJSON("http://"+f.platformAddress+"/v1/objects/"+inventory.ConfigurationKey, &o); err != nil {
		t.Fatal(err)
	}
	f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	f.overwriteObject(inventory.ConfigurationKey, o.Value)
	// A daemon that lists a host added after the restore has seen the restored object, too.
	f.addPlainService(1)
	f.awaitReady()
	for _, d := range f.entries {
		d.awaitConfiguration(2)
	}
	a := f.entries[1].mustApply(configuration(ruleNamed("y")), 2)
	if a.Number != 3 || len(a.InForce) != 3 {
		t.Fatalf("%v", a)
	}
}

// TestConfigurationInvalidDraftNamesEveryProblem applies a draft with several mistakes. It must
// be refused with all of them at once, each with file, line and field, and change nothing.
func TestConfigurationInvalidDraftNamesEveryProblem(t *testing.T) {
	f := newThreeZoneFleet(t)
	bad := strings.ReplaceAll(configuration(ruleNamed("a"), ruleNamed("a")), "Timeout: 60s", "Timeout: 60")
	_, err := f.entries[0].apply(bad, 1)
	e := twirpError(err)
	if e == nil || e.Code() != twirp.InvalidArgument {
		t.Fatalf("%v", err)
	}
	for _, part := range []string{"test.yaml:6: Services[0].Timeout: found \"60\"", "Rules[1].Name: found \"a\" a second time", "never reached"} {
		if !strings.Contains(e.Msg(), part) {
			t.Errorf("%q lacks %q", e.Msg(), part)
		}
	}
	f.entries[0].awaitConfiguration(1)
}
