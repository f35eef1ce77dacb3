// Package platform is a stand-in for the users' platform.
//
// It has the object API with versions, conditional writes and watches, a list of
// hosts that lags behind, reclaim notices and a cloud API that starts and stops
// hosts. It injects the faults of the real one: outages, stale reads, lost answers
// and watches that meet a gap as the history is short. It keeps everything in
// memory and counts its calls; a watch counts as one call, however long it waits.
//
// # Usage
//
//	p := platform.New(platform.Config{HostListLag: time.Second})
//	http.Serve(listener, p)
//
// # Paths
//
//	GET    /v1/objects/KEY            get an object
//	PUT    /v1/objects/KEY            write an object; needs If-Match or If-None-Match
//	DELETE /v1/objects/KEY            delete an object; needs If-Match
//	GET    /v1/objects?prefix=P       list objects
//	GET    /v1/watch?prefix=P&after=R&wait=20s
//	                                  wait for changes after a revision
//	POST   /admin/hosts               register a host; listed after the lag
//	POST   /admin/notices             announce a reclaim; published at once
//	POST   /cloud/hosts               start a host; idempotent by token
//	DELETE /cloud/hosts/HOST          stop a host after a notice
//	POST   /admin/waves               reclaim a zone's hosts
//	POST   /admin/faults              set faults; see Faults
//	GET    /admin/calls               counts of calls; see Calls
//	GET    /admin/cloud               counts of cloud calls; see CloudCalls
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
	// maxValue is the size limit of a body in bytes.
	maxValue = 1 << 20
	// historyLen is the number of remembered changes above which the older half is dropped.
	historyLen = 4096
	// maxWait is the longest time that a watch may wait.
	maxWait = time.Minute
)

// Config sets the delays of the platform.
type Config struct {
	// HostListLag is the time until a change of a host appears in the list.
	HostListLag time.Duration
	// StartTime is the time that a host takes to start, StopNotice the time from
	// the notice to the end of a host that is stopped.
	StartTime  time.Duration
	StopNotice time.Duration
}

// Faults are the faults that can be injected. The zero value has none.
type Faults struct {
	// Outage answers all calls but those of /admin/ with 503.
	Outage bool
	// StaleRevision, if not zero, is the revision as of which lists are answered.
	StaleRevision uint64
	// LoseAnswers is the number of further writes that take effect without an
	// answer.
	LoseAnswers int
	// FailAfterLost starts an outage with the first lost answer.
	FailAfterLost bool
	// RefuseStarts lists the places, as zone/class or * for all, where the cloud
	// has no hosts.
	RefuseStarts []string
	// LoseStarts is the number of further starts that take effect without an answer.
	LoseStarts int
	// Forget drops the history, so that watches meet a gap.
	Forget bool
}

// Calls counts the calls of the object API.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
	// Refused counts the calls refused during outages.
	Refused int64
	// Waiting is the number of open watches.
	Waiting int64
}

// Platform stands in for the platform. It is an http.Handler and safe for concurrent
// use. Use New.
type Platform struct {
	c   Config
	mux http.ServeMux

	mu       sync.Mutex
	revision uint64
	objects  map[string]object.Object
	history  []object.Object
	// changed is closed and replaced at each change.
	changed chan struct{}
	faults  Faults
	calls   Calls

	// startTokens holds the host started for each token.
	startTokens map[string]identifier.Host
	started     map[identifier.Host]*startedHost
	registered  map[identifier.Host]inventory.Host
	cloudCalls  CloudCalls
}

var _ http.Handler = (*Platform)(nil)

