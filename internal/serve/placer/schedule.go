package placer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"brasschute/internal/config/catalog"
	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/reserver"
	"brasschute/internal/route/candidate"
	"brasschute/internal/route/registry"
	"brasschute/internal/route/scheduler"
	"brasschute/internal/route/selector"
	"brasschute/internal/route/shedder"
	"brasschute/internal/serve/drainer"
	"brasschute/internal/serve/request"
)

const (
	// maxPlacings bounds how often a waiting request is placed anew, as its endpoint left, refused it
	// late or is slower than another one. After that it is placed by this daemon's own prediction.
	maxPlacings = 8
	// minPause and maxPause bound the pause before a coordinator is asked again: a call takes a few
	// milliseconds, and with a call's time-out no request waits longer for a silent coordinator than
	// a quarter of a second.
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
	// compareInterval is how often other endpoints are asked for a waiting request that has become
	// late: each time costs a few calls.
	compareInterval = 100 * time.Millisecond
	// refusalDivisor bounds how long a request may have waited when it is refused, as a part of its
	// objective.
	refusalDivisor = 10
	// maxRounds bounds how often endpoints are asked before a request is refused: a round takes a few
	// milliseconds, and a refusal must not be held back.
	maxRounds = 3
	// assumedTokens is the size that a request of a quota in requests is assumed to have.
	// minWeight and maxWeight bound the weights of organisations.
	assumedTokens = 8000
	minWeight     = 0.01
	maxWeight     = 100
)

// Reserver asks the coordinators of endpoints and tells them what was started; see
// [reserver.Reserver].
type Reserver interface {
	Coordinator(e identifier.Endpoint, z identifier.AvailabilityZone) identifier.Host
	Quote(ctx context.Context, r *scheduler.Request, targets []reserver.Target) []reserver.Quote
	Reserve(ctx context.Context, r *scheduler.Request, t reserver.Target) reserver.Quote
	Start(r *scheduler.Request, t reserver.Target, reserved bool)
	FirstEvent(e identifier.Endpoint, id identifier.Request)
	End(e identifier.Endpoint, id identifier.Request)
	Withdraw(t reserver.Target, id identifier.Request)
}

// Placement is the outcome of placing a request.
type Placement struct {
	// Pick is nil if the request was not placed: it was refused, no endpoint can serve it, or its
	// context has ended.
	Pick     *registry.Pick
	Decision selector.Decision
	// Refusal is set if the request is refused although endpoints could serve it.
	Refusal *Refusal
	// Schedule is set if coordinators were to be asked.
	Schedule *Schedule
}

// Refusal says why a request is not served now, and when its client may return.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Schedule says how coordinators decided.
type Schedule struct {
	// Coordinator is the daemon that coordinates the chosen endpoint, empty if none does.
	Coordinator identifier.Host
	// Decision is the coordinator's last decision, "fallback" if none answered.
	Decision string
	// Waited is how long the request waited, Predicted the predicted time to its first event from
	// then on.
	Waited    time.Duration
	Predicted time.Duration
	// Moved counts how often the request was placed anew while it waited.
	Moved int
}

// scheduledQuery is the registry's query for a request that coordinators are asked about.
type scheduledQuery struct {
	registry.Query
	// unsized: the tokens of the request or the capacity of its engines are not known, or its answer comes
	// at once. Coordinators then only bound what its endpoint may have to reject.
	unsized bool
}

// fallbackDecision is the decision in a Schedule if no coordinator answered.
const fallbackDecision = "fallback"

// isScheduled reports whether a request is scheduled by coordinators: the capacity of its engines,
// its tokens and its objective must be known. The answer of a route of another kind than streaming is
// reported at its end, which would look like a very late first event to the model of the engine.
func (p *Placer) isScheduled(q *request.Request, s *catalog.Service) bool {
	return p.c.Reserver != nil && s.HasCapacity() &&
		q.HasTokenCounts && q.Route.Kind == catalog.Streaming && q.Route.FirstEventObjective > 0
}

