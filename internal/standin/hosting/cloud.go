package hosting

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

// Report is one usage report as it was received. Holder and Fencing are the lease holder and
// the fencing number from the call's headers.
type Report struct {
	Holder  string
	Fencing uint64
	Window  int64
	Counts  map[string]int
}

// Order is one order for a number of endpoints as it was received. Holder and Fencing are the
// lease holder and the fencing number from the call's headers.
type Order struct {
	Holder  string
	Fencing uint64
	Service string
	Zone    string
	Desired int
	Spot    bool
}

// Cloud stands in for the cloud API: it records usage reports and orders. It is an
// http.Handler and safe for concurrent use.
type Cloud struct {
	mu         sync.Mutex
	reports    []Report
	orders     []Order
	loseAnswer func(path string) bool
}

// SetLoseAnswer sets a function that is called with the path of each call. If it returns true,
// the call takes effect and the connection is closed without an answer.
func (c *Cloud) SetLoseAnswer(loseAnswer func(path string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseAnswer = loseAnswer
}

// Reports returns the usage reports in order of arrival.
func (c *Cloud) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Report(nil), c.reports...)
}

// Orders returns the orders in order of arrival.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order(nil), c.orders...)
}

// ServeHTTP serves /usage and /scale.
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
	if c.loseAnswer != nil && c.loseAnswer(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}