// New returns an empty platform.
func New(c Config) *Platform {
	p := &Platform{
		c: c, objects: make(map[string]object.Object), changed: make(chan struct{}), startTokens: make(map[string]identifier.Host),
		started: make(map[identifier.Host]*startedHost), registered: make(map[identifier.Host]inventory.Host),
	}
	p.cloudPaths()
	p.mux.HandleFunc("GET /v1/objects/{key...}", p.get)
	p.mux.HandleFunc("PUT /v1/objects/{key...}", p.put)
	p.mux.HandleFunc("DELETE /v1/objects/{key...}", p.remove)
	p.mux.HandleFunc("GET /v1/objects", p.list)
	p.mux.HandleFunc("GET /v1/watch", p.watch)
	p.mux.HandleFunc("POST /admin/hosts", p.postHost)
	p.mux.HandleFunc("POST /admin/notices", p.postNotice)
	p.mux.HandleFunc("POST /admin/faults", p.setFaults)
	p.mux.HandleFunc("GET /admin/calls", p.getCalls)
	return p
}

// ServeHTTP serves one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	outage := p.faults.Outage && !strings.HasPrefix(r.URL.Path, "/admin/")
	if outage {
		p.calls.Refused++
	}
	p.mu.Unlock()
	if outage {
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
	writeJSON(w, o)
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
	if !p.conditionHolds(r, key) {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	o := p.apply(object.Object{Key: key, Value: value})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		p.faults.Outage = p.faults.FailAfterLost
		closeUnanswered(w)
		return
	}
	writeJSON(w, o)
}

// closeUnanswered closes the connection without an answer.
func closeUnanswered(w http.ResponseWriter) {
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
	if !p.conditionHolds(r, key) {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	p.apply(object.Object{Key: key, Deleted: true})
	w.WriteHeader(http.StatusNoContent)
}

// conditionHolds reports whether the condition of a write holds; it does not for a
// write without one. The caller holds the lock.
func (p *Platform) conditionHolds(r *http.Request, key string) bool {
	o, exists := p.objects[key]
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	return exists && r.Header.Get("If-Match") == strconv.Quote(strconv.FormatUint(o.Version, 10))
}

// apply applies a write and wakes the watches. The caller holds the lock.
func (p *Platform) apply(o object.Object) object.Object {
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
	writeJSON(w, page)
}

// asOf returns the objects as of a revision, rebuilt from the history. The caller
// holds the lock.
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
	writeJSON(w, page)
}

func (p *Platform) count(f func(*Calls)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.calls)
}

// await waits for changes after a revision and returns them, or an empty page when
// ctx ends. It returns false if the history no longer holds the changes.
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

// since returns the changes after a revision. It returns false if the history does
// not hold them. The caller holds the lock.
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

// Register registers a host and lists it after the lag.
func (p *Platform) Register(h inventory.Host) {
	value, _ := json.Marshal(h)
	key := inventory.HostPrefix + string(h.AvailabilityZone) + "/" + string(h.Host)
	p.mu.Lock()
	p.registered[h.Host] = h
	p.mu.Unlock()
	time.AfterFunc(p.c.HostListLag, func() { p.write(key, value) })
}

// AnnounceReclaim publishes a reclaim notice at once, marks the host as leaving in the list
// after the lag, and removes the host at the deadline.
func (p *Platform) AnnounceReclaim(n inventory.Notice) {
	value, _ := json.Marshal(n)
	place := string(n.AvailabilityZone) + "/" + string(n.Host)
	p.write(inventory.NoticePrefix+place, value)
	time.AfterFunc(p.c.HostListLag, func() { p.markLeaving(inventory.HostPrefix + place) })
	time.AfterFunc(time.Until(n.Deadline), func() { p.removeHost(&n) })
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
	p.apply(object.Object{Key: key, Value: value})
}

func (p *Platform) postHost(w http.ResponseWriter, r *http.Request) {
	var h inventory.Host
	if !readJSON(w, r, &h) {
		return
	}
	p.Register(h)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) postNotice(w http.ResponseWriter, r *http.Request) {
	var n inventory.Notice
	if !readJSON(w, r, &n) {
		return
	}
	p.AnnounceReclaim(n)
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the faults that are injected.
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
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	c := p.calls
	p.mu.Unlock()
	writeJSON(w, c)
}

// readJSON decodes the body of a call. It answers 400 and returns false if it is malformed.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValue)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