// schedule places a request with the figures of coordinators.
func (p *Placer) schedule(ctx context.Context, q *request.Request, query *scheduledQuery) Placement {
	began, schedule := time.Now(), &Schedule{}
	_, brittle := p.survivedRejections(q)
	for ; schedule.Moved < maxPlacings; schedule.Moved++ {
		query.Select.Now = time.Now()
		query.Select.Target = max(q.Route.FirstEventObjective-query.Select.Now.Sub(q.Received), time.Millisecond)
		proposals, quotes, d := p.quoteProposals(ctx, q, query)
		if len(proposals) == 0 {
			return Placement{Decision: d, Schedule: schedule}
		}
		brittle = brittle || anyBrittle(quotes)
		i, chosen := compare(&query.Select, proposals, quotes, d.Chosen)
		d.Chosen = chosen
		a := &placing{p: p, q: q, query: query, proposal: &proposals[i], quote: quotes[i], predicted: chosen.FirstToken, decision: d, schedule: schedule, brittle: brittle}
		schedule.Coordinator = quotes[i].Coordinator
		out, done := a.run(ctx)
		schedule.Waited = time.Since(began)
		if done {
			return out
		}
	}
	if brittle {
		schedule.Decision = scheduler.Refuse.String()
		return Placement{Schedule: schedule, Refusal: &Refusal{
			Reason: "refused: endpoints that crash under rejections have no room", RetryAfter: shedder.MaxRetryAfter(time.Until(q.Deadline())),
		}}
	}
	return p.fallBack(q, query, schedule)
}

// survivedRejections returns the number of rejections a second that the endpoints of a request's service
// survive, 0 if it is not known. brittle reports whether there is such a bound.
func (p *Placer) survivedRejections(q *request.Request) (perSecond float64, brittle bool) {
	if p.c.SurvivedRejections == nil {
		return 0, false
	}
	return p.c.SurvivedRejections(q.Service)
}

// anyBrittle reports whether a coordinator knows of a bound on the rejections that its endpoint survives.
func anyBrittle(quotes []reserver.Quote) bool {
	return slices.ContainsFunc(quotes, func(q reserver.Quote) bool { return q.SurvivedRejections > 0 })
}

// quoteProposals returns the endpoints to consider for a request, with what their coordinators
// answered. While all that were asked refuse it, the next best ones are asked, up to maxRounds times:
// a few endpoints may be busy while others are not, as this daemon's own predictions don't see
// their queues. If all refuse, those of the first round are returned: there the client's return meets
// its booking.
func (p *Placer) quoteProposals(ctx context.Context, q *request.Request, query *scheduledQuery) ([]registry.Proposal, []reserver.Quote, selector.Decision) {
	first, decision := p.c.Registry.Propose(&query.Query, p.coordinator)
	if len(first) == 0 {
		return nil, nil, decision
	}
	firstQuotes := p.quote(ctx, q, query, first)
	others := *query
	others.Select.Tried = slices.Clone(query.Select.Tried)
	proposals, quotes, d := first, firstQuotes, decision
	for round := 1; allRefuse(quotes); round++ {
		for i := range proposals {
			others.Select.Tried = append(others.Select.Tried, proposals[i].Candidate.Endpoint)
		}
		if round == maxRounds {
			return first, firstQuotes, decision
		}
		proposals, d = p.c.Registry.Propose(&others.Query, p.coordinator)
		if len(proposals) == 0 {
			return first, firstQuotes, decision
		}
		quotes = p.quote(ctx, q, query, proposals)
	}
	return proposals, quotes, d
}

// quote asks the coordinators of some endpoints. If these crash under rejections, one whose coordinator
// does not answer counts as refused, unless none answers: other daemons may be sending there.
func (p *Placer) quote(ctx context.Context, q *request.Request, query *scheduledQuery, proposals []registry.Proposal) []reserver.Quote {
	quotes := p.c.Reserver.Quote(ctx, p.newRequest(q, query), targetsOf(proposals))
	_, brittle := p.survivedRejections(q)
	if !brittle && !anyBrittle(quotes) || !slices.ContainsFunc(quotes, func(q reserver.Quote) bool { return q.Known }) {
		return quotes
	}
	for i := range quotes {
		if !quotes[i].Known {
			quotes[i].Decision = scheduler.Refuse
		}
	}
	return quotes
}

// allRefuse reports whether all quotes are refusals.
func allRefuse(quotes []reserver.Quote) bool {
	return !slices.ContainsFunc(quotes, func(q reserver.Quote) bool { return q.Decision != scheduler.Refuse })
}

