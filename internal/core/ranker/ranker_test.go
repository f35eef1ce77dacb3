package ranker

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a selection that differs from that of a sorted list.
func TestItemsAreThoseOfASortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 5).Draw(t, "n")
		weights := rapid.SliceOfN(rapid.Uint64Range(0, 9), 0, 30).Draw(t, "weights")
		r := New[int](n)
		order := make([]int, len(weights))
		for i, w := range weights {
			r.Add(i, w)
			order[i] = i
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
		if want := order[:min(n, len(order))]; !slices.Equal(r.Items(), want) {
			t.Fatalf("weights %v: items %v, want %v", weights, r.Items(), want)
		}
	})
}
