//go:build review

package review2

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The load and the dose of the case "spoilt".
const (
	spoiltStreams = 800
	spoiltEvents  = 20
	// inOneWrite is the number of events that an engine has ready when it writes, writePause the time between two writes.
	inOneWrite = 4
	writePause = 20 * time.Millisecond
	// faultyEngines of the engines spoil a share of their answers.
	faultyEngines = 2
	spoiltShare   = 0.05
)

// spoilt lets half of a service's engines send wrong bytes in place of one event, in some of their answers.
func spoilt(s *site) (int, error) {
	for i := range engines {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), zone: []string{"hall-a", "hall-b"}[i%2], address: "127.0.0.1:0", store: s.store, record: s.record}
		faulty := s.trouble && i < faultyEngines
		e.handler = func(w http.ResponseWriter, r *http.Request) { e.writeInBursts(w, r, faulty) }
		if err := e.listen("v1"); err != nil {
			return failed, err
		}
		e.beat()
		go e.beatForever(rand.N(heartbeat))
	}
	s.store.write("config", "main", streamConfig())
	if err := s.startGateways("hall-a", "hall-b"); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	answers := make([]numberedAnswer, spoiltStreams)
	var clients sync.WaitGroup
	for i := range answers {
		clients.Go(func() { answers[i] = s.readNumbers(s.gateways[i%len(s.gateways)], fmt.Sprintf("stream-%d", i+1)) })
		time.Sleep(30 * time.Millisecond)
	}
	clients.Wait()
	return s.judgeNumbers(answers), nil
}

// writeInBursts runs a stream whose events are ready some at a time. A faulty engine spoils some answers: in place of an
// event it sends bytes that are none.
func (e *engine) writeInBursts(w http.ResponseWriter, r *http.Request, faulty bool) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	spoiltEvent := 0
	if left := spoiltEvents - 1 - after; faulty && left > 0 && rand.Float64() < spoiltShare {
		// Never the last one: nobody could tell that it is missing.
		spoiltEvent = after + 1 + rand.IntN(left)
	}
	e.record.line("%s runs at %s after event %d, spoilt event %d", r.Header.Get("Request-Id"), e.id, after, spoiltEvent)
	flush := http.NewResponseController(w).Flush
	for n := after + 1; n <= spoiltEvents; {
		var ready bytes.Buffer
		for range inOneWrite {
			if n > spoiltEvents {
				break
			}
			text := fmt.Sprintf("id: %d\ndata: piece %d of this answer\n\n", n, n)
			if n == spoiltEvent {
				text = strings.Repeat("#", len(text)-2) + "\n\n"
			}
			ready.WriteString(text)
			n++
		}
		if _, err := w.Write(ready.Bytes()); err != nil || flush() != nil {
			return
		}
		select {
		case <-time.After(writePause):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// numberedAnswer is what a client got of a stream.
type numberedAnswer struct {
	id      string
	status  int
	numbers []int
	whole   bool
}

// readNumbers sends a request for a stream and reads the numbers of its events.
func (s *site) readNumbers(g *gateway, id string) numberedAnswer {
	out := numberedAnswer{id: id}
	resp, err := s.send(g, id, fmt.Sprintf("%08x", rand.Uint32()))
	if err != nil {
		s.record.line("%s: no answer: %v", id, err)
		return out
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	out.status, out.whole = resp.StatusCode, err == nil
	for _, line := range strings.Split(string(body), "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok && out.status == http.StatusOK {
			n, _ := strconv.Atoi(text)
			out.numbers = append(out.numbers, n)
		}
	}
	s.record.line("%s: status %d, stamp %q, events %v, ends as whole: %v", id, out.status, resp.Header.Get("Response-Stamp"), out.numbers, out.whole)
	return out
}

// judgeNumbers counts the successes that end as whole although events are missing, come twice or are out of order, and the
// answers in which a later event follows a missing one.
func (s *site) judgeNumbers(answers []numberedAnswer) int {
	var all []int
	for n := range spoiltEvents {
		all = append(all, n+1)
	}
	served, bad := 0, 0
	for _, a := range answers {
		if a.status != http.StatusOK {
			continue
		}
		served++
		if a.whole && !slices.Equal(a.numbers, all) || !a.whole && !slices.Equal(a.numbers, all[:min(len(a.numbers), len(all))]) {
			bad++
			s.record.line("%s has events %v, and ends as whole: %v", a.id, a.numbers, a.whole)
		}
	}
	s.record.line("%d of %d streams served, %d of them with events missing or out of order", served, len(answers), bad)
	switch {
	case bad > 0:
		return broken
	case served < len(answers)/2:
		return failed
	}
	return held
}
