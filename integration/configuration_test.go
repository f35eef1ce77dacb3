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

// three starts daemons in three zones.
func three(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addPlain(1)
	for zone := 1; zone <= 3; zone++ {
		f.addEntry(zone)
	}
	f.entries[0].mustApply(configuration(), 0)
	f.ready()
	return f
}

func ruleNamed(name string) string {
	return fmt.Sprintf(`{Name: %s, When: 'Service == "letters"', Then: {Priority: urgent}}`, name)
}

// inForce waits until a daemon has a number in force.
func (d *daemon) inForce(n uint64) {
	d.f.t.Helper()
	eventually(d.f.t, d.host, func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		return want("configuration", s.ConfigurationNumber, n)
	})
}

func TestConfigurationReachesAllDaemons(t *testing.T) {
	// An operator applies a rule. The command must not end before every
	// daemon that can be reached has it in force, and must name them, also
	// the one that is cut off from the platform and gets it from a peer.
	f := three(t)
	f.proxy.Set(zoneNet(3), injector.Fault{Cut: true})
	a := f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	if got := len(a.InForce); got != 3 || len(a.Behind)+len(a.Unreachable) != 0 {
		t.Fatalf("%v", a)
	}
}

func TestConfigurationNamesWhoCannotBeReached(t *testing.T) {
	// One daemon is cut off from the platform and from its peers. The apply
	// succeeds and names it; once the cut heals the daemon has the rule too.
	f := three(t)
	f.isolate(3, true)
	a := f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	if !slices.Contains(a.Unreachable, "entry-3") || len(a.InForce) != 2 {
		t.Fatalf("%v", a)
	}
	f.isolate(3, false)
	f.entries[2].inForce(2)
}

// isolate cuts a zone off from the platform and from the daemons of other
// zones, both ways, or heals it.
func (f *fleet) isolate(zone int, cut bool) {
	f.proxy.Set(zoneNet(zone), injector.Fault{Cut: cut})
	f.part(zone, cut)
}

// part cuts a zone's daemons off from those of other zones, or heals it.
func (f *fleet) part(zone int, cut bool) {
	for _, d := range f.entries {
		if d.zone != zone {
			d.peers.Set(zoneNet(zone), injector.Fault{Cut: cut})
			continue
		}
		for other := 1; other <= 3; other++ {
			if other != zone {
				d.peers.Set(zoneNet(other), injector.Fault{Cut: cut})
			}
		}
	}
}

func TestConfigurationForDaemonStartedInOutage(t *testing.T) {
	// The platform is down and a host is replaced. The new daemon knows only
	// a peer from its settings; it must serve by the configuration in force.
	f := three(t)
	f.faults(platform.Faults{Outage: true})
	d := f.addEntry(1, fmt.Sprintf("Seeds: [%q]", f.entries[0].peers.Address()))
	d.inForce(1)
	// It has no host list yet, so it refuses as not run and does not crash.
	if r := d.do(http.MethodGet, "/services/ledger/x", ""); r.outcome() != "not-run" {
		t.Fatalf("%d %s", r.status, r.body)
	}
	f.faults(platform.Faults{})
	eventually(t, "served", func() error {
		return want("status", d.do(http.MethodGet, "/services/ledger/x", "").status, http.StatusOK)
	})
}

func TestConfigurationNeverRevertsOnStaleReads(t *testing.T) {
	// After an apply, the platform loses its memory of changes and then
	// answers lists from a copy that is behind. The daemons list again and
	// must keep the newer configuration.
	f := three(t)
	var before struct{ Revision uint64 }
	if err := f.get("http://"+f.admin+"/v1/objects?prefix=none/", &before); err != nil {
		t.Fatal(err)
	}
	f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	var calls platform.Calls
	if err := f.get("http://"+f.admin+"/admin/calls", &calls); err != nil {
		t.Fatal(err)
	}
	f.faults(platform.Faults{StaleRevision: before.Revision, Forget: true})
	eventually(t, "lists again", func() error {
		var now platform.Calls
		if err := f.get("http://"+f.admin+"/admin/calls", &now); err != nil {
			return err
		}
		if now.Reads < calls.Reads+int64(len(f.entries)) {
			return fmt.Errorf("%d reads", now.Reads-calls.Reads)
		}
		return nil
	})
	for _, d := range f.entries {
		d.inForce(2)
	}
}

