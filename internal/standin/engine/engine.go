// Package engine is a stand-in for a model engine.
//
// It does continuous batching in a fixed number of slots, prefills one prompt at a
// time and keeps a prefix cache of limited size. Its streams outlive their
// connection for a while and can be resumed or cancelled. It exports and imports
// cache blocks, sends late load reports, remembers a limited number of cache
// events, so that a slow reader misses some, and checks or ignores the fencing
// number of orders. Its tokens come from package textgenerator, not from a model.
//
// # Usage
//
//	e := engine.New(engine.Config{Endpoint: "engine-1", Model: "demo"})
//	http.Serve(listener, e)
//
// # Paths
//
//	POST   /v1/chat/completions  start a stream; Request-Id is its id
//	POST   /v1/streams/resume    resume a stream
//	DELETE /v1/streams/ID        cancel a stream
//	GET    /v1/load              load report
//	GET    /v1/kv/ID             cache blocks of a stream's prompt
//	POST   /v1/kv/import         copy cache blocks from another engine
//	POST   /v1/kv/export         the leading blocks of a list that are cached
//	GET    /v1/cache/events      changes of the prefix cache
//	POST   /v1/orders            desired state
//	GET    /admin/executions     number of executions of each request
//	GET    /admin/traces         Traceparent of each stream
//	GET    /admin/orders         orders accepted
//	POST   /admin/behaviour      set gates and faults; see Behaviour
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

// Config describes the engine, its capacity and its speed.
type Config struct {
	Endpoint    identifier.Endpoint
	Incarnation identifier.Incarnation
	Model       string
	// Slots is the number of streams that run at once; others queue. 0 stands for 8.
	Slots int
	// PrefillPerSecond and DecodePerSecond are speeds in tokens; 0 takes no time. Prompts share
	// the prefill speed, each stream decodes at its own.
	PrefillPerSecond int
	DecodePerSecond  int
	// CacheBlocks is the size of the prefix cache in blocks; 0 stands for 4096.
	CacheBlocks int
	// Linger is how long a stream without a reader is kept; 0 stands for 10 s.
	Linger time.Duration
	// IgnoresFencing accepts orders with a lower fencing number than an earlier one.
	IgnoresFencing bool
	// LoadLag is the age of the state that load reports show.
	LoadLag time.Duration
	// Transport calls the engines from which cache blocks are imported; nil stands for
	// http.DefaultTransport.
	Transport http.RoundTripper
}

// Behaviour sets gates and faults for tests and experiments. The zero value is a
// healthy engine.
type Behaviour struct {
	// Gate, if not zero, is the number of tokens after which all streams wait.
	Gate int
	// CrossAt, DuplicateAt and EndAt, if not zero, are the tokens at which a
	// stream sends a frame of another stream, sends a frame twice, or ends
	// without the end marker.
	CrossAt     int
	DuplicateAt int
	EndAt       int
	// Leaving shows a reclaim notice in the load report.
	Leaving bool
	// Refuse answers new streams with Not-Run and 503.
	Refuse bool
	// Slow, if above 1, divides the speeds.
	Slow int
}

// Engine stands in for one engine. It is an http.Handler and safe for concurrent
// use. Use New.
type Engine struct {
	c   Config
	mux http.ServeMux

	mu        sync.Mutex
	changed   *sync.Cond
	behaviour Behaviour
	streams   map[string]*stream
	running   int
	queued    int
	// pendingPrefill is the number of prompt tokens not prefilled yet. prefillSlot
	// lets one prompt be prefilled at a time, so that prompts queue as they do on an
	// accelerator.
	pendingPrefill int
	prefillSlot    chan struct{}
	// executions counts the streams started, by request id.
	executions map[string]int
	// traces holds the Traceparent header of each stream.
	traces  map[string]string
	fencing uint64
	orders  []order.Order
	cache   blockCache
	reports []report.Report
}

// stream is a stream that runs or is kept for resumption.
type stream struct {
	id        string
	prompt    string
	generator textgenerator.Generator
	maxTokens int
	generated int
	started   time.Time
	readers   int
	idleSince time.Time
	ended     bool
	usage     frame.Usage
}

var _ http.Handler = (*Engine)(nil)

// New returns an engine that serves.
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
	e.prefillSlot = make(chan struct{}, 1)
	e.changed = sync.NewCond(&e.mu)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/streams/resume", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/kv/{id}", e.exportStream)
	e.mux.HandleFunc("POST /v1/kv/import", e.importBlocks)
	e.mux.HandleFunc("POST /v1/kv/export", e.exportBlocks)
	e.mux.HandleFunc("GET /v1/cache/events", e.events)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /admin/executions", e.listExecutions)
	e.mux.HandleFunc("GET /admin/traces", e.listTraces)
	e.mux.HandleFunc("GET /admin/orders", e.listOrders)
	e.mux.HandleFunc("POST /admin/behaviour", e.setBehaviour)
	return e
}

