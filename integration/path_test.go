package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"brasschute/internal/engine/frame"
	"brasschute/internal/standin/platform"
)

// newSmallFleet starts a platform, two engines, a plain service and one daemon.
func newSmallFleet(t *testing.T) (*fleet, *daemon) {
	t.Helper()
	f := newFleet(t)
	f.addEngine(1)
	f.addEngine(1)
	f.addPlainService(1)
	d := f.addEntry(1)
	d.mustApply(configuration(), 0)
	f.awaitReady()
	return f, d
}

// TestPathServesBothKinds sends a streamed model request and a plain request, and sends them
// again after the platform has died. Both must be answered byte for byte as expected, since no
// request waits for the platform.
func TestPathServesBothKinds(t *testing.T) {
	f, d := newSmallFleet(t)
	check := func() {
		t.Helper()
		if err := d.open(12, "Request-Id", "letter").checkComplete(12); err != nil {
			t.Fatal(err)
		}
		r := d.do(http.MethodPost, "/services/ledger/accounts/7?full=1", "lookup")
		const answer = `{"Method":"POST","Path":"/accounts/7?full=1","Body":"lookup","Execution":1}` + "\n"
		if r.status != http.StatusOK || r.body != answer {
			t.Fatalf("ledger: %d %q", r.status, r.body)
		}
	}
	check()
	var whole frame.Frame
	r := d.do(http.MethodPost, "/v1/chat/completions", chat(5, false))
	if err := json.Unmarshal([]byte(r.body), &whole); err != nil || whole.Choices[0].Message.Content != expectedText(5) {
		t.Fatalf("%v %q", err, r.body)
	}
	f.platform.kill()
	check()
}

// Guards against a plain request whose path reaches the service changed.
func TestPathOfPlainRequestIsUnchanged(t *testing.T) {
	_, d := newSmallFleet(t)
	for _, path := range []string{"/a%2Fb?c=%20", "/a%3Fb", "/a%25b;c", "/%7Euser"} {
		r := d.do(http.MethodPost, "/services/ledger"+path, "lookup")
		if want := fmt.Sprintf(`"Path":%q`, path); r.status != http.StatusOK || !containsText(r.body, want) {
			t.Errorf("%s: status %d, %s", path, r.status, r.body)
		}
	}
}

// TestPathCarriesTraceAndRequestID sends a request with a trace context and an id. The engine
// must get the trace context, and the caller must get both back.
func TestPathCarriesTraceAndRequestID(t *testing.T) {
	f, d := newSmallFleet(t)
	const trace = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	r := d.do(http.MethodPost, "/v1/chat/completions", chat(2, false), "Traceparent", trace, "Request-Id", "mine")
	if r.status != http.StatusOK || r.header.Get("Traceparent") != trace || r.header.Get("Request-Id") != "mine" {
		t.Fatalf("%d %v", r.status, r.header)
	}
	found := false
	for _, e := range f.engines {
		var traces map[string]string
		if err := f.getJSON("http://"+e.address+"/admin/traces", &traces); err != nil {
			t.Fatal(err)
		}
		for id, got := range traces {
			found = found || strings.HasPrefix(id, "mine~") && got == trace
		}
	}
	if !found {
		t.Fatal("the trace did not reach an engine")
	}
}

