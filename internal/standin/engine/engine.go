// Package engine is a small stand-in for a model engine.
//
// # What it imitates
//
// Continuous batching in a set number of slots, a prefix cache of limited
// size, streams that outlive their connection for a while and can be resumed
// or cancelled, export and import of cache blocks, lagging load reports, late
// and gappy cache events, and orders with a fencing number that it honours or
// ignores. It generates no language: package textmaker makes its tokens.
//
// # Usage
//
//	e := engine.New(engine.Config{Endpoint: "engine-1", Model: "demo"})
//	http.Serve(listener, e)
//
// # Paths
//
//	POST   /v1/chat/completions  a stream; Request-Id names it
//	POST   /v1/streams/resume    a resumption
//	DELETE /v1/streams/ID        cancel
//	GET    /v1/load              load report
//	GET    /v1/kv/ID             cache blocks of a stream
//	POST   /v1/kv/import         copy cache blocks from another engine
//	POST   /v1/kv/export         those of the blocks named that are held
//	GET    /v1/cache/events      changes of the prefix cache
//	POST   /v1/orders            wanted state
//	GET    /admin/executions     how often each request began
//	GET    /admin/traces         the Traceparent of each stream
//	POST   /admin/behaviour      gates and faults, see Behaviour
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/frame"
	"brasschute/internal/engine/order"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/engine/report"
	"brasschute/internal/engine/resumption"
	"brasschute/internal/standin/textgenerator"
)

const (
	maxBody          = 4 << 20
	defaultMaxTokens = 16
	defaultSlots     = 8
	defaultBlocks    = 4096
	defaultLinger    = 10 * time.Second
)

// Config sets what the engine is and how fast.
type Config struct {
	Endpoint    identifier.Endpoint
	Incarnation identifier.Incarnation
	Model       string
	// Slots is the number of streams that generate at once; others queue.
	Slots int
	// PrefillPerSecond and DecodePerSecond are speeds in tokens; 0 is at once.
	PrefillPerSecond int
	DecodePerSecond  int
	// CacheBlocks is the size of the prefix cache.
	CacheBlocks int
	// Linger is how long a stream without reader lives on.
	Linger time.Duration
	// IgnoresFencing takes orders with any fencing number.
	IgnoresFencing bool
	// LoadLag makes load reports show the past.
	LoadLag time.Duration
	// Transport reaches other engines to import cache from; nil for HTTP.
	Transport http.RoundTripper
}

// Behaviour is what tests and experiments switch. The zero value is a healthy
// engine.
type Behaviour struct {
	// Gate, if not zero, is the token at which all streams wait.
	Gate int
	// CrossAt, DuplicateAt and EndAt, if not zero, are the tokens at which a
	// stream sends another stream's frame, sends a frame twice, or ends
	// without its end mark.
	CrossAt     int
	DuplicateAt int
	EndAt       int
	// Leaving shows a reclaim notice in the load report.
	Leaving bool
	// Refuse answers new work with an explicit refusal.
	Refuse bool
	// Slow divides the speeds, if above 1.
	Slow int
}

// Engine is the stand-in. Use New.
type Engine struct {
	c   Config
	mux http.ServeMux

	mu        sync.Mutex
	changed   *sync.Cond
	behaviour Behaviour
	streams   map[string]*stream
	running   int
	queued    int
	// waiting are the prompt tokens not read yet; reading lets one prompt be
	// read at a time, so that prompts queue as they do on an accelerator.
	waiting    int
	reading    chan struct{}
	executions map[string]int
	// traces are the trace ids that came with streams.
	traces  map[string]string
	fencing uint64
	orders  []order.Order
	cache   blockCache
	reports []report.Report
}

// stream is one generation in progress or kept for resumption.
type stream struct {
	id      string
	prompt  string
	maker   textgenerator.Generator
	total   int
	made    int
	started time.Time
	readers int
	idle    time.Time
	gone    bool
	usage   frame.Usage
}

var _ http.Handler = (*Engine)(nil)