// coordinator returns the coordinator of a candidate.
func (p *Placer) coordinator(c *candidate.Candidate) identifier.Host {
	return p.c.Reserver.Coordinator(c.Endpoint, c.AvailabilityZone)
}

// fallBack places a request by this daemon's own prediction.
func (p *Placer) fallBack(q *request.Request, query *scheduledQuery, schedule *Schedule) Placement {
	schedule.Decision = fallbackDecision
	query.Select.Now = time.Now()
	pick, d := p.c.Registry.Choose(&query.Query)
	schedule.Predicted = d.Chosen.FirstToken
	if pick != nil {
		p.report(q, query, pick)
	}
	return Placement{Pick: pick, Decision: d, Schedule: schedule}
}

// report tells the coordinator of a pick's endpoint about a request that was not reserved there, so
// that the coordinator counts it as soon as it answers.
func (p *Placer) report(q *request.Request, query *scheduledQuery, k *registry.Pick) {
	p.c.Reserver.Start(p.newRequest(q, query), reserver.Target{Endpoint: k.Endpoint, Born: k.StartTime, Zone: k.AvailabilityZone}, false)
}

// newRequest describes a request for coordinators.
func (p *Placer) newRequest(q *request.Request, query *scheduledQuery) *scheduler.Request {
	now := time.Now()
	waited := now.Sub(q.Received)
	r := &scheduler.Request{
		ID: q.ID, Daemon: p.c.Host, Rank: q.Rank(), Weight: 1, Fingerprint: q.Fingerprint(), PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens,
		Blocks: query.Blocks, Sizes: query.Sizes, ObjectiveLeft: q.Route.FirstEventObjective - waited, TimeLeft: q.Deadline().Sub(now),
	}
	r.SurvivedRejections, _ = p.survivedRejections(q)
	if r.Unsized = query.unsized; r.Unsized && q.Route.FirstEventObjective <= 0 {
		r.ObjectiveLeft = r.TimeLeft
	}
	r.SilenceLeft = r.TimeLeft
	if q.Route.Kind == catalog.Streaming {
		r.SilenceLeft = min(r.SilenceLeft, shedder.ClientTimeout(q.Route)-waited)
	}
	if left, stopping := p.timeToFirstEvent(q); stopping {
		r.SilenceLeft = min(r.SilenceLeft, left)
	}
	if q.Organisation != nil {
		r.Organisation, r.Weight = q.Organisation.Name, weight(q.Organisation, float64(query.Select.PrefillRate))
	}
	return r
}

// timeToFirstEvent returns the time until the first event of a stream must come to end before the process of a
// stopping daemon does.
func (p *Placer) timeToFirstEvent(q *request.Request) (left time.Duration, stopping bool) {
	left, stopping = p.c.Drainer.TimeLeft()
	return left - p.maxUsualGeneration(q), stopping
}

// weight returns the weight of an organisation: its quota relative to what one engine prefills, so
// that quotas in tokens, quotas in requests and organisations without a quota compare.
func weight(o *catalog.Organisation, tokensPerSecond float64) float64 {
	if o.RatePerSecond <= 0 || tokensPerSecond <= 0 {
		return 1
	}
	rate := o.RatePerSecond
	if !o.ByTokens {
		rate *= assumedTokens
	}
	return min(max(rate/tokensPerSecond, minWeight), maxWeight)
}

func targetsOf(proposals []registry.Proposal) []reserver.Target {
	out := make([]reserver.Target, len(proposals))
	for i := range proposals {
		out[i] = targetOf(&proposals[i])
	}
	return out
}

func targetOf(p *registry.Proposal) reserver.Target {
	c := &p.Candidate
	return reserver.Target{Endpoint: c.Endpoint, Born: c.StartTime, Zone: c.AvailabilityZone}
}

