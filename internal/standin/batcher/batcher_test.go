package batcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"
)

// usual is an engine that reads 50 tokens in a millisecond.
func usual() Config {
	return Config{Slots: 4, MaxWaiting: 8, MemoryTokens: 100_000, PrefillTokensPerSecond: 50_000, StepTime: 5 * time.Millisecond}
}

// result is when a job's tokens came, since it was sent.
type result struct {
	tokens []time.Duration
	err    error
}

func (r *result) first() time.Duration { return r.tokens[0] }

// pause is the longest time between two tokens.
func (r *result) pause() (longest time.Duration) {
	for i := 1; i < len(r.tokens); i++ {
		longest = max(longest, r.tokens[i]-r.tokens[i-1])
	}
	return longest
}

func run(b *Batcher, j *Job) *result {
	r, begun := new(result), time.Now()
	r.err = b.Run(context.Background(), j, func(int) error {
		r.tokens = append(r.tokens, time.Since(begun))
		return nil
	})
	return r
}

func prompt(id string, tokens int) []PromptPart { return []PromptPart{{id, identifier.Tokens(tokens)}} }

func TestOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(usual())
		r := run(b, &Job{Prompt: prompt("a", 5000), OutputTokens: 10})
		if r.err != nil || len(r.tokens) != 10 {
			t.Fatalf("%+v", r)
		}
		// 5,000 tokens take 100 ms to read, then comes a token each 5 ms.
		if got := r.first(); got != 105*time.Millisecond {
			t.Errorf("first token after %v", got)
		}
		if got := r.tokens[9] - r.first(); got != 45*time.Millisecond {
			t.Errorf("nine further tokens in %v", got)
		}
	})
}

func TestHeldPartsAreNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(usual())
		shared := PromptPart{"rules", 5000}
		for i, want := range []time.Duration{125 * time.Millisecond, 25 * time.Millisecond} {
			r := run(b, &Job{Prompt: []PromptPart{shared, {fmt.Sprint(i), 1000}}, OutputTokens: 1})
			if r.first() != want {
				t.Errorf("request %d: first token after %v, want %v", i, r.first(), want)
			}
		}
		// Another beginning: the same part behind it is read again.
		if r := run(b, &Job{Prompt: []PromptPart{{"x", 1000}, shared}, OutputTokens: 1}); r.first() != 125*time.Millisecond {
			t.Errorf("first token after %v", r.first())
		}
		if got := b.Load().PrefilledTokens; got != 13_000 {
			t.Errorf("%d tokens read", got)
		}
	})
}

func TestLongPromptSlowsTheOthersDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(usual())
		var all sync.WaitGroup
		var short *result
		all.Go(func() { short = run(b, &Job{Prompt: prompt("a", 50), OutputTokens: 40}) })
		time.Sleep(20 * time.Millisecond)
		all.Go(func() { run(b, &Job{Prompt: prompt("b", 20_000), OutputTokens: 1}) })
		all.Wait()
		// A chunk of 512 tokens takes 10.24 ms beside the step of 5 ms.
		if got := short.pause().Round(time.Millisecond); got != 15*time.Millisecond {
			t.Errorf("longest pause %v", got)
		}
	})
}

func TestUrgentRequestsComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := usual()
		c.Slots = 1
		b := New(c)
		var order []string
		var mu sync.Mutex
		var all sync.WaitGroup
		for i, urgency := range []int{5, 9, 9, 0} {
			all.Go(func() {
				run(b, &Job{Prompt: prompt(fmt.Sprint(i), 1000), OutputTokens: 1, Priority: urgency})
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprint(i))
			})
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		if got := fmt.Sprint(order); got != "[0 3 1 2]" {
			t.Errorf("order %s", got)
		}
	})
}

func TestFullEngineTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Config{Slots: 1, MaxWaiting: 1, MemoryTokens: 2000, PrefillTokensPerSecond: 1000, StepTime: time.Millisecond})
		if r := run(b, &Job{Prompt: prompt("large", 3000), OutputTokens: 1}); !errors.Is(r.err, ErrFull) {
			t.Errorf("larger than the memory: %v", r.err)
		}
		var all sync.WaitGroup
		for i := range 2 {
			all.Go(func() { run(b, &Job{Prompt: prompt(fmt.Sprint(i), 1000), OutputTokens: 1}) })
		}
		synctest.Wait()
		if r := run(b, &Job{Prompt: prompt("third", 10), OutputTokens: 1}); !errors.Is(r.err, ErrFull) {
			t.Errorf("the third: %v", r.err)
		}
		all.Wait()
	})
}

// The memory takes one request; an urgent one comes. The other gives way, is read again, and
// makes each of its tokens once.
func TestPreemptedRequestGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := usual()
		c.MemoryTokens = 6000
		b := New(c)
		var all sync.WaitGroup
		var patient, urgent *result
		all.Go(func() { patient = run(b, &Job{Prompt: prompt("a", 5000), OutputTokens: 20, Priority: 9}) })
		time.Sleep(150 * time.Millisecond)
		all.Go(func() { urgent = run(b, &Job{Prompt: prompt("b", 5000), OutputTokens: 5, Priority: 0}) })
		all.Wait()
		if urgent.first() > 115*time.Millisecond {
			t.Errorf("the urgent one waited %v", urgent.first())
		}
		if len(patient.tokens) != 20 || patient.pause() < 200*time.Millisecond {
			t.Errorf("%d tokens, longest pause %v", len(patient.tokens), patient.pause())
		}
	})
}

// A client leaves: its slot is free with the next step.
func TestWhoLeavesIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := usual()
		c.Slots = 1
		b := New(c)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_ = b.Run(ctx, &Job{Prompt: prompt("a", 50_000), OutputTokens: 1000}, func(int) error { return nil })
		}()
		time.Sleep(10 * time.Millisecond)
		cancel()
		if r := run(b, &Job{Prompt: prompt("b", 500), OutputTokens: 1}); r.first() > 30*time.Millisecond {
			t.Errorf("first token after %v", r.first())
		}
		if l := b.Load(); l.Running+l.Waiting != 0 {
			t.Errorf("load %+v", l)
		}
	})
}
