// Package client speaks the platform's object API.
//
// # What it promises
//
// Each call ends within its context and returns an error that says whether the
// call can have taken effect; see package object. The client never repeats a
// write by itself: a repeat may be needed only after a read, and only the
// caller knows what to compare.
//
// # Usage
//
//	c := client.New(client.Config{Address: "127.0.0.1:9000"})
//	o, err := c.Get(ctx, "config/current")
//	o, err = c.Put(ctx, o.Key, o.Version, value)
//
// This package is the only one that knows the platform's protocol.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"brasschute/internal/core/watchdog"
	"brasschute/internal/platform/object"
)

const (
	dialTimeout = time.Second
	// readTimeout ends a read whose bytes come too slowly to be of use.
	readTimeout = 20 * time.Second
	// maxAnswer bounds what is read of one answer: a full list at the size of
	// docs/CAPACITY.md is under a megabyte.
	maxAnswer = 16 << 20
)

// Config says where the platform is.
type Config struct {
	// Address is IP:port.
	Address string
	// Timeout bounds each write, and for each read the time until something comes: how
	// long a list takes depends on its size and on the link. 2 s if zero.
	Timeout time.Duration
	// Source is the local address to connect from; nil for any.
	Source net.Addr
}

// Client calls one platform. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *watchdog.Watchdog
	calls   atomic.Int64
	// now is the platform's clock as last told, in Unix seconds.
	now atomic.Int64
}

// New returns a client; it connects when first used.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	return &Client{
		base:    "http://" + c.Address + "/v1/",
		timeout: c.Timeout,
		http:    watchdog.New(watchdog.Config{Transport: &http.Transport{DialContext: dialer(c.Source)}, IdleTimeout: c.Timeout}),
	}
}

func dialer(source net.Addr) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: source}
	return d.DialContext
}

// Calls counts the calls made so far, waiting watches included.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Now returns the platform's clock as of its last answer. Retention on the
// platform is reckoned by it: the clock of a host may jump, and an expiry
// reckoned by a clock a day ahead would drop what is still needed.
func (c *Client) Now() time.Time { return time.Unix(c.now.Load(), 0) }

// Get reads one object.
func (c *Client) Get(ctx context.Context, key string) (object.Object, error) {
	var o object.Object
	err := c.read(ctx, "objects/"+key, 0, &o)
	return o, err
}

// Put writes an object if its version is still ifVersion; object.Absent
// creates it.
func (c *Client) Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return object.Object{}, fmt.Errorf("platform: encode %s: %w", key, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var o object.Object
	err = c.do(ctx, http.MethodPut, "objects/"+key, 0, condition(ifVersion), body, &o)
	return o, err
}

// Delete removes an object if its version is still ifVersion.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.do(ctx, http.MethodDelete, "objects/"+key, 0, condition(ifVersion), nil, nil)
}

// List reads all objects under the prefixes.
func (c *Client) List(ctx context.Context, prefixes ...string) (object.Page, error) {
	var p object.Page
	err := c.read(ctx, "objects?"+url.Values{"prefix": prefixes}.Encode(), 0, &p)
	return p, err
}

// Watch waits until objects under the prefixes change after a revision, or
// until wait is over, and returns the changed ones. It is one platform call
// however many prefixes it names.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration, prefixes ...string) (object.Page, error) {
	q := url.Values{"prefix": prefixes}
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("wait", wait.String())
	var p object.Page
	err := c.read(ctx, "watch?"+q.Encode(), wait, &p)
	return p, err
}

// read makes a call that the platform answers after a wait.
func (c *Client) read(ctx context.Context, path string, wait time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return c.do(ctx, http.MethodGet, path, wait, nil, nil, out)
}

func condition(ifVersion uint64) http.Header {
	if ifVersion == object.Absent {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(ifVersion, 10))}}
}

func (c *Client) do(ctx context.Context, method, path string, wait time.Duration, header http.Header, body []byte, out any) error {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.DoAfter(req, wait)
	if err != nil {
		return object.ClassifyError(method, err)
	}
	defer resp.Body.Close()
	if at, err := http.ParseTime(resp.Header.Get("Date")); err == nil {
		c.now.Store(at.Unix())
	}
	if err := status(resp.StatusCode); err != nil {
		return fmt.Errorf("%w (%s %s)", err, method, path)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return object.ClassifyError(method, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("%w: answer not understood: %w", object.ErrUnknown, err)
	}
	return nil
}

func status(code int) error {
	switch code {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return object.ErrConflict
	case http.StatusNotFound:
		return object.ErrMissing
	case http.StatusGone:
		return object.ErrGap
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return object.ErrUnavailable
	}
	return fmt.Errorf("%w: status %d", object.ErrUnknown, code)
}
