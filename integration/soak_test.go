package integration

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brasschute/internal/fault/injector"
	"brasschute/internal/standin/hosting"
)

// The soak runs real daemons against the stand-ins and hurts them from outside:
// signals, a store that misbehaves, engines that fail in every way, and proxies
// that cut, freeze, delay and reset connections. Series of faults overlap. What
// clients, engines and the cloud see is checked against the promises throughout.
//
//	go test ./integration -run TestSoak -soak.seeds 50 -soak.first 1 -soak.length 8s -timeout 60m
var (
	soakSeeds  = flag.Int("soak.seeds", 2, "number of seeds to run")
	soakFirst  = flag.Uint64("soak.first", 1, "the first seed")
	soakLength = flag.Duration("soak.length", 4*time.Second, "how long faults strike for one seed")
	soakHosts  = flag.Int("soak.hosts", 3, "daemons of one fleet")
)

// failedSeeds are seeds that failed once, each with its cause.
var failedSeeds = []uint64{}

func TestSoak(t *testing.T) {
	seeds := append([]uint64(nil), failedSeeds...)
	for n := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(n))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// soak is one fleet under faults.
type soak struct {
	*site
	r    *rand.Rand
	fail func(format string, args ...any)

	mu      sync.Mutex
	answers map[string]soakAnswer
	proxies []*injector.Injector
	// proxyOf is each engine's address for the daemons.
	proxyOf map[string]string
	sent    int
	served  int
}

// soakAnswer is what a client was told of a request.
type soakAnswer struct {
	kind   string
	status int
}

// behaviours are those of engines; most requests are served.
var behaviours = []hosting.Behaviour{
	hosting.Refuse, hosting.Misdirect, hosting.Fail, hosting.CloseUnanswered, hosting.TruncateAnswer, hosting.AnswerTwice, hosting.OmitSignature,
	hosting.EncodeUnasked, hosting.OmitLength, hosting.AnswerWrongRequest, hosting.HoldUntilRelease,
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{site: newSite(t), r: rand.New(rand.NewPCG(seed, 0)), answers: make(map[string]soakAnswer), proxyOf: make(map[string]string)}
	s.fail = func(format string, args ...any) { t.Errorf("seed %d: "+format, append([]any{seed}, args...)...) }
	s.duties = `["usage"]`
	for n, c := range []hosting.Config{
		{ID: "i-lm-1", Service: modelService, StreamLength: 12, StartedUnixMilli: 1000},
		{ID: "i-lm-2", Service: modelService, StreamLength: 12, StartedUnixMilli: 1000},
		{ID: "i-app-1", Service: plainService, StartedUnixMilli: 1000},
		{ID: "i-app-2", Service: plainService},
	} {
		s.proxied(c, seed*10+uint64(n))
	}
	for range *soakHosts {
		s.host()
	}
	stop := make(chan struct{})
	var clients, faults sync.WaitGroup
	for n := range 2 * *soakHosts {
		clients.Go(func() { s.client(rand.New(rand.NewPCG(seed, uint64(n+1))), n, stop) })
	}
	for n, f := range []func(*rand.Rand){s.hurtHosts, s.hurtStore, s.hurtLinks, s.change, s.hurtEngines} {
		faults.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(100+n)))
			for end := time.Now().Add(*soakLength); time.Now().Before(end); {
				f(r)
			}
		})
	}
	faults.Wait()
	s.store.SetFault(nil)
	s.recover()
	close(stop)
	clients.Wait()
	s.check()
}

// proxied starts an engine behind a proxy, which is its address for the daemons.
func (s *soak) proxied(c hosting.Config, seed uint64) {
	e := s.engine(c)
	record := e.Record("ready")
	target, _ := record["Address"].(string)
	p, err := injector.New(injector.Config{Listen: "127.0.0.1:0", Target: target})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Close)
	s.proxies = append(s.proxies, p)
	s.proxyOf[c.ID] = p.Address()
	s.list(c.ID, "ready")
	r, mu := rand.New(rand.NewPCG(seed, 1)), new(sync.Mutex)
	e.SetBehaviour(func(*http.Request) hosting.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(6) > 0 {
			return hosting.Serve
		}
		return behaviours[r.IntN(len(behaviours))]
	})
}

