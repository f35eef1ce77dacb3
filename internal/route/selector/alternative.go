package selector

import (
	"time"

	"brasschute/internal/core/identifier"
)

// Alternative is one endpoint with its predictions.
type Alternative struct {
	Endpoint   identifier.Endpoint
	FirstToken time.Duration
	Cost       float64
	Cached     identifier.Tokens
	InTarget   bool
}

// Excluded counts the endpoints that could not serve, by reason.
type Excluded struct {
	Leaving  int
	Ejected  int
	Silent   int
	Full     int
	Zone     int
	Model    int
	Tried    int
	Version  int
	Limited  int
	BackingOff  int
	NotFound int
}

const maxAlternatives = 3

// Decision is what was chosen and why.
type Decision struct {
	// Index is the position of the chosen candidate, or None.
	Index int
	// Chosen holds its predictions.
	Chosen Alternative
	// Alternatives holds the best others, the first Others of them.
	Alternatives     [maxAlternatives]Alternative
	AlternativeCount   int
	Excluded Excluded
}

// Prediction is what a decision expects of one candidate, in seconds and
// currency. Candidates that cannot serve have a negative FirstToken.
type Prediction struct {
	FirstToken float64
	Cost       float64
}

// unusable marks a prediction.
const unusable = -1

// note keeps the best alternatives for the explanation.
func (d *Decision) note(a Alternative) {
	place := d.AlternativeCount
	for i := range d.AlternativeCount {
		if better(&a, &d.Alternatives[i]) {
			place = i
			break
		}
	}
	if place >= maxAlternatives {
		return
	}
	copy(d.Alternatives[place+1:], d.Alternatives[place:maxAlternatives-1])
	d.Alternatives[place] = a
	d.AlternativeCount = min(d.AlternativeCount+1, maxAlternatives)
}

func better(a, b *Alternative) bool {
	if a.InTarget != b.InTarget {
		return a.InTarget
	}
	if a.InTarget {
		return a.Cost < b.Cost
	}
	return a.FirstToken < b.FirstToken
}
