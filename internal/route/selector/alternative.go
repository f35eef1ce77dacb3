package selector

import (
	"time"

	"brasschute/internal/core/identifier"
)

// Alternative is one endpoint with the predictions made for it.
type Alternative struct {
	Endpoint   identifier.Endpoint
	FirstToken time.Duration
	Cost       float64
	Cached     identifier.Tokens
	InTarget   bool
}

// Excluded counts the endpoints that could not serve a request, by the first reason that applied.
type Excluded struct {
	Leaving    int
	Ejected    int
	Silent     int
	Full       int
	Zone       int
	Model      int
	Tried      int
	Version    int
	Limited    int
	BackingOff int
	NotFound   int
}

// maxAlternatives limits the alternatives kept in a decision.
const maxAlternatives = 3

// Decision is the result of [Select]: the chosen endpoint, its predictions and the best
// alternatives.
type Decision struct {
	// Index is the position of the chosen candidate, or None.
	Index int
	// Home is the position of the home of the request's prefix. It is valid if HasHome is set: the
	// prefix has a home, which can serve the request.
	Home    int
	HasHome bool
	// Chosen holds the predictions for the chosen candidate.
	Chosen Alternative
	// Alternatives holds the best endpoints, the best one first; the chosen one may be among them.
	// Only the first AlternativeCount elements are valid.
	Alternatives     [maxAlternatives]Alternative
	AlternativeCount int
	Excluded         Excluded
}

// Prediction is the expected time to first token in seconds and the expected cost of serving the
// request at one candidate, in units of the configured prices. FirstToken is negative for a
// candidate that cannot serve.
type Prediction struct {
	FirstToken float64
	Cost       float64
}

// unusable is the FirstToken of a candidate that cannot serve.
const unusable = -1

// addAlternative inserts a into the sorted list of the best alternatives, if it is good enough.
func (d *Decision) addAlternative(a Alternative) {
	position := d.AlternativeCount
	for i := range d.AlternativeCount {
		if better(&a, &d.Alternatives[i]) {
			position = i
			break
		}
	}
	if position >= maxAlternatives {
		return
	}
	copy(d.Alternatives[position+1:], d.Alternatives[position:maxAlternatives-1])
	d.Alternatives[position] = a
	d.AlternativeCount = min(d.AlternativeCount+1, maxAlternatives)
}

// better reports whether a is better than b: in target and cheaper, or else earlier.
func better(a, b *Alternative) bool {
	if a.InTarget != b.InTarget {
		return a.InTarget
	}
	if a.InTarget {
		return a.Cost < b.Cost
	}
	return a.FirstToken < b.FirstToken
}