// list writes an engine's record.
func (s *soak) list(id, state string) {
	record := s.engines[id].Record(state)
	record["Address"] = s.proxyOf[id]
	s.store.Write("servers", id, record)
}

// spoilt are records that no engine writes.
var spoilt = []any{
	nil, "gone", 7,
	[]int{1},
	map[string]any{},
	map[string]any{"Service": 5},
	map[string]any{"Service": plainService, "Address": "nowhere", "Zone": "hall-a", "State": "ready"},
	map[string]any{"Service": plainService, "Address": "127.0.0.1:1", "Zone": "hall-a", "State": "resting"},
}

// hurtEngines starts an engine again under its id, or spoils a record.
func (s *soak) hurtEngines(r *rand.Rand) {
	ids := []string{"i-lm-1", "i-lm-2", "i-app-1", "i-app-2"}
	id := ids[r.IntN(len(ids))]
	pause := time.Duration(r.IntN(400)) * time.Millisecond
	switch r.IntN(4) {
	case 0:
		s.list(id, "draining")
		time.Sleep(pause)
		s.engines[id].Restart()
	case 1:
		s.engines[id].Restart()
		time.Sleep(pause)
	case 2:
		s.store.Write("servers", id, spoilt[r.IntN(len(spoilt))])
		time.Sleep(pause)
	case 3:
		s.store.Write("servers", "i-foreign", spoilt[r.IntN(len(spoilt))])
		time.Sleep(pause)
		s.store.Remove("servers", "i-foreign")
	}
	s.list(id, "ready")
	time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
}

// client sends requests one after the other, over a kept connection while it
// lasts, until the soak ends.
func (s *soak) client(r *rand.Rand, n int, stop <-chan struct{}) {
	var conn net.Conn
	for i := 0; ; i++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		default:
		}
		kind := []string{streamPath, onceTarget, againPath}[r.IntN(3)]
		id := fmt.Sprintf("c%d-%d", n, i)
		if conn == nil {
			h := s.hosts[r.IntN(len(s.hosts))]
			c, err := net.DialTimeout("tcp", h.ip+":8101", time.Second)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			conn = c
		}
		if !s.request(conn, kind, id) {
			_ = conn.Close()
			conn = nil
			// A client that is refused does not come back at once.
			time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
		}
	}
}

// request sends one request, checks its answer, and tells whether the connection
// may be used again.
func (s *soak) request(c net.Conn, kind, id string) bool {
	method := http.MethodPost
	if kind == againPath {
		method = http.MethodGet
	}
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nTenant: forged\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
		method, kind, hostedDomain, id, deskKey)
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[id] = soakAnswer{kind, resp.StatusCode}
	if resp.StatusCode == http.StatusOK {
		s.whole(kind, id, resp, string(body), err)
	}
	return err == nil && !resp.Close
}

// whole checks a successful answer. The caller holds the lock.
func (s *soak) whole(kind, id string, resp *http.Response, body string, err error) {
	if got := resp.Header.Get("Request-Id"); got != id {
		s.fail("%s got the answer to %s", id, got)
	}
	if resp.Header.Get("Response-Stamp") == "" {
		s.fail("%s: success without a signature", id)
	}
	full := streamText(12)
	switch {
	case err != nil && kind == streamPath && !strings.HasPrefix(full, body):
		s.fail("%s: pieces of a stream are out of order: %q", id, body)
	case err != nil:
	case kind == streamPath && body != full:
		s.fail("%s: a stream that is not whole looks complete: %q", id, body)
	case kind != streamPath && !strings.HasPrefix(body, "answer of i-app"):
		s.fail("%s: body %q", id, body)
	default:
		s.served++
	}
}

