// Package printer prints the replies of a daemon as text for people.
//
// # Usage
//
//	printer.New(os.Stdout).Explain(&record)
//
// For programs, the command line prints the daemon's messages as JSON instead.
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

// Hash returns the hexadecimal SHA-256 hash of a key, the form in which settings and
// configurations contain keys.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Client returns a client of the operators' service at an address, as IP:port. It authenticates
// with the operator's key.
func Client(address, key string) rpc.Operator {
	hook := &twirp.ClientHooks{RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
		r.Header.Set("Authorization", "Bearer "+key)
		return ctx, nil
	}}
	return rpc.NewOperatorProtobufClient("http://"+address, http.DefaultClient, twirp.WithClientHooks(hook))
}

// Printer prints messages to one output.
type Printer struct {
	output io.Writer
}

// New returns a printer for an output.
func New(w io.Writer) *Printer { return &Printer{w} }

func (p *Printer) printf(format string, values ...any) { fmt.Fprintf(p.output, format, values...) }

// Explain prints how a request was routed, with the attempts and their alternatives.
func (p *Printer) Explain(r *recorder.Record) {
	p.printf("request %s at %s, received %s\n", r.Request, r.Host, r.Received.Format(time.RFC3339Nano))
	if r.Organisation != "" {
		p.printf("  asked by %s for %s\n", r.Organisation, r.Service)
	}
	if r.Configuration > 0 {
		p.printf("  decided by configuration %d, %s\n", r.Configuration, ruleText(r.Rule))
	}
	if r.Pool != "" {
		p.printf("  priority %s, pool %s, waited %.1f ms for admission\n", orLowest(r.Priority), r.Pool, r.WaitedMS)
	}
	if r.NonIdempotent {
		p.printf("  non-idempotent: not repeated once it may have been sent\n")
	}
	if r.Claim != "" {
		p.printf("  idempotency key: %s\n", r.Claim)
	}
	if r.Witness != "" {
		p.printf("  witness: %s\n", r.Witness)
	}
	for i := range r.Attempts {
		p.printAttempt(i+1, &r.Attempts[i])
	}
	p.printf("  outcome: %s after %.1f ms", r.Outcome, r.TookMS)
	if r.FirstTokenMS > 0 {
		p.printf(", first token after %.1f ms, %d tokens, %d recomputed", r.FirstTokenMS, r.CompletionTokens, r.RecomputedTokens)
	}
	p.printf("\n")
}

// ruleText describes the rule that decided, if any.
func ruleText(name string) string {
	if name == "" {
		return "no rule matched"
	}
	return fmt.Sprintf("rule %q", name)
}

// orLowest returns the name of a priority; requests without one have the lowest.
func orLowest(text string) string {
	if text == "" {
		return "lowest"
	}
	return text
}

func (p *Printer) printAttempt(n int, a *recorder.Attempt) {
	if a.Endpoint == "" {
		p.printf("  attempt %d: no endpoint could serve (%s)\n", n, a.Excluded)
		return
	}
	p.printf("  attempt %d: %s, %s", n, a.Endpoint, a.Why)
	if a.Resumed > 0 {
		p.printf(", going on after token %d", a.Resumed)
	}
	p.printf("; %s, %s\n", a.State, a.Outcome)
	for i := range a.Alternatives {
		o := &a.Alternatives[i]
		p.printf("    weighed %s: first token in %.1f ms, cost %.6f, %d tokens cached\n", o.Endpoint, o.FirstTokenMS, o.Cost, o.CachedTokens)
	}
	if a.Excluded != "" {
		p.printf("    not usable: %s\n", a.Excluded)
	}
}

func (p *Printer) printTable(rows [][]string) {
	t := tabwriter.NewWriter(p.output, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

// Status prints a daemon's state and its view of the fleet.
func (p *Printer) Status(s *rpc.StatusReply) {
	p.printf("%s in %s: %s, configuration %d, platform reachable: %t, %d requests in flight\n",
		s.Host, s.AvailabilityZone, s.State, s.ConfigurationNumber, s.PlatformReachable, s.RequestsInFlight)
	if s.RefusedConfiguration != "" {
		p.printf("refused: %s\n", s.RefusedConfiguration)
	}
	rows := [][]string{{"PEER", "ZONE", "STATE", "ADDRESS"}}
	for _, m := range s.Members {
		rows = append(rows, []string{m.Host, m.AvailabilityZone, strings.ToLower(m.State.String()), m.PeerAddress})
	}
	p.printTable(rows)
	p.printRepairs(s)
	rows = [][]string{{"ENDPOINT", "ZONE", "POOL", "STATE", "IN FLIGHT", "RUNNING", "QUEUED", "MODEL"}}
	for _, ep := range s.Endpoints {
		rows = append(rows, []string{
			ep.Endpoint, ep.AvailabilityZone, ep.Pool, ep.State, fmt.Sprint(ep.InFlight), fmt.Sprint(ep.Running), fmt.Sprint(ep.Queued), ep.Model,
		})
	}
	p.printTable(rows)
}

func (p *Printer) printRepairs(s *rpc.StatusReply) {
	if len(s.Repairs) == 0 {
		return
	}
	rows := [][]string{{"WANTED IN", "POOL", "WANTED", "LIVE", "LEAVING", "ASKED", "DOING"}}
	for _, r := range s.Repairs {
		rows = append(rows, []string{
			r.AvailabilityZone, r.Pool, fmt.Sprint(r.Wanted), fmt.Sprint(r.Live), fmt.Sprint(r.Leaving), fmt.Sprint(r.Asked), r.Doing,
		})
	}
	p.printTable(rows)
}

// Applied prints the hosts at which a configuration is in force, and those at which it is not.
func (p *Printer) Applied(a *rpc.Applied) {
	p.printf("configuration %d accepted\nin force at %s\n", a.Number, strings.Join(a.InForce, ", "))
	if len(a.Behind) > 0 {
		p.printf("not yet in force at %s\n", strings.Join(a.Behind, ", "))
	}
	if len(a.Unreachable) > 0 {
		p.printf("could not be reached: %s\n", strings.Join(a.Unreachable, ", "))
	}
}

// History prints configuration changes with the lines that differ.
func (p *Printer) History(h *rpc.HistoryReply) {
	for _, c := range h.Changes {
		p.printf("configuration %d by %s at %s, from %d\n", c.Number, c.Who, formatTime(c.WhenUnixMilli), c.From)
		for _, line := range c.Differs {
			p.printf("    %s\n", line)
		}
	}
}

func formatTime(milli int64) string { return time.UnixMilli(milli).UTC().Format(time.RFC3339) }

// Audit prints audit entries as a table.
func (p *Printer) Audit(a *rpc.AuditReply) {
	rows := [][]string{{"WHEN", "WHO", "HOST", "WHAT", "CAUSE", "OUTCOME"}}
	for _, x := range a.Entries {
		rows = append(rows, []string{formatTime(x.WhenUnixMilli), x.Who, x.Host, x.What, x.Cause, x.Outcome})
	}
	p.printTable(rows)
}
