package hosting

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

// Report is one usage report as it came.
type Report struct {
	Holder  string
	Fencing uint64
	Window  int64
	Counts  map[string]int
}

// Order is one order of endpoints as it came.
type Order struct {
	Holder  string
	Fencing uint64
	Service string
	Zone    string
	Desired int
	Spot    bool
}

// Cloud takes reports and orders. It is an http.Handler and safe for concurrent
// use.
type Cloud struct {
	mu      sync.Mutex
	reports []Report
	orders  []Order
	lose    func(path string) bool
}

// SetLoseAnswer makes the cloud ask whether a call is done without an answer.
func (c *Cloud) SetLoseAnswer(lose func(path string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = lose
}

// Reports returns the reports in the order in which they came.
func (c *Cloud) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Report(nil), c.reports...)
}

// Orders returns the orders in the order in which they came.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order(nil), c.orders...)
}

// ServeHTTP takes one call.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	holder := r.Header.Get("Duty-Holder")
	fencing, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	switch r.URL.Path {
	case "/usage":
		report := Report{Holder: holder, Fencing: fencing}
		err = json.NewDecoder(r.Body).Decode(&report)
		c.reports = append(c.reports, report)
	case "/scale":
		order := Order{Holder: holder, Fencing: fencing}
		err = json.NewDecoder(r.Body).Decode(&order)
		c.orders = append(c.orders, order)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.lose != nil && c.lose(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}