func TestConfigurationOfTwoOperators(t *testing.T) {
	// Two operators edit the same configuration and apply at once, through
	// two daemons. One must win; the other must get a conflict that names the
	// winner's change, and nothing of the loser's may be in force.
	f := three(t)
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
		lost := errs[0]
		if lost == nil {
			lost = errs[1]
		}
		e := twirpError(lost)
		if e == nil || e.Code() != twirp.Aborted || !strings.Contains(e.Msg(), "conflict") {
			t.Fatalf("round %d: %v", round, lost)
		}
		for _, d := range f.entries {
			d.inForce(from + 1)
		}
	}
	// One after the other is no race for the platform, yet the second draft
	// was made without the first one's change.
	if _, err := f.entries[2].apply(configuration(ruleNamed("late")), 1); twirpError(err) == nil || twirpError(err).Code() != twirp.Aborted {
		t.Fatalf("a draft from an old number: %v", err)
	}
}

func TestConfigurationAnswerLostAfterWrite(t *testing.T) {
	// The platform stores the configuration and its answer is lost. The
	// operator must learn that the change is in force, and the history must
	// hold it once.
	f := three(t)
	f.faults(platform.Faults{LoseAnswers: 1})
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

func TestConfigurationOutcomeUnknown(t *testing.T) {
	// The write takes effect, its answer is lost and the platform goes down.
	// The operator must be told that the outcome is unknown, never that
	// nothing changed; after the outage the change is in force.
	f := three(t)
	f.faults(platform.Faults{LoseAnswers: 1, FailAfterLost: true})
	_, err := f.entries[0].apply(configuration(ruleNamed("x")), 1)
	if e := twirpError(err); e == nil || e.Code() != twirp.Unknown {
		t.Fatalf("%v", err)
	}
	f.faults(platform.Faults{})
	f.entries[1].inForce(2)
	// An apply that cannot even read the platform has changed nothing.
	f.proxy.Set(zoneNet(1), injector.Fault{Cut: true})
	_, err = f.entries[0].apply(configuration(ruleNamed("y")), 2)
	if e := twirpError(err); e == nil || e.Code() != twirp.Unavailable || !strings.HasPrefix(e.Msg(), "nothing changed") {
		t.Fatalf("%v", err)
	}
}

// raw writes an object past all checks.
func (f *fleet) raw(key string, value any) {
	f.t.Helper()
	var o object.Object
	if err := f.get("http://"+f.admin+"/v1/objects/"+key, &o); err != nil {
		f.t.Fatal(err)
	}
	body, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+f.admin+"/v1/objects/"+key, bytes.NewReader(body))
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

func TestConfigurationBadObjectIsRefused(t *testing.T) {
	// Somebody writes a bad configuration straight to the platform. Every
	// daemon must keep the last good one and say what it refused; the next
	// apply must replace the bad one.
	f := three(t)
	f.raw(inventory.ConfigurationKey, keeper.Record{Source: "Rules: nonsense", Change: keeper.Change{Number: 7}})
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

func TestConfigurationSurvivesRestoredPlatform(t *testing.T) {
	// The platform is restored from a backup and holds an old configuration.
	// No daemon may go back to it, and operators must be able to go on.
	f := three(t)
	var o object.Object
	if err := f.get("http://"+f.admin+"/v1/objects/"+inventory.ConfigurationKey, &o); err != nil {
		t.Fatal(err)
	}
	f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	f.raw(inventory.ConfigurationKey, o.Value)
	// A host that is listed after the restore shows that each daemon has seen
	// the restored object too.
	f.addPlain(1)
	f.ready()
	for _, d := range f.entries {
		d.inForce(2)
	}
	a := f.entries[1].mustApply(configuration(ruleNamed("y")), 2)
	if a.Number != 3 || len(a.InForce) != 3 {
		t.Fatalf("%v", a)
	}
}

func TestConfigurationInvalidDraftNamesEveryProblem(t *testing.T) {
	// A draft with several mistakes must be refused with all of them at once,
	// each with file, line and field, and change nothing.
	f := three(t)
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
	f.entries[0].inForce(1)
}
