package selector

import (
	"slices"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// VersionFilter selects the endpoint versions of a pool that a request may go to. The zero value
// allows all versions.
type VersionFilter struct {
	// Only, if not empty, is the one version allowed. MaxEndpoints, if not 0, limits how many
	// endpoints of that version are used.
	Only         identifier.Version
	MaxEndpoints int
	// Exact allows the version Only alone, even if it is empty. None allows no version.
	Exact, None bool
	// Except lists versions that are not allowed.
	Except []identifier.Version
	// AllowFallback is set if the request may go to other versions when no endpoint of Only can
	// serve.
	AllowFallback bool
	// MajorityOnly allows only the version that most endpoints of the pool run; the registry sets
	// Only accordingly.
	MajorityOnly bool
	// Vouched, if not nil, reports whether the version that an endpoint is listed with is that of the process that
	// listens there. Others are not allowed.
	Vouched func(*candidate.Candidate) bool
}

// Allow reports whether the request may go to c.
func (v *VersionFilter) Allow(c *candidate.Candidate) bool {
	switch {
	case v.None, v.Vouched != nil && !v.Vouched(c):
		return false
	case v.Exact:
		return c.Version == v.Only
	case v.Only != "":
		return c.Version == v.Only && (v.MaxEndpoints == 0 || int(c.VersionRank) < v.MaxEndpoints)
	case len(v.Except) > 0:
		return !slices.Contains(v.Except, c.Version)
	}
	return true
}
