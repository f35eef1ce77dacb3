package sender

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a request that is sent over a connection whose verification failed, left bytes on it or closed it.
func TestVerifiedConnections(t *testing.T) {
	const long = 1000
	runs := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/x":
			runs++
		case "/close":
			w.Header().Set("Connection", "close")
		case "/missing":
			w.WriteHeader(http.StatusNotFound)
		case "/long":
			_, _ = io.WriteString(w, strings.Repeat("x", long))
		case "/endless":
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "state")
	}))
	defer server.Close()
	s := New(Config{Dialer: new(net.Dialer)})
	for _, c := range []struct {
		name, target string
		body         string
		open, refuse bool
	}{
		{name: "kept", target: "/state", body: "state", open: true},
		{name: "missing", target: "/missing", open: true},
		{name: "closed", target: "/close", body: "state"},
		{name: "too long", target: "/long"},
		{name: "endless", target: "/endless"},
		{name: "refused", target: "/state", body: "state", open: true, refuse: true},
	} {
		before := runs
		x, err := s.Send(t.Context(), &Request{
			Address: server.Listener.Addr().String(), Method: http.MethodGet, Target: "/x", Host: "h",
			Verify: func(ctx context.Context, conn *Conn) bool {
				limited, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				body, err := conn.Get(limited, c.target, long/2)
				if string(body) != c.body || (err == nil) != (c.body != "") || conn.IsOpen() != c.open {
					t.Errorf("%s: %q, %v, open %v", c.name, body, err, conn.IsOpen())
				}
				if !conn.IsOpen() {
					if err := conn.Renew(ctx); err != nil || !conn.IsOpen() || time.Since(conn.OpenedAt()) > time.Second {
						t.Errorf("%s: renewed: %v", c.name, err)
					}
				}
				return !c.refuse
			},
		})
		if c.refuse {
			if !errors.Is(err, ErrCanceled) || runs != before {
				t.Errorf("%s: %v, %d runs", c.name, err, runs-before)
			}
			continue
		}
		if err != nil || runs != before+1 {
			t.Errorf("%s: %v, %d runs", c.name, err, runs-before)
			continue
		}
		if body, err := io.ReadAll(x.Body); err != nil || string(body) != "state" {
			t.Errorf("%s: %q, %v", c.name, body, err)
		}
		x.Close()
	}
}
