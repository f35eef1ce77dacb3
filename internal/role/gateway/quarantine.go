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
	// quarantineKey is the store's object with the requests that are held, for processes that
	// start when nobody else is left to tell: after a loss of all power each of them would
	// end endpoints once more.
	quarantineKey = "fleet/quarantine"
	// QuarantinePath is where the metrics' listener takes an operator's DELETE, with a request's
	// fingerprint behind it.
	QuarantinePath = "/quarantine/"
)

// quarantineRecord is the content of that object. Times are the writer's estimate of the
// true time.
type quarantineRecord struct {
	Requests []quarantiner.Suspect
}

// spreadEndings tells peers of news about requests under which endpoints ended. A relay passes
// what it heard on to all that it tells, another daemon to some, as whoever saw an ending may
// not know all daemons.
func (g *Gateway) spreadEndings(own bool) { g.swapper.TriggerNotes(own || g.large() && g.relaying()) }

// held returns the requests that are held, and a text that changes with them.
func (g *Gateway) held() (list []quarantiner.Suspect, state string) {
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

// keepQuarantine writes down which requests are held when that has changed: a call or two
// for each of them.
func (u *duties) keepQuarantine(ctx context.Context) {
	if _, state := u.g.held(); state == u.quarantine {
		return
	}
	// What another holder stored is taken over first.
	version, err := u.g.loadQuarantine(ctx)
	if err != nil && !errors.Is(err, object.ErrMissing) {
		u.g.c.Logger.Warn("requests in quarantine not stored", "error", err)
		return
	}
	list, state := u.g.held()
	r := quarantineRecord{Requests: shift(list, time.Until(u.g.clock.Now()))}
	if _, err := u.g.store.Put(ctx, quarantineKey, version, r); err != nil {
		u.g.c.Logger.Warn("requests in quarantine not stored", "error", err)
		return
	}
	u.quarantine = state
}

// readQuarantine takes over the requests that were held before this process started.
func (g *Gateway) readQuarantine(ctx context.Context) error {
	_, err := g.loadQuarantine(ctx)
	return err
}

// loadQuarantine takes over what is stored, and returns the version of it: [object.Absent]
// with [object.ErrMissing] if nothing is.
func (g *Gateway) loadQuarantine(ctx context.Context) (version uint64, err error) {
	o, err := g.store.Get(ctx, quarantineKey)
	if err != nil {
		return object.Absent, err
	}
	var r quarantineRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		// Written anew with the next change.
		g.unreadable([]error{fmt.Errorf("%s, revision %d: %w", quarantineKey, o.Version, err)})
		return o.Version, nil
	}
	g.quarantine.Merge(shift(r.Requests, time.Since(g.clock.Now())))
	g.c.Logger.Info("requests in quarantine read from the store", "requests", len(r.Requests), "revision", o.Version)
	return o.Version, nil
}

// shift moves the times of endings between this process's clock and the estimate of the
// true time.
func shift(list []quarantiner.Suspect, by time.Duration) []quarantiner.Suspect {
	for i := range list {
		for k := range list[i].Endings {
			e := &list[i].Endings[k]
			e.At = e.At.Add(by)
		}
	}
	return list
}

// liftHandler clears a request as an operator asks: 204, or 404 if nothing is known against it.
func (g *Gateway) liftHandler(w http.ResponseWriter, r *http.Request) {
	if !g.quarantine.Lift(identifier.Fingerprint(r.PathValue("fingerprint"))) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
