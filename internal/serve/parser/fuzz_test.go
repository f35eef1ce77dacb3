package parser

import (
	"bufio"
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/document"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/bufferlimiter"
)

// configuration has a model and a plain service for the organisation whose key is "test".
const configuration = `Organisations: [{Name: a, KeyHashes: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08], Concurrency: 1}]
Priorities: [high]
Services: [{Name: m, Kind: model, Pool: p, Timeout: 1s}, {Name: s, Kind: plain, Pool: q, Timeout: 1s}]
Pools: [{Name: p, Model: x, MaxInFlight: 1, PrefillPerSecond: 10000, DecodePerSecond: 100}, {Name: q, MaxInFlight: 1}]
Routing: {FirstToken: 330ms}
`

// FuzzParse checks that any request is a problem or a call that can be served, and that the memory of all bodies is
// given back.
func FuzzParse(f *testing.F) {
	const key = "Authorization: Bearer test\r\n"
	f.Add([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n" + key + "Content-Length: 77\r\n\r\n" +
		`{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens": 12}`))
	f.Add([]byte("POST /v1/completions HTTP/1.1\r\nHost: h\r\n" + key + "Transfer-Encoding: chunked\r\n\r\n1d\r\n{\"model\":\"m\",\"prompt\":\"hello\"}\r\n0\r\n\r\n"))
	f.Add([]byte("PUT /services/s/a%2Fb?c=d HTTP/1.1\r\nHost: h\r\n" + key + "Idempotency-Key: k\r\nRequest-Timeout: 300ms\r\nContent-Length: 2\r\n\r\nxy"))
	f.Add([]byte("GET /services/s HTTP/1.1\r\nHost: h\r\n" + key + "Content-Length: 99999999\r\n\r\n"))
	plan, err := compiler.Compile("f", []byte(configuration))
	if err != nil {
		f.Fatal(err)
	}
	const maxBody = 1 << 10
	f.Fuzz(func(t *testing.T, sent []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(sent)))
		if err != nil {
			return
		}
		decoding := bufferlimiter.New(bufferlimiter.Config{TotalBytes: decodedFactor * maxBody})
		p := New(Config{MaxBody: maxBody, Decoding: decoding, Bodies: bodyreader.New(bodyreader.Config{TotalBytes: 1 << 20, Timeout: time.Minute})})
		c, problem := p.Parse(httptest.NewRecorder(), r, plan, 1)
		c.Release()
		if c.Request == "" || c.Instance == "" || decoding.ReservedBytes() != 0 {
			t.Fatalf("request %q, instance %q, %d bytes reserved", c.Request, c.Instance, decoding.ReservedBytes())
		}
		if problem != nil {
			if problem.Status < http.StatusBadRequest || problem.Detail == "" {
				t.Fatalf("%+v", problem)
			}
			return
		}
		if c.Service == nil || c.Organisation == nil || c.Timeout <= 0 || len(c.Body) > maxBody || c.MaxTokens < 0 {
			t.Fatalf("accepted: %+v", c)
		}
		if c.Service.Kind == document.KindPlain && (c.Path == "" || c.Path[0] != '/' || c.Method == "") {
			t.Fatalf("accepted: %s %q", c.Method, c.Path)
		}
	})
}
