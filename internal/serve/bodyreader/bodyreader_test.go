package bodyreader

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	maxBytes   = 1 << 20
	totalBytes = 4 << 20
	timeout    = 5 * time.Second
)

// client sends a body in pieces of some bytes with a pause before each, and none after stopAt bytes. It is the body
// and the writer of its request.
type client struct {
	http.ResponseWriter
	length, piece, stopAt int
	pause                 time.Duration
	stated                bool
	read                  int
	begun                 time.Time

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{}
}

// SetReadDeadline ends reads at a time, as that of a connection does.
func (c *client) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// wait waits for a time, and reports whether the deadline has not passed.
func (c *client) wait(d time.Duration) bool {
	until := time.Now().Add(d)
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.changed
		c.mu.Unlock()
		now := time.Now()
		if !deadline.IsZero() && !now.Before(deadline) {
			return false
		}
		if !now.Before(until) {
			return true
		}
		next := until
		if !deadline.IsZero() && deadline.Before(next) {
			next = deadline
		}
		select {
		case <-time.After(next.Sub(now)):
		case <-changed:
		}
	}
}

// arrived returns how many bytes have arrived by now, and how long it takes until more do.
func (c *client) arrived() (bytes int, next time.Duration) {
	if c.begun.IsZero() {
		c.begun = time.Now()
	}
	if c.pause == 0 {
		return min(c.length, c.stopAt), time.Hour
	}
	elapsed := time.Since(c.begun)
	pieces := int(elapsed / c.pause)
	return min(c.length, c.stopAt, pieces*c.piece), c.pause - elapsed%c.pause
}

// Read reads what has arrived.
func (c *client) Read(p []byte) (int, error) {
	if c.read == c.length {
		return 0, io.EOF
	}
	bytes, next := c.arrived()
	for bytes == c.read {
		if !c.wait(next) {
			return 0, os.ErrDeadlineExceeded
		}
		bytes, next = c.arrived()
	}
	n := min(bytes-c.read, len(p))
	for i := range n {
		p[i] = byte(c.read + i)
	}
	c.read += n
	return n, nil
}

// Close does nothing.
func (c *client) Close() error { return nil }

// request returns the client's request.
func (c *client) request() *http.Request {
	length := int64(-1)
	if c.stated {
		length = int64(c.length)
	}
	return &http.Request{Method: http.MethodPost, Header: make(http.Header), Body: c, ContentLength: length}
}

// duration returns how long the client sends.
func (c *client) duration() time.Duration {
	return time.Duration((c.length+c.piece-1)/c.piece) * c.pause
}

func drawClient(rt *rapid.T) *client {
	c := &client{
		length: rapid.SampledFrom([]int{1, 100, firstBytes, firstBytes + 1, smallBytes, smallBytes + 1, maxBytes / 2, maxBytes - 1, maxBytes, maxBytes + 1, 3 * maxBytes}).Draw(rt, "length"),
		piece:  rapid.SampledFrom([]int{1 << 10, 1 << 14, 1 << 20}).Draw(rt, "piece"),
		pause:  time.Duration(rapid.SampledFrom([]int{0, 1, 20, 400}).Draw(rt, "pause")) * time.Millisecond,
		stated: rapid.Bool().Draw(rt, "stated"), changed: make(chan struct{}), ResponseWriter: httptest.NewRecorder(),
	}
	c.stopAt = c.length + 1
	if rapid.Bool().Draw(rt, "stops") {
		c.stopAt = rapid.IntRange(0, c.length-1).Draw(rt, "stopAt")
	}
	return c
}

// checkBody checks what Read returned for a client that began at a time.
func checkBody(rt *rapid.T, c *client, begun time.Time, body []byte, err error) {
	took := time.Since(begun)
	if took > timeout+yieldTimeout {
		rt.Errorf("a body was read for %v", took)
	}
	steady := c.stopAt > c.length && c.pause < silenceTimeout && c.duration() < timeout
	switch {
	case err == nil && (len(body) != c.length || c.length > maxBytes):
		rt.Errorf("%d bytes read of %d", len(body), c.length)
	case err == nil:
		for i, b := range body {
			if b != byte(i) {
				rt.Fatalf("byte %d of %d is another one", i, c.length)
			}
		}
	case errors.Is(err, ErrTooLong) && c.length <= maxBytes, errors.Is(err, ErrIncomplete) && steady && c.length <= maxBytes:
		rt.Errorf("a client that sends %d bytes, %d each %v: %v", c.length, c.piece, c.pause, err)
	case !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrNoRoom) && !errors.Is(err, ErrIncomplete):
		rt.Errorf("%v", err)
	}
}

