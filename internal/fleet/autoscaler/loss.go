package autoscaler

import (
	"math"
	"time"

	"brasschute/internal/core/identifier"
)

// loss is the last loss of a service's endpoints, and what a request needed before it.
type loss struct {
	at time.Time
	// replaced is set once as many endpoints serve after the loss as are needed.
	replaced bool
	// perRequest is the number of endpoints that one request per second needs, as averaged until
	// averagedAt while no loss was recent.
	perRequest float64
	averagedAt time.Time
}

func (a *Autoscaler) loss(s identifier.Service) *loss {
	l := a.losses[s]
	if l == nil {
		l = new(loss)
		a.losses[s] = l
	}
	return l
}

// recent reports whether the loss still raises the load on the endpoints that are left. It does
// so until replacements have started and the prompts have been prefilled again.
func (l *loss) recent(now time.Time) bool { return !l.at.IsZero() && now.Sub(l.at) < peakWindow }

// average adds a need, for the given rate of requests.
func (l *loss) average(needed, requests float64, now time.Time) {
	factor := math.Exp(-now.Sub(l.averagedAt).Seconds() / perRequestTime.Seconds())
	if l.perRequest == 0 {
		factor = 0
	}
	l.perRequest = factor*l.perRequest + (1-factor)*needed/requests
	l.averagedAt = now
}

// needed returns the number of endpoints that the demand needs now. While a loss is recent, a
// request counts as it did before.
func (a *Autoscaler) needed(s *Service, now time.Time) float64 {
	needed, l := s.Capacity.EndpointsFor(s.Demand), a.loss(s.Service)
	requests := s.Demand.Requests + s.Demand.Refused
	switch {
	case requests <= 0:
	case !l.recent(now):
		l.average(needed, requests, now)
	case l.perRequest > 0:
		return min(needed, l.perRequest*requests)
	}
	return needed
}

// lossUnreplaced reports whether endpoints were lost and fewer serve than the need from before,
// which still holds. Until then the bound of growth follows what served before the loss. A need
// that exceeds what serves later has other reasons than the loss.
func (a *Autoscaler) lossUnreplaced(s identifier.Service, serving float64, now time.Time) bool {
	n, l := a.demands[s], a.loss(s)
	if n == nil || l.at.IsZero() || l.replaced {
		return false
	}
	l.replaced = n.current(now, demandDecay) <= serving
	return !l.replaced
}
