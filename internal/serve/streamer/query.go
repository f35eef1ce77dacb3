package streamer

import (
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/selector"
	"brasschute/internal/serve/call"
)

// NewQuery returns the selector's query for a call.
func NewQuery(c *call.Call, zone identifier.AvailabilityZone, tried []identifier.Endpoint) selector.Query {
	return selector.Query{
		Now: time.Now(), Seed: RoutingSeed(c.Instance), Zone: zone, Zones: c.Zones, Model: c.Pool.Model,
		PromptTokens: c.PromptTokens, PriorTokens: c.PriorTokens, Prefix: c.Conversation, OutputTokens: c.MaxTokens, MaxInFlight: c.Pool.MaxInFlight, Slots: c.Pool.Slots,
		PrefillRate: c.Pool.PrefillPerSecond, DecodeRate: c.Pool.DecodePerSecond,
		Target: c.Plan.Configuration.Routing.FirstToken.Std(), RecomputeWeight: c.Plan.Configuration.Routing.RecomputeWeight,
		Tried: tried,
	}
}