// Guards against bodies that together exceed their memory, against room that is not given back, against a body that is
// read for longer than allowed, and against a client that sends steadily and is cut off for the sake of another one.
func TestBodiesStayWithinTheirMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clients := rapid.SliceOfN(rapid.Custom(drawClient), 1, 24).Draw(rt, "clients")
		arrivals := rapid.SliceOfN(rapid.IntRange(0, 3000), len(clients), len(clients)).Draw(rt, "arrivals")
		served := rapid.SliceOfN(rapid.IntRange(0, 2000), len(clients), len(clients)).Draw(rt, "served")
		synctest.Test(t, func(*testing.T) {
			r := New(Config{TotalBytes: totalBytes, Timeout: timeout})
			var group sync.WaitGroup
			for i, c := range clients {
				group.Go(func() {
					time.Sleep(time.Duration(arrivals[i]) * time.Millisecond)
					begun := time.Now()
					body, release, err := r.Read(c, c.request(), maxBytes)
					checkBody(rt, c, begun, body, err)
					if held := r.small.ReservedBytes() + r.large.ReservedBytes(); held > totalBytes {
						rt.Errorf("%d bytes held", held)
					}
					if err == nil {
						time.Sleep(time.Duration(served[i]) * time.Millisecond)
						release()
					}
				})
			}
			group.Wait()
			if held := r.small.ReservedBytes() + r.large.ReservedBytes(); held != 0 || len(r.arriving) != 0 {
				rt.Errorf("%d bytes held and %d bodies arriving at the end", held, len(r.arriving))
			}
		})
	})
}

// newClient returns a client that sends a body at once and stops after some bytes.
func newClient(length, stopAt int) *client {
	return &client{length: length, piece: 1 << 20, stopAt: stopAt, stated: true, changed: make(chan struct{}), ResponseWriter: httptest.NewRecorder()}
}

// Guards against stalled bodies that keep a whole one out until they time out.
func TestStalledBodiesGiveTheirRoomUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{TotalBytes: totalBytes, Timeout: timeout})
		var group sync.WaitGroup
		const stalled = 3
		for range stalled {
			group.Go(func() {
				c := newClient(maxBytes, maxBytes-1)
				c.piece = maxBytes - 1
				if _, _, err := r.Read(c, c.request(), maxBytes); !errors.Is(err, ErrIncomplete) {
					t.Errorf("a stalled body: %v", err)
				}
			})
		}
		time.Sleep(silenceTimeout / 2)
		c := newClient(maxBytes, maxBytes+1)
		if _, _, err := r.Read(c, c.request(), maxBytes); !errors.Is(err, ErrNoRoom) {
			t.Errorf("beside bodies that have just come: %v", err)
		}
		time.Sleep(silenceTimeout)
		c = newClient(maxBytes, maxBytes+1)
		if _, release, err := r.Read(c, c.request(), maxBytes); err != nil {
			t.Errorf("beside stalled bodies: %v", err)
		} else {
			release()
		}
		group.Wait()
	})
}

// trickle is a body that comes a byte a read, at once. It counts the reads.
type trickle struct {
	*client
	reads *atomic.Int64
}

func (c trickle) Read(p []byte) (int, error) {
	c.reads.Add(1)
	return c.client.Read(p[:1])
}

// Guards against bodies in tiny chunks that take the processor from everything else.
func TestTinyReadsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients, length = 40, 2 * smallBytes
		r := New(Config{TotalBytes: 1 << 30, Timeout: timeout})
		var reads atomic.Int64
		var group sync.WaitGroup
		for range clients {
			group.Go(func() {
				c := newClient(length, length+1)
				c.stated = false
				req := c.request()
				req.Body = trickle{c, &reads}
				if _, release, err := r.Read(c, req, maxBytes); err == nil {
					release()
				} else if !errors.Is(err, ErrIncomplete) {
					t.Error(err)
				}
			})
		}
		const seconds = 2
		time.Sleep(seconds * time.Second)
		if n, most := reads.Load(), int64(readBurst+seconds*readsPerSecond+2*clients*freeReads); n > most {
			t.Errorf("%d reads in %d s, at most %d are planned for", n, seconds, most)
		}
		group.Wait()
	})
}

// Guards against a body in tiny chunks that does not come through although nobody else sends one.
func TestOneBodyOfTinyReadsIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A chunk of one byte takes six on the wire, so that a read of the connection's buffer brings some 700.
		const length = 4 << 20
		c := newClient(length, length+1)
		c.stated = false
		req := c.request()
		req.Body = pieces{c}
		if _, release, err := New(Config{TotalBytes: 1 << 30, Timeout: timeout}).Read(c, req, length); err != nil {
			t.Error(err)
		} else {
			release()
		}
	})
}

