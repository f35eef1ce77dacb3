package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// errNoSuccess means that a call over a connection had another status than 200.
var errNoSuccess = errors.New("no success")

// Conn is a connection to an endpoint on which a request is about to be sent; see [Request.Verify]. It is for one goroutine.
type Conn struct {
	sender     *Sender
	connection *connection
	onConnect  func()
	// spent is set once the connection can't carry another request.
	spent bool
}

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.connection.openedAt }

// IsOpen reports whether the connection can carry a request: the other side has neither closed it nor sent anything.
func (c *Conn) IsOpen() bool {
	quiet, _ := c.connection.isQuiet()
	return quiet && !c.spent
}

// Renew closes the connection and opens a new one. The error wraps [ErrUnsent].
func (c *Conn) Renew(ctx context.Context) error {
	_ = c.connection.Close()
	l, err := c.sender.dial(ctx, c.connection.address)
	if err != nil {
		return err
	}
	if c.onConnect != nil {
		c.onConnect()
	}
	c.connection, c.spent = l, false
	return nil
}

// Get makes a call without a body over the connection, and returns the body of the response if its status is 200.
func (c *Conn) Get(ctx context.Context, target string, maxBytes int64) ([]byte, error) {
	l := c.connection
	message, err := encode(&Request{Method: http.MethodGet, Target: target, Host: l.address})
	if err != nil {
		return nil, err
	}
	// Until the response has been read to its end, the connection can't carry another request.
	c.spent = true
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	if _, err := message.WriteTo(l); err != nil {
		stop()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	resp, err := l.readHead(&http.Request{Method: http.MethodGet})
	if err != nil {
		stop()
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	c.spent = !stop() || err != nil || int64(len(body)) > maxBytes || resp.Close
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrBadResponse, err)
	case resp.StatusCode != http.StatusOK || int64(len(body)) > maxBytes:
		return nil, fmt.Errorf("%w: status %d, %d bytes", errNoSuccess, resp.StatusCode, len(body))
	}
	return body, nil
}
