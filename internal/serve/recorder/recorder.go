// Package recorder keeps records that explain how recent requests were decided.
//
// A [Record] is plain data: the caller, the configuration and rule that decided, the
// time in the queue, each attempt with the alternatives that were weighed, and the
// outcome. Refused requests have a record too. Only the newest records are kept, in
// memory; they are no audit trail.
//
// # Usage
//
//	rec := recorder.New(recorder.Config{})
//	rec.Add(record)
//	record, ok := rec.Find(id)
package recorder

import (
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	defaultSize = 4096
	// maxAttempts bounds the attempts in a record.
	maxAttempts = 32
)

// Config holds the size of a Recorder.
type Config struct {
	// Size is the number of records that are kept; 4,096 if zero.
	Size int
}

// Alternative is an endpoint that was considered for an attempt.
type Alternative struct {
	Endpoint     identifier.Endpoint
	FirstTokenMS float64
	Cost         float64
	CachedTokens identifier.Tokens
	InTarget     bool
}

// Attempt is one attempt at one endpoint.
type Attempt struct {
	Endpoint identifier.Endpoint
	// Why says how the endpoint was chosen.
	Why          string
	Chosen       Alternative
	Alternatives []Alternative
	// Excluded says how many endpoints could not serve, by reason.
	Excluded string
	// Resumed is the number of tokens that the caller already had.
	Resumed int
	State   string
	Outcome string
}

// Record explains how one request was decided.
type Record struct {
	Request       identifier.Request
	Instance      identifier.Request
	Host          identifier.Host
	Received      time.Time
	Organisation  identifier.Organisation
	Service       identifier.Service
	Configuration identifier.ConfigurationNumber
	// Rule is the name of the rule that matched, empty if none did.
	Rule          string
	Priority      string
	Pool          identifier.Pool
	NonIdempotent bool
	// Claim is the result of claiming the idempotency key, empty without a key.
	Claim    string
	WaitedMS float64
	// Witness is the result of asking the witness, empty if none was needed.
	Witness  string
	Attempts []Attempt
	// Outcome is "answered" or the error.
	Outcome          string
	FirstTokenMS     float64
	TookMS           float64
	Cost             float64
	CompletionTokens identifier.Tokens
	RecomputedTokens identifier.Tokens
}

// AddAttempt adds an attempt to the record and returns the record's copy of it. Once the record
// is full, each further attempt replaces the last.
func (r *Record) AddAttempt(a *Attempt) *Attempt {
	if len(r.Attempts) == maxAttempts {
		r.Attempts = r.Attempts[:maxAttempts-1]
	}
	r.Attempts = append(r.Attempts, *a)
	return &r.Attempts[len(r.Attempts)-1]
}

// Recorder keeps the newest records. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	ring []*Record
	next int
	byID map[identifier.Request]*Record
}

// New returns an empty recorder.
func New(c Config) *Recorder {
	if c.Size == 0 {
		c.Size = defaultSize
	}
	return &Recorder{ring: make([]*Record, c.Size), byID: make(map[identifier.Request]*Record)}
}

// Add keeps a finished record, which must not be modified afterwards.
func (r *Recorder) Add(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.ring[r.next]; old != nil && r.byID[old.Request] == old {
		delete(r.byID, old.Request)
	}
	r.ring[r.next] = rec
	r.next = (r.next + 1) % len(r.ring)
	r.byID[rec.Request] = rec
}

// Find returns the newest record with a request id.
func (r *Recorder) Find(id identifier.Request) (*Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.byID[id]
	return rec, ok
}
