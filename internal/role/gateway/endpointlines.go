package gateway

import (
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"

	"github.com/charmbracelet/log"
)

// maxEndpointLines bounds the lines about single endpoints in one step. A list of thousands would
// take a small host's processor for a tenth of a second, and most of its lines would be dropped.
const maxEndpointLines = 16

// endpointLines logs one step of changes of the list of endpoints.
type endpointLines struct {
	logger *log.Logger
	// listedCount, removedCount and leavingCount count the changes of the step.
	listedCount, removedCount, leavingCount int
}

// count returns the number of changes of the step.
func (l *endpointLines) count() int { return l.listedCount + l.removedCount + l.leavingCount }

// line logs a line about a single endpoint, if the step may have one more.
func (l *endpointLines) line(message string, fields ...any) {
	if l.count() <= maxEndpointLines {
		l.logger.Info(message, fields...)
	}
}

// listed logs an endpoint that was added to the list or changed.
func (l *endpointLines) listed(h *inventory.Host, revision uint64) {
	l.listedCount++
	e := &h.Endpoints[0]
	l.line("endpoint listed", "endpoint", e.Endpoint, "revision", object.LogValue(revision), "zone", h.AvailabilityZone, "service", e.Pool,
		"address", e.Address, "state", h.State, "reclaimable", h.Class == document.ClassReclaimable, "born", h.Born, "life", h.Incarnation)
}

// removed logs an endpoint that was removed from the list.
func (l *endpointLines) removed(id string, revision uint64) {
	l.removedCount++
	l.line("endpoint removed", "endpoint", id, "revision", object.LogValue(revision))
}

// leaving logs an endpoint that is leaving according to a peer.
func (l *endpointLines) leaving(id string, i identifier.Incarnation, source string) {
	l.leavingCount++
	l.line("endpoint leaving", "endpoint", id, "life", i, "source", source)
}

// end logs how many changes the step had, if not each has a line.
func (l *endpointLines) end() {
	if n := l.count(); n > maxEndpointLines {
		l.logger.Info("endpoints changed", "listed", l.listedCount, "removed", l.removedCount, "leaving", l.leavingCount,
			"without_line", n-maxEndpointLines)
	}
}
