package sender

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a request that reaches its endpoint with another method, target, host, header or body.
func TestRequestArrivesUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.StringMatching(`[!-~]([ -~]{0,20}[!-~])?`)
		req := &Request{
			Method: rapid.SampledFrom([]string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, "PURGE"}).Draw(t, "method"),
			Target: rapid.StringMatching(`/(/|\.\./|%2[Ff]|%7E|[!-"$&-~]){0,12}(\?[!-"$-~]{0,12})?`).Draw(t, "target"),
			Host:   rapid.StringMatching(`[a-z]{1,9}\.example(:[1-9][0-9]{1,3})?`).Draw(t, "host"),
			Header: http.Header{"Value": rapid.SliceOfN(value, 1, 3).Draw(t, "values"), "User-Agent": {value.Draw(t, "agent")}},
			// A large body is a part of its own.
			Body: []byte(strings.Repeat(rapid.String().Draw(t, "body"), rapid.SampledFrom([]int{1, 1, copiedBytes}).Draw(t, "repeated"))),
		}
		message, err := encode(req)
		if err != nil {
			t.Fatal(err)
		}
		var wire bytes.Buffer
		if n, err := message.WriteTo(&wire); err != nil || n != int64(wire.Len()) {
			t.Fatalf("%d of %d bytes, %v", n, wire.Len(), err)
		}
		if line, _, _ := strings.Cut(wire.String(), "\r\n"); line != req.Method+" "+req.Target+" HTTP/1.1" {
			t.Fatalf("request line %q", line)
		}
		got, err := http.ReadRequest(bufio.NewReader(&wire))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(got.Body)
		if err != nil || string(body) != string(req.Body) {
			t.Errorf("body %q, %v", body, err)
		}
		got.Header.Del("Content-Length")
		if got.Method != req.Method || got.RequestURI != req.Target || got.Host != req.Host || !reflect.DeepEqual(got.Header, req.Header) {
			t.Errorf("%s %s, host %s, %v", got.Method, got.RequestURI, got.Host, got.Header)
		}
	})
}

// Guards against a part of a request's head that ends it early, so that the endpoint reads another request.
func TestSplitHeadIsNotSent(t *testing.T) {
	for _, req := range []*Request{
		{Method: "GET", Target: "/a b", Host: "h"},
		{Method: "GET", Target: "/a\r\nX: y", Host: "h"},
		{Method: "GET", Target: "/a", Host: "h\r\nX: y"},
		{Method: "GET /b HTTP/1.1\r\n", Target: "/a", Host: "h"},
		{Method: "", Target: "/a", Host: "h"},
		{Method: "GET", Target: "", Host: "h"},
	} {
		if message, err := encode(req); err == nil {
			t.Errorf("%q", wireText(t, message))
		}
	}
	message, err := encode(&Request{Method: "GET", Target: "/a", Host: "h", Header: http.Header{"Name": {"a\r\nX: y"}, "Na\r\nme": {"b"}}})
	if err != nil {
		t.Fatal(err)
	}
	if text := wireText(t, message); strings.Count(text, "\r\n") != 4 {
		t.Errorf("%q", text)
	}
}

// wireText returns the bytes of a message.
func wireText(t *testing.T, m *message) string {
	t.Helper()
	var wire bytes.Buffer
	if _, err := m.WriteTo(&wire); err != nil {
		t.Fatal(err)
	}
	return wire.String()
}
