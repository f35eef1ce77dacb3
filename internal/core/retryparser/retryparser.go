// Package retryparser parses the Retry-After header of a response that refuses a request
// (RFC 9110, section 10.2.3).
//
// # Usage
//
//	backoff := retryparser.Parse(resp.StatusCode, resp.Header)
//	if backoff > 0 {
//		// don't send requests to this server until the backoff has passed
//	}
package retryparser

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxDelay bounds a server's backoff, so that a wrong header can't take the server out of use
// for days.
const MaxDelay = time.Hour

const headerRetryAfter = "Retry-After"

// Parse returns the delay that a response with status 429 or 503 asks for, at most MaxDelay. The
// header holds a date or a number of seconds, which may have a fraction. Parse returns 0 for
// other statuses and for a missing, repeated or invalid header.
func Parse(status int, h http.Header) time.Duration {
	values := h.Values(headerRetryAfter)
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
