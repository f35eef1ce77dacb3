package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"brasschute/internal/route/quarantiner"
)

// errHeld: the request came to be held while the attempt was under way.
var errHeld = errors.New("withdrawn, as other endpoints ended under the request")

// admit decides whether the request may be sent now.
func (j *job) admit() quarantiner.Verdict {
	return j.r.c.Quarantine.Admit(j.q.Fingerprint(), j.q.ID)
}

// enter lets an attempt be withdrawn as long as the endpoint has brought nothing. waited is
// called when it has, or when the attempt has ended.
func (j *job) enter(ctx context.Context) (withdrawable context.Context, waited func()) {
	ctx, withdraw := context.WithCancelCause(ctx)
	return ctx, j.r.c.Quarantine.Track(j.q.Fingerprint(), func() { withdraw(errHeld) })
}

// QuarantineRefusal is the answer to a request that is held and has not been sent.
func QuarantineRefusal(v *quarantiner.Verdict) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "not run: " + heldReason(v), RetryAfter: v.RetryAfter}
}

// heldReason says why a request is held.
func heldReason(v *quarantiner.Verdict) string {
	endings := make([]string, len(v.Endings))
	now := time.Now()
	for i, e := range v.Endings {
		endings[i] = fmt.Sprintf("%s %.1f s ago", e.Endpoint, now.Sub(e.At).Seconds())
	}
	return "endpoints ended while they ran the same request: " + strings.Join(endings, ", ")
}
