// Package workload generates requests like those of the two users' systems,
// reproducibly from a seed.
//
// Harrowby & Trent sends long letters and instruction histories: a conversation
// starts with a member's history and grows with each turn. Werkbrug sends many
// short chats and confirmations with a common preamble; a tenth of its
// conversations hold long rosters. The lengths and rates are estimates that fit
// the present sizes of both systems; each published measurement states them.
//
// # Usage
//
//	g := workload.New(workload.Werkbrug(), seed)
//	for {
//		r := g.Next()
//		time.Sleep(r.Pause)
//		go send(r)
//	}
package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
)

// Mix describes the requests of a system. Ranges are minimum and maximum, both
// included.
type Mix struct {
	Name          string
	Organisations []OrganisationShare
	// RequestsPerSecond is the mean of a Poisson arrival process.
	RequestsPerSecond float64
	// PreambleTokens is the length of the text with which all conversations
	// begin.
	PreambleTokens int
	// HistoryTokens is the range of the text after the preamble, TurnTokens
	// that of the text which each request adds.
	HistoryTokens [2]int
	TurnTokens    [2]int
	OutputTokens  [2]int
	// Turns is the range of the number of requests of a conversation.
	Turns [2]int
	// LongShare is the share of conversations, from 0 to 1, whose history is in
	// the range LongHistoryTokens instead of HistoryTokens.
	LongShare         float64
	LongHistoryTokens [2]int
}

// OrganisationShare is an organisation's share of the conversations: its weight
// over the sum of all weights.
type OrganisationShare struct {
	Name   identifier.Organisation
	Weight float64
}

// HarrowbyTrent returns the mix of the renewals desk in maturity week.
func HarrowbyTrent() Mix {
	return Mix{
		Name: "Harrowby & Trent", RequestsPerSecond: 9, PreambleTokens: 160, HistoryTokens: [2]int{500, 1800}, TurnTokens: [2]int{30, 120},
		OutputTokens: [2]int{40, 140}, Turns: [2]int{3, 8},
		Organisations: []OrganisationShare{{"renewals-desk", 5}, {"contact-centre", 3}, {"branches", 2}, {"member-notices", 1}, {"compliance", 0.5}},
	}
}

// Werkbrug returns the mix of an ordinary working hour.
func Werkbrug() Mix {
	return Mix{
		Name: "Werkbrug", RequestsPerSecond: 40, PreambleTokens: 96, HistoryTokens: [2]int{20, 120}, TurnTokens: [2]int{10, 50},
		OutputTokens: [2]int{10, 50}, Turns: [2]int{1, 4}, LongShare: 0.1, LongHistoryTokens: [2]int{600, 1500},
		Organisations: []OrganisationShare{{"pickers-agency", 4}, {"loaders-agency", 4}, {"forklift-agency", 1}, {"events-agency", 1}, {"flex-workers", 5}},
	}
}

// Request is one request to send.
type Request struct {
	// Pause is the time from the request before to this one.
	Pause        time.Duration
	Organisation identifier.Organisation
	Prompt       string
	// Conversation is a hash that all turns of a conversation share.
	Conversation uint64
	OutputTokens identifier.Tokens
	// PriorTokens are the leading prompt tokens that an earlier turn already sent.
	PriorTokens identifier.Tokens
}

// conversation is a conversation that has turns left.
type conversation struct {
	organisation identifier.Organisation
	prompt       string
	hash         uint64
	sentBytes    int
	turnsLeft    int
	// dueAt is when the client may send the next turn, as it has read the answer.
	dueAt time.Duration
}

// Generator generates requests. It is not safe for concurrent use.
type Generator struct {
	mix      Mix
	rand     *rand.Rand
	preamble string
	open     []*conversation
	now      time.Duration
}

// The next turn of a conversation comes no earlier than the think time after
// the one before: minThinkTime and a random part of up to thinkTimeSpread.
const (
	minThinkTime    = 6 * time.Second
	thinkTimeSpread = 10 * time.Second
)

// New returns a generator for a mix. The same seed gives the same requests.
func New(m Mix, seed uint64) *Generator {
	g := &Generator{mix: m, rand: rand.New(rand.NewPCG(seed, 1))}
	g.preamble = g.randomText(m.PreambleTokens)
	return g
}

// randomText returns random text that is as long as a number of tokens.
func (g *Generator) randomText(tokens int) string {
	var b strings.Builder
	for b.Len() < tokens*prefix.BytesPerToken {
		fmt.Fprintf(&b, "%06x ", g.rand.IntN(1<<24))
	}
	return b.String()[:tokens*prefix.BytesPerToken]
}

// randomBetween returns a random number between two bounds, both included.
func (g *Generator) randomBetween(bounds [2]int) int {
	return bounds[0] + g.rand.IntN(bounds[1]-bounds[0]+1)
}

// Next returns the next request.
func (g *Generator) Next() Request {
	pause := time.Duration(g.rand.ExpFloat64() / g.mix.RequestsPerSecond * float64(time.Second))
	g.now += pause
	c := g.nextConversation()
	c.prompt += g.randomText(g.randomBetween(g.mix.TurnTokens))
	c.dueAt = g.now + minThinkTime + time.Duration(g.rand.Int64N(int64(thinkTimeSpread)))
	r := Request{
		Pause:        pause,
		Organisation: c.organisation, Prompt: c.prompt, Conversation: c.hash, OutputTokens: identifier.Tokens(g.randomBetween(g.mix.OutputTokens)), PriorTokens: prefix.Tokens(c.sentBytes),
	}
	c.sentBytes = len(c.prompt)
	c.turnsLeft--
	if c.turnsLeft == 0 {
		g.close(c)
	}
	return r
}

// nextConversation returns an open conversation whose next turn is due, or
// opens a new one.
func (g *Generator) nextConversation() *conversation {
	if g.rand.Float64() < g.followUpShare() {
		if c := g.longestDue(); c != nil {
			return c
		}
	}
	history := g.mix.HistoryTokens
	if g.rand.Float64() < g.mix.LongShare {
		history = g.mix.LongHistoryTokens
	}
	c := &conversation{organisation: g.randomOrganisation(), prompt: g.preamble + g.randomText(g.randomBetween(history)), turnsLeft: g.randomBetween(g.mix.Turns)}
	c.hash = xxhash.Sum64String(c.prompt)
	g.open = append(g.open, c)
	return c
}

// longestDue returns the conversation whose next turn has been due for longest,
// or nil.
func (g *Generator) longestDue() *conversation {
	var longest *conversation
	for _, c := range g.open {
		if c.dueAt <= g.now && (longest == nil || c.dueAt < longest.dueAt) {
			longest = c
		}
	}
	return longest
}

// followUpShare returns the share of requests that are not the first of their
// conversation.
func (g *Generator) followUpShare() float64 {
	turns := float64(g.mix.Turns[0]+g.mix.Turns[1]) / 2
	return 1 - 1/turns
}

// close removes a conversation that has no turns left.
func (g *Generator) close(c *conversation) {
	for i := range g.open {
		if g.open[i] == c {
			g.open = append(g.open[:i], g.open[i+1:]...)
			return
		}
	}
}

// randomOrganisation returns an organisation with a probability by its weight.
func (g *Generator) randomOrganisation() identifier.Organisation {
	sum := 0.0
	for _, o := range g.mix.Organisations {
		sum += o.Weight
	}
	x := g.rand.Float64() * sum
	for _, o := range g.mix.Organisations {
		if x -= o.Weight; x < 0 {
			return o.Name
		}
	}
	return g.mix.Organisations[0].Name
}
