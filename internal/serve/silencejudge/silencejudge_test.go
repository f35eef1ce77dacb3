package silencejudge

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// The attempts of the tests begin at this time, with an objective of 800 ms.
var begun = time.Unix(1000, 0)

// after returns a time after the beginning of the attempt.
func after(d time.Duration) time.Time { return begun.Add(d) }

// silent returns the input of an attempt that has been silent for d at an endpoint that has shown no
// sign of life, in a zone that this daemon reaches. Another endpoint would answer in 0.3 s.
func silent(d time.Duration) *Input {
	return &Input{
		Now: after(d), Begun: begun, Deadline: after(8 * time.Second), Objective: 800 * time.Millisecond,
		QueuesRequests: true, Signs: candidate.Signs{Zone: after(d - 10*time.Millisecond)}, AttemptsLeft: 1, Queue: 100 * time.Millisecond,
		Alternative: "i-2", AlternativeTime: 300 * time.Millisecond, Spend: func() bool { return true },
	}
}

// Guards against each condition of giving up being dropped, and against attempts at a dead endpoint
// that are not given up as soon as the silence timeout has passed.
func TestConditions(t *testing.T) {
	const timeout = 1600 * time.Millisecond
	for name, k := range map[string]struct {
		change func(*Input)
		want   Reason
	}{
		"dead":                         {func(*Input) {}, EndpointSilent},
		"zone not reached":             {func(in *Input) { in.Signs.Zone = after(-time.Millisecond) }, ZoneSilent},
		"never a sign":                 {func(in *Input) { in.Signs = candidate.Signs{} }, ZoneSilent},
		"signs before the attempt":     {func(in *Input) { in.Signs.Own = after(-time.Second) }, EndpointSilent},
		"own sign":                     {func(in *Input) { in.Signs.Own = after(500 * time.Millisecond) }, SignOfLife},
		"own sign, no queue":           {func(in *Input) { in.Signs.Own, in.QueuesRequests = after(500*time.Millisecond), false }, EndpointSilent},
		"peers' sign":                  {func(in *Input) { in.Signs.Peers = after(500 * time.Millisecond) }, SignOfLife},
		"peers' sign behind partition": {func(in *Input) { in.Signs.Peers, in.Signs.Zone = after(timeout), begun.Add(-time.Millisecond) }, ZoneSilent},
		"last attempt":                 {func(in *Input) { in.AttemptsLeft = 0 }, NoAttemptLeft},
		"no other endpoint":            {func(in *Input) { in.Alternative = "" }, NoEndpoint},
		"longer queue elsewhere":       {func(in *Input) { in.AlternativeTime = timeout }, NotSooner},
		"shorter queue elsewhere":      {func(in *Input) { in.AlternativeTime, in.Queue = 2*timeout, 3*timeout }, EndpointSilent},
		"too late":                     {func(in *Input) { in.Deadline = after(timeout + 300*time.Millisecond) }, NoTime},
		"no budget":                    {func(in *Input) { in.Spend = func() bool { return false } }, NoBudget},
	} {
		in := silent(timeout)
		k.change(in)
		d := Decide(in)
		if d.Reason != k.want || d.GiveUp != (k.want == EndpointSilent || k.want == ZoneSilent) {
			t.Errorf("%s: %+v, want %s", name, d, k.want)
		}
		if !d.GiveUp && d.RecheckAfter <= 0 && k.want != NoAttemptLeft {
			t.Errorf("%s: not decided again", name)
		}
	}
	if d := Decide(silent(timeout - time.Millisecond)); d.GiveUp || d.RecheckAfter != minInterval {
		t.Errorf("given up before the silence timeout: %+v", d)
	}
}

// Guards against a budget that is spent for attempts that go on, against attempts that are given up
// without it, and against an endpoint with a sign of life within the timeout that is given up.
func TestGivingUpSpendsOneRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10_000).Draw(t, name)) * time.Millisecond
		}
		in := silent(duration("silent"))
		in.Signs = candidate.Signs{Own: after(duration("own")), Peers: after(duration("peers")), Zone: after(duration("zone"))}
		in.Deadline, in.Objective = after(duration("deadline")), duration("objective")
		in.AttemptsLeft, in.Queue, in.AlternativeTime = rapid.IntRange(-1, 2).Draw(t, "attempts"), duration("queue"), duration("alternative")
		in.Alternative = identifier.Endpoint(rapid.SampledFrom([]string{"", "i-2"}).Draw(t, "endpoint"))
		left, spent := rapid.Bool().Draw(t, "budget"), 0
		in.Spend = func() bool { spent++; return left }
		d := Decide(in)
		switch {
		case d.GiveUp && (spent != 1 || !left):
			t.Fatalf("given up, retries spent %d, left %v", spent, left)
		case !d.GiveUp && spent > 0 && left:
			t.Fatalf("goes on (%s), but a retry was spent", d.Reason)
		case d.GiveUp && in.Now.Sub(in.Signs.Own) < Timeout(in.Objective):
			t.Fatalf("given up %v after a sign of life", in.Now.Sub(in.Signs.Own))
		case d.GiveUp && d.RecheckAfter != 0, d.RecheckAfter < 0:
			t.Fatalf("decided again: %+v", d)
		}
	})
}
