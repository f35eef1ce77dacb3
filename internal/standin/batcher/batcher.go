// Package batcher simulates the timing of continuous batching in a model engine.
//
// An engine works in steps. In each step every request whose prefill is complete gets one
// output token, and up to [Config.PrefillChunk] tokens of one prompt are prefilled as well. So
// a long prompt delays the tokens of all other requests, and tokens come more slowly the more
// requests run. A request needs one of [Config.Slots] and room in memory; waiting requests are
// admitted by priority, then in order of arrival. The parts of prompts stay in memory as a
// prefix cache and are evicted, least recently used first, when requests need the room; the
// leading parts of a prompt that are still cached are not prefilled again. If running requests
// fill the memory, a waiting request with a higher priority preempts the newest of those with
// the lowest: that one waits, is prefilled again and then continues with its next token.
//
// Steps take their time with time.Sleep, in one goroutine that ends when there is nothing to
// do; in a testing/synctest bubble the times are exact.
//
// # Usage
//
//	b := batcher.New(batcher.Config{
//		Slots: 12, MemoryTokens: 500_000, PrefillTokensPerSecond: 56_000, StepTime: 6 * time.Millisecond,
//	})
//	err := b.Run(ctx, &batcher.Job{Prompt: parts, OutputTokens: 100}, func(token int) error { ... })
package batcher

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// defaultPrefillChunk is the number of prompt tokens prefilled in one step.
	defaultPrefillChunk = 512
	// defaultFullBatchSlowdown makes a step with all slots taken twice as long as one with a
	// single request.
	defaultFullBatchSlowdown = 1.0
	// defaultPriority is the priority of a request that names none; 0 is the highest.
	defaultPriority = 5
)

// ErrFull means that all slots and waiting places are taken, or that the request is larger than
// the memory.
var ErrFull = errors.New("batcher: full")

// Config describes the capacity and speed of an engine.
type Config struct {
	// Slots is the number of requests that run at once; at least 1.
	Slots int
	// MaxWaiting is the number of requests that may wait for a slot.
	MaxWaiting int
	// MemoryTokens is the memory for running requests and cached prompt parts, in tokens.
	MemoryTokens identifier.Tokens
	// PrefillTokensPerSecond is the speed of prefill.
	PrefillTokensPerSecond float64
	// StepTime is the time of a step with one request. With all slots taken it is longer by
	// the fraction FullBatchSlowdown; 0 stands for 1, twice the time.
	StepTime          time.Duration
	FullBatchSlowdown float64
	// PrefillChunk is the number of prompt tokens prefilled in one step; 0 stands for 512.
	PrefillChunk identifier.Tokens
}

// PromptPart is a part of a prompt that several requests may share. Parts with the same ID
// have the same text.
type PromptPart struct {
	ID     string
	Tokens identifier.Tokens
}

// Job is one request.
type Job struct {
	Prompt []PromptPart
	// OutputTokens is the number of tokens that it generates.
	OutputTokens int
	// Priority is 0 for the highest priority; a negative one stands for the default, 5.
	Priority int
}

// Load is the load of an engine at one moment.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// PendingPrefillTokens are the prompt tokens that are still to be prefilled,
	// PrefilledTokens all that were prefilled since the start.
	PendingPrefillTokens identifier.Tokens
	PrefilledTokens      identifier.Tokens
}

// Batcher simulates one engine. It is safe for concurrent use.
type Batcher struct {
	c Config

	mu       sync.Mutex
	stepping bool
	waiting  []*task
	running  []*task
	// cached holds the parts in memory by the IDs of the prompt up to and including the part;
	// cachedTokens is their size.
	cached          map[string]*part
	cachedTokens    identifier.Tokens
	prefilledTokens identifier.Tokens
	// sequence orders the arrivals of requests and the uses of cached parts.
	sequence int
}

// part is a cached prompt part.
type part struct {
	tokens   identifier.Tokens
	lastUsed int
}

// task is a job that waits or runs.
type task struct {
	job      *Job
	priority int
	sequence int
	// pendingPrefill is the number of prompt tokens still to be prefilled, generated that of
	// output tokens generated.
	pendingPrefill identifier.Tokens
	generated      int
	out            chan int
	// cancelled is set when the caller of Run has returned.
	cancelled bool
}