// pieces is a body that comes in reads of some hundred bytes.
type pieces struct{ *client }

func (c pieces) Read(p []byte) (int, error) { return c.client.Read(p[:min(len(p), 700)]) }

// Guards against a body that comes in bursts, and is cut off for another one between two of them.
func TestBurstsAreNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 400 * time.Millisecond
		r := New(Config{TotalBytes: totalBytes, Timeout: timeout})
		taken, err := r.large.Reserve(t.Context(), r.large.TotalBytes()-maxBytes)
		if err != nil {
			t.Fatal(err)
		}
		defer taken()
		var group sync.WaitGroup
		group.Go(func() {
			c := newClient(maxBytes, maxBytes+1)
			c.piece, c.pause = maxBytes/4, pause
			_, release, err := r.Read(c, c.request(), maxBytes)
			if err != nil {
				t.Error(err)
				return
			}
			release()
		})
		for range 4 {
			time.Sleep(pause - time.Millisecond)
			c := newClient(maxBytes, maxBytes+1)
			if _, _, err := r.Read(c, c.request(), maxBytes); !errors.Is(err, ErrNoRoom) {
				t.Errorf("beside a body that comes in bursts: %v", err)
			}
			time.Sleep(time.Millisecond)
		}
		group.Wait()
	})
}

// Guards against small bodies that are kept out by large ones.
func TestSmallBodiesHaveTheirShare(t *testing.T) {
	r := New(Config{TotalBytes: totalBytes, Timeout: timeout})
	release, err := r.large.Reserve(t.Context(), r.large.TotalBytes())
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	for range r.small.TotalBytes() / smallBytes {
		c := newClient(smallBytes, smallBytes+1)
		_, release, err := r.Read(c, c.request(), maxBytes)
		if err != nil {
			t.Fatal(err)
		}
		defer release()
	}
}

// refusing is a server that refuses each request without reading it.
func refusing(t *testing.T) string {
	t.Helper()
	r := New(Config{TotalBytes: totalBytes, Timeout: timeout, DiscardBytes: 2 * totalBytes})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.Refuse(w, req, func() {
			w.Header().Set("Content-Length", "4")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "full")
		})
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a refusal that does not arrive: because the server waits for the rest of a body that never comes, or
// because it resets the connection of a client that sends its whole body first. Guards as well against a connection
// that stays open after that, and against one that is closed although the body came whole.
func TestRefusalArrives(t *testing.T) {
	address := refusing(t)
	const patience = 20 * time.Second
	for _, k := range []struct {
		name, head string
		sent       int
		kept       bool
	}{
		{"small body", "Content-Length: 10\r\n", 10, true},
		{"small body that stalls", "Content-Length: 10\r\n", 9, false},
		{"large body", "Content-Length: 4194304\r\n", 4 << 20, false},
		{"large body that stalls", "Content-Length: 4194304\r\n", 4<<20 - 1, false},
		{"announced only", "Content-Length: 1099511627776\r\n", 0, false},
		{"announced and awaited", "Content-Length: 100\r\nExpect: 100-continue\r\n", 0, false},
		{"chunks that stall", "Transfer-Encoding: chunked\r\n", 0, false},
	} {
		t.Run(k.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(patience))
			if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+k.head+"\r\n"+strings.Repeat("x", k.sent)); err != nil {
				t.Fatal(err)
			}
			buffered := bufio.NewReader(conn)
			resp, err := http.ReadResponse(buffered, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusServiceUnavailable || string(text) != "full" || err != nil || resp.Close == k.kept {
				t.Errorf("status %d, %q, %v, closing %v", resp.StatusCode, text, err, resp.Close)
			}
			if k.kept {
				return
			}
			if n, err := buffered.Read(make([]byte, 1)); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%d bytes more, %v", n, err)
			}
		})
	}
}

// BenchmarkSmallBody reads a body of the usual size. /plain reads it as before this package, into a growing buffer.
func BenchmarkSmallBody(b *testing.B) {
	text := strings.Repeat("x", 300)
	newRequest := func(body *strings.Reader) *http.Request {
		return &http.Request{Method: http.MethodPost, Header: make(http.Header), Body: io.NopCloser(body), ContentLength: int64(len(text))}
	}
	w := httptest.NewRecorder()
	b.Run("bounded", func(b *testing.B) {
		r := New(Config{TotalBytes: totalBytes, Timeout: timeout})
		b.ReportAllocs()
		for b.Loop() {
			_, release, err := r.Read(w, newRequest(strings.NewReader(text)), maxBytes)
			if err != nil {
				b.Fatal(err)
			}
			release()
		}
	})
	b.Run("plain", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			req := newRequest(strings.NewReader(text))
			if _, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBytes)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
