package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
)

// callerUploadBytes is the longest body that daemons take from callers by default.
const callerUploadBytes = 1 << 20

// rawService is a service of callers whose endpoints are of one form.
type rawService struct {
	*rawEndpoints
	name       string
	idempotent bool
}

// addRawServices adds services with endpoints of each form, which no other service has, and returns them with the
// configuration that names them.
func (f *fleet) addRawServices(forms []rawForm) (services []rawService, source string) {
	f.t.Helper()
	var entries, pools strings.Builder
	for i := range forms {
		for _, idempotent := range []bool{false, true} {
			s := rawService{&rawEndpoints{form: &forms[i], received: make(map[string]int)}, fmt.Sprintf("%s-%v", forms[i].name, idempotent), idempotent}
			fmt.Fprintf(&entries, "  - {Name: %s, Kind: plain, Pool: %s, Idempotent: %v, Timeout: 20s}\n", s.name, s.name, idempotent)
			fmt.Fprintf(&pools, "  - {Name: %s, MaxInFlight: 50}\n", s.name)
			for k := range endpointsPerForm {
				name := fmt.Sprintf("%s-%d", s.name, k)
				f.register(&inventory.Host{
					Host: identifier.Host(name), AvailabilityZone: identifier.AvailabilityZone(zoneName(1)), Class: "reclaimable", Incarnation: 1, State: inventory.StateLive,
					Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(name), Pool: identifier.Pool(s.name), Address: s.listen(f.t)}},
				})
			}
			services = append(services, s)
		}
	}
	source = strings.Replace(configuration(), "Services:\n", "Services:\n"+entries.String(), 1)
	return services, strings.Replace(source, "Pools:\n", "Pools:\n"+pools.String(), 1)
}

// register registers a host with the platform.
func (f *fleet) register(h *inventory.Host) {
	f.t.Helper()
	body, err := json.Marshal(h)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := f.client.Post("http://"+f.platformAddress+"/admin/hosts", "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := checkEqual("status", resp.StatusCode, http.StatusNoContent); err != nil {
		f.t.Fatal(err)
	}
}

// checkRawServices sends a request to each service and checks its answer.
func (f *fleet) checkRawServices(t *testing.T, d *daemon, services []rawService) {
	t.Helper()
	eventually(t, "endpoints", func() error {
		s, err := d.status()
		if err != nil {
			return err
		}
		return checkEqual("endpoints", len(s.Endpoints), endpointsPerForm*len(services))
	})
	upload := strings.Repeat("u", callerUploadBytes)
	var group sync.WaitGroup
	next := make(chan *rawService)
	for range 4 {
		group.Go(func() {
			for s := range next {
				body := "short"
				if s.form.upload {
					body = upload
				}
				id := fmt.Sprintf("raw-%d", requestCount.Add(1))
				s.check(t, d.do(http.MethodPost, "/services/"+s.name+"/x", body, "Request-Id", id), id)
			}
		})
	}
	for i := range services {
		next <- &services[i]
	}
	close(next)
	group.Wait()
}

// check checks the answer to a request. Answers of the services of callers bear no signature, and one without a length
// can't prove its end.
func (s *rawService) check(t *testing.T, r *reply, id string) {
	t.Helper()
	runs := 0
	s.mu.Lock()
	for received, n := range s.received {
		if strings.HasPrefix(received, id) {
			runs += n
		}
	}
	s.mu.Unlock()
	describe := func(problem string) {
		t.Errorf("%s: %s: status %d, %d bytes %q, %v, %d runs", s.name, problem, r.status, len(r.body), r.body[:min(len(r.body), 400)], r.err, runs)
	}
	switch own := r.problemType(); {
	case runs == 0:
		describe("reached no endpoint")
	case !s.idempotent && runs > 1:
		describe("ran twice")
	case r.err != nil:
		describe("broken off")
	case own != "":
		// An idempotent request is refused once no other endpoint is left.
		if own != "endpoint-failed" && !s.idempotent || r.outcome() != "unknown" {
			describe("not the failure of an endpoint that may have run it")
		}
	case s.form.whole == "" || r.status != s.form.status || r.body != s.form.whole || strings.Contains(s.form.name, "no-length"):
		describe("not the endpoint's whole answer")
	}
}

// callerForms are the forms of answers for services of callers.
func callerForms() []rawForm {
	var out []rawForm
	for _, f := range slices.Concat(brokenForms(), statusForms(), headForms()) {
		if strings.Contains(f.name, "unsigned") || strings.HasSuffix(f.name, "-run") {
			// These are whole answers here.
			continue
		}
		out = append(out, f)
	}
	return out
}

// Guards against a broken answer, or one whose status is none, that a caller takes for an answer.
func TestBrokenAnswersToCallersAreNotWhole(t *testing.T) {
	f := newFleet(t)
	services, source := f.addRawServices(callerForms())
	d := f.addEntry(1)
	d.mustApply(source, 0)
	f.checkRawServices(t, d, services)
}
