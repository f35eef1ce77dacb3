// Package replyreader reads what endpoints report in the headers of their replies. It serves the
// requests of this daemon (package relayer) and those of peers (package proxier).
package replyreader

import (
	"net/http"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/retryparser"
	"brasschute/internal/route/registry"
	"brasschute/internal/serve/request"
)

// Codec decodes endpoints' replies.
type Codec interface {
	DecodeReply(status int, h http.Header) request.Reply
}

// Observer receives what endpoints report about themselves in their replies.
type Observer interface {
	// ObserveReply is called with the status and headers of each reply to a request
	// that was sent at the given time.
	ObserveReply(q *request.Request, pick *registry.Pick, reply *request.Reply, sent time.Time)
	// ObserveBackoff is called when an endpoint refuses a request and asks for no
	// requests for the duration d.
	ObserveBackoff(q *request.Request, pick *registry.Pick, d time.Duration)
}

// Observe passes on what a reply says about its endpoint, with the response's status and headers.
// A reply of another endpoint, which has the address now, says nothing.
func Observe(o Observer, q *request.Request, pick *registry.Pick, reply *request.Reply, status int, h http.Header, sent time.Time) {
	if reply.Misdirected {
		return
	}
	pick.Activity.RecordEvent(time.Now())
	o.ObserveReply(q, pick, reply, sent)
	if d := retryparser.Parse(status, h); d > 0 {
		o.ObserveBackoff(q, pick, d)
	}
}

// Matches returns a function that reports whether a reply's headers are those of a request. Replies
// without an ID pass.
func Matches(c Codec, id identifier.Request) func(http.Header) bool {
	return func(h http.Header) bool {
		got := c.DecodeReply(0, h).ID
		return got == "" || got == id
	}
}

// KeepAlive returns a function that returns how long a connection may stay idle, by the headers of
// the last reply on it.
func KeepAlive(c Codec) func(http.Header) time.Duration {
	return func(h http.Header) time.Duration { return c.DecodeReply(0, h).KeepAlive }
}
