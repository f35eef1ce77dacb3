// Package batcher models how a model engine spends its time on several requests at once.
//
// # The model
//
// An engine works in steps. In each step every request that has been read gets one token, and
// up to [Config.Chunk] tokens of one prompt are read beside them; so a long prompt delays the
// tokens of all others, and each token comes more slowly the more requests run. A request needs
// one of [Config.Slots] and room in memory; those that wait are taken by urgency, then in the
// order in which they came. The parts of prompts stay in memory until others need the room,
// the least recently used first; what is still held of a prompt's beginning is not read again.
// Where the memory is full of running requests, the newest of the least urgent ones has to give
// way: it waits and is read again, and goes on where it was.
//
// The work is done by the clock of the runtime, in one goroutine that ends when there is
// nothing to do.
//
// # Usage
//
//	b := batcher.New(batcher.Config{Slots: 12, Memory: 500_000, Speed: 56_000, Step: 6 * time.Millisecond})
//	err := b.Run(ctx, &batcher.Job{Prompt: parts, Output: 100}, func(token int) error { ... })
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
	// defaultChunk is read of a prompt between two tokens of the others.
	defaultChunk = 512
	// defaultCrowd makes a step with all slots taken twice as long as one with a single
	// request.
	defaultCrowd = 1.0
	// usualUrgency is that of a request which does not say it; 0 is first.
	usualUrgency = 5
)

// ErrFull says that as many requests wait as may, or that one is larger than the memory.
var ErrFull = errors.New("batcher: full")

// Config describes an engine.
type Config struct {
	Slots int
	// MaxWaiting is how many requests may wait for a slot.
	MaxWaiting int
	// MemoryTokens is that for tokens of running requests and held parts.
	MemoryTokens identifier.Tokens
	// PrefillTokensPerSecond is how many tokens of prompts are read in a second.
	PrefillTokensPerSecond float64
	// StepTime is the time of a step with one request; with all slots taken it is longer by the
	// part Crowd.
	StepTime  time.Duration
	FullBatchSlowdown float64
	// PrefillChunk is how much of a prompt is read in a step.
	PrefillChunk identifier.Tokens
}

// PromptPart is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens identifier.Tokens
}

// Job is one request.
type Job struct {
	Prompt []PromptPart
	// OutputTokens is the number of tokens that it makes.
	OutputTokens int
	// Priority is 0 for the first; [usualUrgency] if negative.
	Priority int
}

// Load is what an engine does at a moment.
type Load struct {
	Running, Waiting int
	// PendingPrefillTokens are the prompt tokens that are still to be read, Read those that were read in all.
	PendingPrefillTokens identifier.Tokens
	PrefilledTokens   identifier.Tokens
}

// Batcher is one engine. It is safe for concurrent use.
type Batcher struct {
	c Config

	mu      sync.Mutex
	working bool
	waiting []*task
	running []*task
	// held are the parts in memory by the chain of parts before them; used is their size.
	held map[string]*part
	used identifier.Tokens
	read identifier.Tokens
	// turn counts what came, and what was used of the held parts.
	turn int
}

type part struct {
	tokens identifier.Tokens
	used   int
}

// task is a job on its way.
type task struct {
	job     *Job
	urgency int
	turn    int
	// unread is what is left to be read, made the tokens made.
	unread identifier.Tokens
	made   int
	out    chan int
	// gone: nobody waits for it any more.
	gone bool
}

// New returns an engine that does nothing.
func New(c Config) *Batcher {
	c.Slots = max(c.Slots, 1)
	if c.PrefillChunk == 0 {
		c.PrefillChunk = defaultChunk
	}
	if c.FullBatchSlowdown == 0 {
		c.FullBatchSlowdown = defaultCrowd
	}
	return &Batcher{c: c, held: make(map[string]*part)}
}

// Run takes a job, and calls emit with the number of each token as it is made, from 1. It
// returns [ErrFull] if the job was not taken, else nil, or why it ended early: the error of emit
// or of ctx.
func (b *Batcher) Run(ctx context.Context, j *Job, emit func(token int) error) error {
	t, err := b.enter(j)
	if err != nil {
		return err
	}
	defer b.leave(t)
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

// Load returns what the engine does.
func (b *Batcher) Load() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Load{Running: len(b.running), Waiting: len(b.waiting), PrefilledTokens: b.read}
	for _, t := range b.running {
		l.PendingPrefillTokens += t.unread
	}
	for _, t := range b.waiting {
		l.PendingPrefillTokens += b.missing(t.job)
	}
	return l
}

func (b *Batcher) enter(j *Job) (*task, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.running)+len(b.waiting) >= b.c.Slots+b.c.MaxWaiting || size(j) > b.c.MemoryTokens {
		return nil, ErrFull
	}
	b.turn++
	// Whoever reads slowly must not hold up the others.
	t := &task{job: j, urgency: j.Priority, turn: b.turn, out: make(chan int, j.OutputTokens)}
	if j.Priority < 0 {
		t.urgency = usualUrgency
	}
	b.waiting = append(b.waiting, t)
	if !b.working {
		b.working = true
		go b.work()
	}
	return t, nil
}

func (b *Batcher) leave(t *task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.gone = true
}

