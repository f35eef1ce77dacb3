package gateway

import (
	"sync/atomic"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/quotalimiter"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/serve/request"
)

// Admit admits a request within its organisation's quota.
func (g *Gateway) Admit(q *request.Request) quotalimiter.Decision {
	g.budget(q.Service).Earn()
	v := g.allotter.Admit(q.Organisation, q.Charge())
	if q.Organisation != nil && v.Level < -deepTime.Seconds()*q.Organisation.RatePerSecond {
		g.deep(q, v)
	}
	if v.IsolatedFor > 0 {
		g.alone(q, v)
	}
	return v
}

const (
	// deepTime's worth of a rate below zero is further than news that is seconds old
	// explains: an estimate has gone astray, or a daemon gives out what it should not.
	deepTime = 3 * time.Second
	// linePause bounds the lines about quotas, of each kind.
	linePause = 5 * time.Second
)

// deep counts a request that found its organisation's level far below zero, and writes
// a line now and then.
func (g *Gateway) deep(q *request.Request, v quotalimiter.Decision) {
	g.scope.Tagged(map[string]string{"organisation": string(q.Organisation.Name)}).Counter("quota_levels_deep").Inc(1)
	if !due(&g.deepTold) {
		return
	}
	g.c.Logger.Warn("level of a quota far below zero", "request", q.ID, "organisation", q.Organisation.Name, "left", int(v.Level),
		"rate", int(v.Rate), "set_aside", v.Reserved, "news_age_ms", g.swapper.MaxDigestAge().Milliseconds())
}

// alone counts a request that found this daemon cut off from all others, which holds it to
// its equal part of each quota, and writes a line now and then.
func (g *Gateway) alone(q *request.Request, v quotalimiter.Decision) {
	g.scope.Tagged(map[string]string{"organisation": string(q.Organisation.Name)}).Counter("quota_requests_cut_off").Inc(1)
	if !due(&g.aloneTold) {
		return
	}
	g.c.Logger.Warn("no other daemon is heard, quotas held to the equal part", "request", q.ID, "organisation", q.Organisation.Name,
		"quiet_ms", v.IsolatedFor.Milliseconds(), "part", int(v.ShareLevel), "rate", int(v.Rate), "admitted", v.RetryAfter == 0)
}

// due tells whether the last line was written linePause ago; if so, it is written now.
func due(told *atomic.Int64) bool {
	last, now := told.Load(), time.Now().UnixNano()
	return now-last >= int64(linePause) && told.CompareAndSwap(last, now)
}

// Spend grants a repeated send to a service.
func (g *Gateway) Spend(s identifier.Service) bool { return g.budget(s).Spend() }

// budget returns a service's retry budget: of the constant part each daemon has
// an equal share, so that all together stay within it.
func (g *Gateway) budget(s identifier.Service) *budgeter.Budgeter {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[s]
	if b == nil {
		bounds := g.c.Deployment.Bounds
		daemons := max(g.daemons(), g.fleetSize())
		b = budgeter.New(budgeter.Config{
			Ratio:   bounds.RetryShare * budgetMargin,
			Reserve: max(bounds.RetryReserve*budgetMargin/float64(daemons), 1),
		})
		g.budgets[s] = b
	}
	return b
}

// budgetMargin leaves room for daemons that start anew with a full reserve.
const budgetMargin = 0.7

// began counts a request that began to run.
func (g *Gateway) began(q *request.Request) {
	if q.Organisation != nil {
		g.tallier.RequestStarted(q.Organisation.Name)
	}
}

// daemons counts those that send to the same endpoints.
func (g *Gateway) daemons() int {
	return g.roster.Count(time.Now())
}

// fleetSize estimates the number of daemons, heard or not. A process that starts
// together with many others has heard nobody, and would take all quotas for its
// own.
func (g *Gateway) fleetSize() int {
	d := g.c.Deployment
	return max(len(d.Zones), len(d.Seeds)+1, int(g.toldSize.Load()))
}
