package retryparser

import (
	"net/http"
	"testing"
	"time"
)

// Valid headers give a bounded delay; invalid headers and other statuses give none.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		status int
		values []string
		want   time.Duration
	}{
		{http.StatusServiceUnavailable, []string{"3"}, 3 * time.Second},
		{http.StatusServiceUnavailable, []string{" 0.25"}, 250 * time.Millisecond},
		{http.StatusTooManyRequests, []string{"1"}, time.Second},
		{http.StatusServiceUnavailable, []string{"1e9"}, MaxDelay},
		{http.StatusServiceUnavailable, []string{"Inf"}, 0},
		{http.StatusServiceUnavailable, []string{"Wed, 21 Oct 2015 07:28:00 GMT"}, 0},
		{http.StatusServiceUnavailable, []string{"0"}, 0},
		{http.StatusServiceUnavailable, []string{"-1"}, 0},
		{http.StatusServiceUnavailable, []string{"NaN"}, 0},
		{http.StatusServiceUnavailable, []string{"soon"}, 0},
		{http.StatusServiceUnavailable, []string{"3", "4"}, 0},
		{http.StatusServiceUnavailable, nil, 0},
		{http.StatusOK, []string{"3"}, 0},
		{http.StatusInternalServerError, []string{"3"}, 0},
	} {
		if got := Parse(c.status, http.Header{headerRetryAfter: c.values}); got != c.want {
			t.Errorf("%d %q: %v, want %v", c.status, c.values, got, c.want)
		}
	}
	at := time.Now().Add(time.Minute).UTC().Format(http.TimeFormat)
	got := Parse(http.StatusServiceUnavailable, http.Header{headerRetryAfter: {at}})
	if got <= 50*time.Second || got > time.Minute {
		t.Errorf("date one minute ahead: %v", got)
	}
}
