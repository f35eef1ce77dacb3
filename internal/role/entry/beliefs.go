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

// Apply takes in one platform object.
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
		e.member(&o)
	default:
		e.noteZone(o.Key)
		e.registry.Apply(&o)
		e.ownNotice(&o)
	}
}

func (e *Entry) noteZone(key string) {
	rest, ok := strings.CutPrefix(key, inventory.HostPrefix)
	if !ok {
		return
	}
	zone, _, _ := strings.Cut(rest, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zones[identifier.AvailabilityZone(zone)] = true
}

func (e *Entry) member(o *object.Object) {
	var m inventory.Member
	if o.Deleted || json.Unmarshal(o.Value, &m) != nil {
		return
	}
	e.ledger.Merge(&rpc.News{Full: true, Members: []*rpc.Member{{
		Host: string(m.Host), AvailabilityZone: string(m.AvailabilityZone),
		PeerAddress: m.PeerAddress, Incarnation: uint64(m.Incarnation),
	}}}, time.Now())
}

// ownNotice starts the drain when the own host is reclaimed. A notice whose
// deadline has passed belongs to an earlier host of the same name.
func (e *Entry) ownNotice(o *object.Object) {
	var n inventory.Notice
	if !strings.HasPrefix(o.Key, inventory.NoticePrefix) || o.Deleted || json.Unmarshal(o.Value, &n) != nil {
		return
	}
	if n.Host != e.c.Settings.Host || time.Now().After(n.Deadline) {
		return
	}
	e.c.Logger.Warn("reclaim notice", "deadline", n.Deadline)
	e.leave(n.Deadline.Add(-handOverMargin))
}

// daemons counts those of the fleet that send to the same endpoints.
func (e *Entry) daemons() int { return e.ledger.Count() }

// price reads the configuration in force; the registry asks again after each
// change.
func (e *Entry) price(zone identifier.AvailabilityZone, class document.Class) float64 {
	s := e.keeper.Current()
	if s == nil {
		return 0
	}
	return s.Plan.Price(zone, class)
}

func (e *Entry) configured(s *keeper.Snapshot) {
	e.c.Logger.Info("configuration in force", "number", s.Number(), "operator", s.Change.Who)
	e.scope.Gauge("configuration_number").Update(float64(s.Number()))
	e.registry.Refresh()
	e.exchanger.Trigger()
}

func (e *Entry) refusedConfiguration(n identifier.ConfigurationNumber, err error) {
	e.scope.Counter("configurations_refused").Inc(1)
	e.c.Logger.Error("configuration refused, the last good one stays in force", "number", n, "error", err)
}

// endpointsChanged passes on at once that endpoints began to leave, and moves
// the streams that run there.
func (e *Entry) endpointsChanged() {
	e.streamer.ScheduleMoves()
	e.evacuator.Trigger()
	e.exchanger.Trigger()
}

func (e *Entry) platformReport(err error) {
	was := e.reachable.Swap(err == nil)
	if was != (err == nil) {
		e.c.Logger.Info("platform", "reachable", err == nil, "error", err)
	}
}
