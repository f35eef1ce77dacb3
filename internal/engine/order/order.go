// Package order holds the orders that a controller gives to engines.
//
// # Orders state an end, not a step
//
// An [Order] says what the engine is to be, not what it is to do next. The
// same order twice, or two orders swapped by the network, therefore leave the
// engine as the highest fencing number wants it.
//
// # Usage
//
//	o := order.Order{FencingNumber: lease.Number, Model: "renewals-7b"}
package order

// Order is the wanted state of one engine.
type Order struct {
	// FencingNumber is that of the lease under which the order is given. An
	// engine that honours fencing refuses a number below the highest seen.
	FencingNumber uint64
	// Model is the model, with its version, to have loaded.
	Model string
}
