package cachetracker

import (
	"testing"

	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
)

// Guards against parts that count as cached behind other leading parts, and against parts that were
// never computed.
func TestOnlyLeadingBlocksCount(t *testing.T) {
	c := New(100)
	c.Add([]prefix.Block{1, 2}, []identifier.Tokens{10, 30}, 5)
	for _, test := range []struct {
		blocks []prefix.Block
		want   identifier.Tokens
	}{
		{[]prefix.Block{1, 2, 3}, 30}, {[]prefix.Block{1, 4, 5}, 10}, {[]prefix.Block{6, 7, 8}, 0}, {nil, 0},
	} {
		if got := c.Cached(test.blocks, []identifier.Tokens{10, 30, 40}[:len(test.blocks)]); got != test.want {
			t.Errorf("%v: %d tokens cached, want %d", test.blocks, got, test.want)
		}
	}
}

// Guards against an eviction out of order: the own part of an old prompt and its last block go
// before the block that a later prompt used again.
func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	c := New(100)
	c.Add([]prefix.Block{1, 2}, []identifier.Tokens{10, 30}, 30)
	c.Add([]prefix.Block{1, 3}, []identifier.Tokens{10, 40}, 10)
	sizes := []identifier.Tokens{10, 30}
	c.SetReserved(30) // 100 tokens are cached: the own part of the first prompt goes
	if got := c.Cached([]prefix.Block{1, 2}, sizes); got != 30 {
		t.Errorf("%d tokens of the first prompt cached, want 30", got)
	}
	c.SetReserved(50)
	if got := c.Cached([]prefix.Block{1, 2}, sizes); got != 10 {
		t.Errorf("%d tokens of the first prompt cached, want 10", got)
	}
	if got := c.Cached([]prefix.Block{1, 3}, []identifier.Tokens{10, 40}); got != 40 {
		t.Errorf("%d tokens of the second prompt cached, want 40", got)
	}
}

// Guards against a model that outgrows the memory, and against a block that stays cached without
// those before it, which would count as cached again once they return.
func TestCacheKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := identifier.Tokens(rapid.IntRange(0, 500).Draw(t, "memory"))
		c := New(memory)
		var prompts [][]prefix.Block
		sizes := []identifier.Tokens{20, 50, 90, 140}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				c.SetReserved(identifier.Tokens(rapid.IntRange(0, 600).Draw(t, "reserved")))
			} else {
				var blocks []prefix.Block
				chain := 0
				for range rapid.IntRange(0, 4).Draw(t, "blocks") {
					chain = chain*4 + rapid.IntRange(1, 3).Draw(t, "block")
					blocks = append(blocks, prefix.Block(chain))
				}
				prompts = append(prompts, blocks)
				c.Add(blocks, sizes, identifier.Tokens(rapid.IntRange(0, 80).Draw(t, "own")))
			}
			if c.cached > max(memory-c.reserved, 0) {
				t.Fatalf("%d tokens cached of %d with %d reserved", c.cached, memory, c.reserved)
			}
			for _, blocks := range prompts {
				missing := false
				for _, b := range blocks {
					if missing && c.byBlock[b] != nil {
						t.Fatalf("block %d of %v is cached without those before it", b, blocks)
					}
					missing = missing || c.byBlock[b] == nil
				}
			}
		}
	})
}
