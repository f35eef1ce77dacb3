package refresher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/platform/object"
)

const answerTime = 5 * time.Millisecond

// store is a store whose revision rises all the time, and that answers after answerTime.
type store struct {
	mu       sync.Mutex
	revision uint64
	calls    []time.Time
	err      error
}

func (s *store) raise() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return s.revision
}

// Watch returns one object with the store's revision.
func (s *store) Watch(context.Context, uint64, time.Duration, ...string) (object.Page, error) {
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	p, err := object.Page{Revision: s.revision, Objects: []object.Object{{Key: "servers/i-1", Version: s.revision}}}, s.err
	s.mu.Unlock()
	time.Sleep(answerTime)
	return p, err
}

// list is a list that is refreshed.
type list struct {
	mu       sync.Mutex
	revision uint64
}

func (l *list) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

func (l *list) Apply(objects []object.Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range objects {
		l.revision = max(l.revision, o.Version)
	}
}

// Guards against a caller that gets the answer of a call that began before it asked, and against a call for each of them.
func TestListIsAsNewAsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, spread = 200, 400 * time.Millisecond
		s, l := &store{revision: 1}, &list{revision: 1}
		r := New(Config{Store: s, Kind: "servers", Revision: l.Revision, Apply: l.Apply})
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				time.Sleep(rand.N(spread))
				want := s.raise()
				if err := r.Refresh(t.Context()); err != nil || l.Revision() < want {
					t.Errorf("revision %d, want %d: %v", l.Revision(), want, err)
				}
			})
		}
		group.Wait()
		for i := 1; i < len(s.calls); i++ {
			if d := s.calls[i].Sub(s.calls[i-1]); d < minInterval {
				t.Errorf("call %d began %v after the one before", i, d)
			}
		}
		time.Sleep(minInterval)
	})
}

// Guards against a list that counts as new although the store did not answer, or nothing is listed yet.
func TestFailedCallConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := &store{revision: 1, err: object.ErrUnavailable}, &list{revision: 1}
		r := New(Config{Store: s, Kind: "servers", Revision: l.Revision, Apply: l.Apply})
		if err := r.Refresh(t.Context()); !errors.Is(err, object.ErrUnavailable) {
			t.Errorf("the store is not available: %v", err)
		}
		l.revision = 0
		if err := r.Refresh(t.Context()); !errors.Is(err, errNotListed) {
			t.Errorf("nothing is listed: %v", err)
		}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		l.revision, s.err = 1, nil
		if err := r.Refresh(ended); !errors.Is(err, context.Canceled) {
			t.Errorf("the caller has left: %v", err)
		}
		time.Sleep(2 * minInterval)
	})
}
