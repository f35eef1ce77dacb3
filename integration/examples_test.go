package integration

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/settings"
	"brasschute/internal/measure/loadgenerator"
	"brasschute/internal/measure/workload"
)

// TestExamplesAreValid guards against example deployments that no longer work: it loads the
// settings and the configuration of both examples as a user would copy them, and checks which
// rule matches typical requests.
func TestExamplesAreValid(t *testing.T) {
	at := func(clock, date string) compiler.Facts {
		return compiler.Facts{Clock: clock, Date: date, Headers: map[string]string{}}
	}
	cases := []struct {
		user  string
		name  string
		facts compiler.Facts
		set   func(*compiler.Facts)
		rule  string
	}{
		{"harrowby-trent", "confirmation", at("10:00", "2026-12-02"), func(f *compiler.Facts) { f.Service = "rollover-confirmations" }, "confirmations are witnessed"},
		{"harrowby-trent", "instruction in maturity week", at("10:00", "2026-12-08"), func(f *compiler.Facts) { f.Service = "rollover-instructions" }, "instructions first in maturity week"},
		{"harrowby-trent", "instruction in another week", at("10:00", "2026-12-02"), func(f *compiler.Facts) { f.Service = "rollover-instructions" }, ""},
		{"harrowby-trent", "notice under load", at("10:00", "2026-12-08"), func(f *compiler.Facts) { f.Organisation, f.Load = "member-notices", 0.9 }, "notices wait in maturity week"},
		{"werkbrug", "booking", at("04:00", "2026-12-02"), func(f *compiler.Facts) { f.Service = "shift-bookings" }, "bookings at most once and first"},
		{"werkbrug", "roster before dawn", at("04:00", "2026-12-02"), func(f *compiler.Facts) { f.Service, f.PromptTokens = "planning-model", 900 }, "rosters before dawn"},
		{"werkbrug", "roster at noon", at("12:00", "2026-12-02"), func(f *compiler.Facts) { f.Service, f.PromptTokens = "planning-model", 900 }, ""},
		{"werkbrug", "chat", at("12:00", "2026-12-02"), func(f *compiler.Facts) { f.Organisation, f.Kind = "flex-workers", "model" }, "chats cheap"},
	}
	for _, c := range cases {
		t.Run(c.user+"/"+c.name, func(t *testing.T) {
			folder := filepath.Join("..", "examples", c.user)
			source, err := os.ReadFile(filepath.Join(folder, "entry.yaml"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := settings.Parse("entry.yaml", source); err != nil {
				t.Fatal(err)
			}
			if source, err = os.ReadFile(filepath.Join(folder, "rules.yaml")); err != nil {
				t.Fatal(err)
			}
			plan, err := compiler.Compile("rules.yaml", source)
			if err != nil {
				t.Fatal(err)
			}
			c.set(&c.facts)
			_, i, err := plan.Match(&c.facts)
			if err != nil || plan.RuleName(i) != c.rule {
				t.Errorf("rule %q, error %v; want %q", plan.RuleName(i), err, c.rule)
			}
		})
	}
}

// TestLoadToolIsAnsweredWhole sends a short workload of the load generator to a daemon. Every
// request must be answered completely.
func TestLoadToolIsAnsweredWhole(t *testing.T) {
	_, d := newSmallFleet(t)
	mix := workload.Werkbrug()
	mix.RequestsPerSecond = 200
	s := loadgenerator.New(loadgenerator.Config{
		Address: d.callerAddress, Key: callerKeys["desk"], Model: "letters", Mix: mix, Seed: 1, MaxDuration: time.Minute, MaxRequests: 60,
		FirstTokenTarget: time.Minute,
	}).Run(t.Context())
	if s.Answered != 60 || len(s.Refused) != 0 {
		t.Fatalf("%+v", s)
	}
}
