package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"brasschute/internal/standin/hosting"
)

// slowForms are endpoints that are at work for longer than a daemon takes to stop.
func slowForms() []rawForm {
	return []rawForm{
		{name: "silent", read: readEverything, ending: endNever},
		{name: "begun", read: readEverything, ending: endNever, text: signedHead + "Content-Type: text/event-stream\r\n\r\n" + event},
		{name: "begun-chunks", read: readEverything, ending: endNever, text: signedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n16\r\n" + event + "\r\n"},
	}
}

// lateRequest is a request of which a daemon has read a part when it begins to stop.
type lateRequest struct {
	route *rawRoute
	id    string
	// tokens is set if the request states its size.
	tokens bool
	conn   net.Conn
}

// begin sends all but the last bytes of the request.
func (l *lateRequest) begin() error {
	_ = l.conn.SetDeadline(time.Now().Add(waitTimeout))
	size := ""
	if l.tokens {
		size = "Token-Count: 10,10\r\n"
	}
	_, err := fmt.Fprintf(l.conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 20000\r\n%sContent-Length: 4\r\n\r\nbo",
		l.route.PathPrefix, hostedDomain, l.id, deskKey, size)
	return err
}

// end sends the rest of the request and returns its answer. An answer that is cut is an error.
func (l *lateRequest) end() hostedAnswer {
	if _, err := io.WriteString(l.conn, "dy"); err != nil {
		return hostedAnswer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(l.conn), nil)
	if err != nil {
		return hostedAnswer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return hostedAnswer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// check checks the answer to a request that came when the balancer had taken the daemon out.
func (l *lateRequest) check(t *testing.T, a hostedAnswer) {
	t.Helper()
	runs := l.route.runs(l.id)
	describe := func(problem string) {
		t.Errorf("%s, size stated %v: %s: status %d, %d bytes %q, %v, %d runs", l.route.Name, l.tokens, problem, a.status, len(a.body), a.body[:min(len(a.body), 400)], a.err, runs)
	}
	switch {
	case a.err != nil && runs > 0:
		describe("cut without a complete answer")
	case a.err != nil:
		describe("not answered")
	case a.status == http.StatusServiceUnavailable && runs > 0 && l.route.Kind != "idempotent":
		describe("has run")
	case a.status != http.StatusServiceUnavailable && a.status != http.StatusBadGateway:
		describe("neither refused nor failed")
	}
}

// Guards against requests that come late in a planned stop, are passed on although they can't end before it, and are cut
// without an answer, beside endpoints that send bytes without an end.
func TestLateRequestsOfAStopAreAnswered(t *testing.T) {
	s := newSite(t)
	s.addEngine(hosting.Config{ID: "sound", Service: plainService})
	routes := s.addRawRoutes(slowForms())
	forms := endlessForms()
	s.configure(func(c *hostedConfig) {
		for i := range c.Routes {
			c.Routes[i].SloMs, c.Routes[i].TimeoutMs = 200, 20000
		}
		for i := range forms {
			c.Routes = append(c.Routes, forms[i].route())
			c.Services = append(c.Services, hostedService{Name: forms[i].name})
		}
	})
	for i := range forms {
		s.addEndlessEndpoints(&forms[i])
	}
	h := s.prepareHost()
	h.replaceSetting("GraceS = 8", "GraceS = 6")
	h.start()
	h.awaitReady()
	var stopped atomic.Bool
	var group sync.WaitGroup
	for i := range forms {
		group.Go(func() {
			for !stopped.Load() {
				if a := h.send(hostedRequest{Target: "/" + forms[i].name + "/x", Key: deskKey}); a.err == nil && a.status < http.StatusBadRequest {
					t.Errorf("%s: status %d, %d bytes", forms[i].name, a.status, len(a.body))
				}
			}
		})
	}
	var late []*lateRequest
	for i := range routes {
		for _, tokens := range []bool{false, true} {
			l := &lateRequest{route: &routes[i], id: fmt.Sprintf("late-%d-%v", i, tokens), tokens: tokens, conn: dialHost(t, h)}
			if err := l.begin(); err != nil {
				t.Fatal(err)
			}
			late = append(late, l)
		}
	}
	h.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() error { return h.checkReadiness(http.StatusServiceUnavailable) })
	if a := h.send(hostedRequest{Target: nonIdempotentPath + "x", Key: deskKey}); a.err != nil || a.status != http.StatusOK {
		t.Errorf("while the balancer lags: status %d, %v", a.status, a.err)
	}
	eventually(t, "no new connections", func() error {
		c, err := net.Dial("tcp", h.ip+":8101")
		if err != nil {
			return nil
		}
		_ = c.Close()
		return fmt.Errorf("connected")
	})
	stopped.Store(true)
	for _, l := range late {
		group.Go(func() { l.check(t, l.end()) })
	}
	group.Wait()
	h.awaitExit()
}
