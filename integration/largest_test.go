package integration

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
)

// Guards against bounds on crowds that a single client inside the limits meets: one body of the largest size, however it is
// sent, at a daemon with little memory.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	const maxBody = 1 << 20
	s := newSite(t)
	s.addEngine(hosting.Config{ID: "sound", Service: plainService})
	s.configure(func(c *hostedConfig) { c.Limits.MaxBodyBytes = maxBody })
	h := s.prepareHost()
	h.replaceSetting(memorySetting, "MemoryMb = 96")
	h.start()
	h.awaitReady()
	chunks := func(bytes int) string {
		return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes)), maxBody/bytes) + "0\r\n\r\n"
	}
	for _, k := range []struct{ name, head, body string }{
		{"of a stated length", fmt.Sprintf("Content-Length: %d\r\n", maxBody), strings.Repeat("x", maxBody)},
		{"in large chunks", "Transfer-Encoding: chunked\r\n", chunks(64 << 10)},
		{"in chunks of a byte", "Transfer-Encoding: chunked\r\n", chunks(1)},
	} {
		c := dialHost(t, h)
		_ = c.SetDeadline(time.Now().Add(waitTimeout))
		head := "POST " + nonIdempotentPath + "x HTTP/1.1\r\nHost: " + hostedDomain + "\r\nRequest-Id: largest\r\nAuthorization: Bearer " + deskKey + "\r\n" + k.head + "\r\n"
		if _, err := io.WriteString(c, head+k.body); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("a body %s: status %d", k.name, resp.StatusCode)
		}
	}
	executions := s.engines["sound"].Executions()
	for _, e := range executions {
		if e.Body != strings.Repeat("x", maxBody) {
			t.Errorf("a body of %d bytes reached the engine", len(e.Body))
		}
	}
	if len(executions) != 3 {
		t.Errorf("%d requests ran", len(executions))
	}
}
