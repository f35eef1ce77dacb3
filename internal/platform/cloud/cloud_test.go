package cloud

import (
	"errors"
	"io"
	"net"
	"testing"
)

// answering listens, answers each call with the given bytes and returns the address.
func answering(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against a host that counts as started or stopped because of an answer whose status is none.
func TestCallsWithoutAStatusAreUnknown(t *testing.T) {
	for _, line := range []string{"000 OK", "099 OK", "+20 OK", "101 Switching Protocols", "600 OK"} {
		c := New(Config{Address: answering(t, "HTTP/1.1 "+line+"\r\nContent-Length: 12\r\n\r\n{\"Host\":\"h\"}")})
		if err := c.Stop(t.Context(), "h"); !errors.Is(err, ErrUnknown) {
			t.Errorf("stop, %s: error %v", line, err)
		}
		if h, err := c.Start(t.Context(), &Start{}); !errors.Is(err, ErrUnknown) {
			t.Errorf("start, %s: %q, error %v", line, h, err)
		}
	}
}