// TestPathRuleChangesNextDecision adds a rule that refuses requests for a service. The next
// request must be refused by it, and its explanation must name the rule and the new
// configuration.
func TestPathRuleChangesNextDecision(t *testing.T) {
	_, d := newSmallFleet(t)
	if r := d.do(http.MethodPost, "/v1/chat/completions", chat(2, false), "Request-Id", "before"); r.status != http.StatusOK {
		t.Fatalf("before: %d %s", r.status, r.body)
	}
	d.mustApply(configuration(`{Name: no letters, When: 'Service == "letters"', Then: {Refuse: closed for maturity week, RetryAfter: 90s}}`), 1)
	r := d.do(http.MethodPost, "/v1/chat/completions", chat(2, false), "Request-Id", "after")
	if r.status != http.StatusForbidden || r.problemType() != "refused-by-rule" || r.outcome() != "not-run" || r.header.Get("Retry-After") != "90" {
		t.Fatalf("after: %d %s %s", r.status, r.header, r.body)
	}
	if rec := d.explain("before"); rec.Configuration != 1 || rec.Rule != "" || len(rec.Attempts) != 1 {
		t.Fatalf("explain before: %+v", rec)
	}
	if rec := d.explain("after"); rec.Configuration != 2 || rec.Rule != "no letters" || len(rec.Attempts) != 0 {
		t.Fatalf("explain after: %+v", rec)
	}
}

// TestPathRefusesBadInput sends invalid requests. Each must get the right refusal, no endpoint
// may get any of them, and the daemon must continue to serve.
func TestPathRefusesBadInput(t *testing.T) {
	f, d := newSmallFleet(t)
	chatPath := "/v1/chat/completions"
	cases := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
		kind    string
	}{
		{"no key", "POST", chatPath, chat(1, false), []string{"Authorization", ""}, 401, "unauthenticated"},
		{"unknown key", "POST", chatPath, chat(1, false), []string{"Authorization", "Bearer nobody"}, 401, "unauthenticated"},
		{"bad JSON", "POST", chatPath, `{"model":`, nil, 400, "bad-request"},
		{"wrong type", "POST", chatPath, `{"model":7}`, nil, 400, "bad-request"},
		{"unknown model", "POST", chatPath, `{"model":"other","messages":[{"content":"x"}]}`, nil, 404, "unknown-service"},
		{"no messages", "POST", chatPath, `{"model":"letters"}`, nil, 400, "bad-request"},
		{"bad max_tokens", "POST", chatPath, `{"model":"letters","max_tokens":-1,"messages":[{"content":"x"}]}`, nil, 400, "bad-request"},
		{"two answers", "POST", chatPath, `{"model":"letters","n":2,"messages":[{"content":"x"}]}`, nil, 400, "bad-request"},
		{"method", "GET", chatPath, "", nil, 405, "method-not-allowed"},
		{"too large", "POST", chatPath, strings.Repeat("x", 1<<20+1), nil, 413, "too-large"},
		{"bad deadline", "POST", chatPath, chat(1, false), []string{"Request-Timeout", "soon"}, 400, "bad-request"},
		{"deadline without unit", "POST", chatPath, chat(1, false), []string{"Request-Timeout", "30"}, 400, "bad-request"},
		{"negative deadline", "POST", chatPath, chat(1, false), []string{"Request-Timeout", "-1s"}, 400, "bad-request"},
		{"bad request id", "POST", chatPath, chat(1, false), []string{"Request-Id", "a b"}, 400, "bad-request"},
		{"long idempotency key", "POST", chatPath, chat(1, false), []string{"Idempotency-Key", strings.Repeat("k", 256)}, 400, "bad-request"},
		{"forged resume token", "POST", chatPath, chat(1, true), []string{"Last-Event-ID", "Zm9yZ2Vk"}, 403, "resume-refused"},
		{"unknown service", "POST", "/services/nothing/x", "", nil, 404, "unknown-service"},
		{"key required", "POST", "/services/confirm/x", "", nil, 400, "key-required"},
		{"unknown path", "GET", "/nothing", "", nil, 404, "unknown-service"},
		{"forged answer token", "GET", "/v1/answers/Zm9yZ2Vk", "", nil, 403, "resume-refused"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := d.do(c.method, c.path, c.body, c.headers...)
			if r.status != c.status || r.problemType() != c.kind || r.outcome() != "not-run" {
				t.Errorf("got %d %s, want %d %s", r.status, r.body, c.status, c.kind)
			}
			if got := r.header.Get("Content-Type"); got != "application/problem+json" {
				t.Errorf("content type %q", got)
			}
		})
	}
	for _, e := range append(f.engines, f.plainServices...) {
		if n := len(e.executions()); n != 0 {
			t.Errorf("%s ran %d requests", e.name, n)
		}
	}
	if err := d.open(3).checkComplete(3); err != nil {
		t.Error("after bad input: ", err)
	}
}

