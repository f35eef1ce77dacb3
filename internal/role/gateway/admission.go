package gateway

import (
	"sync/atomic"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/budgeter"
	"brasschute/internal/route/quotalimiter"
	"brasschute/internal/serve/request"
)

// Admit charges a request to its organisation's quota and returns the decision. It also credits
// the retry budget of the request's service.
func (g *Gateway) Admit(q *request.Request) quotalimiter.Decision {
	g.retryBudget(q.Service).Earn()
	d := g.quotaLimiter.Admit(q.Organisation, q.Charge())
	if q.Organisation != nil && d.Level < -overdraftThreshold.Seconds()*q.Organisation.RatePerSecond {
		g.reportOverdraft(q, d)
	}
	if d.IsolatedFor > 0 {
		g.reportIsolated(q, d)
	}
	return d
}

const (
	// overdraftThreshold is a quota's overdraft, in seconds of its rate, that updates a few
	// seconds old cannot explain: beyond it an estimate is wrong, or a daemon admits too much.
	overdraftThreshold = 3 * time.Second
	// quotaLogInterval is the least time between log lines about quotas, for each kind of line.
	quotaLogInterval = 5 * time.Second
)

// reportOverdraft counts a request whose quota is overdrawn by more than overdraftThreshold,
// and logs it at most once in quotaLogInterval.
func (g *Gateway) reportOverdraft(q *request.Request, d quotalimiter.Decision) {
	g.scope.Tagged(map[string]string{"organisation": string(q.Organisation.Name)}).Counter("quota_levels_deep").Inc(1)
	if !logDue(&g.overdraftLoggedAt) {
		return
	}
	g.c.Logger.Warn("quota overdrawn", "request", q.ID, "organisation", q.Organisation.Name, "left", int(d.Level),
		"rate", int(d.Rate), "set_aside", d.Reserved, "news_age_ms", g.syncer.MaxDigestAge().Milliseconds())
}

// reportIsolated counts a request that arrived while this daemon was isolated from all peers,
// which limits it to an equal share of each quota. It logs at most once in quotaLogInterval.
func (g *Gateway) reportIsolated(q *request.Request, d quotalimiter.Decision) {
	g.scope.Tagged(map[string]string{"organisation": string(q.Organisation.Name)}).Counter("quota_requests_cut_off").Inc(1)
	if !logDue(&g.isolatedLoggedAt) {
		return
	}
	g.c.Logger.Warn("isolated from all peers, quotas limited to an equal share", "request", q.ID, "organisation", q.Organisation.Name,
		"quiet_ms", d.IsolatedFor.Milliseconds(), "part", int(d.ShareLevel), "rate", int(d.Rate), "admitted", d.RetryAfter == 0)
}

// logDue reports whether quotaLogInterval has passed since loggedAt (Unix nanoseconds), and if
// so sets loggedAt to now.
func logDue(loggedAt *atomic.Int64) bool {
	last, now := loggedAt.Load(), time.Now().UnixNano()
	return now-last >= int64(quotaLogInterval) && loggedAt.CompareAndSwap(last, now)
}

// Spend takes one retry from a service's budget and reports whether it was available.
func (g *Gateway) Spend(s identifier.Service) bool { return g.retryBudget(s).Spend() }

// retryBudget returns a service's retry budget. Each daemon gets an equal share of the constant
// reserve, so that all daemons together stay within it.
func (g *Gateway) retryBudget(s identifier.Service) *budgeter.Budgeter {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retryBudgets[s]
	if b == nil {
		bounds := g.c.Deployment.Bounds
		daemons := max(g.knownDaemons(), g.fleetSize())
		b = budgeter.New(budgeter.Config{
			Ratio:   bounds.RetryShare * retryBudgetFraction,
			Reserve: max(bounds.RetryReserve*retryBudgetFraction/float64(daemons), 1),
		})
		g.retryBudgets[s] = b
	}
	return b
}

// retryBudgetFraction leaves room for daemons that restart with a full reserve.
const retryBudgetFraction = 0.7

// countRequest counts a request that began to run, for its organisation's usage report.
func (g *Gateway) countRequest(q *request.Request) {
	if q.Organisation != nil {
		g.usageCounter.RequestStarted(q.Organisation.Name)
	}
}

// knownDaemons returns the number of known daemons that send to the same endpoints.
func (g *Gateway) knownDaemons() int {
	return g.roster.Count(time.Now())
}

// fleetSize estimates the number of daemons, including those not heard from. A process that starts
// together with many others knows no peer yet, and would otherwise claim all quotas for itself.
func (g *Gateway) fleetSize() int {
	d := g.c.Deployment
	return max(len(d.Zones), len(d.Seeds)+1, int(g.reportedFleetSize.Load()))
}
