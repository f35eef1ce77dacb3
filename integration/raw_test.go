package integration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"brasschute/internal/peer/rpc"

	"github.com/twitchtv/twirp"
)

// rawExchange sends text over a new connection and returns the first 12 bytes of the response,
// which hold its status.
func rawExchange(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	const statusLength = 12 // "HTTP/1.1 400"
	got := make([]byte, statusLength)
	n, _ := io.ReadFull(c, got)
	return string(got[:n])
}

// sendTruncated sends text over a new connection and closes it without reading the response.
func sendTruncated(t *testing.T, address, text string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	c.Close()
}

// checkAudited returns an error unless the audit trail has an entry for the step what.
func checkAudited(d *daemon, what string) error {
	reply, err := d.operator().Audit(context.Background(), &rpc.AuditRequest{})
	if err != nil {
		return err
	}
	for _, e := range reply.Entries {
		if e.What == what {
			return nil
		}
	}
	return fmt.Errorf("%q is not among %d entries", what, len(reply.Entries))
}

// containsText reports whether body contains text.
func containsText(body, text string) bool { return strings.Contains(body, text) }

// twirpError returns the Twirp error that err wraps, or nil if there is none.
func twirpError(err error) twirp.Error {
	var e twirp.Error
	if !errors.As(err, &e) {
		return nil
	}
	return e
}