// size is what a job needs of the memory at most.
func size(j *Job) identifier.Tokens {
	sum := identifier.Tokens(j.OutputTokens)
	for _, p := range j.Prompt {
		sum += p.Tokens
	}
	return sum
}

// work makes steps until there is nothing to do.
func (b *Batcher) work() {
	for {
		b.mu.Lock()
		b.admit()
		if len(b.running) == 0 {
			b.working = false
			b.mu.Unlock()
			return
		}
		reading, chunk := b.next()
		took := b.duration(chunk)
		b.mu.Unlock()
		time.Sleep(took)
		b.mu.Lock()
		b.finish(reading, chunk)
		b.mu.Unlock()
	}
}

// admit drops what nobody waits for, and takes waiting jobs while there are slots and room.
func (b *Batcher) admit() {
	gone := func(t *task) bool { return t.gone }
	b.running, b.waiting = slices.DeleteFunc(b.running, gone), slices.DeleteFunc(b.waiting, gone)
	slices.SortStableFunc(b.waiting, before)
	for len(b.waiting) > 0 && len(b.running) < b.c.Slots {
		t := b.waiting[0]
		if !b.room(size(t.job)) {
			return
		}
		b.waiting = b.waiting[1:]
		t.unread = b.missing(t.job)
		b.touch(t.job)
		b.running = append(b.running, t)
	}
}

// before orders jobs: the more urgent first, then those that came first.
func before(a, b *task) int {
	return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.turn, b.turn))
}

// occupied is what running jobs need of the memory.
func (b *Batcher) occupied() (sum identifier.Tokens) {
	for _, t := range b.running {
		sum += size(t.job)
	}
	return sum
}

// room makes room for a job by giving up parts that were not used lately, and reports whether
// there is some. The parts of running jobs count with these.
func (b *Batcher) room(tokens identifier.Tokens) bool {
	free := b.c.MemoryTokens - b.occupied()
	if free < tokens {
		return b.preempt(tokens)
	}
	for b.used > free-tokens && len(b.held) > 0 {
		oldest := ""
		for chain, p := range b.held {
			if oldest == "" || p.used < b.held[oldest].used {
				oldest = chain
			}
		}
		b.used -= b.held[oldest].tokens
		delete(b.held, oldest)
	}
	return true
}

// preempt sends the newest of the least urgent running jobs back to wait, if the first
// waiting one is more urgent. It reports whether the room suffices now.
func (b *Batcher) preempt(tokens identifier.Tokens) bool {
	first := b.waiting[0]
	last := slices.MaxFunc(b.running, before)
	if last.urgency <= first.urgency {
		return false
	}
	b.running = slices.DeleteFunc(b.running, func(t *task) bool { return t == last })
	b.waiting = append(b.waiting, last)
	return b.c.MemoryTokens-b.occupied() >= tokens
}

// missing is what is to be read of a job's prompt: all from the first part on that is not held.
func (b *Batcher) missing(j *Job) (sum identifier.Tokens) {
	chain, known := "", true
	for _, p := range j.Prompt {
		chain += "/" + p.ID
		known = known && b.held[chain] != nil
		if !known {
			sum += p.Tokens
		}
	}
	return sum
}

// touch marks the held parts of a prompt as used.
func (b *Batcher) touch(j *Job) {
	b.turn++
	chain := ""
	for _, p := range j.Prompt {
		chain += "/" + p.ID
		if h := b.held[chain]; h != nil {
			h.used = b.turn
		}
	}
}

// keep holds the parts of a prompt that has been read.
func (b *Batcher) keep(j *Job) {
	b.turn++
	chain := ""
	for _, p := range j.Prompt {
		chain += "/" + p.ID
		if b.held[chain] == nil {
			b.held[chain] = &part{tokens: p.Tokens}
			b.used += p.Tokens
		}
		b.held[chain].used = b.turn
	}
}

// next is the job of which a chunk is read in the next step; nil for none.
func (b *Batcher) next() (*task, identifier.Tokens) {
	var first *task
	for _, t := range b.running {
		if t.unread > 0 && (first == nil || before(t, first) < 0) {
			first = t
		}
	}
	if first == nil {
		return nil, 0
	}
	return first, min(first.unread, b.c.PrefillChunk)
}

// duration is how long a step takes in which so much is read.
func (b *Batcher) duration(chunk identifier.Tokens) time.Duration {
	took := time.Duration(float64(chunk) / b.c.PrefillTokensPerSecond * float64(time.Second))
	writing := 0
	for _, t := range b.running {
		if t.unread == 0 {
			writing++
		}
	}
	if writing > 0 {
		took += time.Duration(float64(b.c.StepTime) * (1 + b.c.FullBatchSlowdown*float64(writing-1)/float64(max(b.c.Slots-1, 1))))
	}
	return took
}

// finish hands out what a step made.
func (b *Batcher) finish(reading *task, chunk identifier.Tokens) {
	for _, t := range b.running {
		if t.unread == 0 && t.made < t.job.OutputTokens && !t.gone {
			t.made++
			t.out <- t.made
		}
	}
	b.running = slices.DeleteFunc(b.running, func(t *task) bool { return t.unread == 0 && t.made >= t.job.OutputTokens })
	if reading == nil {
		return
	}
	reading.unread -= chunk
	b.read += chunk
	if reading.unread == 0 {
		b.keep(reading.job)
	}
}
