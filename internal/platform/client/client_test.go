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

// writeSlowly writes a response in pieces, over twice the client's timeout.
func writeSlowly(w http.ResponseWriter, answer string) {
	const pieces = 8
	for i := range pieces {
		_, _ = io.WriteString(w, answer[len(answer)*i/pieces:len(answer)*(i+1)/pieces])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(2 * timeout / pieces)
	}
}

// On a busy link a list of a megabyte takes longer than the client's timeout. With a fixed
// timeout per call it would be aborted and restarted forever although bytes keep arriving.
func TestLargeListOverSlowLink(t *testing.T) {
	value := strings.Repeat("x", 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeSlowly(w, fmt.Sprintf(`{"Revision":3,"Objects":[{"Key":"config/current","Version":2,"Value":%q}]}`, value))
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

// A platform that accepts calls and never responds must not block a daemon. A write must end
// within its timeout even if bytes keep arriving.
func TestSilentReadAndSlowWriteTimeOut(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			writeSlowly(w, `{"Key":"a","Version":2}`+strings.Repeat(" ", 100))
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
		t.Errorf("error %v, but the write may have taken effect", err)
	}
}

// Guards against an object of another writer that is nested so deeply that the others are not read.
func TestDeepObjectHidesNoOther(t *testing.T) {
	const depth = 100000
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		deep := `{"Zone":"a","Note":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + "}"
		fmt.Fprintf(w, `{"Revision":3,"Objects":[{"Key":"hosts/a","Version":2,"Value":{"Zone":"a"}},{"Key":"hosts/b","Version":3,"Value":%s}]}`, deep)
	}))
	defer server.Close()
	c := New(Config{Address: server.Listener.Addr().String(), Timeout: timeout})
	for name, read := range map[string]func() (object.Page, error){
		"list":  func() (object.Page, error) { return c.List(t.Context(), "hosts/") },
		"watch": func() (object.Page, error) { return c.Watch(t.Context(), 2, 0, "hosts/") },
	} {
		p, err := read()
		if err != nil || len(p.Objects) != 2 || string(p.Objects[0].Value) != `{"Zone":"a"}` || p.Objects[1].Value[0] != '"' {
			t.Errorf("%s: %+v, %v", name, p, err)
		}
	}
}
