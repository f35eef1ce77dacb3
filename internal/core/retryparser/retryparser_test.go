package retryparser

import (
	"net/http"
	"testing"
	"time"
)

// What an endpoint says of its rest, and what says nothing.
func TestDecode(t *testing.T) {
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
		if got := Parse(c.status, http.Header{header: c.values}); got != c.want {
			t.Errorf("%d %q: %v, want %v", c.status, c.values, got, c.want)
		}
	}
	at := time.Now().Add(time.Minute).UTC().Format(http.TimeFormat)
	got := Parse(http.StatusServiceUnavailable, http.Header{header: {at}})
	if got <= 50*time.Second || got > time.Minute {
		t.Errorf("a date in a minute: %v", got)
	}
}
