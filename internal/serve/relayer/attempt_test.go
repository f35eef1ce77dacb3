package relayer

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

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/sender"
	"brasschute/internal/peer/crashreporter"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/estimator"
	"brasschute/internal/route/pathtracker"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/splitter"
	"brasschute/internal/serve/dispatcher"
	"brasschute/internal/serve/eventsequencer"
	"brasschute/internal/serve/placer"
	"brasschute/internal/serve/request"
)

// fakeReserver records the first events that are reported.
type fakeReserver struct {
	placer.Reserver
	firstEvents []identifier.Endpoint
}

func (f *fakeReserver) FirstEvent(e identifier.Endpoint, _ identifier.Request) {
	f.firstEvents = append(f.firstEvents, e)
}

// Guards against an attempt that continues a broken stream and whose first event is not reported to
// its coordinator, which then takes the endpoint for stalled, and against a report for each event.
func TestEachAttemptReportsItsFirstEvent(t *testing.T) {
	rec, r := new(fakeReserver), registry.New(registry.Config{})
	j := &job{
		r: New(Config{Registry: r, Placer: placer.New(placer.Config{Registry: r, Estimator: new(estimator.Estimator), Reserver: rec}), Quarantine: fakes{}}),
		q: &request.Request{Route: &catalog.Route{Kind: catalog.Streaming}}, w: httptest.NewRecorder(), flush: func() error { return nil },
		headSent: true, began: true, events: eventsequencer.New(eventsequencer.Config{Position: 1}), res: Result{Events: 1},
	}
	pick := &registry.Pick{Endpoint: "second", Activity: new(candidate.Activity)}
	x := &sender.Response{Body: io.NopCloser(io.MultiReader(strings.NewReader("id: 2\ndata: x\n\n"), strings.NewReader("id: 3\ndata: x\n\n")))}
	if err := j.relayStream(context.Background(), x, pick, time.Now(), func() {}); err != nil {
		t.Fatal(err)
	}
	if len(rec.firstEvents) != 1 || rec.firstEvents[0] != "second" {
		t.Errorf("reported %v", rec.firstEvents)
	}
}

// parentContext counts the contexts that are derived from it and not canceled.
type parentContext struct {
	context.Context
	done     chan struct{}
	children int
}

func (p *parentContext) Done() <-chan struct{} { return p.done }

func (p *parentContext) AfterFunc(func()) func() bool {
	p.children++
	return func() bool { p.children--; return true }
}

// fakes stands for what an attempt calls besides the sender.
type fakes struct {
	Demand
	Versions
	Quarantine
	Codec
}

func (fakes) CountPlaced(identifier.Service, identifier.Tokens, bool) {}
func (fakes) CountEnded(identifier.Service)                           {}
func (fakes) RunStarted(*splitter.Run) bool                           { return false }
func (fakes) Track(identifier.Fingerprint, func(), ...identifier.Fingerprint) func() {
	return func() {}
}
func (fakes) RecordEvent(...identifier.Fingerprint) {}
func (fakes) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("unreachable")
}

func (fakes) EncodeRequest(*request.Request, identifier.Endpoint, time.Duration, int) http.Header {
	return nil
}

// newDispatcher returns a dispatcher that reaches no endpoint.
func newDispatcher() *dispatcher.Dispatcher {
	none := func(identifier.Service) []pathtracker.Destination { return nil }
	return dispatcher.New(dispatcher.Config{
		Sender:  sender.New(sender.Config{Dialer: fakes{}}),
		Tracker: pathtracker.New(pathtracker.Config{Endpoints: none, OnChange: func(pathtracker.Change) {}}),
	})
}

// Guards against contexts of ended attempts that stay registered at the context of the request.
func TestContextOfAnAttemptIsCanceledAtItsEnd(t *testing.T) {
	r := registry.New(registry.Config{})
	j := &job{
		events: eventsequencer.New(eventsequencer.Config{}),
		r:      New(Config{Registry: r, Demand: fakes{}, Versions: fakes{}, Quarantine: fakes{}, Codec: fakes{}, Dispatcher: newDispatcher()}),
		q:      &request.Request{Route: &catalog.Route{Kind: catalog.Streaming, MaxAttempts: 3, Resumable: true}},
		res:    Result{Attempts: make([]Attempt, 1)},
	}
	ctx := &parentContext{Context: context.Background(), done: make(chan struct{})}
	err := j.attempt(ctx, &crashreporter.Attempt{Pick: &registry.Pick{Activity: new(candidate.Activity)}})
	if !errors.Is(err, sender.ErrUnsent) || ctx.children != 0 {
		t.Errorf("%v, %d contexts left", err, ctx.children)
	}
}
