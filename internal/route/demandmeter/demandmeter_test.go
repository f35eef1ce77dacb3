package demandmeter

import (
	"testing"
	"testing/synctest"
	"time"
)

const (
	timeout    = 8 * time.Second
	retryAfter = 600 * time.Millisecond
	tokens     = 4000
)

// run calls send for each of ten requests a second, for long enough that the rates settle, and
// returns the demand.
func run(m *Meter, send func(i int)) Demand {
	for i := range 200 {
		send(i)
		time.Sleep(100 * time.Millisecond)
	}
	return m.Demands()["lm"]
}

func near(got, want float64) bool { return got > 0.9*want && got < 1.1*want }

// Guards against a need that grows because requests are sent again: under scarcity 126 engines
// were needed by the figures, and 60 by what clients asked.
func TestFurtherAttemptsAreNoDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := new(Meter)
		d := run(m, func(int) {
			counted := m.ReturnDelay("lm", "r", timeout) > 0
			m.CountPlaced("lm", tokens, counted)
			m.CountEnded("lm")
			m.CountPlaced("lm", tokens, true)
			m.CountEnded("lm")
		})
		if !near(d.Requests, 10) || !near(d.Tokens, 10*tokens) || d.Running != 0 {
			t.Errorf("demand %+v for 10 requests a second", d)
		}
	})
}

// A refused request counts once, with the tokens of an average one, whether it returns or not.
func TestRefusedRequestsCountOnce(t *testing.T) {
	for name, returns := range map[string]bool{"returning": true, "not returning": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := new(Meter)
				place := func(timeout time.Duration) {
					m.CountPlaced("lm", tokens, m.ReturnDelay("lm", "r", timeout) > 0)
					m.CountEnded("lm")
				}
				d := run(m, func(i int) {
					if i%2 == 0 {
						place(timeout)
						return
					}
					m.CountRefused("lm", m.ReturnDelay("lm", "r", timeout) > 0)
					if returns && i > 10 {
						place(timeout - retryAfter)
					}
				})
				if !near(d.Requests+d.Refused, 10) || !near(d.Tokens, 10*tokens) {
					t.Errorf("demand %+v for 10 requests a second", d)
				}
			})
		})
	}
}

// Guards against a demand that is too low because clients of one route state various timeouts: no
// more requests are returns than have been refused.
func TestVariousTimeoutsCountInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := new(Meter)
		d := run(m, func(i int) {
			m.CountPlaced("lm", tokens, m.ReturnDelay("lm", "r", timeout-time.Duration(i%20)*100*time.Millisecond) > 0)
			m.CountEnded("lm")
		})
		if !near(d.Requests, 10) {
			t.Errorf("demand %+v for 10 requests a second", d)
		}
		m.CountRefused("lm", false)
		returns := 0
		for range 20 {
			if m.ReturnDelay("lm", "r", timeout/2+time.Second) > 0 {
				returns++
			}
		}
		if returns != 1 {
			t.Errorf("%d returns of one refused request", returns)
		}
	})
}

// What is a return depends on what is usual on the route lately.
func TestReturnDelay(t *testing.T) {
	for name, c := range map[string]struct {
		first, second time.Duration
		after         time.Duration
		want          bool
	}{
		"shorter":             {timeout, timeout - retryAfter, time.Second, true},
		"same":                {timeout, timeout, time.Second, false},
		"rounded":             {timeout, timeout - 50*time.Millisecond, time.Second, false},
		"longer":              {timeout, timeout + time.Second, time.Second, false},
		"another client":      {timeout, timeout / 4, time.Second, false},
		"not stated":          {timeout, 0, time.Second, false},
		"usual was long ago":  {timeout, timeout - retryAfter, usualTime + time.Second, false},
		"refused long before": {timeout, timeout - retryAfter, usualTime / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := new(Meter)
				if m.ReturnDelay("lm", "r", c.first) > 0 {
					t.Fatal("the first request is a return")
				}
				m.CountRefused("lm", false)
				m.CountRefused("lm", false)
				time.Sleep(c.after)
				if got := m.ReturnDelay("lm", "r", c.second) > 0; got != c.want {
					t.Errorf("return: %v", got)
				}
			})
		})
	}
}

// A daemon of many routes keeps a bounded number of usual timeouts.
func TestRoutesAreBounded(t *testing.T) {
	m := new(Meter)
	for i := range 2*maxRoutes + 2 {
		m.ReturnDelay("lm", string(rune(i)), timeout)
	}
	if len(m.byRoute) > maxRoutes {
		t.Errorf("%d routes", len(m.byRoute))
	}
}
