// Package cloud is a client of the platform's cloud API, which starts and stops hosts.
//
// Each start carries a token that the caller has chosen and stored beforehand.
// The cloud answers a repeated token with the host that it has already started. A
// caller that does not know whether a start took effect, because the response was
// lost or because its predecessor crashed, repeats it with the same token, so that
// a host is started at most once.
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
	callTimeout      = 2 * time.Second
	dialTimeout      = time.Second
	maxResponseBytes = 1 << 16
)

// Errors of the cloud API.
var (
	// ErrRefused means that the cloud has no such host available now.
	ErrRefused = errors.New("cloud: refused")
	// ErrUnknown means that the call may have taken effect. Repeat a start with the
	// same token.
	ErrUnknown = errors.New("cloud: outcome unknown")
)

// Config holds the addresses of a client.
type Config struct {
	// Address is IP:port of the cloud API.
	Address string
	// Source is the local address to connect from; nil for any.
	Source net.Addr
}

// Start is the request to start one host.
type Start struct {
	// Token makes the start idempotent, see the package comment.
	Token            string
	AvailabilityZone identifier.AvailabilityZone
	Class            document.Class
	Pool             identifier.Pool
	// Owner is the zone for which the host is started. The host list shows it.
	Owner identifier.AvailabilityZone
}

// Started is the response to a Start.
type Started struct {
	// Host is the id of the started host.
	Host identifier.Host
}

// Cloud calls the cloud API. It is safe for concurrent use.
type Cloud struct {
	baseURL string
	http    http.Client
}

// New returns a client. It connects when first used.
func New(c Config) *Cloud {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: c.Source}
	return &Cloud{baseURL: "http://" + c.Address + "/cloud/hosts", http: http.Client{Transport: &http.Transport{DialContext: d.DialContext}}}
}

// Start starts a host, or returns the one that was already started with the same
// token. A failed call returns an error that wraps ErrRefused or ErrUnknown.
func (c *Cloud) Start(ctx context.Context, s *Start) (identifier.Host, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return "", fmt.Errorf("cloud: %w", err)
	}
	var out Started
	err = c.do(ctx, http.MethodPost, "", body, &out)
	return out.Host, err
}

// Stop returns a host to the cloud. The host gets a notice like a reclaimed one.
func (c *Cloud) Stop(ctx context.Context, h identifier.Host) error {
	return c.do(ctx, http.MethodDelete, "/"+string(h), nil, nil)
}

func (c *Cloud) do(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
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
	case resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
	case out == nil:
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return nil
}