// New returns an idle engine.
func New(c Config) *Batcher {
	c.Slots = max(c.Slots, 1)
	if c.PrefillChunk == 0 {
		c.PrefillChunk = defaultPrefillChunk
	}
	if c.FullBatchSlowdown == 0 {
		c.FullBatchSlowdown = defaultFullBatchSlowdown
	}
	return &Batcher{c: c, cached: make(map[string]*part)}
}

// Run runs a job and calls emit for each token as it is generated, with its number, counted
// from 1. It returns [ErrFull] if the job was not accepted, the error of emit or ctx if the job
// ended early, and nil if it was completed.
func (b *Batcher) Run(ctx context.Context, j *Job, emit func(token int) error) error {
	t, err := b.enqueue(j)
	if err != nil {
		return err
	}
	defer b.cancel(t)
	for {
		select {
		case token := <-t.out:
			if err := emit(token); err != nil {
				return err
			}
			if token == j.OutputTokens {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Load returns the present load of the engine.
func (b *Batcher) Load() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Load{Running: len(b.running), Waiting: len(b.waiting), PrefilledTokens: b.prefilledTokens}
	for _, t := range b.running {
		l.PendingPrefillTokens += t.pendingPrefill
	}
	for _, t := range b.waiting {
		l.PendingPrefillTokens += b.uncachedTokens(t.job)
	}
	return l
}

// enqueue adds a job to the waiting ones and starts the step loop if it does not run.
func (b *Batcher) enqueue(j *Job) (*task, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.running)+len(b.waiting) >= b.c.Slots+b.c.MaxWaiting || memoryNeed(j) > b.c.MemoryTokens {
		return nil, ErrFull
	}
	b.sequence++
	// The channel holds all tokens of the job, so that a slow reader does not delay the others.
	t := &task{job: j, priority: j.Priority, sequence: b.sequence, out: make(chan int, j.OutputTokens)}
	if j.Priority < 0 {
		t.priority = defaultPriority
	}
	b.waiting = append(b.waiting, t)
	if !b.stepping {
		b.stepping = true
		go b.runSteps()
	}
	return t, nil
}

// cancel marks a task whose caller has returned, so that the next step drops it.
func (b *Batcher) cancel(t *task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.cancelled = true
}

// memoryNeed returns the memory that a job needs, in tokens: its prompt and all of its output.
func memoryNeed(j *Job) identifier.Tokens {
	sum := identifier.Tokens(j.OutputTokens)
	for _, p := range j.Prompt {
		sum += p.Tokens
	}
	return sum
}

// runSteps runs steps until there is nothing to do.
func (b *Batcher) runSteps() {
	for {
		b.mu.Lock()
		b.admit()
		if len(b.running) == 0 {
			b.stepping = false
			b.mu.Unlock()
			return
		}
		prefilling, chunk := b.nextPrefill()
		d := b.stepTime(chunk)
		b.mu.Unlock()
		time.Sleep(d)
		b.mu.Lock()
		b.finishStep(prefilling, chunk)
		b.mu.Unlock()
	}
}

// admit drops cancelled tasks and admits waiting ones while there are free slots and memory.
func (b *Batcher) admit() {
	cancelled := func(t *task) bool { return t.cancelled }
	b.running, b.waiting = slices.DeleteFunc(b.running, cancelled), slices.DeleteFunc(b.waiting, cancelled)
	slices.SortStableFunc(b.waiting, compareTasks)
	for len(b.waiting) > 0 && len(b.running) < b.c.Slots {
		t := b.waiting[0]
		if !b.makeRoom(memoryNeed(t.job)) {
			return
		}
		b.waiting = b.waiting[1:]
		t.pendingPrefill = b.uncachedTokens(t.job)
		b.touch(t.job)
		b.running = append(b.running, t)
	}
}

// compareTasks orders tasks by priority, then by arrival.
func compareTasks(a, b *task) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.sequence, b.sequence))
}

// reservedTokens returns the memory that running jobs need.
func (b *Batcher) reservedTokens() (sum identifier.Tokens) {
	for _, t := range b.running {
		sum += memoryNeed(t.job)
	}
	return sum
}

