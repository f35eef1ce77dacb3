package verifier

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/core/identifier"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

const (
	endpoint   = "i-1"
	entryDelay = 1500 * time.Millisecond
)

var (
	errClosed      = errors.New("closed")
	errUnavailable = errors.New("the store is unavailable")
)

// process is one process of an endpoint, which ends when the next one starts.
type process struct {
	startedAt, listedAt time.Time
	born                identifier.StartTime
}

// world is an endpoint that starts again from time to time, and a list of it.
type world struct {
	processes []process
	reports   bool
	// asOf is when the list was read, available is set if the store answers.
	asOf      time.Time
	available bool
	ended     []identifier.EndpointIncarnation
}

// running returns the number of the process that runs.
func (w *world) running() int {
	n := 0
	for i, p := range w.processes {
		if !p.startedAt.After(time.Now()) {
			n = i
		}
	}
	return n
}

// listed returns the incarnation in the list.
func (w *world) listed() identifier.StartTime {
	born := w.processes[0].born
	for _, p := range w.processes {
		if !p.listedAt.After(w.asOf) {
			born = p.born
		}
	}
	return born
}

func (w *world) refresh(context.Context) error {
	if !w.available {
		return errUnavailable
	}
	w.asOf = time.Now()
	return nil
}

func (w *world) ReportTarget() string { return "/report" }

func (w *world) DecodeReport(body []byte) (born identifier.StartTime, err error) {
	err = json.Unmarshal(body, &born)
	return born, err
}

// conn is a connection to a process.
type conn struct {
	w        *world
	process  int
	openedAt time.Time
	spent    bool
}

func (w *world) dial() *conn        { return &conn{w: w, process: w.running(), openedAt: time.Now()} }
func (c *conn) OpenedAt() time.Time { return c.openedAt }
func (c *conn) IsOpen() bool        { return !c.spent && c.process == c.w.running() }
func (c *conn) Renew(context.Context) error {
	*c = *c.w.dial()
	return nil
}

func (c *conn) Get(ctx context.Context, _ string, _ int64) ([]byte, error) {
	time.Sleep(time.Millisecond)
	if !c.IsOpen() {
		return nil, errClosed
	}
	if !c.w.reports {
		c.spent = true
		return nil, ctx.Err()
	}
	return json.Marshal(c.w.processes[c.process].born)
}

// Guards against a request that is meant for one incarnation and goes to another, whenever the endpoint starts again and
// whatever the list shows.
func TestPassedConnectionLeadsToTheIncarnation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawCase(rt)
		synctest.Test(t, func(t *testing.T) {
			if r, problem := d.play(); problem != "" {
				t.Errorf("%s: %s", r, problem)
			}
		})
		if t.Failed() {
			rt.Fatalf("%+v", d)
		}
	})
}

// Guards against a result that is never reached, so that streams wait or are refused where something could be shown.
func TestResults(t *testing.T) {
	once, twice := []time.Duration{0}, []time.Duration{0, time.Second}
	lives := []time.Duration{100 * time.Millisecond, time.Minute}
	for want, d := range map[Result]drawnCase{
		Age:     {delays: once, lives: lives, available: true, followed: true, idle: 2 * entryDelay},
		Report:  {delays: once, lives: lives, available: true, reports: true},
		Waiting: {delays: once, lives: lives, available: true},
		Ended:   {delays: twice, lives: lives, available: true, reports: true, before: 200 * time.Millisecond},
		Unknown: {delays: once, lives: lives},
	} {
		synctest.Test(t, func(t *testing.T) {
			if r, problem := d.play(); r != want || problem != "" {
				t.Errorf("%s, want %s: %s", r, want, problem)
			}
		})
	}
}

// drawnCase is an endpoint that starts again some times, and a connection to it that is verified.
type drawnCase struct {
	reports, available, followed bool
	// delays are the times from the start of each process to its entry, lives the times to the start of the next one.
	delays, lives []time.Duration
	// before is when the connection is opened, idle how long it has been open when it is verified, lag the age of the list
	// then.
	before, idle, lag time.Duration
}

func drawCase(t *rapid.T) drawnCase {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	d := drawnCase{reports: rapid.Bool().Draw(t, "reports"), available: rapid.IntRange(0, 3).Draw(t, "available") > 0, followed: rapid.Bool().Draw(t, "followed")}
	for range rapid.IntRange(1, 4).Draw(t, "processes") {
		d.delays = append(d.delays, ms("delay", int(entryDelay/time.Millisecond)-1))
		d.lives = append(d.lives, ms("life", 4000))
	}
	d.before, d.idle, d.lag = ms("before", 8000), ms("idle", 4000), ms("lag", 1000)
	return d
}

// play returns the result, and what is wrong with it.
func (d *drawnCase) play() (r Result, problem string) {
	w := &world{reports: d.reports, available: d.available, asOf: time.Now()}
	at := time.Now()
	for n := range d.delays {
		w.processes = append(w.processes, process{at, at.Add(d.delays[n]), identifier.StartTime(n + 1)})
		at = at.Add(d.lives[n])
	}
	time.Sleep(d.before)
	c := w.dial()
	time.Sleep(d.idle)
	if d.available && d.followed {
		w.asOf = time.Now().Add(-d.lag)
	}
	v := New(Config{
		Codec: w, EntryDelay: entryDelay, Listed: func(i identifier.EndpointIncarnation) bool { return w.listed() == i.Born },
		ListedAsOf: func() time.Time { return w.asOf }, Refresh: w.refresh, Metrics: tally.NoopScope,
		OnEnd: func(i identifier.EndpointIncarnation, _ time.Time) { w.ended = append(w.ended, i) },
	})
	i := identifier.EndpointIncarnation{Endpoint: endpoint, Born: w.listed()}
	r = v.Verify(context.Background(), c, i)
	switch now := w.processes[c.process].born; {
	case r.Passed() && c.IsOpen() && now != i.Born:
		return r, fmt.Sprintf("incarnation %d is at the other end, not %d", now, i.Born)
	case (r == Ended) != (len(w.ended) > 0):
		return r, fmt.Sprintf("ends %v", w.ended)
	}
	return r, ""
}

// Guards against streams that go nowhere as their endpoints do not state when they started.
func TestEntryWithoutAStartTime(t *testing.T) {
	v := New(Config{Metrics: tally.NoopScope})
	if r := v.Verify(context.Background(), nil, identifier.EndpointIncarnation{Endpoint: endpoint}); !r.Passed() {
		t.Errorf("%s", r)
	}
}
