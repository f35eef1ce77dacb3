package dispatcher

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/wrapper"
	"brasschute/internal/route/pathtracker"
)

// unreachable is a dialer without a link.
type unreachable struct{}

// DialContext refuses the connection.
func (unreachable) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

// fixture is a dispatcher that reaches no endpoint, with peers.
type fixture struct {
	*Dispatcher
	peers    []Peer
	outcomes []wrapper.Outcome
}

func newFixture() *fixture {
	f := new(fixture)
	f.Dispatcher = New(Config{
		Sender: sender.New(sender.Config{Dialer: unreachable{}}), PeerSender: sender.New(sender.Config{Dialer: &net.Dialer{}}),
		Tracker: pathtracker.New(pathtracker.Config{
			Endpoints: func(identifier.Service) []pathtracker.Destination { return make([]pathtracker.Destination, 4) },
			OnChange:  func(pathtracker.Change) {},
		}),
		Zone: "a", Peers: func() []Peer { return f.peers }, OnRelayed: func(o wrapper.Outcome) { f.outcomes = append(f.outcomes, o) },
	})
	return f
}

// addPeer adds a peer that serves wrapped requests.
func (f *fixture) addPeer(t *testing.T, name identifier.Host, handler http.HandlerFunc) *atomic.Int32 {
	t.Helper()
	calls := new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { calls.Add(1); handler(w, r) }))
	t.Cleanup(server.Close)
	f.peers = append(f.peers, Peer{Host: name, Zone: "b", Address: server.Listener.Addr().String()})
	return calls
}

// send sends a request to an endpoint and returns its answer.
func (f *fixture) send(t *testing.T) (string, error) {
	t.Helper()
	x, err := f.Send(t.Context(), &Request{
		To: pathtracker.Destination{Service: "app", Endpoint: "i-1", Address: "10.0.0.1:80"}, ID: "r-1",
		Message: &sender.Request{Address: "10.0.0.1:80", Method: http.MethodPost, Target: "/x?y=1", Host: "desk.example", Header: http.Header{"Tenant": {"t"}}, Body: []byte("body")},
	})
	if err != nil {
		return "", err
	}
	defer x.Close()
	text, err := io.ReadAll(x.Body)
	return string(text), err
}

// outcome returns a handler that answers with an outcome.
func outcome(o wrapper.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wrapper.OutcomeHeader, string(o))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// answers passes a wrapped request on as an endpoint that echoes it would answer.
func answers(w http.ResponseWriter, r *http.Request) {
	wrapped, err := wrapper.Decode(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(wrapper.OutcomeHeader, string(wrapper.Answered))
	_, _ = io.WriteString(w, strings.Join([]string{wrapped.Method, wrapped.Host, wrapped.Target, wrapped.Header.Get("Tenant"), string(body)}, " "))
}

// Guards against a request that is refused because the first peers asked can't send it: they are
// partitioned themselves, busy, do not know the endpoint, or are of an older version.
func TestPeersThatCannotSendAreSkipped(t *testing.T) {
	f := newFixture()
	var others []*atomic.Int32
	for i, h := range []http.HandlerFunc{outcome(wrapper.Partitioned), outcome(wrapper.Busy), outcome(wrapper.Unlisted), http.NotFound} {
		others = append(others, f.addPeer(t, identifier.Host(rune('b'+i)), h))
	}
	f.addPeer(t, "z", answers)
	for range 20 {
		if text, err := f.send(t); err != nil || text != "POST desk.example /x?y=1 t body" {
			t.Fatalf("%q, %v", text, err)
		}
	}
	for i, name := range []string{"partitioned", "busy", "", "older"} {
		if n := others[i].Load(); name != "" && n > 4 {
			t.Errorf("the %s peer was asked %d times", name, n)
		}
	}
}

// Guards against requests that are sent on and on although no peer connects to the endpoint either,
// and against an end that looks as if the request might have run.
func TestEndpointThatNoPeerReaches(t *testing.T) {
	f := newFixture()
	for i := range 5 {
		f.addPeer(t, identifier.Host(rune('b'+i)), outcome(wrapper.Unreachable))
	}
	if _, err := f.send(t); !errors.Is(err, sender.ErrRefusedConnection) || len(f.outcomes) != minUnreachable {
		t.Errorf("%v after %v", err, f.outcomes)
	}
}

// Guards against a request that may have run and is sent again, or is said not to have run.
func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	for _, k := range []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"no response", outcome(wrapper.NoResponse), sender.ErrNoResponse},
		{"bad response", outcome(wrapper.BadResponse), sender.ErrBadResponse},
		{"unknown outcome", outcome("something new"), sender.ErrBadResponse},
		{"the peer ends", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, sender.ErrNoResponse},
	} {
		f := newFixture()
		f.addPeer(t, "b", k.handler)
		f.addPeer(t, "c", k.handler)
		if _, err := f.send(t); !errors.Is(err, k.want) || !errors.Is(err, ErrThroughPeer) || len(f.outcomes) != 1 {
			t.Errorf("%s: %v after %v", k.name, err, f.outcomes)
		}
	}
}

// Guards against a request that peers send although the endpoint may not get it.
func TestWithheldRequestIsNotSent(t *testing.T) {
	f := newFixture()
	f.addPeer(t, "b", outcome(wrapper.Withheld))
	f.addPeer(t, "c", outcome(wrapper.Withheld))
	if _, err := f.send(t); !errors.Is(err, sender.ErrCanceled) || len(f.outcomes) != 1 {
		t.Errorf("%v after %v", err, f.outcomes)
	}
}

// Guards against an answer that broke off at the peer and looks complete.
func TestAnswerThatBreaksOffAtThePeer(t *testing.T) {
	f := newFixture()
	f.addPeer(t, "b", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wrapper.OutcomeHeader, string(wrapper.Answered))
		_, _ = io.WriteString(w, "half of it")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	if text, err := f.send(t); err == nil {
		t.Errorf("%q looks complete", text)
	}
}

// Guards against a request that is lost because this daemon has no peers: it must end as unsent.
func TestNoPeers(t *testing.T) {
	f := newFixture()
	for range 3 {
		if _, err := f.send(t); !errors.Is(err, sender.ErrUnsent) {
			t.Errorf("%v", err)
		}
	}
}

// Guards against an endpoint that ended and counts as out of reach, because the first peer that is
// asked does not answer.
func TestSilentPeerDoesNotHideThatAnEndpointEnded(t *testing.T) {
	for range 10 { // Peers are asked in a random order.
		f := newFixture()
		silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		f.addPeer(t, "silent", silent)
		f.addPeer(t, "other", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wrapper.OutcomeHeader, string(wrapper.Unreachable))
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*probeTimeout)
		defer cancel()
		if !f.Refuses(ctx, pathtracker.Destination{Service: "app", Endpoint: "i-1"}) {
			t.Fatal("the endpoint counts as reachable for others")
		}
	}
}
