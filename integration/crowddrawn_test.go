//go:build alone

package integration

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// Several crowds at the same time, beside endpoints that send without an end, and a stop in the middle:
//
//	go test -tags alone -run TestCrowdsDrawn ./integration -crowd.seeds 50 -crowd.first 1 -timeout 60m
var (
	crowdSeeds = flag.Int("crowd.seeds", 3, "number of seeds to run")
	crowdFirst = flag.Uint64("crowd.first", 1, "the first seed")
)

const (
	// drawnCrowds is the most crowds at the same time, drawnClients the most clients of one.
	drawnCrowds  = 4
	drawnClients = 80
	// drawnEndless is the most requests that wait for an endless response.
	drawnEndless = 16
)

// pipelineCrowd sends many small requests on each connection and reads no answer.
func pipelineCrowd(to *crowdTarget) crowd {
	request := fmt.Sprintf(to.head, 0) + stated(0) + "\r\n"
	return crowd{name: "pipelined requests", head: stated(0), send: func(w io.Writer) error {
		return repeat(w, request, crowdBodyBytes)
	}}
}

// drawCrowd draws a form of crowd.
func drawCrowd(r *rand.Rand, to *crowdTarget) crowd {
	sizes := []int{1, 2, 7, 1000, 64 << 10}
	forms := []func() crowd{
		wholeCrowd, stalledCrowd, piecesCrowd, headsCrowd,
		func() crowd { return chunkedCrowd(sizes[r.IntN(len(sizes))]) },
		oversizedCrowd, oversizedChunksCrowd, connectionsCrowd, unfinishedHeadsCrowd,
		func() crowd { return pipelineCrowd(to) },
	}
	c := forms[r.IntN(len(forms))]()
	c.clients = 1 + r.IntN(drawnClients)
	return c
}

// Guards against crowds that together do what one of them alone can't, and against a stop that they keep from ending.
func TestCrowdsDrawn(t *testing.T) {
	for n := range *crowdSeeds {
		seed := *crowdFirst + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runDrawnCrowds(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

func runDrawnCrowds(t *testing.T, r *rand.Rand) {
	to := newCrowdGateway(t)
	h := to.s.hosts[0]
	forms := endlessForms()
	form := forms[r.IntN(len(forms))]
	to.addEndlessService(t, &form)
	var ended sync.WaitGroup
	var awaitSent, release []func()
	names := []string{fmt.Sprintf("endless %s", form.name)}
	for range 1 + r.IntN(drawnEndless) {
		ended.Go(func() {
			if a := h.send(hostedRequest{Target: "/" + form.name + "/x", Key: deskKey}); a.err == nil && a.status < http.StatusBadRequest {
				t.Errorf("an endless response: status %d", a.status)
			}
		})
	}
	for range 1 + r.IntN(drawnCrowds) {
		c := drawCrowd(r, to)
		names = append(names, fmt.Sprintf("%d clients, %s", c.clients, c.name))
		wait, end := c.start(to)
		awaitSent, release = append(awaitSent, wait), append(release, end)
	}
	t.Log(strings.Join(names, "; "))
	stops := r.IntN(2) == 0
	if !stops {
		callAll(awaitSent)
	}
	checkOrdinary(t, to)
	pid := to.process.cmd.Process.Pid
	if n := openDescriptors(pid); n > to.descriptors {
		t.Errorf("%d descriptors, the limit is %d", n, to.descriptors)
	}
	if peak := peakResidentBytes(t, pid) + unreadBytes(to.address); peak > to.memoryBytes {
		t.Errorf("%d MB resident and unread, the limit is %d MB", peak>>20, to.memoryBytes>>20)
	}
	if stops {
		to.process.signal(syscall.SIGTERM)
		to.process.awaitExit()
	}
	callAll(release)
	ended.Wait()
}

// callAll calls functions one after the other.
func callAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// checkOrdinary sends ordinary requests until one is served.
func checkOrdinary(t *testing.T, to *crowdTarget) {
	t.Helper()
	eventually(t, "an ordinary request is served", func() error {
		status, err := to.ordinary()
		if err != nil {
			return err
		}
		return checkEqual("status", status, http.StatusOK)
	})
}
