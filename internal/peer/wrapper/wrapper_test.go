package wrapper

import (
	"net/http"
	"reflect"
	"testing"

	"brasschute/internal/core/identifier"
)

// Guards against a wrapped request that reaches the endpoint changed, and against headers of a client
// that take the place of the daemon's own.
func TestRequestSurvivesWrapping(t *testing.T) {
	r := &Request{
		Service: "lm", Endpoint: "i-1", StartTime: -7, ID: "r-1", Fingerprint: "f", Parts: []identifier.Fingerprint{"part:lm:1", "part:lm:2"}, Method: "POST", Target: "/a%2Fb?c=%20", Host: "desk.example",
		Header: http.Header{"Tenant": {"desk"}, "X-Two": {"1", "2"}},
	}
	wrapped := r.Encode()
	for _, name := range []string{"Content-Length", "Connection", "Keep-Alive"} {
		wrapped.Set(name, "1")
	}
	got, err := Decode(wrapped)
	if err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("%+v, %v", got, err)
	}
	r.Header = http.Header{"Brasschute-Endpoint": {"i-2"}, "brasschute-probe": {"1"}}
	if got, err = Decode(r.Encode()); err != nil || got.Endpoint != "i-1" || got.Probe || len(got.Header) > 0 {
		t.Errorf("headers of a client: %+v, %v", got, err)
	}
}

// Guards against a request without an endpoint or a target that is sent on.
func TestIncompleteRequestIsRefused(t *testing.T) {
	complete := Request{Service: "lm", Endpoint: "i-1", Method: "GET", Target: "/"}
	for _, name := range []string{headerService, headerEndpoint, headerMethod, headerTarget, headerStartTime} {
		h := complete.Encode()
		h.Del(name)
		if r, err := Decode(h); err == nil {
			t.Errorf("without %s: %+v", name, r)
		}
	}
}
