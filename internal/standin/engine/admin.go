package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/order"
	"brasschute/internal/engine/report"
)

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := report.Report{
		Endpoint: e.c.Endpoint, Taken: time.Now(), Running: e.running, Queued: e.queued,
		QueuedTokens: identifier.Tokens(e.pendingPrefill), Model: e.c.Model,
		FencingNumber: e.fencing, Leaving: e.behaviour.Leaving, Incarnation: e.c.Incarnation,
	}
	shown := e.delayed(now)
	e.mu.Unlock()
	answer(w, shown)
}

// delayed records a report and returns the newest one that is at least the lag old, or
// the oldest. Leaving is never delayed, as the host itself receives its reclaim notice.
func (e *Engine) delayed(now report.Report) report.Report {
	if e.c.LoadLag == 0 {
		return now
	}
	e.reports = append(e.reports, now)
	for len(e.reports) > 1 && now.Taken.Sub(e.reports[1].Taken) >= e.c.LoadLag {
		e.reports = e.reports[1:]
	}
	shown := e.reports[0]
	shown.Leaving = now.Leaving
	return shown
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o order.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingNumber < e.fencing && !e.c.IgnoresFencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, o.FencingNumber)
	e.orders = append(e.orders, o)
	e.c.Model = o.Model
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, e.orders)
}

func (e *Engine) listExecutions(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, e.executions)
}

func (e *Engine) listTraces(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, e.traces)
}

func (e *Engine) setBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
	e.changed.Broadcast()
	w.WriteHeader(http.StatusNoContent)
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
