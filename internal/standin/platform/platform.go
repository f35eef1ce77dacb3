// Package platform is a small stand-in for the users' platform.
//
// # What it imitates
//
// The object API with versions, conditional updates and watches; the lagging
// list of hosts; reclaim notices; and the ways in which it fails: outages,
// stale reads and short watch memory. It keeps everything in memory and
// counts its calls, a waiting watch as one.
//
// # Usage
//
//	p := platform.New(platform.Config{HostLag: time.Second})
//	http.Serve(listener, p)
//
// # Paths
//
//	GET    /v1/objects/KEY            one object
//	PUT    /v1/objects/KEY            with If-Match or If-None-Match
//	DELETE /v1/objects/KEY            with If-Match
//	GET    /v1/objects?prefix=P       list
//	GET    /v1/watch?prefix=P&after=R&wait=20s
//	POST   /admin/hosts               register a host; listed after the lag
//	POST   /admin/notices             announce a reclaim; at once
//	POST   /cloud/hosts               start a host, once a token
//	DELETE /cloud/hosts/HOST          give a host back; it gets a notice
//	POST   /admin/waves               reclaim a zone's hosts
//	POST   /admin/faults              outage, stale reads, refused starts
//	GET    /admin/calls               counts of calls
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

const (
	maxValue   = 1 << 20
	historyLen = 4096
	maxWait    = time.Minute
)

// Config sets how the stand-in behaves.
type Config struct {
	// HostLag is the time until a host's change shows in the list.
	HostLag time.Duration
	// StartTime is how long a rented host takes to come up, StopNotice the
	// notice of one that is given back.
	StartTime  time.Duration
	StopNotice time.Duration
}

// Faults are the ways of failing that can be switched on.
type Faults struct {
	// Outage answers everything with 503.
	Outage bool
	// StaleRevision, if not zero, answers lists as of that revision.
	StaleRevision uint64
	// LoseAnswers is the number of writes that take effect and whose answers
	// are then lost.
	LoseAnswers int
	// FailAfterLost begins an outage with the first lost answer.
	FailAfterLost bool
	// RefuseStarts lists places, as zone/class, or * for all, where the cloud
	// has nothing to give.
	RefuseStarts []string
	// LoseStarts is the number of starts whose answers are lost.
	LoseStarts int
	// Forget drops the memory of changes, so that watches meet a gap.
	Forget bool
}

// Calls counts what was asked of the platform.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
	// Refused counts the calls during outages.
	Refused int64
	// Waiting is the number of watches open now.
	Waiting int64
}

// Platform is the stand-in. Use New.
type Platform struct {
	c   Config
	mux http.ServeMux

	mu       sync.Mutex
	revision uint64
	objects  map[string]object.Object
	history  []object.Object
	changed  chan struct{}
	faults   Faults
	calls    Calls

	tokens     map[string]identifier.Host
	rented     map[identifier.Host]*rented
	registered map[identifier.Host]inventory.Host
	cloudCalls CloudCalls
}

var _ http.Handler = (*Platform)(nil)

