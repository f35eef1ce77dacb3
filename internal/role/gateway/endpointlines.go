package gateway

import (
	"brasschute/internal/config/document"
	"brasschute/internal/platform/inventory"

	"github.com/charmbracelet/log"
)

// maxEndpointLines bounds the lines about single endpoints in one step. A list of thousands would
// take a small host's processor for a tenth of a second, and most of its lines would be dropped.
const maxEndpointLines = 64

// endpointLines logs one step of changes of the list of endpoints.
type endpointLines struct {
	logger *log.Logger
	// listedCount and removedCount count the changes of the step.
	listedCount, removedCount int
}

// listed logs an endpoint that was added to the list or changed.
func (l *endpointLines) listed(h *inventory.Host, revision uint64) {
	l.listedCount++
	if l.listedCount+l.removedCount > maxEndpointLines {
		return
	}
	e := &h.Endpoints[0]
	l.logger.Info("endpoint listed", "endpoint", e.Endpoint, "revision", revision, "zone", h.AvailabilityZone, "service", e.Pool,
		"address", e.Address, "state", h.State, "reclaimable", h.Class == document.ClassReclaimable, "born", h.Born, "life", h.Incarnation)
}

// removed logs an endpoint that was removed from the list.
func (l *endpointLines) removed(id string, revision uint64) {
	l.removedCount++
	if l.listedCount+l.removedCount > maxEndpointLines {
		return
	}
	l.logger.Info("endpoint removed", "endpoint", id, "revision", revision)
}

// end logs how many changes the step had, if not each has a line.
func (l *endpointLines) end() {
	if n := l.listedCount + l.removedCount; n > maxEndpointLines {
		l.logger.Info("endpoints changed", "listed", l.listedCount, "removed", l.removedCount, "without_line", n-maxEndpointLines)
	}
}
