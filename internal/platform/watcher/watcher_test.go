package watcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/waiter"
	"brasschute/internal/platform/object"
)

// script answers each call with the next page. When there are no more, lists are as
// the last one and watches bring nothing.
type script struct {
	pages []object.Page
	errs  []error
	lists int
	last  object.Page
	// pause is how long each watch takes.
	pause time.Duration
}

func (s *script) next() (object.Page, error) {
	if len(s.pages) == 0 {
		return object.Page{}, object.ErrUnavailable
	}
	p, err := s.pages[0], s.errs[0]
	s.pages, s.errs = s.pages[1:], s.errs[1:]
	return p, err
}

func (s *script) List(context.Context, ...string) (object.Page, error) {
	s.lists++
	if len(s.pages) == 0 && s.last.Revision > 0 {
		return s.last, nil
	}
	return s.next()
}

func (s *script) Watch(ctx context.Context, _ uint64, wait time.Duration, _ ...string) (object.Page, error) {
	if len(s.pages) == 0 {
		waiter.For(ctx, wait)
		return object.Page{}, nil
	}
	waiter.For(ctx, s.pause)
	return s.next()
}

func (s *script) then(err error, revision uint64, objects ...object.Object) *script {
	s.last = object.Page{Revision: revision, Objects: objects}
	s.pages = append(s.pages, s.last)
	s.errs = append(s.errs, err)
	return s
}

type sink map[string]uint64

func (s sink) Apply(objects []object.Object) {
	for _, o := range objects {
		if o.Deleted {
			delete(s, o.Key)
			continue
		}
		s[o.Key] = o.Version
	}
}

// guarded is a sink that is looked at while a watcher runs.
type guarded struct {
	mu     sync.Mutex
	sink   sink
	doubts int
}

func (g *guarded) Apply(objects []object.Object) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sink.Apply(objects)
}

func (g *guarded) has(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, there := g.sink[key]
	return there
}

func (g *guarded) listed(l List) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.Uncertain {
		g.doubts++
	}
}

// calls counts the objects of each call.
type calls []int

func (c *calls) Apply(objects []object.Object) { *c = append(*c, len(objects)) }

// A daemon told others of a list of endpoints while it was half taken in; they
// took the highest revision for all that there was, and never asked for the
// rest. A list, with the ends that it shows, must come in one call.
func TestListsComeWhole(t *testing.T) {
	at := func(key string, version uint64) object.Object { return object.Object{Key: key, Version: version} }
	s := new(script).then(nil, 9, at("a", 9), at("b", 4), at("c", 7)).then(object.ErrGap, 0).then(nil, 12, at("a", 11))
	s.pause = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var got calls
		ctx, cancel := context.WithCancel(t.Context())
		w := New(Config{Platform: s, Sink: &got, Prefixes: []string{""}})
		go func() { _ = w.Serve(ctx) }()
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		if len(got) != 2 || got[0] != 3 || got[1] != 3 {
			t.Errorf("objects by call: %v, want three (all), three (one changed, two gone)", got)
		}
	})
}

