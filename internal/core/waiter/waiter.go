// Package waiter provides waits that end with a context.
//
// # Usage
//
//	if !waiter.For(ctx, pause) { return ctx.Err() }
//	return waiter.Every(ctx, period, s.round) // the Serve method of a periodic service
//
// Both functions use the runtime's clock, so tests can control time with testing/synctest.
package waiter

import (
	"context"
	"time"
)

// For waits for d and reports true, or returns false early if ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f once per period until ctx ends, and returns the error of ctx. Calls never
// overlap: a call that takes longer than the period delays the next one.
func Every(ctx context.Context, period time.Duration, f func(context.Context)) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			f(ctx)
		}
	}
}
