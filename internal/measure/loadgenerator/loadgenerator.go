// Package sender sends a workload to a running daemon and measures it.
//
// # What it measures
//
// What a caller sees: first token, pauses between tokens, refusals, prompt
// tokens that were cached. Cost is not known to callers, so the sender leaves
// it out; the experiment under a paused clock has it.
//
// # Bounds
//
// A run ends after its length or its number of requests, whichever comes
// first, and has a bounded number of requests under way: those that would be
// more are counted as not sent.
//
// # Usage
//
//	s := sender.New(sender.Config{Address: "127.0.0.1:8080", Key: key, Model: "planning-model", Mix: workload.Werkbrug()})
//	result := s.Run(ctx)
package loadgenerator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/waiter"
	"brasschute/internal/engine/frame"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/measure/collector"
	"brasschute/internal/measure/workload"
)

const maxUnderWay = 2000

// Config describes a run.
type Config struct {
	// Address is a daemon's or balancer's, as IP:port.
	Address string
	Key     string
	Model   string
	Mix     workload.Mix
	Seed    uint64
	// MaxDuration and Requests bound the run.
	MaxDuration   time.Duration
	MaxRequests int
	// FirstTokenTarget is the latency target of the first token.
	FirstTokenTarget time.Duration
}

// Generator sends one workload.
type Generator struct {
	c      Config
	client http.Client
	result *collector.Collector
}

// New returns a sender.
func New(c Config) *Generator {
	return &Generator{
		c: c, result: collector.New(c.FirstTokenTarget),
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxUnderWay}},
	}
}

// Run sends until the bounds are reached or ctx ends, and waits for the
// answers.
func (s *Generator) Run(ctx context.Context) collector.Summary {
	w := workload.New(s.c.Mix, s.c.Seed)
	slots := make(chan struct{}, maxUnderWay)
	var group sync.WaitGroup
	end := time.Now().Add(s.c.MaxDuration)
	for n := 0; n < s.c.MaxRequests && time.Now().Before(end) && ctx.Err() == nil; n++ {
		r := w.Next()
		waiter.For(ctx, r.Pause)
		select {
		case slots <- struct{}{}:
			group.Go(func() {
				s.send(ctx, &r)
				<-slots
			})
		default:
			s.result.Add(collector.Sample{Organisation: r.Organisation, Refused: "not sent"})
		}
	}
	group.Wait()
	return s.result.Summary()
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type body struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens identifier.Tokens `json:"max_tokens"`
	Messages  []message         `json:"messages"`
}

// messages splits a prompt into what earlier turns sent and the new question,
// with an empty answer between them, by which a daemon knows a later turn.
func messages(r *workload.Request) []message {
	known := int(r.PriorTokens) * prefix.BytesPerToken
	if known == 0 || known >= len(r.Prompt) {
		return []message{{"user", r.Prompt}}
	}
	return []message{{"user", r.Prompt[:known]}, {"assistant", ""}, {"user", r.Prompt[known:]}}
}

func (s *Generator) send(ctx context.Context, r *workload.Request) {
	payload, err := json.Marshal(&body{Model: s.c.Model, Stream: true, MaxTokens: r.OutputTokens, Messages: messages(r)})
	if err != nil {
		return
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.c.Address+"/v1/chat/completions", bytes.NewReader(payload))
	if err != nil {
		return
	}
	q.Header.Set("Authorization", "Bearer "+s.c.Key)
	begun := time.Now()
	sample := collector.Sample{Organisation: r.Organisation, PromptTokens: prefix.Tokens(len(r.Prompt))}
	resp, err := s.client.Do(q)
	if err != nil {
		sample.Refused = "no answer"
		s.result.Add(sample)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		sample.Refused = fmt.Sprint(resp.StatusCode)
		s.result.Add(sample)
		return
	}
	s.read(bufio.NewScanner(resp.Body), begun, r, &sample)
	s.result.Add(sample)
}

// read follows a stream to its end mark.
func (s *Generator) read(lines *bufio.Scanner, begun time.Time, r *workload.Request, sample *collector.Sample) {
	last := begun
	sample.Refused = "truncated"
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == frame.EndMarker {
			sample.Refused = ""
			return
		}
		now := time.Now()
		if sample.FirstToken == 0 {
			sample.FirstToken = now.Sub(begun)
		} else {
			sample.MaxTokenGap = max(sample.MaxTokenGap, now.Sub(last))
		}
		last = now
		var f frame.Frame
		if json.Unmarshal([]byte(data), &f) == nil && f.Usage != nil {
			known := r.PriorTokens / prefix.BlockTokens * prefix.BlockTokens
			sample.RecomputedTokens = max(known-f.Usage.CachedTokens, f.Usage.RecomputedTokens, 0)
		}
	}
}
