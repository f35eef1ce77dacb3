// Package budgeter implements a retry budget: it bounds retries to a fraction of the requests.
//
// When many endpoints fail at once, unbounded retries multiply the load on those that are left. A
// [Budgeter] earns a fraction of a retry with each request, up to a reserve, so that retries stay a
// fixed fraction of the traffic whatever fails.
//
// # Usage
//
//	b.Earn() // once per request
//	if b.Spend() { retry }
package budgeter

import "sync"

const (
	defaultRatio   = 0.2
	defaultReserve = 50
)

// Config sets the budget.
type Config struct {
	// Ratio is the number of retries that one request earns; 0.2 if zero.
	Ratio float64
	// Reserve is the number of retries that may be saved up; 50 if zero.
	Reserve float64
}

// Budgeter is a retry budget. The zero value is empty and stays so; New starts with a full reserve.
// It is safe for concurrent use.
type Budgeter struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	tokens  float64
}

// New returns a budgeter with a full reserve.
func New(c Config) *Budgeter {
	if c.Ratio == 0 {
		c.Ratio = defaultRatio
	}
	if c.Reserve == 0 {
		c.Reserve = defaultReserve
	}
	return &Budgeter{ratio: c.Ratio, reserve: c.Reserve, tokens: c.Reserve}
}

// Earn credits one request.
func (b *Budgeter) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.reserve)
}

// Spend takes one retry from the budget, and reports whether there was one left.
func (b *Budgeter) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
