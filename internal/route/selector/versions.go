package selector

import (
	"slices"

	"brasschute/internal/core/identifier"
	"brasschute/internal/route/candidate"
)

// VersionFilter are those of a pool's endpoints that a request may go to; the zero value allows
// all.
type VersionFilter struct {
	// Only, if not empty, is the one version allowed; Few, if not 0, is the number of its
	// endpoints that are used.
	Only identifier.Version
	MaxEndpoints  int
	// Except lists versions that are not allowed.
	Except []identifier.Version
	// AllowFallback: the request tries a version, and may go to the others if it can't.
	AllowFallback bool
	// MajorityOnly: only the version of most endpoints is allowed; the registry knows which.
	MajorityOnly bool
}

// Allow tells whether an endpoint may be used.
func (v *VersionFilter) Allow(c *candidate.Candidate) bool {
	switch {
	case v.Only != "":
		return c.Version == v.Only && (v.MaxEndpoints == 0 || int(c.VersionRank) < v.MaxEndpoints)
	case len(v.Except) > 0:
		return !slices.Contains(v.Except, c.Version)
	}
	return true
}
