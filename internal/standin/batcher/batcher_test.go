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

// testConfig describes an engine that prefills 50 tokens in a millisecond.
func testConfig() Config {
	return Config{Slots: 4, MaxWaiting: 8, MemoryTokens: 100_000, PrefillTokensPerSecond: 50_000, StepTime: 5 * time.Millisecond}
}

// result holds the times of a job's tokens since its start, and the error of Run.
type result struct {
	tokens []time.Duration
	err    error
}

func (r *result) first() time.Duration { return r.tokens[0] }

// maxGap returns the longest time between two tokens.
func (r *result) maxGap() (longest time.Duration) {
	for i := 1; i < len(r.tokens); i++ {
		longest = max(longest, r.tokens[i]-r.tokens[i-1])
	}
	return longest
}

func run(b *Batcher, j *Job) *result {
	r, start := new(result), time.Now()
	r.err = b.Run(context.Background(), j, func(int) error {
		r.tokens = append(r.tokens, time.Since(start))
		return nil
	})
	return r
}

func prompt(id string, tokens int) []PromptPart { return []PromptPart{{id, identifier.Tokens(tokens)}} }

// Guards against wrong times of prefill and decode of a single request.
func TestOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testConfig())
		r := run(b, &Job{Prompt: prompt("a", 5000), OutputTokens: 10})
		if r.err != nil || len(r.tokens) != 10 {
			t.Fatalf("%+v", r)
		}
		// The prefill of 5,000 tokens takes 100 ms; then a token comes every 5 ms.
		if got := r.first(); got != 105*time.Millisecond {
			t.Errorf("first token after %v", got)
		}
		if got := r.tokens[9] - r.first(); got != 45*time.Millisecond {
			t.Errorf("nine more tokens after %v", got)
		}
	})
}

// Guards against prefill of cached parts, and against a cache hit behind other leading parts.
func TestCachedPartsAreNotPrefilledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testConfig())
		shared := PromptPart{"rules", 5000}
		for i, want := range []time.Duration{125 * time.Millisecond, 25 * time.Millisecond} {
			r := run(b, &Job{Prompt: []PromptPart{shared, {fmt.Sprint(i), 1000}}, OutputTokens: 1})
			if r.first() != want {
				t.Errorf("request %d: first token after %v, want %v", i, r.first(), want)
			}
		}
		// A part is cached only behind the same leading parts: after another one it is prefilled
		// again.
		if r := run(b, &Job{Prompt: []PromptPart{{"x", 1000}, shared}, OutputTokens: 1}); r.first() != 125*time.Millisecond {
			t.Errorf("first token after %v", r.first())
		}
		if got := b.Load().PrefilledTokens; got != 13_000 {
			t.Errorf("%d tokens prefilled", got)
		}
	})
}

// Guards against a long prompt that is prefilled in one step, or at no cost to the others: each
// of its chunks must delay their tokens, and only by a chunk.
func TestLongPromptSlowsTheOthersDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testConfig())
		var jobs sync.WaitGroup
		var short *result
		jobs.Go(func() { short = run(b, &Job{Prompt: prompt("a", 50), OutputTokens: 40}) })
		time.Sleep(20 * time.Millisecond)
		jobs.Go(func() { run(b, &Job{Prompt: prompt("b", 20_000), OutputTokens: 1}) })
		jobs.Wait()
		// The prefill of a chunk of 512 tokens adds 10.24 ms to the step of 5 ms.
		if got := short.maxGap().Round(time.Millisecond); got != 15*time.Millisecond {
			t.Errorf("longest gap %v", got)
		}
	})
}

// Guards against admission out of order: by priority, and by arrival among equals. Request 0
// arrives first and takes the only slot.
func TestHighPriorityRequestsRunFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig()
		c.Slots = 1
		b := New(c)
		var order []string
		var mu sync.Mutex
		var jobs sync.WaitGroup
		for i, priority := range []int{5, 9, 9, 0} {
			jobs.Go(func() {
				run(b, &Job{Prompt: prompt(fmt.Sprint(i), 1000), OutputTokens: 1, Priority: priority})
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprint(i))
			})
			time.Sleep(time.Millisecond)
		}
		jobs.Wait()
		if got := fmt.Sprint(order); got != "[0 3 1 2]" {
			t.Errorf("order %s", got)
		}
	})
}

// Guards against a request that is accepted although it can never fit into the memory, or although
// slots and waiting places are taken.
func TestFullEngineRefusesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Config{Slots: 1, MaxWaiting: 1, MemoryTokens: 2000, PrefillTokensPerSecond: 1000, StepTime: time.Millisecond})
		if r := run(b, &Job{Prompt: prompt("large", 3000), OutputTokens: 1}); !errors.Is(r.err, ErrFull) {
			t.Errorf("request larger than the memory: %v", r.err)
		}
		var jobs sync.WaitGroup
		for i := range 2 {
			jobs.Go(func() { run(b, &Job{Prompt: prompt(fmt.Sprint(i), 1000), OutputTokens: 1}) })
		}
		synctest.Wait()
		if r := run(b, &Job{Prompt: prompt("third", 10), OutputTokens: 1}); !errors.Is(r.err, ErrFull) {
			t.Errorf("request beyond slots and waiting places: %v", r.err)
		}
		jobs.Wait()
	})
}

// Guards against lost or repeated tokens of a preempted request. The memory holds one request,
// so a second one with a higher priority preempts it; it is prefilled again and continues.
func TestPreemptedRequestContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig()
		c.MemoryTokens = 6000
		b := New(c)
		var jobs sync.WaitGroup
		var low, high *result
		jobs.Go(func() { low = run(b, &Job{Prompt: prompt("a", 5000), OutputTokens: 20, Priority: 9}) })
		time.Sleep(150 * time.Millisecond)
		jobs.Go(func() { high = run(b, &Job{Prompt: prompt("b", 5000), OutputTokens: 5, Priority: 0}) })
		jobs.Wait()
		if high.first() > 115*time.Millisecond {
			t.Errorf("first token of the high-priority request after %v", high.first())
		}
		if len(low.tokens) != 20 || low.maxGap() < 200*time.Millisecond {
			t.Errorf("%d tokens, longest gap %v", len(low.tokens), low.maxGap())
		}
	})
}

// Guards against a cancelled request that keeps its slot: the next step must free it.
func TestCancelledRequestFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig()
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
