package selector

import (
	"testing"
	"time"
)

// The figures of coordinators must decide: an endpoint that is presumed idle but is busy, or is
// presumed to have the prompt cached but has not, must not be taken.
func TestCompareGoesByExactFigures(t *testing.T) {
	now := time.Now()
	list := candidates(3, now)
	q := query(now)
	q.LateCost, q.RecomputeWeight = 10, 1
	cases := []struct {
		name    string
		options []Option
		want    int
	}{
		{"late", []Option{{Candidate: list[0], FirstToken: time.Second}, {Candidate: list[1], FirstToken: 50 * time.Millisecond}}, 1},
		{"presumed late", []Option{{Candidate: list[0], FirstToken: time.Second}, {Candidate: list[1]}}, 1},
		{"cached", []Option{
			{Candidate: list[1], FirstToken: 50 * time.Millisecond}, {Candidate: list[1], Cached: 700, FirstToken: 50 * time.Millisecond},
		}, 1},
		{"home", []Option{
			{Candidate: list[1], FirstToken: 50 * time.Millisecond}, {Candidate: list[1], Home: true, FirstToken: 50 * time.Millisecond},
		}, 1},
		// If all daemons took the one that seems best by a hair, they would overload it together.
		{"nearly equal", []Option{{Candidate: list[1], Cached: 700, FirstToken: 50 * time.Millisecond}, {Candidate: list[0], Cached: 710, FirstToken: 49 * time.Millisecond}}, 0},
		{"late home", []Option{
			{Candidate: list[1], FirstToken: 50 * time.Millisecond}, {Candidate: list[1], Home: true, FirstToken: time.Second},
		}, 0},
	}
	for _, c := range cases {
		if got, chosen := Compare(q, c.options); got != c.want || chosen.Endpoint != c.options[got].Candidate.Endpoint {
			t.Errorf("%s: option %d (%s), want %d", c.name, got, chosen.Endpoint, c.want)
		}
	}
}
