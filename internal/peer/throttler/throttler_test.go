package throttler

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"pgregory.net/rapid"
)

// call runs a handler within the throttler until end is called.
func call(t *Throttler, bytes int) (admitted bool, end func()) {
	result, finish, done := make(chan bool), make(chan struct{}), make(chan struct{})
	h := t.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		result <- t.Admit(r.Context(), bytes)
		<-finish
	}))
	go func() {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
		close(done)
	}()
	admitted = <-result
	return admitted, func() { close(finish); <-done }
}

// Sixty daemons ask for a megabyte at the same time. If all were served, none would be done
// within seconds.
func TestAdmittedAnswersFitTheLink(t *testing.T) {
	for _, c := range []struct {
		name   string
		rate   float64
		bytes  int
		expect int
	}{
		{"narrow link", 1.25e6, 50e3, 12},
		{"wide link", 25e6, 50e3, 60},
		{"narrow link, large answer", 1.25e6, 1e6, 1},
		{"unknown link", 0, 50e3, 12},
		{"small answers", 1.25e6, exemptBytes, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			throttle := New(Config{BytesPerSecond: c.rate})
			admitted := 0
			for range 60 {
				ok, end := call(throttle, c.bytes)
				defer end()
				if ok {
					admitted++
				}
			}
			if admitted != c.expect {
				t.Errorf("%d of 60 admitted, %d expected", admitted, c.expect)
			}
		})
	}
}

// The bytes being sent stay within the limit, unless it is one large answer, and all of them are
// released.
func TestNoMoreThanTheLimitIsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		throttle := New(Config{BytesPerSecond: 1e6})
		var ends []func()
		sending, most := 0, 0
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			bytes := rapid.IntRange(1, 900e3).Draw(t, "bytes")
			ok, end := call(throttle, bytes)
			ends = append(ends, end)
			if !ok || bytes <= exemptBytes {
				continue
			}
			sending += bytes
			most = max(most, bytes)
			if sending > throttle.maxSendingBytes && sending > most {
				t.Fatalf("%d bytes are sent at once, %d are allowed", sending, throttle.maxSendingBytes)
			}
		}
		for _, end := range ends {
			end()
		}
		if throttle.sendingBytes != 0 {
			t.Fatalf("%d bytes are never released", throttle.sendingBytes)
		}
	})
}

func TestAnswersOutsideACallAreNotCounted(t *testing.T) {
	throttle := New(Config{BytesPerSecond: 1})
	if !throttle.Admit(context.Background(), 1e6) || throttle.sendingBytes != 0 {
		t.Errorf("%d bytes count that are never released", throttle.sendingBytes)
	}
}