func TestWatcherDropsOldVersions(t *testing.T) {
	// A stale list after a gap, a repeated event, and a key that vanished
	// while nobody watched: the sink must end with the newest of each.
	at := func(key string, version uint64) object.Object { return object.Object{Key: key, Version: version} }
	cases := []struct {
		name   string
		script *script
		want   sink
	}{
		{"list", new(script).then(nil, 5, at("a", 3), at("b", 5)), sink{"a": 3, "b": 5}},
		{"event", new(script).then(nil, 5, at("a", 3)).then(nil, 6, at("a", 6)), sink{"a": 6}},
		{"old event", new(script).then(nil, 5, at("a", 5)).then(nil, 6, at("a", 4)), sink{"a": 5}},
		{"stale list after a gap", new(script).then(nil, 5, at("a", 5)).then(object.ErrGap, 0).then(nil, 3, at("a", 2)), sink{"a": 5}},
		{"vanished during a gap", new(script).then(nil, 5, at("a", 3), at("b", 5)).then(object.ErrGap, 0).then(nil, 9, at("b", 5)), sink{"b": 5}},
		{"stale list does not remove", new(script).then(nil, 5, at("a", 5)).then(object.ErrGap, 0).then(nil, 3), sink{"a": 5}},
		{"failures between", new(script).then(object.ErrUnavailable, 0).then(nil, 5, at("a", 5)).then(object.ErrUnavailable, 0).then(nil, 7, at("a", 7)), sink{"a": 7}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := make(sink)
				ctx, cancel := context.WithCancel(t.Context())
				w := New(Config{Platform: c.script, Sink: got, Prefixes: []string{""}})
				go func() { _ = w.Serve(ctx) }()
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				if len(got) != len(c.want) {
					t.Fatalf("got %v, want %v", got, c.want)
				}
				for key, version := range c.want {
					if got[key] != version {
						t.Errorf("%s: got %d, want %d", key, got[key], version)
					}
				}
			})
		})
	}
}

func TestWatcherPausesGrow(t *testing.T) {
	// During an outage the calls must become few, or healing meets a stampede.
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		ctx, cancel := context.WithCancel(t.Context())
		w := New(Config{Platform: s, Sink: make(sink), Prefixes: []string{""}})
		go func() { _ = w.Serve(ctx) }()
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if s.lists > 70 {
			t.Errorf("%d calls in a minute of outage", s.lists)
		}
	})
}

// In a large fleet a daemon took an endpoint from its peers, the endpoint ended, and
// the daemon began to follow the store itself. The list did not show the endpoint
// any more, which it had never seen there, so it went on sending requests to it,
// seconds after it had left. What others told must end with the list, too, unless it
// is newer than the list.
func TestListEndsWhatPeersTold(t *testing.T) {
	at := func(key string, version uint64) object.Object { return object.Object{Key: key, Version: version} }
	s := new(script).then(nil, 9, at("a", 9))
	synctest.Test(t, func(t *testing.T) {
		got := sink{"a": 9, "ended": 5, "newer": 11}
		ctx, cancel := context.WithCancel(t.Context())
		w := New(Config{Platform: s, Sink: got, Prefixes: []string{""}, Known: func() map[string]uint64 { return map[string]uint64{"a": 9, "ended": 5, "newer": 11} }})
		go func() { _ = w.Serve(ctx) }()
		time.Sleep(3 * time.Second)
		cancel()
		synctest.Wait()
		if _, there := got["ended"]; there || got["newer"] != 11 || got["a"] != 9 {
			t.Errorf("after the list: %v", got)
		}
	})
}

// The store is away for seconds, and the entries of all endpoints lapse, though all
// of them live. The first list after its return is empty; two seconds later they are
// back. A daemon that took them for ended refused every request meanwhile. One that
// is missing from the second list, too, has ended.
func TestLapsedEntriesAreAwaited(t *testing.T) {
	at := func(key string, version uint64) object.Object { return object.Object{Key: key, Version: version} }
	s := new(script).then(nil, 9, at("a", 9), at("b", 8)).then(object.ErrUnavailable, 0).then(object.ErrGap, 0).
		then(nil, 20).then(nil, 31, at("a", 30))
	s.pause = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		got, missing := &guarded{sink: make(sink)}, 0
		ctx, cancel := context.WithCancel(t.Context())
		w := New(Config{Platform: s, Sink: got, Prefixes: []string{""}, OnList: got.listed})
		go func() { _ = w.Serve(ctx) }()
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			if !got.has("a") {
				missing++
			}
		}
		cancel()
		synctest.Wait()
		if got.has("b") || got.sink["a"] != 30 || missing > 0 || got.doubts == 0 {
			t.Errorf("in the end %v; missing in %d of 60 looks, %d doubts", got.sink, missing, got.doubts)
		}
	})
}
