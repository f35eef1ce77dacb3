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

const heldRule = `{Name: witnessed, When: 'Service in ["confirm", "ledger"]', Then: {HoldFor: witness}}`

// witnessed starts two daemons whose confirmations Compliance must witness.
func witnessed(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addPlain(1)
	f.addWitness(1)
	f.addEntry(1)
	f.addEntry(2)
	f.entries[0].mustApply(configuration(heldRule), 0)
	f.ready()
	return f
}

// held checks an answer that is held and returns where to collect it.
func held(t *testing.T, r *reply) string {
	t.Helper()
	if r.status != http.StatusAccepted || r.header.Get("Retry-After") == "" || r.header.Get("Location") == "" {
		t.Fatalf("%d %s %v", r.status, r.body, r.header)
	}
	if strings.Contains(r.body, "bond 7") {
		t.Fatalf("the answer leaked: %s", r.body)
	}
	return r.header.Get("Location")
}

// collected waits until the answer is released.
func (d *daemon) collected(path string) {
	d.f.t.Helper()
	eventually(d.f.t, "released", func() error {
		r := d.do(http.MethodGet, path, "")
		if r.status != http.StatusOK || !strings.Contains(r.body, "bond 7") {
			return fmt.Errorf("%d %s", r.status, r.body)
		}
		return nil
	})
}

func TestWitnessAcknowledges(t *testing.T) {
	// The witness is there: the confirmation is released at once, and the
	// witness has seen it before the caller did.
	f := witnessed(t)
	r := f.entries[0].confirm("k", "bond 7")
	if r.status != http.StatusOK || !strings.Contains(r.body, "bond 7") {
		t.Fatalf("%d %s", r.status, r.body)
	}
	if n := len(f.witnesses[0].executions()); n != 1 {
		t.Fatalf("the witness saw %d confirmations", n)
	}
}

func TestWitnessDownDelaysAndNeverBypasses(t *testing.T) {
	// The witness fails in several ways. The confirmation has run, once, but
	// no way leads to its answer until the witness acknowledges: neither
	// repeating the key, nor collecting, at any daemon.
	f := witnessed(t)
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
			w.behave(c.plain)
			path := held(t, f.entries[0].confirm(c.name, "bond 7"))
			held(t, f.entries[1].do(http.MethodGet, path, ""))
			eventually(t, "claim finished", func() error {
				return want("repeat", f.entries[1].confirm(c.name, "bond 7").status, http.StatusAccepted)
			})
			if n := total(c.name, f.plains...); n != 1 {
				t.Fatalf("ran %d times", n)
			}
			w.proxy.Set(injector.All, injector.Fault{})
			w.behave(plain.Behaviour{})
			f.entries[1].collected(path)
		})
	}
}

func TestWitnessHoldSurvivesReclaim(t *testing.T) {
	// The entry host that holds a confirmation is reclaimed, or dies. The
	// answer must be there for its caller at another daemon.
	f := witnessed(t)
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{Cut: true})
	path := held(t, f.entries[0].confirm("k", "bond 7"))
	f.entries[0].kill()
	held(t, f.entries[1].do(http.MethodGet, path, ""))
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{})
	f.entries[1].collected(path)
}

func TestWitnessHoldWithoutPlatform(t *testing.T) {
	// Witness and platform are down together. The answer is kept at peers
	// until its caller comes, even if the first daemon leaves.
	f := witnessed(t)
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{Cut: true})
	f.faults(platform.Faults{Outage: true})
	path := held(t, f.entries[0].do(http.MethodPost, "/services/ledger/x", "bond 7"))
	f.entries[0].signal(syscall.SIGTERM)
	f.entries[0].stopped()
	held(t, f.entries[1].do(http.MethodGet, path, ""))
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{})
	f.entries[1].collected(path)
}

func TestWitnessOfAModelsAnswer(t *testing.T) {
	// A streamed letter falls under a rule that holds: it must not be
	// streamed past the witness, but be held as a whole.
	f := newFleet(t)
	f.addEngine(1)
	f.addWitness(1)
	d := f.addEntry(1)
	d.mustApply(configuration(`{Name: letters, When: 'Kind == "model"', Then: {HoldFor: witness}}`), 0)
	f.ready()
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{Cut: true})
	r := d.do(http.MethodPost, "/v1/chat/completions", chat(5, true))
	path := held(t, r)
	if strings.Contains(r.body, strings.TrimSpace(expected(1))) {
		t.Fatalf("leaked: %s", r.body)
	}
	f.witnesses[0].proxy.Set(injector.All, injector.Fault{})
	eventually(t, "released", func() error {
		r := d.do(http.MethodGet, path, "")
		if r.status != http.StatusOK || !containsText(r.body, expected(5)) {
			return fmt.Errorf("%d %s", r.status, r.body)
		}
		return nil
	})
}
