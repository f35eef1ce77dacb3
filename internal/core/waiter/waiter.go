// Package waiter holds the two ways in which services wait.
//
// # Usage
//
//	if !waiter.For(ctx, pause) { return ctx.Err() }
//	return waiter.Every(ctx, period, s.round) // the Serve of a periodic service
//
// Time is the runtime's clock, which tests pause with testing/synctest.
package waiter

import (
	"context"
	"time"
)

// For waits for a time and reports true, or false if ctx ends first.
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

// Every calls f once a period until ctx ends, and returns its error. A call
// that lasts longer than the period makes the next one late, never double.
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
