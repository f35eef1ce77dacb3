package messagelimiter

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"brasschute/internal/serve/bodyreader"
)

const maxBytes = 1 << 20

// endless is a body without an end. It counts the bytes that were read.
type endless struct{ taken int }

func (e *endless) Read(p []byte) (int, error) {
	clear(p)
	e.taken += len(p)
	return len(p), nil
}

func (e *endless) Close() error { return nil }

type respond func(*http.Request) (*http.Response, error)

func (f respond) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a message without an end that is read for as long as bytes come, and against a bound that cuts one
// of just its length.
func TestMessagesAreBounded(t *testing.T) {
	l := New(Config{MaxBytes: maxBytes, Bodies: bodyreader.New(bodyreader.Config{TotalBytes: 8 * maxBytes, Timeout: time.Minute, DiscardBytes: maxBytes / 2})})
	h := l.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	for _, c := range []struct {
		name   string
		body   io.Reader
		length int64
		status int
	}{
		{"without an end", new(endless), -1, http.StatusRequestEntityTooLarge},
		{"too long a stated length", new(endless), maxBytes + 1, http.StatusRequestEntityTooLarge},
		{"of the bound", strings.NewReader(strings.Repeat("x", maxBytes)), maxBytes, http.StatusOK},
	} {
		r := httptest.NewRequest(http.MethodPost, "/", c.body)
		r.ContentLength = c.length
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != c.status {
			t.Errorf("request %s: status %d", c.name, w.Code)
		}
		if e, ok := c.body.(*endless); ok && e.taken > 2*maxBytes {
			t.Errorf("request %s: %d bytes taken", c.name, e.taken)
		}
	}
	read := func(b io.ReadCloser) (int, error) {
		transport := l.Transport(respond(func(*http.Request) (*http.Response, error) { return &http.Response{Body: b}, nil }))
		resp, err := transport.RoundTrip(httptest.NewRequest(http.MethodPost, "/", nil))
		if err != nil {
			return 0, err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		return len(text), err
	}
	e := new(endless)
	if n, err := read(e); !errors.Is(err, ErrTooLong) || n > maxBytes+1 || e.taken > maxBytes+1 {
		t.Errorf("response without an end: %d bytes, %v, %d taken", n, err, e.taken)
	}
	if n, err := read(io.NopCloser(strings.NewReader(strings.Repeat("x", maxBytes)))); n != maxBytes || err != nil {
		t.Errorf("response of the bound: %d bytes, %v", n, err)
	}
}