// compare sets the proposals to the figures of their quotes and returns the position of the cheapest,
// with its predictions. One that is refused is chosen only if all are. Without any figures this
// daemon's own choice, the first proposal, stays.
func compare(q *selector.Query, proposals []registry.Proposal, quotes []reserver.Quote, own selector.Alternative) (int, selector.Alternative) {
	options, positions := make([]selector.Option, 0, len(proposals)), make([]int, 0, len(proposals))
	refused, none := allRefuse(quotes), true
	for i := range proposals {
		apply(&proposals[i], &quotes[i])
		none = none && proposals[i].FirstToken == 0 && quotes[i].Decision == scheduler.Start
	}
	if none {
		return 0, own
	}
	for i := range proposals {
		if refused && quotes[i].Known || quotes[i].Decision != scheduler.Refuse {
			options, positions = append(options, proposals[i].Option), append(positions, i)
		}
	}
	best, chosen := selector.Compare(q, options)
	return positions[best], chosen
}

// apply sets a proposal to the figures of a quote. An offer without a predicted first event has no
// figures, but may say that the request waits. Until a coordinator has heard of what all daemons have started, the longer of its
// prediction and this daemon's own counts.
func apply(p *registry.Proposal, q *reserver.Quote) {
	if q.Known && q.FirstEventIn <= 0 {
		p.FirstToken = 0
		if q.StartIn > 0 {
			p.FirstToken = p.Presumed + q.StartIn
		}
		return
	}
	if !q.Known || !q.Complete && p.Presumed > q.FirstEventIn {
		return
	}
	p.FirstToken = q.FirstEventIn
	p.Cached, p.Candidate.TokensAhead, p.Candidate.Streams = q.Cached, q.TokensAhead, float64(q.Streams)
}

// placing is the attempt to place a request at one endpoint.
type placing struct {
	p         *Placer
	q         *request.Request
	query     *scheduledQuery
	proposal  *registry.Proposal
	quote     reserver.Quote
	predicted time.Duration
	decision  selector.Decision
	schedule  *Schedule
	// brittle: the endpoints crash when they have to reject too many requests.
	brittle bool
	// comparedAt is when other endpoints were last asked while the request waited.
	comparedAt time.Time
}

// run places the request, waits or refuses it as its quote says. done is false if the request must be
// placed anew.
func (a *placing) run(ctx context.Context) (out Placement, done bool) {
	if !a.quote.Known {
		a.schedule.Decision = fallbackDecision
		return a.take(false)
	}
	a.schedule.Decision = a.quote.Decision.String()
	// A coordinator that has not heard of what all daemons have started refuses nothing.
	if !a.quote.Complete && a.quote.Decision == scheduler.Start && a.outlastsDaemon() && len(a.query.Select.Tried) == 0 {
		return a.refuse(fmt.Sprintf("its first event is predicted in %d ms", a.quote.FirstEventIn.Milliseconds())), true
	}
	// A quote holds no place. Several daemons may have one for the same place, and endpoints that crash under
	// rejections would reject all requests but one.
	if a.quote.Decision == scheduler.Start && !a.brittle || a.quote.Decision == scheduler.Refuse && a.mustStart() {
		return a.take(false)
	}
	if reason, ok := a.p.waiting.acquire(len(a.q.Body)); !ok {
		return a.refuse(reason), true
	}
	defer a.p.waiting.release(len(a.q.Body))
	a.comparedAt = time.Now()
	return a.wait(ctx)
}

// mustStart reports whether the request can no longer be refused. A retry can't, as its client could
// not be told that it has not run. Nor can a request that has waited for long: a refusal must come
// while the client can still make use of it. Endpoints that crash under rejections are sent nothing
// that they have no room for.
func (a *placing) mustStart() bool {
	if a.brittle {
		return false
	}
	return len(a.query.Select.Tried) > 0 || time.Since(a.q.Received) > a.q.Route.FirstEventObjective/refusalDivisor
}

// sooner reports whether another endpoint would serve a waiting request that has become late much
// sooner. The queue that it waits in has grown by more urgent requests, while others may be idle.
func (a *placing) sooner(ctx context.Context) bool {
	now := time.Now()
	if a.quote.FirstEventIn <= a.q.Route.FirstEventObjective-now.Sub(a.q.Received) || now.Sub(a.comparedAt) < compareInterval {
		return false
	}
	a.comparedAt = now
	a.query.Select.Now = now
	proposals, quotes, _ := a.p.quoteProposals(ctx, a.q, a.query)
	for i := range proposals {
		other := proposals[i].Candidate.Endpoint != a.proposal.Candidate.Endpoint
		if other && quotes[i].Known && quotes[i].Decision == scheduler.Start && quotes[i].FirstEventIn < a.quote.FirstEventIn/2 {
			return true
		}
	}
	return false
}

