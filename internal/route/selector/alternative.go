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
	Resting  int
	NotFound int
}

const maxAlternatives = 3

// Decision is what was chosen and why.
type Decision struct {
	// Index is the position of the chosen candidate, or None.
	Index int
	// Chosen holds its predictions.
	Chosen Alternative
	// Best holds the best others, the first Others of them.
	Best     [maxAlternatives]Alternative
	Others   int
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
	place := d.Others
	for i := range d.Others {
		if better(&a, &d.Best[i]) {
			place = i
			break
		}
	}
	if place >= maxAlternatives {
		return
	}
	copy(d.Best[place+1:], d.Best[place:maxAlternatives-1])
	d.Best[place] = a
	d.Others = min(d.Others+1, maxAlternatives)
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
