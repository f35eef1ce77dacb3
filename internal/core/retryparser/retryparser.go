// Package delayer reads for how long a server wants nothing, as it says with an answer that
// turns a call away (RFC 9110, section 10.2.3).
//
// # Usage
//
//	if d := delayer.Decode(resp.StatusCode, resp.Header); d > 0 { leave it alone }
package retryparser

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxDelay bounds the time that a server may want nothing: a mistake in a header must not take
// it out of use for days.
const MaxDelay = time.Hour

const header = "Retry-After"

// Parse reads seconds, fractions too, or a date, from an answer with status 429 or 503. It
// returns 0 where none is said, or what is said can't be read.
func Parse(status int, h http.Header) time.Duration {
	values := h.Values(header)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests || len(values) != 1 {
		return 0
	}
	if at, err := http.ParseTime(values[0]); err == nil {
		return min(max(time.Until(at), 0), MaxDelay)
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || !(seconds > 0 && seconds <= math.MaxFloat64) {
		return 0
	}
	return time.Duration(min(seconds, MaxDelay.Seconds()) * float64(time.Second))
}