// TestPathRefusesRawBadInput sends raw requests that are too slow, truncated, or repeat a header.
// They must be refused without reaching an endpoint.
func TestPathRefusesRawBadInput(t *testing.T) {
	f := newFleet(t)
	f.addEngine(1)
	f.addPlainService(1)
	d := f.addEntry(1, "Limits: {BodyTimeout: 300ms, HeaderTimeout: 300ms}")
	d.mustApply(configuration(), 0)
	f.awaitReady()
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer desk-key\r\n"
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(chat(1, false)), chat(1, false))
	cases := []struct{ name, text, status string }{
		{"slow body", head + "Content-Length: 50\r\n\r\n{", "408"},
		{"slow header", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", ""},
		{"duplicate key", head + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n" + body, "400"},
		{"duplicate authorization", head + "Authorization: Bearer branch-key\r\n" + body, "400"},
		{"two lengths", head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400"},
		{"not HTTP", "hello\r\n\r\n", "400"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := rawExchange(t, d.callerAddress, c.text)
			if c.status == "" && got == "" {
				return
			}
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.status) {
				t.Errorf("got %q, want status %s", got, c.status)
			}
		})
	}
	sendTruncated(t, d.callerAddress, head+"Content-Length: 50\r\n\r\n{\"model\":")
	if n := len(f.engines[0].executions()); n != 0 {
		t.Errorf("the engine ran %d requests", n)
	}
	if err := d.open(3).checkComplete(3); err != nil {
		t.Error("after bad input: ", err)
	}
}

// TestPathControllerOrdersTheWantedModel starts an engine with another model than the
// configuration wants. The controller must order the right one and audit the order with its
// reason, and requests must then be served.
func TestPathControllerOrdersTheWantedModel(t *testing.T) {
	f := newFleet(t)
	e := f.addEngine(1)
	d := f.addEntry(1)
	d.mustApply(strings.ReplaceAll(configuration(), "letters-1", "letters-2"), 0)
	f.awaitReady()
	if r := d.do(http.MethodPost, "/v1/chat/completions", chat(2, false)); r.status == http.StatusOK {
		t.Fatal("served with the wrong model")
	}
	f.addController(1, "controller-1")
	eventually(t, "order", func() error {
		var orders []struct{ Model string }
		if err := f.getJSON("http://"+e.address+"/admin/orders", &orders); err != nil {
			return err
		}
		if len(orders) == 0 {
			return fmt.Errorf("no order yet")
		}
		return checkEqual("model", orders[0].Model, "letters-2")
	})
	eventually(t, "letter", func() error {
		return checkEqual("status", d.do(http.MethodPost, "/v1/chat/completions", chat(2, false)).status, http.StatusOK)
	})
	eventually(t, "audit", func() error { return checkAudited(d, "load letters-2 on engine-1") })
}

// TestPathNeedsNoPlatformCall sends a hundred requests without a key. They must not cause a call
// to the platform, which the whole fleet shares.
func TestPathNeedsNoPlatformCall(t *testing.T) {
	f, d := newSmallFleet(t)
	var before, after platform.Calls
	if err := f.getJSON("http://"+f.platformAddress+"/admin/calls", &before); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if r := d.do(http.MethodGet, "/services/ledger/x", ""); r.status != http.StatusOK {
			t.Fatalf("%d %s", r.status, r.body)
		}
	}
	if err := f.getJSON("http://"+f.platformAddress+"/admin/calls", &after); err != nil {
		t.Fatal(err)
	}
	if after.Reads != before.Reads || after.Writes != before.Writes {
		t.Errorf("calls went from %+v to %+v", before, after)
	}
}
