package gateway

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"brasschute/internal/route/demandmeter"
)

// askWithin sends a model request to daemon 0, whose client waits for the given time, and returns
// the status.
func (f *testFleet) askWithin(timeout time.Duration) int {
	f.t.Helper()
	host := f.network.Host(storeLink)
	client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext, DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.daemons[0].c.Deployment.Callers.String()+resumePath, strings.NewReader("a letter"))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = modelHost
	r.Header.Set("Request-Id", f.nextID())
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+deskKey)
	r.Header.Set("Token-Count", fmt.Sprint(promptTokens, ",100"))
	resp, err := client.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (f *testFleet) modelDemand() demandmeter.Demand {
	return f.daemons[0].demandMeter.Demands()[modelService]
}

// Guards against a request that counts twice because its client returns: it was refused for want
// of an engine, and returns when one has started.
func TestReturnOfRefusedRequestIsNoDemand(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		e := f.prepareEngines(func(string) bool { return false })
		f.start(1)
		time.Sleep(startTime)
		if status := f.askWithin(9 * time.Second); status != http.StatusServiceUnavailable {
			t.Fatalf("status %d without an engine", status)
		}
		if d := f.modelDemand(); d.Refused == 0 || d.Requests > 0 {
			t.Errorf("demand %+v after a refusal", d)
		}
		e.startAll()
		time.Sleep(2 * time.Second)
		if status := f.askWithin(7 * time.Second); status != http.StatusOK {
			t.Fatalf("status %d when it returns", status)
		}
		// The client first sent the request two seconds before, and the objective is one.
		if d := f.modelDemand(); d.Requests > 0 || d.Late == 0 {
			t.Errorf("demand %+v after the return", d)
		}
		late := f.modelDemand().Late
		if status := f.askWithin(9 * time.Second); status != http.StatusOK {
			t.Fatalf("status %d of another request", status)
		}
		if d := f.modelDemand(); d.Requests == 0 || d.Late > late || d.FirstEvents <= d.Late {
			t.Errorf("demand %+v after another request", d)
		}
	})
}

// Guards against a request that counts once for each attempt: engines refuse it, and it goes to
// another one.
func TestAttemptsOfOneRequestCountOnce(t *testing.T) {
	inPausedTime(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.end()
		e := f.prepareEngines(func(string) bool { return false })
		refusals := 0
		e.refuses = func(int) bool { refusals++; return refusals <= 2 }
		e.startAll()
		f.start(1)
		time.Sleep(startTime)
		if status := f.askWithin(9 * time.Second); status != http.StatusOK || refusals < 3 {
			t.Fatalf("status %d after %d attempts", status, refusals)
		}
		const halfLife = 2
		if d := f.modelDemand(); d.Requests > math.Ln2/halfLife {
			t.Errorf("demand %+v after one request", d)
		}
	})
}
