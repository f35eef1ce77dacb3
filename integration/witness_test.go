package integration

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"brasschute/internal/fault/injector"
	"brasschute/internal/standin/plain"
	"brasschute/internal/standin/platform"
)

// witnessRule holds the answers of the services "confirm" and "ledger" until the witness
// acknowledges them.
const witnessRule = `{Name: witnessed, When: 'Service in ["confirm", "ledger"]', Then: {HoldFor: witness}}`

// newWitnessedFleet starts two daemons, a plain service and a witness, with the witnessRule in
// force.
func newWitnessedFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addPlainService(1)
	f.addWitness(1)
	f.addEntry(1)
	f.addEntry(2)
	f.entries[0].mustApply(configuration(witnessRule), 0)
	f.awaitReady()
	return f
}

// checkHeld checks that an answer is held and returns the path at which it can be fetched later.
func checkHeld(t *testing.T, r *reply) string {
	t.Helper()
	if r.status != http.StatusAccepted || r.header.Get("Retry-After") == "" || r.header.Get("Location") == "" {
		t.Fatalf("%d %s %v", r.status, r.body, r.header)
	}
	if strings.Contains(r.body, "bond 7") {
		t.Fatalf("the answer leaked: %s", r.body)
	}
	return r.header.Get("Location")
}

// awaitReleased waits until the held answer at path is released.
func (d *daemon) awaitReleased(path string) {
	d.f.t.Helper()
	eventually(d.f.t, "released", func() error {
		r := d.do(http.MethodGet, path, "")
		if r.status != http.StatusOK || !strings.Contains(r.body, "bond 7") {
			return fmt.Errorf("%d %s", r.status, r.body)
		}
		return nil
	})
}

// TestWitnessAcknowledges sends a request whose answer the witness acknowledges. The answer must
// be released at once, after the witness has seen it.
func TestWitnessAcknowledges(t *testing.T) {
	f := newWitnessedFleet(t)
	r := f.entries[0].confirm("k", "bond 7")
	if r.status != http.StatusOK || !strings.Contains(r.body, "bond 7") {
		t.Fatalf("%d %s", r.status, r.body)
	}
	if n := len(f.witnesses[0].executions()); n != 1 {
		t.Fatalf("the witness saw %d confirmations", n)
	}
}

// TestWitnessDownDelaysAndNeverBypasses lets the witness fail in several ways. The request runs
// once, and until the witness acknowledges its answer, nobody may get it from any daemon, neither
// by repeating the key nor by fetching the held answer.
func TestWitnessDownDelaysAndNeverBypasses(t *testing.T) {
	f := newWitnessedFleet(t)
	cases := []struct {
		name  string
		fault injector.Fault
		plain plain.Behaviour
	}{
		{"cut", injector.Fault{Cut: true}, plain.Behaviour{}},
		{"answer lost", injector.Fault{LoseAnswers: true}, plain.Behaviour{}},
		{"fails", injector.Fault{}, plain.Behaviour{Fail: true}},
		{"refuses", injector.Fault{}, plain.Behaviour{Refuse: true}},
	}
	w := f.witnesses[0]
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w.proxy.Set(injector.All, c.fault)
			w.setBehaviour(c.plain)
			path := checkHeld(t, f.entries[0].confirm(c.name, "bond 7"))
			checkHeld(t, f.entries[1].do(http.MethodGet, path, ""))
			eventually(t, "claim finished", func() error {
				return checkEqual("repeat", f.entries[1].confirm(c.name, "bond 7").status, http.StatusAccepted)
			})
			if n := executionCount(c.name, f.plainServices...); n != 1 {
				t.Fatalf("ran %d times", n)
			}
			w.proxy.Set(injector.All, injector.Fault{})
			w.setBehaviour(plain.Behaviour{})
			f.entries[1].awaitReleased(path)
		})
	}
}

// TestWitnessHoldSurvivesReclaim kills the daemon that holds an answer, as when its host is
// reclaimed. The caller must get the answer at another daemon.
func TestWitnessHoldSurvivesReclaim(t *testing.T) {
	f := newWitnessedFleet(t)
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{Cut: true})
	path := checkHeld(t, f.entries[0].confirm("k", "bond 7"))
	f.entries[0].kill()
	checkHeld(t, f.entries[1].do(http.MethodGet, path, ""))
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{})
	f.entries[1].awaitReleased(path)
}

// TestWitnessHoldWithoutPlatform takes witness and platform down together. Peers must keep the
// answer until the caller fetches it, even if the first daemon stops.
func TestWitnessHoldWithoutPlatform(t *testing.T) {
	f := newWitnessedFleet(t)
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{Cut: true})
	f.setFaults(platform.Faults{Outage: true})
	path := checkHeld(t, f.entries[0].do(http.MethodPost, "/services/ledger/x", "bond 7"))
	f.entries[0].signal(syscall.SIGTERM)
	f.entries[0].awaitExit()
	checkHeld(t, f.entries[1].do(http.MethodGet, path, ""))
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{})
	f.entries[1].awaitReleased(path)
}

// TestWitnessOfAModelsAnswer streams a model's answer under a rule that holds answers. It must
// not be streamed before the witness acknowledges it, but be held as a whole.
func TestWitnessOfAModelsAnswer(t *testing.T) {
	f := newFleet(t)
	f.addEngine(1)
	f.addWitness(1)
	d := f.addEntry(1)
	d.mustApply(configuration(`{Name: letters, When: 'Kind == "model"', Then: {HoldFor: witness}}`), 0)
	f.awaitReady()
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{Cut: true})
	r := d.do(http.MethodPost, "/v1/chat/completions", chat(5, true))
	path := checkHeld(t, r)
	if strings.Contains(r.body, strings.TrimSpace(expectedText(1))) {
		t.Fatalf("leaked: %s", r.body)
	}
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{})
	eventually(t, "released", func() error {
		r := d.do(http.MethodGet, path, "")
		if r.status != http.StatusOK || !containsText(r.body, expectedText(5)) {
			return fmt.Errorf("%d %s", r.status, r.body)
		}
		return nil
	})
}
