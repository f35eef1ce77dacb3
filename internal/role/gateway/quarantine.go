package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/object"
	"brasschute/internal/route/quarantiner"
)

const (
	// quarantineKey is the store's object with the requests in quarantine, for processes that
	// start when no peer is left to ask: after a loss of all power each of these requests would
	// crash endpoints again.
	quarantineKey = "fleet/quarantine"
	// QuarantinePath is the path prefix on the metrics listener at which an operator's DELETE,
	// followed by a request's fingerprint, releases the request.
	QuarantinePath = "/quarantine/"
)

// quarantineRecord is the content of the object at quarantineKey. Times are the writer's
// estimate of the true time.
type quarantineRecord struct {
	Requests []quarantiner.Suspect
}

// gossipEndings notifies peers of updates about requests under which endpoints ended. A relay
// also forwards what it received, because the daemon that saw an ending may not know all
// daemons.
func (g *Gateway) gossipEndings(own bool) { g.syncer.TriggerNotes(own || g.isLarge() && g.isRelay()) }

// heldRequests returns the requests in quarantine, and a string that changes when they do.
func (g *Gateway) heldRequests() (list []quarantiner.Suspect, state string) {
	var b strings.Builder
	for _, s := range g.quarantine.List() {
		if !s.Held {
			break
		}
		list = append(list, s)
		fmt.Fprintf(&b, "%s %d;", s.Fingerprint, len(s.Endings))
	}
	return list, b.String()
}

// storeQuarantine stores the requests in quarantine when they have changed, in one or two calls
// a change.
func (u *duties) storeQuarantine(ctx context.Context) {
	if era := u.g.store.Era(); era != u.storedQuarantineEra {
		// The store may have lost the record, or have an older one.
		u.storedQuarantineEra, u.storedQuarantine = era, ""
	}
	if _, state := u.g.heldRequests(); state == u.storedQuarantine {
		return
	}
	// Merge first what another holder stored.
	version, err := u.g.loadQuarantine(ctx)
	if err != nil && !errors.Is(err, object.ErrMissing) {
		u.g.c.Logger.Warn("requests in quarantine not stored", "error", err)
		return
	}
	list, state := u.g.heldRequests()
	r := quarantineRecord{Requests: shiftTimes(list, time.Until(u.g.clock.Now()))}
	if _, err := u.g.store.Put(ctx, quarantineKey, version, r); err != nil {
		u.g.c.Logger.Warn("requests in quarantine not stored", "error", err)
		return
	}
	u.storedQuarantine = state
}

// readQuarantine loads the requests that were in quarantine before this process started.
func (g *Gateway) readQuarantine(ctx context.Context) error {
	_, err := g.loadQuarantine(ctx)
	return err
}

// loadQuarantine merges the stored requests and returns the object's version. If there is no
// object it returns [object.Absent] and [object.ErrMissing].
func (g *Gateway) loadQuarantine(ctx context.Context) (version uint64, err error) {
	o, err := g.store.Get(ctx, quarantineKey)
	if err != nil {
		return object.Absent, err
	}
	var r quarantineRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		// The next change overwrites the record.
		g.logUnreadable([]error{fmt.Errorf("%s, revision %v: %w", quarantineKey, object.LogValue(o.Version), err)})
		return o.Version, nil
	}
	g.quarantine.Merge(shiftTimes(r.Requests, time.Since(g.clock.Now())))
	g.c.Logger.Info("requests in quarantine read from the store", "requests", len(r.Requests), "revision", object.LogValue(o.Version))
	return o.Version, nil
}

// shiftTimes converts the times of endings, in place, between this process's clock and the
// estimate of the true time.
func shiftTimes(list []quarantiner.Suspect, offset time.Duration) []quarantiner.Suspect {
	for i := range list {
		for k := range list[i].Endings {
			e := &list[i].Endings[k]
			e.At = e.At.Add(offset)
			if !e.Sent.IsZero() {
				e.Sent = e.Sent.Add(offset)
			}
		}
	}
	return list
}

// serveLift releases a request from quarantine: 204, or 404 if nothing is known against it.
func (g *Gateway) serveLift(w http.ResponseWriter, r *http.Request) {
	if !g.quarantine.Lift(identifier.Fingerprint(r.PathValue("fingerprint"))) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