// ServeHTTP serves one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// input holds the fields of a request's body that the engine uses.
type input struct {
	Model    string `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// text returns the prompt and the messages as one text.
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
	s, code := e.start(r.Header.Get("Request-Id"), body, nil)
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

// start starts a stream after the tokens that were delivered, which count as
// recomputed. It returns an HTTP status other than 200 if it refuses.
func (e *Engine) start(id string, body []byte, delivered []string) (*stream, int) {
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
	s := &stream{id: id, prompt: in.text(), maxTokens: in.MaxTokens, generated: len(delivered), started: time.Now(), idleSince: time.Now()}
	s.generator = textgenerator.New(s.prompt)
	e.streams[id] = s
	e.executions[id]++
	e.queued++
	go e.generate(s, prefix.Tokens(len(s.prompt)), len(delivered))
	return s, http.StatusOK
}

// generate waits for a slot, prefills the prompt and generates the tokens of a
// stream at the engine's speed.
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
	e.prefill(uncached)
	e.mu.Lock()
	e.cache.add(blocks)
	e.mu.Unlock()
	for e.step(s) {
		e.sleep(1, e.c.DecodePerSecond)
	}
}

// prefill takes the time that the prefill of tokens takes.
func (e *Engine) prefill(tokens int) {
	if e.c.PrefillPerSecond == 0 {
		return
	}
	e.addPending(tokens)
	e.prefillSlot <- struct{}{}
	e.sleep(tokens, e.c.PrefillPerSecond)
	<-e.prefillSlot
	e.addPending(-tokens)
}

// addPending adds to the number of pending prompt tokens.
func (e *Engine) addPending(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingPrefill += tokens
}

// acquire waits for a slot. It returns false if the stream ends first.
func (e *Engine) acquire(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.running >= e.c.Slots && !s.ended {
		e.changed.Wait()
	}
	e.queued--
	if s.ended {
		return false
	}
	e.running++
	return true
}

// release frees the slot and keeps the stream for the linger time.
func (e *Engine) release(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.changed.Broadcast()
	time.AfterFunc(e.c.Linger, func() { e.remove(s) })
}

// remove removes a stream that is still held under its id.
func (e *Engine) remove(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

// step generates one token and reports whether more are left. A stream that has had
// no reader for longer than the linger time ends.
func (e *Engine) step(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.behaviour.Gate > 0 && s.generated >= e.behaviour.Gate && !s.ended && s.generated < s.maxTokens {
		e.changed.Wait()
	}
	if s.readers == 0 && time.Since(s.idleSince) > e.c.Linger {
		s.ended = true
	}
	if s.ended || s.generated >= s.maxTokens {
		return false
	}
	s.generated++
	e.changed.Broadcast()
	return s.generated < s.maxTokens
}

// sleep takes the time of a number of tokens at a speed.
func (e *Engine) sleep(tokens, perSecond int) {
	if perSecond == 0 || tokens == 0 {
		return
	}
	e.mu.Lock()
	slow := max(e.behaviour.Slow, 1)
	e.mu.Unlock()
	time.Sleep(time.Duration(tokens) * time.Second * time.Duration(slow) / time.Duration(perSecond))
}

// serve sends the tokens of a stream from an offset on to one reader.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, s *stream, id string, offset int) {
	e.addReaders(s, 1)
	defer e.addReaders(s, -1)
	stop := context.AfterFunc(r.Context(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.changed.Broadcast()
	})
	defer stop()
	w.Header().Set("Content-Type", "text/event-stream")
	out := writer{out: w, stream: s, id: id, model: e.model()}
	out.flush()
	for ; ; offset++ {
		b, ok := e.await(r.Context(), s, offset)
		if !ok || (b.EndAt > 0 && offset >= b.EndAt) {
			return
		}
		if offset >= s.maxTokens {
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

// addReaders changes the number of readers of a stream.
func (e *Engine) addReaders(s *stream, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers += n
	s.idleSince = time.Now()
	e.changed.Broadcast()
}

// await waits until the token at an offset has been generated or the stream is
// over. It returns false if the stream or its reader has ended.
func (e *Engine) await(ctx context.Context, s *stream, offset int) (Behaviour, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s.generated <= offset && s.generated < s.maxTokens && !s.ended && ctx.Err() == nil {
		e.changed.Wait()
	}
	return e.behaviour, ctx.Err() == nil && !s.ended
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	var in resumption.Resumption
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s, ok := e.rename(in.Stream, in.ID); ok {
		e.serve(w, r, s, in.ID, in.Offset)
		return
	}
	if in.HeldOnly || len(in.Delivered) != in.Offset {
		http.Error(w, "stream not held, tokens not given", http.StatusNotFound)
		return
	}
	if in.KVSource != "" {
		e.importStream(r.Context(), in.KVSource, in.Stream)
	}
	s, code := e.start(in.ID, in.Original, in.Delivered)
	if code != http.StatusOK {
		e.refuse(w, code)
		return
	}
	e.serve(w, r, s, in.ID, in.Offset)
}

// rename gives a held stream the id of the request that resumes it.
func (e *Engine) rename(old, id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[old]
	if !ok || s.ended {
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
	s.ended = true
	delete(e.streams, s.id)
	e.changed.Broadcast()
	w.WriteHeader(http.StatusNoContent)
}
