// Package cloud speaks the platform's cloud API.
//
// # Starting a host at most once
//
// A start bears a token that the caller has chosen and written down before.
// The cloud answers a repeated token with the host that it has started
// already. So whoever does not know whether a start took effect, be it that
// the answer was lost or that the caller died, repeats it with the same token.
//
// # Usage
//
//	c := cloud.New(cloud.Config{Address: "127.0.0.1:9000"})
//	host, err := c.Start(ctx, &cloud.Start{Token: token, ...})
//	if errors.Is(err, cloud.ErrRefused) { elsewhere }
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
)

const (
	callTimeout = 2 * time.Second
	dialTimeout = time.Second
	maxAnswer   = 1 << 16
)

// Failures of the cloud.
var (
	// ErrRefused is returned when the cloud has no such host to give now.
	ErrRefused = errors.New("cloud: refused")
	// ErrUnknown is returned when a call may have taken effect; repeat it with
	// the same token.
	ErrUnknown = errors.New("cloud: outcome unknown")
)

// Config says where the cloud API is.
type Config struct {
	Address string
	// Source is the local address to connect from; nil for any.
	Source net.Addr
}

// Start asks for one host.
type Start struct {
	Token            string
	AvailabilityZone identifier.AvailabilityZone
	Class            document.Class
	Pool             identifier.Pool
	// Owner is the zone for which the host is started; the host list shows it.
	Owner identifier.AvailabilityZone
}

// Started is the cloud's answer.
type Started struct {
	Host identifier.Host
}

// Cloud calls one cloud API. It is safe for concurrent use.
type Cloud struct {
	base string
	http http.Client
}

// New returns a client; it connects when used.
func New(c Config) *Cloud {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: c.Source}
	return &Cloud{base: "http://" + c.Address + "/cloud/hosts", http: http.Client{Transport: &http.Transport{DialContext: d.DialContext}}}
}

// Start starts a host, or returns the one that this token has started.
func (c *Cloud) Start(ctx context.Context, s *Start) (identifier.Host, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("cloud: %w", err)
	}
	var out Started
	err = c.do(ctx, http.MethodPost, "", body, &out)
	return out.Host, err
}

// Stop gives a host back. It gets a notice like a reclaimed one.
func (c *Cloud) Stop(ctx context.Context, h identifier.Host) error {
	return c.do(ctx, http.MethodDelete, "/"+string(h), nil, nil)
}

func (c *Cloud) do(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrRefused
	case resp.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
	case out == nil:
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return nil
}