// New returns an engine that is ready to serve.
func New(c Config) *Engine {
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = defaultBlocks
	}
	if c.Transport == nil {
		c.Transport = http.DefaultTransport
	}
	if c.Linger == 0 {
		c.Linger = defaultLinger
	}
	e := &Engine{c: c, streams: make(map[string]*stream), executions: make(map[string]int), traces: make(map[string]string)}
	e.cache = newBlockCache(c.CacheBlocks)
	e.reading = make(chan struct{}, 1)
	e.changed = sync.NewCond(&e.mu)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/streams/resume", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/kv/{id}", e.export)
	e.mux.HandleFunc("POST /v1/kv/import", e.importKV)
	e.mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	e.mux.HandleFunc("GET /v1/cache/events", e.events)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /admin/executions", e.listExecutions)
	e.mux.HandleFunc("GET /admin/traces", e.listTraces)
	e.mux.HandleFunc("GET /admin/orders", e.listOrders)
	e.mux.HandleFunc("POST /admin/behaviour", e.setBehaviour)
	return e
}

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// input is what the engine reads of a request's body.
type input struct {
	Model    string `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (in *input) text() string {
	text := in.Prompt
	for i := range in.Messages {
		text += in.Messages[i].Content
	}
	return text
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body cut or too large", http.StatusBadRequest)
		return
	}
	s, code := e.begin(r.Header.Get("Request-Id"), body, nil)
	if code != http.StatusOK {
		e.refuse(w, code)
		return
	}
	e.mu.Lock()
	e.traces[s.id] = r.Header.Get("Traceparent")
	e.mu.Unlock()
	e.serve(w, r, s, r.Header.Get("Request-Id"), 0)
}

func (e *Engine) refuse(w http.ResponseWriter, code int) {
	w.Header().Set("Not-Run", "true")
	http.Error(w, "not run", code)
}

// begin starts a stream; delivered tokens count as computed anew.
func (e *Engine) begin(id string, body []byte, delivered []string) (*stream, int) {
	var in input
	if json.Unmarshal(body, &in) != nil || id == "" {
		return nil, http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.behaviour.Refuse {
		return nil, http.StatusServiceUnavailable
	}
	if in.Model != e.c.Model {
		return nil, http.StatusNotFound
	}
	if in.MaxTokens == 0 {
		in.MaxTokens = defaultMaxTokens
	}
	s := &stream{id: id, prompt: in.text(), total: in.MaxTokens, made: len(delivered), started: time.Now(), idle: time.Now()}
	s.maker = textgenerator.New(s.prompt)
	e.streams[id] = s
	e.executions[id]++
	e.queued++
	go e.generate(s, prefix.Tokens(len(s.prompt)), len(delivered))
	return s, http.StatusOK
}

// generate makes a stream's tokens, at the engine's pace, into its record.
func (e *Engine) generate(s *stream, promptTokens identifier.Tokens, delivered int) {
	if !e.acquire(s) {
		return
	}
	defer e.release(s)
	blocks := prefix.Blocks(nil, s.prompt)
	e.mu.Lock()
	cached := identifier.Tokens(e.cache.match(blocks) * prefix.BlockTokens)
	e.mu.Unlock()
	s.usage = frame.Usage{PromptTokens: promptTokens, CachedTokens: cached}
	uncached := int(promptTokens-cached) + delivered
	if delivered > 0 {
		s.usage.RecomputedTokens = identifier.Tokens(uncached)
	}
	e.read(uncached)
	e.mu.Lock()
	e.cache.add(blocks)
	e.mu.Unlock()
	for e.step(s) {
		e.pause(1, e.c.DecodePerSecond)
	}
}

// read spends the time of reading a prompt.
func (e *Engine) read(tokens int) {
	if e.c.PrefillPerSecond == 0 {
		return
	}
	e.wait(tokens)
	e.reading <- struct{}{}
	e.pause(tokens, e.c.PrefillPerSecond)
	<-e.reading
	e.wait(-tokens)
}

func (e *Engine) wait(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += tokens
}

func (e *Engine) acquire(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.running >= e.c.Slots && !s.gone {
		e.changed.Wait()
	}
	e.queued--
	if s.gone {
		return false
	}
	e.running++
	return true
}

func (e *Engine) release(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.changed.Broadcast()
	time.AfterFunc(e.c.Linger, func() { e.forget(s) })
}

func (e *Engine) forget(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

// step makes one token; it reports false when the stream is over.
func (e *Engine) step(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.behaviour.Gate > 0 && s.made >= e.behaviour.Gate && !s.gone && s.made < s.total {
		e.changed.Wait()
	}
	if s.readers == 0 && time.Since(s.idle) > e.c.Linger {
		s.gone = true
	}
	if s.gone || s.made >= s.total {
		return false
	}
	s.made++
	e.changed.Broadcast()
	return s.made < s.total
}

func (e *Engine) pause(tokens, perSecond int) {
	if perSecond == 0 || tokens == 0 {
		return
	}
	e.mu.Lock()
	slow := max(e.behaviour.Slow, 1)
	e.mu.Unlock()
	time.Sleep(time.Duration(tokens) * time.Second * time.Duration(slow) / time.Duration(perSecond))
}

// serve sends a stream's tokens from an offset to one reader.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, s *stream, id string, offset int) {
	e.attach(s, 1)
	defer e.attach(s, -1)
	stop := context.AfterFunc(r.Context(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.changed.Broadcast()
	})
	defer stop()
	w.Header().Set("Content-Type", "text/event-stream")
	out := writer{w: w, s: s, id: id, model: e.model()}
	out.flush()
	for ; ; offset++ {
		b, ok := e.await(r.Context(), s, offset)
		if !ok || (b.EndAt > 0 && offset >= b.EndAt) {
			return
		}
		if offset >= s.total {
			break
		}
		out.token(offset, &b)
	}
	out.end()
}

func (e *Engine) model() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.c.Model
}

func (e *Engine) attach(s *stream, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers += n
	s.idle = time.Now()
	e.changed.Broadcast()
}

// await waits until the token at offset is made or the stream is over.
func (e *Engine) await(ctx context.Context, s *stream, offset int) (Behaviour, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s.made <= offset && s.made < s.total && !s.gone && ctx.Err() == nil {
		e.changed.Wait()
	}
	return e.behaviour, ctx.Err() == nil && !s.gone
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	var in resumption.Resumption
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s, ok := e.adopt(in.Stream, in.ID); ok {
		e.serve(w, r, s, in.ID, in.Offset)
		return
	}
	if in.HeldOnly || len(in.Delivered) != in.Offset {
		http.Error(w, "stream not held, tokens not given", http.StatusNotFound)
		return
	}
	if in.KVSource != "" {
		e.importBlocks(r.Context(), in.KVSource, in.Stream)
	}
	s, code := e.begin(in.ID, in.Original, in.Delivered)
	if code != http.StatusOK {
		e.refuse(w, code)
		return
	}
	e.serve(w, r, s, in.ID, in.Offset)
}

// adopt gives a held stream its new id.
func (e *Engine) adopt(old, id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[old]
	if !ok || s.gone {
		return nil, false
	}
	delete(e.streams, old)
	s.id = id
	e.streams[id] = s
	return s, true
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[r.PathValue("id")]
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.gone = true
	delete(e.streams, s.id)
	e.changed.Broadcast()
	w.WriteHeader(http.StatusNoContent)
}
