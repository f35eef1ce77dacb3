// Package client is a client of the platform's object API. No other package knows
// the protocol.
//
// Each call ends with its context at the latest. Its error shows whether the call
// can have taken effect; see package object. The client never repeats a write by
// itself: whether to repeat it depends on a read, and only the caller knows what
// to compare.
//
// # Usage
//
//	c := client.New(client.Config{Address: "127.0.0.1:9000"})
//	o, err := c.Get(ctx, "config/current")
//	o, err = c.Put(ctx, o.Key, o.Version, value)
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
	"brasschute/internal/platform/pruner"
)

const (
	dialTimeout = time.Second
	// readTimeout ends a read whose response arrives too slowly to be useful.
	readTimeout = 20 * time.Second
	// maxResponseBytes bounds the size of a response. A full list at the fleet size
	// of docs/CAPACITY.md is less than a megabyte.
	maxResponseBytes = 16 << 20
)

// Config holds the platform's address and the timeout of calls.
type Config struct {
	// Address is IP:port of the platform.
	Address string
	// Timeout bounds each write as a whole. For a read it only bounds the time without
	// received bytes, as the duration of a list depends on its size and on the link.
	// 2 s if zero.
	Timeout time.Duration
	// Source is the local address to connect from; nil for any.
	Source net.Addr
}

// Client calls the platform's object API. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *watchdog.Watchdog
	calls   atomic.Int64
	// platformTime is the Date of the platform's last response, in Unix seconds.
	platformTime atomic.Int64
}

// New returns a client. It connects when first used.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	return &Client{
		baseURL: "http://" + c.Address + "/v1/",
		timeout: c.Timeout,
		http:    watchdog.New(watchdog.Config{Transport: &http.Transport{DialContext: dialer(c.Source)}, IdleTimeout: c.Timeout}),
	}
}

func dialer(source net.Addr) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: source}
	return d.DialContext
}

// Calls returns the number of calls made so far, including waiting watches.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Now returns the platform's time as of its last response. Expiry on the platform is
// computed from it: a host's clock may jump, and expiry by a clock that is a day ahead
// would delete objects that are still needed.
func (c *Client) Now() time.Time { return time.Unix(c.platformTime.Load(), 0) }

// Get reads one object.
func (c *Client) Get(ctx context.Context, key string) (object.Object, error) {
	var o object.Object
	err := c.read(ctx, "objects/"+key, 0, &o)
	return o, err
}

// Put writes an object if its version is still ifVersion; object.Absent creates
// it. value is encoded as JSON. The result is the object as stored.
func (c *Client) Put(ctx context.Context, key string, ifVersion uint64, value any) (object.Object, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return object.Object{}, fmt.Errorf("platform: encode %s: %w", key, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var o object.Object
	err = c.do(ctx, http.MethodPut, "objects/"+key, 0, precondition(ifVersion), body, &o)
	return o, err
}

// Delete removes an object if its version is still ifVersion.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.do(ctx, http.MethodDelete, "objects/"+key, 0, precondition(ifVersion), nil, nil)
}

// List returns all objects under the prefixes.
func (c *Client) List(ctx context.Context, prefixes ...string) (object.Page, error) {
	return c.readPage(ctx, "objects?"+url.Values{"prefix": prefixes}.Encode(), 0)
}

// Watch waits until objects under the prefixes change after a revision, or for
// the time wait, and returns the changed ones. It is one platform call for any
// number of prefixes.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration, prefixes ...string) (object.Page, error) {
	q := url.Values{"prefix": prefixes}
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("wait", wait.String())
	return c.readPage(ctx, "watch?"+q.Encode(), wait)
}

// responses reads responses in which another writer has nested something so deeply that no decoder reads what is around it.
var responses = pruner.New(pruner.Config{})

// readPage makes a call that returns objects.
func (c *Client) readPage(ctx context.Context, path string, wait time.Duration) (object.Page, error) {
	var p object.Page
	if err := c.read(ctx, path, wait, &p); err != nil {
		return p, err
	}
	for i := range p.Objects {
		p.Objects[i].Value = responses.Value(p.Objects[i].Value)
	}
	return p, nil
}

// read makes a GET call that the platform may answer only after wait.
func (c *Client) read(ctx context.Context, path string, wait time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return c.do(ctx, http.MethodGet, path, wait, nil, nil, out)
}

// precondition returns the header that makes a write conditional on a version.
func precondition(ifVersion uint64) http.Header {
	if ifVersion == object.Absent {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(ifVersion, 10))}}
}

func (c *Client) do(ctx context.Context, method, path string, wait time.Duration, header http.Header, body []byte, out any) error {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.DoLongPoll(req, wait)
	if err != nil {
		return object.ClassifyError(method, err)
	}
	defer resp.Body.Close()
	if at, err := http.ParseTime(resp.Header.Get("Date")); err == nil {
		c.platformTime.Store(at.Unix())
	}
	if err := status(resp.StatusCode); err != nil {
		return fmt.Errorf("%w (%s %s)", err, method, path)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return object.ClassifyError(method, err)
	}
	if out == nil {
		return nil
	}
	if err := responses.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("%w: malformed response: %w", object.ErrUnknown, err)
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
