package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"brasschute/internal/platform/object"
)

const timeout = time.Second

// slow writes an answer in pieces; all of it takes twice the client's timeout.
func slow(w http.ResponseWriter, answer string) {
	const pieces = 8
	for i := range pieces {
		_, _ = io.WriteString(w, answer[len(answer)*i/pieces:len(answer)*(i+1)/pieces])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * timeout / pieces)
	}
}

// The link is busy, and a list of a megabyte takes longer than a call may wait for its
// answer. It was given up and begun anew for ever, though its bytes came all the time.
func TestLargeListsOverABusyLink(t *testing.T) {
	value := strings.Repeat("x", 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		slow(w, fmt.Sprintf(`{"Revision":3,"Objects":[{"Key":"config/current","Version":2,"Value":%q}]}`, value))
	}))
	defer server.Close()
	c := New(Config{Address: server.Listener.Addr().String(), Timeout: timeout})
	p, err := c.List(t.Context(), "config/")
	if err != nil || p.Revision != 3 || len(p.Objects) != 1 || len(p.Objects[0].Value) < len(value) {
		t.Errorf("%d objects, error %v", len(p.Objects), err)
	}
	if p, err = c.Watch(t.Context(), 2, 0, "config/"); err != nil || len(p.Objects) != 1 {
		t.Errorf("watch: %d objects, error %v", len(p.Objects), err)
	}
}

// A platform that takes calls and is silent must not hold a daemon up, and a write must
// not last beyond its time even if bytes come.
func TestSilenceAndSlowWritesEnd(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			slow(w, `{"Key":"a","Version":2}`+strings.Repeat(" ", 100))
			return
		}
		<-r.Context().Done()
	}))
	defer server.Close()
	c := New(Config{Address: server.Listener.Addr().String(), Timeout: timeout})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := c.Get(ctx, "a"); !errors.Is(err, object.ErrUnavailable) || ctx.Err() != nil {
		t.Errorf("error %v", err)
	}
	if _, err := c.Put(ctx, "a", 1, 5); !errors.Is(err, object.ErrUnknown) {
		t.Errorf("error %v, the write may stand", err)
	}
}