// hurtHosts strikes one daemon: a kill, a stop, a pause or a hang-up.
func (s *soak) hurtHosts(r *rand.Rand) {
	h := s.hosts[r.IntN(len(s.hosts))]
	pause := time.Duration(r.IntN(400)) * time.Millisecond
	switch r.IntN(5) {
	case 0:
		h.kill()
		time.Sleep(pause)
		h.start()
	case 1:
		h.signal(syscall.SIGTERM)
		time.Sleep(pause)
		h.kill()
		h.start()
	case 2, 3:
		h.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		h.signal(syscall.SIGCONT)
	case 4:
		h.signal(syscall.SIGHUP)
	}
	time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
}

// hurtStore makes the store misbehave for some hosts, or drop its history.
func (s *soak) hurtStore(r *rand.Rand) {
	faults := []hosting.Fault{hosting.Unavailable, hosting.TooManyRequests, hosting.LoseAnswer, hosting.ResetConnection, hosting.NeverAnswer}
	fault := faults[r.IntN(len(faults))]
	some := r.IntN(3)
	s.store.SetFault(func(c hosting.Call) hosting.Fault {
		if some < 2 && !strings.HasSuffix(c.Caller, fmt.Sprint(some+1)) || fault == hosting.LoseAnswer && c.Method == http.MethodGet {
			return hosting.NoFault
		}
		return fault
	})
	time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
	s.store.SetFault(nil)
	if r.IntN(3) == 0 {
		s.store.Compact(func() {})
	}
	time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
}

// hurtLinks hurts the way to one engine.
func (s *soak) hurtLinks(r *rand.Rand) {
	p := s.proxies[r.IntN(len(s.proxies))]
	p.Set("0.0.0.0/0", []injector.Fault{
		{Cut: true}, {Freeze: true}, {LoseAnswers: true}, {Delay: 50 * time.Millisecond}, {DropAfter: 300},
	}[r.IntN(5)])
	time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
	p.Set("0.0.0.0/0", injector.Fault{})
}

// change writes a new version of the configuration.
func (s *soak) change(r *rand.Rand) {
	s.configure(func(c *hostedConfig) { c.Routes[2].MaxAttempts = 1 + r.IntN(2) })
	time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond)
}

// recover waits until every daemon serves again.
func (s *soak) recover() {
	for _, h := range s.hosts {
		select {
		case <-h.exited:
			h.start()
		default:
		}
		h.awaitReady()
		eventually(s.t, h.name+" has the newest configuration", func() error { return want("number", h.inForce(), s.config.Version) })
		eventually(s.t, h.name+" serves", func() error {
			return want("status", h.send(hostedRequest{Method: http.MethodGet, Target: againPath, Key: deskKey}).status, http.StatusOK)
		})
	}
}

// check compares what clients were told with what engines and the cloud saw.
func (s *soak) check() {
	runs := make(map[string]int)
	for _, e := range s.engines {
		for _, run := range e.Executions() {
			runs[run.Request]++
			if run.Tenant != deskName {
				s.fail("%s ran for %q", run.Request, run.Tenant)
			}
		}
	}
	for id, a := range s.answers {
		if a.kind == onceTarget && runs[id] > 1 {
			s.fail("posting %s ran %d times", id, runs[id])
		}
		switch a.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[id] > 0 {
				s.fail("%s was answered %d, and ran", id, a.status)
			}
		case http.StatusUnauthorized, http.StatusNotFound:
			s.fail("%s was answered %d, though its key and route were always there", id, a.status)
		}
	}
	if _, err := s.counted(deskName); err != nil {
		s.fail("%v", err)
	}
	if s.served == 0 {
		s.fail("none of %d requests was served", s.sent)
	}
	s.t.Logf("%d requests sent, %d served whole", s.sent, s.served)
}