// makeRoom evicts the least recently used cached parts until a job fits into the memory, or
// preempts a running job, and reports whether the job fits. Cached parts may use the memory that
// running jobs and the new one leave; the parts of running jobs count as cached, too.
func (b *Batcher) makeRoom(tokens identifier.Tokens) bool {
	free := b.c.MemoryTokens - b.reservedTokens()
	if free < tokens {
		return b.preempt(tokens)
	}
	for b.cachedTokens > free-tokens && len(b.cached) > 0 {
		oldest := ""
		for chain, p := range b.cached {
			if oldest == "" || p.lastUsed < b.cached[oldest].lastUsed {
				oldest = chain
			}
		}
		b.cachedTokens -= b.cached[oldest].tokens
		delete(b.cached, oldest)
	}
	return true
}

// preempt moves the running job that is last by priority and arrival back to the waiting ones,
// if the first waiting job has a higher priority. It reports whether that job now fits.
func (b *Batcher) preempt(tokens identifier.Tokens) bool {
	next := b.waiting[0]
	victim := slices.MaxFunc(b.running, compareTasks)
	if victim.priority <= next.priority {
		return false
	}
	b.running = slices.DeleteFunc(b.running, func(t *task) bool { return t == victim })
	b.waiting = append(b.waiting, victim)
	return b.c.MemoryTokens-b.reservedTokens() >= tokens
}

// uncachedTokens returns the number of prompt tokens to prefill: those from the first part on
// that is not cached.
func (b *Batcher) uncachedTokens(j *Job) (sum identifier.Tokens) {
	chain, hit := "", true
	for _, p := range j.Prompt {
		chain += "/" + p.ID
		hit = hit && b.cached[chain] != nil
		if !hit {
			sum += p.Tokens
		}
	}
	return sum
}

// touch marks the cached parts of a prompt as used.
func (b *Batcher) touch(j *Job) {
	b.sequence++
	chain := ""
	for _, p := range j.Prompt {
		chain += "/" + p.ID
		if h := b.cached[chain]; h != nil {
			h.lastUsed = b.sequence
		}
	}
}

// cache caches the parts of a prompt whose prefill is complete.
func (b *Batcher) cache(j *Job) {
	b.sequence++
	chain := ""
	for _, p := range j.Prompt {
		chain += "/" + p.ID
		if b.cached[chain] == nil {
			b.cached[chain] = &part{tokens: p.Tokens}
			b.cachedTokens += p.Tokens
		}
		b.cached[chain].lastUsed = b.sequence
	}
}

// nextPrefill returns the task that the next step prefills and the number of tokens; nil if no
// prefill is pending.
func (b *Batcher) nextPrefill() (*task, identifier.Tokens) {
	var next *task
	for _, t := range b.running {
		if t.pendingPrefill > 0 && (next == nil || compareTasks(t, next) < 0) {
			next = t
		}
	}
	if next == nil {
		return nil, 0
	}
	return next, min(next.pendingPrefill, b.c.PrefillChunk)
}

// stepTime returns the time of a step that prefills a number of tokens.
func (b *Batcher) stepTime(chunk identifier.Tokens) time.Duration {
	d := time.Duration(float64(chunk) / b.c.PrefillTokensPerSecond * float64(time.Second))
	decoding := 0
	for _, t := range b.running {
		if t.pendingPrefill == 0 {
			decoding++
		}
	}
	if decoding > 0 {
		d += time.Duration(float64(b.c.StepTime) * (1 + b.c.FullBatchSlowdown*float64(decoding-1)/float64(max(b.c.Slots-1, 1))))
	}
	return d
}

// finishStep emits the tokens that a step generated and accounts for its prefill.
func (b *Batcher) finishStep(prefilling *task, chunk identifier.Tokens) {
	for _, t := range b.running {
		if t.pendingPrefill == 0 && t.generated < t.job.OutputTokens && !t.cancelled {
			t.generated++
			t.out <- t.generated
		}
	}
	b.running = slices.DeleteFunc(b.running, func(t *task) bool { return t.pendingPrefill == 0 && t.generated >= t.job.OutputTokens })
	if prefilling == nil {
		return
	}
	prefilling.pendingPrefill -= chunk
	b.prefilledTokens += chunk
	if prefilling.pendingPrefill == 0 {
		b.cache(prefilling.job)
	}
}
