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

// rawExchange sends text and returns what comes back until the end.
func rawExchange(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	const enough = 12
	got := make([]byte, enough)
	n, _ := io.ReadFull(c, got)
	return string(got[:n])
}

// truncated sends text and breaks off.
func truncated(t *testing.T, address, text string) {
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

// audited looks for a step in the trail.
func audited(d *daemon, what string) error {
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

// containsText tells whether a JSON body holds a text, unescaped.
func containsText(body, text string) bool { return strings.Contains(body, text) }

// twirpError returns the remote error inside err, nil if there is none.
func twirpError(err error) twirp.Error {
	var e twirp.Error
	if !errors.As(err, &e) {
		return nil
	}
	return e
}
