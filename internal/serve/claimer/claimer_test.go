package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/platform/object"
)

// mode is what a store does with a write.
type mode int

const (
	works mode = iota
	// losesAnswer applies the write and loses its answer.
	losesAnswer
	// losesRequest loses the write itself.
	losesRequest
	// delays loses the answer and applies the write later, if its condition still holds.
	delays
	down
	modes
)

// store is a platform whose writes fail as scripted and whose next failedReads reads fail.
type store struct {
	mu          sync.Mutex
	objects     map[string]object.Object
	version     uint64
	script      []mode
	failedReads int
	// writeTime is how long a write takes.
	writeTime time.Duration
}

func newStore(script ...mode) *store {
	return &store{objects: make(map[string]object.Object), script: script}
}

func (s *store) Now() time.Time { return time.Now() }

func (s *store) Get(_ context.Context, key string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedReads > 0 {
		s.failedReads--
		return object.Object{}, object.ErrUnavailable
	}
	o, ok := s.objects[key]
	if !ok {
		return o, object.ErrMissing
	}
	return o, nil
}

func (s *store) Put(_ context.Context, key string, ifVersion uint64, value any) (object.Object, error) {
	time.Sleep(s.writeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := works
	if len(s.script) > 0 {
		m, s.script = s.script[0], s.script[1:]
	}
	raw, _ := json.Marshal(value)
	switch m {
	case down:
		return object.Object{}, object.ErrUnavailable
	case losesRequest:
		return object.Object{}, object.ErrUnknown
	case delays:
		time.AfterFunc(3*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.write(key, ifVersion, raw)
		})
		return object.Object{}, object.ErrUnknown
	case losesAnswer:
		_, err := s.write(key, ifVersion, raw)
		return object.Object{}, errors.Join(object.ErrUnknown, err)
	}
	return s.write(key, ifVersion, raw)
}

// write applies a conditional write. The caller holds the lock.
func (s *store) write(key string, ifVersion uint64, raw []byte) (object.Object, error) {
	if s.objects[key].Version != ifVersion {
		return object.Object{}, object.ErrConflict
	}
	s.version++
	o := object.Object{Key: key, Version: s.version, Value: raw}
	s.objects[key] = o
	return o, nil
}

func testKey(digest string) *Key {
	return &Key{Organisation: "o", Service: "s", Key: "k", Digest: digest}
}

func TestClaimFaults(t *testing.T) {
	// One claim against a store that fails in each way. Guards against a lost answer
	// that makes the owner give up its claim, and against a claim that was given up
	// but still blocks the key.
	cases := []struct {
		name        string
		script      []mode
		failedReads int
		owned       bool
	}{
		{"works", nil, 0, true},
		{"answer lost", []mode{losesAnswer}, 0, true},
		{"answers lost twice", []mode{losesAnswer, losesAnswer}, 0, true},
		{"request lost", []mode{losesRequest}, 0, true},
		{"arrives late", []mode{delays}, 0, true},
		{"down", []mode{down}, 0, false},
		{"answer lost, then unreadable", []mode{losesAnswer}, 1, false},
		{"arrives late, after giving up", []mode{delays}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore(c.script...)
				a := New(Config{Store: s})
				if c.failedReads > 0 {
					// The first read succeeds; those after the write fail.
					a.queues[int(testKey("d").shard())].known = true
					s.failedReads = c.failedReads
				}
				m, err := a.Claim(t.Context(), testKey("d"))
				if (err == nil) != c.owned {
					t.Fatalf("owned %t, error %v", m != nil, err)
				}
				time.Sleep(10 * time.Second)
				a.Wait(time.Minute)
				_, err = New(Config{Store: s}).Claim(t.Context(), testKey("d"))
				if c.owned != errors.As(err, new(*Duplicate)) {
					t.Fatalf("a second claimer: %v", err)
				}
			})
		})
	}
}

func (k *Key) shard() byte {
	h := k.hash()
	return h[0] % Shards
}

func TestClaimStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, b := New(Config{Store: s}), New(Config{Store: s})
		m, err := a.Claim(t.Context(), testKey("d"))
		if err != nil {
			t.Fatal(err)
		}
		expect := func(step string, digest string, check func(*Duplicate) bool) {
			t.Helper()
			var d *Duplicate
			if _, err := b.Claim(t.Context(), testKey(digest)); !errors.As(err, &d) || !check(d) {
				t.Fatalf("%s: %v", step, err)
			}
		}
		expect("under way", "d", func(d *Duplicate) bool { return !d.Prior.Done && d.SameRequest })
		expect("another request", "x", func(d *Duplicate) bool { return !d.SameRequest })
		m.Finish(200, "text/plain", []byte("answer"))
		a.Wait(time.Minute)
		expect("done", "d", func(d *Duplicate) bool { return d.Prior.Done && string(d.Prior.Answer) == "answer" })
		m.Release()
		a.Wait(time.Minute)
		expect("a finished claim cannot be withdrawn", "d", func(d *Duplicate) bool { return d.Prior.Done })
		time.Sleep(Retention + time.Minute)
		if _, err := b.Claim(t.Context(), testKey("d")); err != nil {
			t.Fatalf("after the retention: %v", err)
		}
	})
}

func TestClaimBatches(t *testing.T) {
	// Claims that arrive during a write must share the next one.
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.writeTime = time.Millisecond
		a := New(Config{Store: s})
		var group sync.WaitGroup
		const claims = Shards * 40
		for i := range claims {
			group.Go(func() {
				if _, err := a.Claim(t.Context(), &Key{Key: fmt.Sprint(i)}); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		if s.version > 2*Shards {
			t.Errorf("%d writes for %d claims, want at most two a shard", s.version, claims)
		}
	})
}

func TestClaimAtMostOneOwner(t *testing.T) {
	// Several claimers and any script of failures: at any time at most one claim of
	// a key is owned and not withdrawn.
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(modes)-1), func(i int) mode { return mode(i) }), 0, 12).Draw(rt, "script")
		rounds := rapid.SliceOfN(rapid.SliceOfN(rapid.Bool(), 3, 3), 1, 4).Draw(rt, "releases by round and claimer")
		most := 0
		synctest.Test(t, func(*testing.T) { most = contend(newStore(script...), rounds) })
		if most > 1 {
			rt.Fatalf("%d owners at once", most)
		}
	})
}

// contend lets three claimers claim one key in each round and returns the highest number
// of owners at a time.
func contend(s *store, rounds [][]bool) (most int) {
	claimers := []*Claimer{New(Config{Store: s}), New(Config{Store: s}), New(Config{Store: s})}
	owned := 0
	var mu sync.Mutex
	for _, releases := range rounds {
		var group sync.WaitGroup
		for i, c := range claimers {
			group.Go(func() {
				m, err := c.Claim(context.Background(), testKey("d"))
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				owned++
				most = max(most, owned)
				if releases[i] {
					owned--
					m.Release()
				}
			})
		}
		group.Wait()
		time.Sleep(20 * time.Second)
	}
	for _, c := range claimers {
		c.Wait(time.Minute)
	}
	return most
}
