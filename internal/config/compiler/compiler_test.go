package compiler

import (
	"strings"
	"testing"

	"brasschute/internal/config/settings"
)

const valid = `Organisations: [{Name: a, KeyHashes: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08], Concurrency: 1}]
Priorities: [high, low]
Services: [{Name: s, Kind: plain, Pool: p, Timeout: 1s}]
Pools: [{Name: p, MaxInFlight: 1}]
Rules: [{Name: r, When: 'Service == "s"', Then: {Priority: high}}]
Routing: {FirstToken: 330ms}
`

func TestCompileReportsProblems(t *testing.T) {
	// Each problem must name its line, its field, what was found and what is
	// allowed.
	if _, err := Compile("f", []byte(valid)); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, text, want string }{
		{"unknown field", "Concurrency: 1", "Concurrency: 1, Colour: red", "f:1: Organisations[0].Colour: found an unknown field"},
		{"wrong unit", "Timeout: 1s", "Timeout: 1", `f:3: Services[0].Timeout: found "1"; allowed: a duration with its unit`},
		{"negative duration", "Timeout: 1s", "Timeout: -1s", "a duration that is not negative"},
		{"wrong type", "MaxInFlight: 1", "MaxInFlight: many", `f:4: Pools[0].MaxInFlight: found "many"; allowed: a whole number`},
		{"list for text", "Name: s", "Name: [s]", "found a list; allowed: text"},
		{"below bound", "MaxInFlight: 1", "MaxInFlight: 0", "found 0; allowed: 1 or more"},
		{"field twice", "Concurrency: 1", "Concurrency: 1, Concurrency: 2", "found the field twice"},
		{"duplicate name", "Pools: [{Name: p, MaxInFlight: 1}]", "Pools: [{Name: p, MaxInFlight: 1}, {Name: p, MaxInFlight: 1}]", `Pools[1].Name: found "p" a second time`},
		{"dangling pool", "Pool: p,", "Pool: q,", `Services[0].Pool: found "q"; allowed: the name of one of Pools`},
		{"dangling priority", "Priority: high", "Priority: top", "one of Priorities: high, low"},
		{"dangling witness", "Priority: high", "HoldFor: w", "the name of a plain service"},
		{"unknown name in a condition", `Service == "s"`, `Service == "t"`, `Rules[0].When: found Service "t", which does not exist`},
		{"condition of a wrong type", `Service == "s"`, "Bytes", "f:5: Rules[0].When"},
		{"condition with an unknown fact", `Service == "s"`, "Weather == 1", "f:5: Rules[0].When"},
		{"never holds", `Service == "s"`, "1 > 2", "a condition that never holds"},
		{"contradicts itself", `Service == "s"`, `Kind == "plain" && Service == "s" && Kind == "model"`, "a condition that never holds"},
		{"never reached", "Rules: [", "Rules: [{Name: all, When: 'true', Then: {}}, ", "always holds"},
		{"not a key's hash", "9f86d081", "9F86", "a SHA-256 in lower-case hexadecimal"},
		{"two mistakes at once", "MaxInFlight: 1", "MaxInFlight: 0, Colour: red", "found 0; allowed: 1 or more"},
		{"not YAML", "Priorities: [high, low]", "Priorities: [high", "f:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Compile("f", []byte(strings.Replace(valid, c.old, c.text, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestSettingsReportProblems(t *testing.T) {
	good := "Host: h\nAvailabilityZone: z\nCallers: 127.0.0.1:1\nOperators: 127.0.0.1:2\nPeers: 127.0.0.1:3\nPlatform: 127.0.0.1:4\nPeerKey: " +
		strings.Repeat("ab", 32) + "\n"
	if _, err := settings.Parse("f", []byte(good)); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, text, want string }{
		{"host name for an address", "127.0.0.1:1", "localhost:1", `f:3: Callers: found "localhost:1"; allowed: IP:port`},
		{"no port", "127.0.0.1:2", "127.0.0.1", "f:4: Operators"},
		{"one address twice", "127.0.0.1:2", "127.0.0.1:1", "the address of Callers"},
		{"short key", strings.Repeat("ab", 32), "ab", "PeerKey: found 2 characters"},
		{"no host", "Host: h\n", "", "Host: found nothing"},
		{"level", "Host: h", "Host: h\nLog: {Level: loud}", `Log.Level: found "loud"`},
		{"too large", "Host: h", "Host: h\nLimits: {BodyBytes: 999999999999}", "Limits.BodyBytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse("f", []byte(strings.Replace(good, c.old, c.text, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}
