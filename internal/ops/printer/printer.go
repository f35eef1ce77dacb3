// Package explainer writes what a daemon tells as a person reads it.
//
// # Usage
//
//	explainer.New(os.Stdout).Explain(&record)
//
// Programs ask for JSON instead and get the daemon's own messages.
package printer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/serve/recorder"

	"github.com/twitchtv/twirp"
)

// Hash returns the form in which keys stand in settings and configuration.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Client returns a client of a daemon's operators' service.
func Client(address, key string) rpc.Operator {
	hook := &twirp.ClientHooks{RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
		r.Header.Set("Authorization", "Bearer "+key)
		return ctx, nil
	}}
	return rpc.NewOperatorProtobufClient("http://"+address, http.DefaultClient, twirp.WithClientHooks(hook))
}

// Printer writes to one output.
type Printer struct {
	w io.Writer
}

// New returns an explainer for an output.
func New(w io.Writer) *Printer { return &Printer{w} }

func (e *Printer) printf(format string, values ...any) { fmt.Fprintf(e.w, format, values...) }

// Explain writes why a request was decided as it was.
func (e *Printer) Explain(r *recorder.Record) {
	e.printf("request %s at %s, received %s\n", r.Request, r.Host, r.Received.Format(time.RFC3339Nano))
	if r.Organisation != "" {
		e.printf("  asked by %s for %s\n", r.Organisation, r.Service)
	}
	if r.Configuration > 0 {
		e.printf("  decided by configuration %d, %s\n", r.Configuration, rule(r.Rule))
	}
	if r.Pool != "" {
		e.printf("  priority %s, pool %s, waited %.1f ms for admission\n", orNone(r.Priority), r.Pool, r.WaitedMS)
	}
	if r.NonIdempotent {
		e.printf("  non-idempotent: not repeated once it may have been sent\n")
	}
	if r.Claim != "" {
		e.printf("  idempotency key: %s\n", r.Claim)
	}
	if r.Witness != "" {
		e.printf("  witness: %s\n", r.Witness)
	}
	for i := range r.Attempts {
		e.attempt(i+1, &r.Attempts[i])
	}
	e.printf("  outcome: %s after %.1f ms", r.Outcome, r.TookMS)
	if r.FirstTokenMS > 0 {
		e.printf(", first token after %.1f ms, %d tokens, %d recomputed", r.FirstTokenMS, r.CompletionTokens, r.RecomputedTokens)
	}
	e.printf("\n")
}

func rule(name string) string {
	if name == "" {
		return "no rule matched"
	}
	return fmt.Sprintf("rule %q", name)
}

func orNone(text string) string {
	if text == "" {
		return "lowest"
	}
	return text
}

func (e *Printer) attempt(n int, a *recorder.Attempt) {
	if a.Endpoint == "" {
		e.printf("  attempt %d: no endpoint could serve (%s)\n", n, a.Excluded)
		return
	}
	e.printf("  attempt %d: %s, %s", n, a.Endpoint, a.Why)
	if a.Resumed > 0 {
		e.printf(", going on after token %d", a.Resumed)
	}
	e.printf("; %s, %s\n", a.State, a.Outcome)
	for i := range a.Alternatives {
		o := &a.Alternatives[i]
		e.printf("    weighed %s: first token in %.1f ms, cost %.6f, %d tokens cached\n", o.Endpoint, o.FirstTokenMS, o.Cost, o.CachedTokens)
	}
	if a.Excluded != "" {
		e.printf("    not usable: %s\n", a.Excluded)
	}
}

func (e *Printer) table(rows [][]string) {
	t := tabwriter.NewWriter(e.w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

// Status writes a daemon's view.
func (e *Printer) Status(s *rpc.StatusReply) {
	e.printf("%s in %s: %s, configuration %d, platform reachable: %t, %d requests in flight\n",
		s.Host, s.AvailabilityZone, s.State, s.ConfigurationNumber, s.PlatformReachable, s.RequestsInFlight)
	if s.RefusedConfiguration != "" {
		e.printf("refused: %s\n", s.RefusedConfiguration)
	}
	rows := [][]string{{"PEER", "ZONE", "STATE", "ADDRESS"}}
	for _, m := range s.Members {
		rows = append(rows, []string{m.Host, m.AvailabilityZone, strings.ToLower(m.State.String()), m.PeerAddress})
	}
	e.table(rows)
	e.repairs(s)
	rows = [][]string{{"ENDPOINT", "ZONE", "POOL", "STATE", "IN FLIGHT", "RUNNING", "QUEUED", "MODEL"}}
	for _, p := range s.Endpoints {
		rows = append(rows, []string{
			p.Endpoint, p.AvailabilityZone, p.Pool, p.State, fmt.Sprint(p.InFlight), fmt.Sprint(p.Running), fmt.Sprint(p.Queued), p.Model,
		})
	}
	e.table(rows)
}

func (e *Printer) repairs(s *rpc.StatusReply) {
	if len(s.Repairs) == 0 {
		return
	}
	rows := [][]string{{"WANTED IN", "POOL", "WANTED", "LIVE", "LEAVING", "ASKED", "DOING"}}
	for _, r := range s.Repairs {
		rows = append(rows, []string{
			r.AvailabilityZone, r.Pool, fmt.Sprint(r.Wanted), fmt.Sprint(r.Live), fmt.Sprint(r.Leaving), fmt.Sprint(r.Asked), r.Doing,
		})
	}
	e.table(rows)
}

// Applied writes who has a configuration in force.
func (e *Printer) Applied(a *rpc.Applied) {
	e.printf("configuration %d accepted\nin force at %s\n", a.Number, strings.Join(a.InForce, ", "))
	if len(a.Behind) > 0 {
		e.printf("not yet in force at %s\n", strings.Join(a.Behind, ", "))
	}
	if len(a.Unreachable) > 0 {
		e.printf("could not be reached: %s\n", strings.Join(a.Unreachable, ", "))
	}
}

// History writes the changes of configuration.
func (e *Printer) History(h *rpc.HistoryReply) {
	for _, c := range h.Changes {
		e.printf("configuration %d by %s at %s, from %d\n", c.Number, c.Who, when(c.WhenUnixMilli), c.From)
		for _, line := range c.Differs {
			e.printf("    %s\n", line)
		}
	}
}

func when(milli int64) string { return time.UnixMilli(milli).UTC().Format(time.RFC3339) }

// Audit writes the trail.
func (e *Printer) Audit(a *rpc.AuditReply) {
	rows := [][]string{{"WHEN", "WHO", "HOST", "WHAT", "CAUSE", "OUTCOME"}}
	for _, x := range a.Entries {
		rows = append(rows, []string{when(x.WhenUnixMilli), x.Who, x.Host, x.What, x.Cause, x.Outcome})
	}
	e.table(rows)
}
