// Package loadgenerator sends a workload to a running daemon over HTTP and
// measures the answers.
//
// It measures what a client sees: time to first token, gaps between tokens,
// refusals, and prompt tokens that were computed again although they were
// cached before. Clients don't learn the cost of a request, so the summary
// has none; package experiment measures cost in simulated time.
//
// A run ends after its maximum duration or number of requests, whichever
// comes first. The number of requests in flight is bounded; a request above
// the bound is not sent and counts as refused with the reason "not sent".
//
// # Usage
//
//	g := loadgenerator.New(loadgenerator.Config{
//		Address: "127.0.0.1:8080", Key: key, Model: "planning-model", Mix: workload.Werkbrug(),
//		MaxDuration: time.Minute, MaxRequests: 1000, FirstTokenTarget: 330 * time.Millisecond,
//	})
//	summary := g.Run(ctx)
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

// maxInFlight bounds the requests in flight of one run.
const maxInFlight = 2000

// Config describes a run.
type Config struct {
	// Address is the IP:port of a daemon or of a load balancer.
	Address string
	// Key is the API key, sent as a bearer token.
	Key string
	// Model is the model named in each request.
	Model string
	Mix   workload.Mix
	// Seed determines the requests and their arrival times.
	Seed uint64
	// MaxDuration and MaxRequests bound the run; the first one reached ends it.
	MaxDuration time.Duration
	MaxRequests int
	// FirstTokenTarget is the target for the time to first token.
	FirstTokenTarget time.Duration
}

// Generator sends the requests of one workload and collects their results.
type Generator struct {
	c         Config
	client    http.Client
	collector *collector.Collector
}

// New returns a generator for the run that c describes.
func New(c Config) *Generator {
	return &Generator{
		c: c, collector: collector.New(c.FirstTokenTarget),
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
	}
}

// Run sends requests until a bound is reached or ctx ends, waits for the
// answers in flight and returns the summary.
func (g *Generator) Run(ctx context.Context) collector.Summary {
	w := workload.New(g.c.Mix, g.c.Seed)
	inFlight := make(chan struct{}, maxInFlight)
	var requests sync.WaitGroup
	deadline := time.Now().Add(g.c.MaxDuration)
	for n := 0; n < g.c.MaxRequests && time.Now().Before(deadline) && ctx.Err() == nil; n++ {
		r := w.Next()
		waiter.For(ctx, r.Pause)
		select {
		case inFlight <- struct{}{}:
			requests.Go(func() {
				g.send(ctx, &r)
				<-inFlight
			})
		default:
			g.collector.Add(collector.Sample{Organisation: r.Organisation, Refused: "not sent"})
		}
	}
	requests.Wait()
	return g.collector.Summary()
}

// message is one message of a chat completion request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens identifier.Tokens `json:"max_tokens"`
	Messages  []message         `json:"messages"`
}

// messages splits a prompt into the text of earlier turns and the new
// question, with an empty assistant message between them. The daemon
// recognises a later turn of a conversation by that message.
func messages(r *workload.Request) []message {
	prior := int(r.PriorTokens) * prefix.BytesPerToken
	if prior == 0 || prior >= len(r.Prompt) {
		return []message{{"user", r.Prompt}}
	}
	return []message{{"user", r.Prompt[:prior]}, {"assistant", ""}, {"user", r.Prompt[prior:]}}
}

// send sends one request and adds its result to the collector.
func (g *Generator) send(ctx context.Context, r *workload.Request) {
	body, err := json.Marshal(&chatRequest{Model: g.c.Model, Stream: true, MaxTokens: r.OutputTokens, Messages: messages(r)})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.c.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+g.c.Key)
	start := time.Now()
	sample := collector.Sample{Organisation: r.Organisation, PromptTokens: prefix.Tokens(len(r.Prompt))}
	resp, err := g.client.Do(req)
	if err != nil {
		sample.Refused = "no answer"
		g.collector.Add(sample)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		sample.Refused = fmt.Sprint(resp.StatusCode)
		g.collector.Add(sample)
		return
	}
	g.readStream(bufio.NewScanner(resp.Body), start, r, &sample)
	g.collector.Add(sample)
}

// readStream reads a stream up to its end marker and fills in the sample. A stream
// that ends without the marker counts as refused with the reason "truncated".
func (g *Generator) readStream(events *bufio.Scanner, start time.Time, r *workload.Request, sample *collector.Sample) {
	last := start
	sample.Refused = "truncated"
	for events.Scan() {
		data, ok := strings.CutPrefix(events.Text(), "data: ")
		if !ok {
			continue
		}
		if data == frame.EndMarker {
			sample.Refused = ""
			return
		}
		now := time.Now()
		if sample.FirstToken == 0 {
			sample.FirstToken = now.Sub(start)
		} else {
			sample.MaxTokenGap = max(sample.MaxTokenGap, now.Sub(last))
		}
		last = now
		var f frame.Frame
		if json.Unmarshal([]byte(data), &f) == nil && f.Usage != nil {
			prior := r.PriorTokens / prefix.BlockTokens * prefix.BlockTokens
			sample.RecomputedTokens = max(prior-f.Usage.CachedTokens, f.Usage.RecomputedTokens, 0)
		}
	}
}
