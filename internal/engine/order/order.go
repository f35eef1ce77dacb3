// Package order declares the orders that a controller sends to engines.
//
// An [Order] states the desired state of an engine, not a step towards it. An
// order that is repeated, or two orders that arrive in reverse, therefore leave
// the engine in the state of the order with the highest fencing number.
//
// # Usage
//
//	o := order.Order{FencingNumber: lease.Number, Model: "renewals-7b"}
package order

// Order is the desired state of one engine.
type Order struct {
	// FencingNumber is the fencing number of the sender's lease. An engine that
	// honours fencing refuses a number lower than the highest it has seen.
	FencingNumber uint64
	// Model is the model to load, with its version.
	Model string
}