// take counts the request at its endpoint and tells the coordinator, unless it has reserved the
// place.
func (a *placing) take(reserved bool) (out Placement, done bool) {
	target := targetOf(a.proposal)
	pick := a.p.c.Registry.Take(&a.query.Query, a.proposal, a.predicted, time.Now())
	if pick == nil {
		if reserved {
			a.p.c.Reserver.Withdraw(target, a.q.ID)
		}
		return Placement{}, false
	}
	a.p.c.Reserver.Start(a.p.newRequest(a.q, a.query), target, reserved)
	a.schedule.Predicted = a.predicted
	return Placement{Pick: pick, Decision: a.decision, Schedule: a.schedule}, true
}

// refuse returns the placement of a request that is refused.
func (a *placing) refuse(reason string) Placement {
	after := a.quote.RetryAfter
	if longest := shedder.MaxRetryAfter(time.Until(a.q.Deadline())); after <= 0 || after > longest {
		after = longest
	}
	if a.outlastsDaemon() {
		left, _ := a.p.timeToFirstEvent(a.q)
		reason = fmt.Sprintf("%s, a first event must come within %d ms: %s", drainer.ErrStopping, max(left, 0).Milliseconds(), reason)
		after = min(after, drainer.RetryAfter)
	}
	a.schedule.Decision = scheduler.Refuse.String()
	return Placement{Decision: a.decision, Schedule: a.schedule, Refusal: &Refusal{Reason: reason, RetryAfter: after}}
}

// outlastsDaemon reports whether the daemon stops and the request is predicted not to end before its process does. At
// another daemon it may be served.
func (a *placing) outlastsDaemon() bool {
	left, stopping := a.p.timeToFirstEvent(a.q)
	return stopping && left < a.quote.FirstEventIn
}

// wait asks the coordinator until the request starts, is refused or ends.
func (a *placing) wait(ctx context.Context) (out Placement, done bool) {
	target := targetOf(a.proposal)
	for {
		if a.quote = a.p.c.Reserver.Reserve(ctx, a.p.newRequest(a.q, a.query), target); !a.quote.Known {
			if ctx.Err() != nil {
				a.p.c.Reserver.Withdraw(target, a.q.ID)
				return Placement{Schedule: a.schedule}, true
			}
			if a.brittle {
				return Placement{}, false
			}
			return a.p.fallBack(a.q, a.query, a.schedule), true
		}
		a.schedule.Decision = a.quote.Decision.String()
		switch {
		case a.quote.Decision == scheduler.Refuse && a.mustStart():
			return Placement{}, false
		case a.quote.Decision == scheduler.Refuse:
			return a.refuse(fmt.Sprintf("%s by %s: %s", reasonScheduled, a.quote.Coordinator, a.quote.Reason)), true
		case a.quote.Decision == scheduler.Start:
			a.update()
			return a.take(true)
		case a.outlastsDaemon():
			a.p.c.Reserver.Withdraw(target, a.q.ID)
			return a.refuse(fmt.Sprintf("its first event is predicted in %d ms", a.quote.FirstEventIn.Milliseconds())), true
		}
		pause := time.NewTimer(min(max(a.quote.AskAgain, minPause), maxPause))
		select {
		case <-ctx.Done():
			pause.Stop()
			a.p.c.Reserver.Withdraw(target, a.q.ID)
			return Placement{Schedule: a.schedule}, true
		case <-pause.C:
		}
		if !a.p.c.Registry.Available(&a.query.Query, a.proposal, time.Now()) || a.sooner(ctx) {
			a.p.c.Reserver.Withdraw(target, a.q.ID)
			return Placement{}, false
		}
	}
}

// reasonScheduled is the start of the reason when a coordinator refuses a request.
const reasonScheduled = "refused"

// update sets the predictions to those of the coordinator's last answer.
func (a *placing) update() {
	apply(a.proposal, &a.quote)
	_, a.decision.Chosen = selector.Compare(&a.query.Select, []selector.Option{a.proposal.Option})
	a.predicted = a.decision.Chosen.FirstToken
}
