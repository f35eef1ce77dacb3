package receiver

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/config/versioner"
	"brasschute/internal/core/identifier"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/relayer"
	"brasschute/internal/serve/request"
)

// observer records the ends of requests.
type observer struct{ ends []relayer.Result }

func (o *observer) RequestEnded(_ *request.Request, r *relayer.Result) { o.ends = append(o.ends, *r) }

// Guards against a final 404, or 401 for a new key, from a daemon that is behind: it
// has received the number of the configuration that adds the route or key, but not its
// content. Callers would give up, though other daemons serve the request.
func TestUnknownRouteIsNotFinalWhileBehind(t *testing.T) {
	for _, c := range []struct {
		name, host, key string
		observed        identifier.ConfigurationNumber
		status          int
		again           bool
	}{
		{"route, newest in force", "b.example", "k", 7, http.StatusNotFound, false},
		{"key, newest in force", "a.example", "x", 7, http.StatusUnauthorized, false},
		{"route, behind", "b.example", "k", 8, http.StatusServiceUnavailable, true},
		{"key, behind", "a.example", "x", 8, http.StatusServiceUnavailable, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, o := new(versioner.Versioner), new(observer)
			v.Offer(catalog.New(catalog.Config{
				Number: 7, Routes: []catalog.Route{{Host: "a.example", Prefix: "/", Targets: []catalog.Target{{Service: "app", Weight: 1}}}},
				Organisations: []catalog.Organisation{{Name: "desk", Keys: []string{"k"}}},
			}))
			v.ObserveNumber(c.observed)
			retry := time.Duration(0)
			receiver := New(Config{
				Versioner: v, Observer: o, Bodies: bodyreader.New(bodyreader.Config{TotalBytes: 1 << 20, Timeout: time.Second}),
				Decode: func(r *http.Request, at time.Time) (*request.Request, error) {
					return &request.Request{ID: "r-1", Received: at, Host: r.Host, Path: r.URL.Path, APIKey: c.key}, nil
				},
				Refuse: func(_ http.Header, _ identifier.Request, after time.Duration) { retry = after },
			})
			w := httptest.NewRecorder()
			receiver.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://"+c.host+"/", nil))
			if w.Code != c.status || retry > 0 != c.again || len(o.ends) != 1 || o.ends[0].Outcome != relayer.NotRun {
				t.Errorf("status %d, retry after %v, ends %+v", w.Code, retry, o.ends)
			}
		})
	}
}
