package entry

import (
	"encoding/json"
	"strings"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/config/keeper"
	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
)

// Apply applies objects from the platform.
func (e *Entry) Apply(objects []object.Object) {
	for _, o := range objects {
		e.apply(o)
	}
}

func (e *Entry) apply(o object.Object) {
	switch {
	case strings.HasPrefix(o.Key, inventory.ConfigurationPrefix):
		e.keeper.Apply(&o)
	case strings.HasPrefix(o.Key, inventory.MemberPrefix):
		e.mergeMember(&o)
	default:
		e.recordZone(o.Key)
		e.registry.ApplyObject(&o)
		e.handleReclaimNotice(&o)
	}
}

func (e *Entry) recordZone(key string) {
	rest, ok := strings.CutPrefix(key, inventory.HostPrefix)
	if !ok {
		return
	}
	zone, _, _ := strings.Cut(rest, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zones[identifier.AvailabilityZone(zone)] = true
}

func (e *Entry) mergeMember(o *object.Object) {
	var m inventory.Member
	if o.Deleted || json.Unmarshal(o.Value, &m) != nil {
		return
	}
	e.members.Merge(&rpc.News{Full: true, Members: []*rpc.Member{{
		Host: string(m.Host), AvailabilityZone: string(m.AvailabilityZone),
		PeerAddress: m.PeerAddress, Incarnation: uint64(m.Incarnation),
	}}}, time.Now())
}

// handleReclaimNotice starts the drain when this daemon's host is reclaimed. A notice whose
// deadline has passed belongs to an earlier host of the same name.
func (e *Entry) handleReclaimNotice(o *object.Object) {
	var n inventory.Notice
	if !strings.HasPrefix(o.Key, inventory.NoticePrefix) || o.Deleted || json.Unmarshal(o.Value, &n) != nil {
		return
	}
	if n.Host != e.c.Settings.Host || time.Now().After(n.Deadline) {
		return
	}
	e.c.Logger.Warn("reclaim notice", "deadline", n.Deadline)
	e.requestStop(n.Deadline.Add(-stopMargin))
}

// knownDaemons returns the number of known daemons that send to the same endpoints.
func (e *Entry) knownDaemons() int { return e.members.Count() }

// price returns a host's price in the configuration in force; 0 if none is. The registry calls it
// again after each change.
func (e *Entry) price(zone identifier.AvailabilityZone, class document.Class) float64 {
	s := e.keeper.Current()
	if s == nil {
		return 0
	}
	return s.Plan.Price(zone, class)
}

func (e *Entry) onConfiguration(s *keeper.Snapshot) {
	e.c.Logger.Info("configuration in force", "number", s.Number(), "operator", s.Change.Who)
	e.scope.Gauge("configuration_number").Update(float64(s.Number()))
	e.registry.Refresh()
	e.gossiper.Trigger()
}

func (e *Entry) onRefusedConfiguration(n identifier.ConfigurationNumber, err error) {
	e.scope.Counter("configurations_refused").Inc(1)
	e.c.Logger.Error("configuration refused, the last good one stays in force", "number", n, "error", err)
}

// onEndpointsChange notifies peers at once that endpoints started to leave, and moves the streams
// that run there.
func (e *Entry) onEndpointsChange() {
	e.streamer.ScheduleMoves()
	e.migrator.Trigger()
	e.gossiper.Trigger()
}

func (e *Entry) onPlatformReport(err error) {
	was := e.reachable.Swap(err == nil)
	if was != (err == nil) {
		e.c.Logger.Info("platform", "reachable", err == nil, "error", err)
	}
}