// New returns an empty platform.
func New(c Config) *Platform {
	p := &Platform{
		c: c, objects: make(map[string]object.Object), changed: make(chan struct{}), tokens: make(map[string]identifier.Host),
		rented: make(map[identifier.Host]*rented), registered: make(map[identifier.Host]inventory.Host),
	}
	p.cloudPaths()
	p.mux.HandleFunc("GET /v1/objects/{key...}", p.get)
	p.mux.HandleFunc("PUT /v1/objects/{key...}", p.put)
	p.mux.HandleFunc("DELETE /v1/objects/{key...}", p.remove)
	p.mux.HandleFunc("GET /v1/objects", p.list)
	p.mux.HandleFunc("GET /v1/watch", p.watch)
	p.mux.HandleFunc("POST /admin/hosts", p.hosts)
	p.mux.HandleFunc("POST /admin/notices", p.notices)
	p.mux.HandleFunc("POST /admin/faults", p.setFaults)
	p.mux.HandleFunc("GET /admin/calls", p.getCalls)
	return p
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	out := p.faults.Outage && !strings.HasPrefix(r.URL.Path, "/admin/")
	if out {
		p.calls.Refused++
	}
	p.mu.Unlock()
	if out {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls.Reads++
	o, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	answer(w, o)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil || !json.Valid(value) {
		http.Error(w, "not JSON of at most 1 MiB", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Writes++
	key := r.PathValue("key")
	if !p.holds(r, key) {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	o := p.store(object.Object{Key: key, Value: value})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		p.faults.Outage = p.faults.FailAfterLost
		drop(w)
		return
	}
	answer(w, o)
}

// drop breaks the connection without an answer.
func drop(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		c.Close()
	}
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Writes++
	key := r.PathValue("key")
	if !p.holds(r, key) {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	p.store(object.Object{Key: key, Deleted: true})
	w.WriteHeader(http.StatusNoContent)
}

// holds tells whether the call's condition is met; a write without one never
// is. The caller holds the lock.
func (p *Platform) holds(r *http.Request, key string) bool {
	o, exists := p.objects[key]
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	return exists && r.Header.Get("If-Match") == strconv.Quote(strconv.FormatUint(o.Version, 10))
}

// store applies a write. The caller holds the lock.
func (p *Platform) store(o object.Object) object.Object {
	p.revision++
	o.Version = p.revision
	if o.Deleted {
		delete(p.objects, o.Key)
	} else {
		p.objects[o.Key] = o
	}
	p.history = append(p.history, o)
	if len(p.history) > historyLen {
		p.history = append([]object.Object(nil), p.history[len(p.history)-historyLen/2:]...)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return o
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Reads++
	page := object.Page{Revision: p.revision}
	objects := p.objects
	if stale := p.faults.StaleRevision; stale > 0 {
		page.Revision = stale
		objects = p.asOf(stale)
	}
	for key := range objects {
		if matches(key, r.URL.Query()["prefix"]) {
			page.Objects = append(page.Objects, objects[key])
		}
	}
	sort.Slice(page.Objects, func(i, j int) bool { return page.Objects[i].Version < page.Objects[j].Version })
	answer(w, page)
}

func (p *Platform) asOf(revision uint64) map[string]object.Object {
	old := make(map[string]object.Object)
	for i := range p.history {
		o := p.history[i]
		if o.Version > revision {
			break
		}
		if o.Deleted {
			delete(old, o.Key)
			continue
		}
		old[o.Key] = o
	}
	return old
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait > maxWait {
		http.Error(w, "wait: a duration up to 1m", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	p.count(func(c *Calls) { c.Watches++; c.Waiting++ })
	defer p.count(func(c *Calls) { c.Waiting-- })
	page, ok := p.await(ctx, after, q["prefix"])
	if !ok {
		http.Error(w, "gap", http.StatusGone)
		return
	}
	answer(w, page)
}

func (p *Platform) count(f func(*Calls)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.calls)
}

// await returns the changes after a revision, or an empty page when ctx ends;
// ok is false when the changes are no longer remembered.
func (p *Platform) await(ctx context.Context, after uint64, prefixes []string) (page object.Page, ok bool) {
	for {
		p.mu.Lock()
		page, ok = p.since(after, prefixes)
		changed := p.changed
		p.mu.Unlock()
		if !ok || len(page.Objects) > 0 {
			return page, ok
		}
		select {
		case <-ctx.Done():
			return page, true
		case <-changed:
		}
	}
}

func (p *Platform) since(after uint64, prefixes []string) (object.Page, bool) {
	page := object.Page{Revision: p.revision}
	if after > p.revision || after < p.revision && (len(p.history) == 0 || p.history[0].Version > after+1) {
		return page, false
	}
	first := sort.Search(len(p.history), func(i int) bool { return p.history[i].Version > after })
	for i := first; i < len(p.history); i++ {
		if matches(p.history[i].Key, prefixes) {
			page.Objects = append(page.Objects, p.history[i])
		}
	}
	return page, true
}

func matches(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// Register lists a host once the lag is over.
func (p *Platform) Register(h inventory.Host) {
	value, _ := json.Marshal(h)
	key := inventory.HostPrefix + string(h.AvailabilityZone) + "/" + string(h.Host)
	p.mu.Lock()
	p.registered[h.Host] = h
	p.mu.Unlock()
	time.AfterFunc(p.c.HostLag, func() { p.write(key, value) })
}

// Announce publishes a reclaim notice at once, marks the host as leaving in
// the list after the lag, and takes it away at the deadline.
func (p *Platform) Announce(n inventory.Notice) {
	value, _ := json.Marshal(n)
	place := string(n.AvailabilityZone) + "/" + string(n.Host)
	p.write(inventory.NoticePrefix+place, value)
	time.AfterFunc(p.c.HostLag, func() { p.markLeaving(inventory.HostPrefix + place) })
	time.AfterFunc(time.Until(n.Deadline), func() { p.take(&n) })
}

func (p *Platform) markLeaving(key string) {
	p.mu.Lock()
	o, ok := p.objects[key]
	p.mu.Unlock()
	var h inventory.Host
	if !ok || json.Unmarshal(o.Value, &h) != nil {
		return
	}
	h.State = inventory.StateLeaving
	value, _ := json.Marshal(h)
	p.write(key, value)
}

func (p *Platform) write(key string, value json.RawMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store(object.Object{Key: key, Value: value})
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	var h inventory.Host
	if !read(w, r, &h) {
		return
	}
	p.Register(h)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) notices(w http.ResponseWriter, r *http.Request) {
	var n inventory.Notice
	if !read(w, r, &n) {
		return
	}
	p.Announce(n)
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults switches ways of failing on and off.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	if f.Forget {
		p.history = nil
		p.revision++
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !read(w, r, &f) {
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	c := p.calls
	p.mu.Unlock()
	answer(w, c)
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValue)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
