package relayer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/engine/sender"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/estimator"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/splitter"
	"brasschute/internal/serve/placer"
	"brasschute/internal/serve/request"
)

// runRecorder records the last run that ended.
type runRecorder struct {
	Versions
	last *splitter.Run
}

// RunEnded records a run.
func (r *runRecorder) RunEnded(run *splitter.Run) { r.last = run }

// A request waits without an event until its time is up, or until its client leaves. Guards against
// waits that count against the endpoint and its version although the endpoint answered others
// meanwhile, and against waits at an endpoint that answered nobody, or of a plain service, that do
// not count.
func TestWaitAtAnAnsweringEndpointCountsForNothing(t *testing.T) {
	const wait = 5 * time.Second
	noAnswer := fmt.Errorf("%w: closed", sender.ErrNoResponse)
	for _, k := range []struct {
		left, answers, plain bool
		outcome              splitter.Outcome
		abandoned            bool
		result               registry.Result
	}{
		{left: false, answers: true, outcome: splitter.Inconclusive, result: registry.Neutral},
		{left: false, answers: false, outcome: splitter.Failed, result: registry.Failed},
		{left: false, answers: true, plain: true, outcome: splitter.Failed, result: registry.Failed},
		{left: true, answers: true, outcome: splitter.Inconclusive, result: registry.Neutral},
		{left: true, answers: false, outcome: splitter.Answered, abandoned: true, result: registry.Failed},
	} {
		synctest.Test(t, func(t *testing.T) {
			versions, r := new(runRecorder), registry.New(registry.Config{})
			j := &job{
				r:       New(Config{Registry: r, Versions: versions, Placer: placer.New(placer.Config{Registry: r, Estimator: new(estimator.Estimator)})}),
				service: &catalog.Service{Engine: new(catalog.Engine)},
				q:       &request.Request{Route: &catalog.Route{FirstEventObjective: time.Second}},
			}
			if k.plain {
				j.service = new(catalog.Service)
			}
			pick, begun := &registry.Pick{Activity: new(candidate.Activity)}, time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			time.Sleep(time.Second)
			if k.answers {
				pick.Activity.RecordEvent(time.Now())
			}
			if k.left {
				time.Sleep(wait / 2)
				cancel()
			}
			<-ctx.Done()
			j.reportRun(ctx, j.newRun(pick), pick, noAnswer, begun, 0)
			if versions.last.Outcome != k.outcome || versions.last.Abandoned != k.abandoned {
				t.Errorf("%+v: run %+v", k, versions.last)
			}
			if got := j.healthResult(ctx, ctx, noAnswer, pick, begun); got != k.result {
				t.Errorf("%+v: result %d", k, got)
			}
		})
	}
}
