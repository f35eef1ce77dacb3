package versioner

import (
	"testing"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"

	"pgregory.net/rapid"
)

// Configurations and numbers arrive from the store and from peers in any order. The number
// in force must never decrease, and Lag must report the daemon as behind exactly while it
// has observed a higher number than the one in force.
func TestCurrentNumberNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v Versioner
		var offered, observed identifier.ConfigurationNumber
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := identifier.ConfigurationNumber(rapid.IntRange(1, 12).Draw(t, "number"))
			if rapid.Bool().Draw(t, "observed") {
				v.ObserveNumber(n)
				observed = max(observed, n)
			} else if accepted := v.Offer(catalog.New(catalog.Config{Number: n})); accepted != (n > offered) {
				t.Fatalf("%d offered after %d: accepted %v", n, offered, accepted)
			} else {
				offered = max(offered, n)
			}
			if c := v.Current(); (c == nil) != (offered == 0) || c != nil && c.Number() != offered {
				t.Fatalf("%v in force, %d offered", c, offered)
			}
			lag, behind := v.Lag()
			if behind != (observed > offered) || behind && lag.Number != observed {
				t.Fatalf("behind %v by %+v; %d offered, %d observed", behind, lag, offered, observed)
			}
		}
	})
}
