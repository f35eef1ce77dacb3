// Package budgeter bounds retries to a share of the requests.
//
// # Why
//
// When many endpoints fail at once, retries multiply the load on those that
// are left. A [Budgeter] earns a fraction of a retry with each request, up to
// a reserve, so that retries stay a set share of the traffic whatever fails.
//
// # Usage
//
//	b.Earn()          // once a request
//	if b.Spend() { retry }
package budgeter

import "sync"

const (
	defaultShare   = 0.2
	defaultReserve = 50
)

// Config sets the bound.
type Config struct {
	// Ratio is the part of a retry that a request earns; 0.2 if zero.
	Ratio float64
	// Reserve is how many retries may be saved up; 50 if zero.
	Reserve float64
}

// Budgeter counts retries that may be made. The zero value is empty; New
// starts with a full reserve.
type Budgeter struct {
	mu      sync.Mutex
	share   float64
	reserve float64
	tokens  float64
}

// New returns a budgeter with a full reserve.
func New(c Config) *Budgeter {
	if c.Ratio == 0 {
		c.Ratio = defaultShare
	}
	if c.Reserve == 0 {
		c.Reserve = defaultReserve
	}
	return &Budgeter{share: c.Ratio, reserve: c.Reserve, tokens: c.Reserve}
}

// Earn credits one request.
func (b *Budgeter) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// Spend takes one retry; false means that there is none left.
func (b *Budgeter) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
