package gateway

import (
	"time"

	"brasschute/internal/ops/accesslogger"
	"brasschute/internal/ops/connectionlimiter"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/headlimiter"
	"brasschute/internal/serve/receiver"
	"brasschute/platform"
)

const (
	// bodyTimeout is how long a client may take to send its body.
	bodyTimeout = 5 * time.Second
	// discardBytes is what is discarded of the body of a refused request: a body of the usual limit, and more.
	discardBytes = 8 << 20
)

// buildClients creates what serves the clients, and what bounds them.
func (g *Gateway) buildClients() {
	shares := g.shares
	bodies := bodyreader.New(bodyreader.Config{TotalBytes: shares.Bodies, Timeout: bodyTimeout, DiscardBytes: discardBytes, Metrics: g.scope})
	g.receiver = receiver.New(receiver.Config{
		Versioner: &g.versioner, Relayer: g.newRelayer(), Quota: g, Quarantine: g.quarantine, Decode: platform.DecodeRequest, Refuse: platform.Codec{}.EncodeRefusal,
		Observer: accesslogger.New(accesslogger.Config{Logger: g.c.Logger, Metrics: g.scope}),
		Bodies:   bodies,
	})
	g.heads = headlimiter.New(headlimiter.Config{TotalBytes: shares.Heads, Refuse: g.receiver.RefuseHead, Metrics: g.scope})
	g.connections = connectionlimiter.New(connectionlimiter.Config{
		Connections: shares.Connections, LongHeads: shares.LongHeads, BufferBytes: shares.Buffers,
		EndStalled: bodies.EndLongestStalled, Metrics: g.scope,
	})
}
