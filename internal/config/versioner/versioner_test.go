package versioner

import (
	"testing"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"

	"pgregory.net/rapid"
)

// Configurations and numbers come from the store and peers in any order. What is in force
// never falls, and a daemon is behind exactly while it has heard of a higher number.
func TestInForceNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v Versioner
		var offered, told identifier.ConfigurationNumber
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := identifier.ConfigurationNumber(rapid.IntRange(1, 12).Draw(t, "number"))
			if rapid.Bool().Draw(t, "told") {
				v.ObserveNumber(n)
				told = max(told, n)
			} else if news := v.Offer(catalog.New(catalog.Config{Number: n})); news != (n > offered) {
				t.Fatalf("%d offered after %d: news %v", n, offered, news)
			} else {
				offered = max(offered, n)
			}
			if c := v.Current(); (c == nil) != (offered == 0) || c != nil && c.Number() != offered {
				t.Fatalf("%v in force, %d offered", c, offered)
			}
			lag, behind := v.Lag()
			if behind != (told > offered) || behind && lag.Number != told {
				t.Fatalf("behind %v by %+v; %d offered, %d told", behind, lag, offered, told)
			}
		}
	})
}
