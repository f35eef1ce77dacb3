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
	share   = 0.2
	reserve = 50
)

// Budgeter counts retries that may be made. The zero value is empty; New
// starts with a full reserve.
type Budgeter struct {
	mu     sync.Mutex
	tokens float64
}

// New returns a budgeter with a full reserve.
func New() *Budgeter { return &Budgeter{tokens: reserve} }

// Earn credits one request.
func (b *Budgeter) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, reserve)
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
