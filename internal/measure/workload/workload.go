// Package workload makes the requests of the two users, from a seed.
//
// # The mixes
//
// Harrowby & Trent: long letters and instruction histories. A conversation
// carries a member's history and grows with each of its turns. Werkbrug: many
// short chats and confirmations with a common preamble, and a tenth of long
// rosters. The lengths and rates are ours, chosen to fit the sizes of today in
// the brief; they are stated with each measurement.
//
// # Usage
//
//	w := workload.New(workload.Werkbrug(), seed)
//	for {
//		r := w.Next()
//		// wait r.Pause, then send r
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

// Mix describes a user's requests. Lengths are in tokens, as least and most.
type Mix struct {
	Name          string
	Organisations []OrganisationShare
	// RequestsPerSecond is in requests a second.
	RequestsPerSecond float64
	// PreambleTokens is common to all conversations.
	PreambleTokens int
	// HistoryTokens opens a conversation; Turn is added with each request.
	HistoryTokens [2]int
	TurnTokens    [2]int
	OutputTokens  [2]int
	Turns   [2]int
	// LongShare is the share of conversations with LongHistory instead.
	LongShare        float64
	LongHistoryTokens [2]int
}

// OrganisationShare is one organisation's part of the requests.
type OrganisationShare struct {
	Name   identifier.Organisation
	Weight float64
}

// HarrowbyTrent is the renewals desk in maturity week.
func HarrowbyTrent() Mix {
	return Mix{
		Name: "Harrowby & Trent", RequestsPerSecond: 9, PreambleTokens: 160, HistoryTokens: [2]int{500, 1800}, TurnTokens: [2]int{30, 120},
		OutputTokens: [2]int{40, 140}, Turns: [2]int{3, 8},
		Organisations: []OrganisationShare{{"renewals-desk", 5}, {"contact-centre", 3}, {"branches", 2}, {"member-notices", 1}, {"compliance", 0.5}},
	}
}

// Werkbrug is an ordinary working hour.
func Werkbrug() Mix {
	return Mix{
		Name: "Werkbrug", RequestsPerSecond: 40, PreambleTokens: 96, HistoryTokens: [2]int{20, 120}, TurnTokens: [2]int{10, 50},
		OutputTokens: [2]int{10, 50}, Turns: [2]int{1, 4}, LongShare: 0.1, LongHistoryTokens: [2]int{600, 1500},
		Organisations: []OrganisationShare{{"pickers-agency", 4}, {"loaders-agency", 4}, {"forklift-agency", 1}, {"events-agency", 1}, {"flex-workers", 5}},
	}
}

// Request is one request to send.
type Request struct {
	// Pause is the time since the request before.
	Pause        time.Duration
	Organisation identifier.Organisation
	Prompt       string
	// Conversation is a hash that the turns of a conversation share.
	Conversation uint64
	OutputTokens       identifier.Tokens
	// PriorTokens are the prompt tokens that an earlier turn already sent.
	PriorTokens identifier.Tokens
}

type conversation struct {
	organisation identifier.Organisation
	text         string
	hash         uint64
	known        int
	left         int
	// ready is when the caller has read the answer and asks again.
	ready time.Duration
}

// Generator makes requests. It is for one goroutine.
type Generator struct {
	mix      Mix
	rand     *rand.Rand
	preamble string
	open     []*conversation
	now      time.Duration
}

// The next turn of a conversation comes between leastThink and leastThink plus
// spreadThink after the one before.
const (
	leastThink  = 6 * time.Second
	spreadThink = 10 * time.Second
)

// New returns a workload of a mix.
func New(m Mix, seed uint64) *Generator {
	w := &Generator{mix: m, rand: rand.New(rand.NewPCG(seed, 1))}
	w.preamble = w.text(m.PreambleTokens)
	return w
}

// text returns random text of a number of tokens.
func (w *Generator) text(tokens int) string {
	var b strings.Builder
	for b.Len() < tokens*prefix.BytesPerToken {
		fmt.Fprintf(&b, "%06x ", w.rand.IntN(1<<24))
	}
	return b.String()[:tokens*prefix.BytesPerToken]
}

func (w *Generator) between(bounds [2]int) int {
	return bounds[0] + w.rand.IntN(bounds[1]-bounds[0]+1)
}

// Next returns the next request.
func (w *Generator) Next() Request {
	pause := time.Duration(w.rand.ExpFloat64() / w.mix.RequestsPerSecond * float64(time.Second))
	w.now += pause
	c := w.conversation()
	c.text += w.text(w.between(w.mix.TurnTokens))
	c.ready = w.now + leastThink + time.Duration(w.rand.Int64N(int64(spreadThink)))
	r := Request{
		Pause:        pause,
		Organisation: c.organisation, Prompt: c.text, Conversation: c.hash, OutputTokens: identifier.Tokens(w.between(w.mix.OutputTokens)), PriorTokens: prefix.Tokens(c.known),
	}
	c.known = len(c.text)
	c.left--
	if c.left == 0 {
		w.close(c)
	}
	return r
}

// conversation returns an open conversation, or a new one.
func (w *Generator) conversation() *conversation {
	if w.rand.Float64() < w.again() {
		if c := w.waiting(); c != nil {
			return c
		}
	}
	history := w.mix.HistoryTokens
	if w.rand.Float64() < w.mix.LongShare {
		history = w.mix.LongHistoryTokens
	}
	c := &conversation{organisation: w.organisation(), text: w.preamble + w.text(w.between(history)), left: w.between(w.mix.Turns)}
	c.hash = xxhash.Sum64String(c.text)
	w.open = append(w.open, c)
	return c
}

// waiting returns the conversation whose caller has waited longest, or nil.
func (w *Generator) waiting() *conversation {
	var first *conversation
	for _, c := range w.open {
		if c.ready <= w.now && (first == nil || c.ready < first.ready) {
			first = c
		}
	}
	return first
}

// again is the share of requests that are not the first of a conversation.
func (w *Generator) again() float64 {
	turns := float64(w.mix.Turns[0]+w.mix.Turns[1]) / 2
	return 1 - 1/turns
}

func (w *Generator) close(c *conversation) {
	for i := range w.open {
		if w.open[i] == c {
			w.open = append(w.open[:i], w.open[i+1:]...)
			return
		}
	}
}

func (w *Generator) organisation() identifier.Organisation {
	sum := 0.0
	for _, o := range w.mix.Organisations {
		sum += o.Weight
	}
	x := w.rand.Float64() * sum
	for _, o := range w.mix.Organisations {
		if x -= o.Weight; x < 0 {
			return o.Name
		}
	}
	return w.mix.Organisations[0].Name
}
