// Package signer authenticates calls between the system's processes.
//
// Without it, anyone who reaches a peer's port could declare an endpoint leaving or hand over a
// configuration. A [Signer] signs each call with a shared key over its path, its body, the
// address it is meant for, the time and a random nonce. A receiver refuses calls that are
// unsigned, older than the window, meant for another address, or seen before, so a replayed call
// changes nothing. Answers are signed over the call's nonce, so that an old answer can't replace
// a new one.
//
// # Usage
//
//	s := signer.New(signer.Config{Key: key, Host: "entry-1"})
//	server.Handler = s.Verify(twirpHandler)
//	client := &http.Client{Transport: s.Sign(transport)}
//
// Clocks may differ by up to [Window]. Peers whose clocks differ by more refuse each other's
// calls.
package signer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"brasschute/internal/core/identifier"
)

const (
	// Window is how far the time of a call may be from the receiver's clock.
	Window = 30 * time.Second

	scheme     = "Peer"
	nonceBytes = 12
	macBytes   = 16
	maxMessage = 8 << 20
	// maxNonces bounds the nonces kept in each of the two sets. At the limit calls are refused,
	// since forgetting a nonce would allow a replay.
	maxNonces = 1 << 16

	answerHeader = "Peer-Signature"
)

// Config holds the key shared by all processes of the system.
type Config struct {
	Key  []byte
	Host identifier.Host
	// Addresses are those under which this process may be called, as IP:port. A call signed for
	// another process is refused, so that it can't be replayed here.
	Addresses []string
}

// Signer signs and verifies calls. It is safe for concurrent use. Use New.
type Signer struct {
	c Config

	mu      sync.Mutex
	recent  map[string]bool
	older   map[string]bool
	rotated time.Time
}

// New returns a signer that has seen no call.
func New(c Config) *Signer {
	return &Signer{c: c, recent: make(map[string]bool)}
}

type hostKey struct{}

// Caller returns the host that signed a verified call, or "" outside of one.
func Caller(ctx context.Context) identifier.Host {
	host, _ := ctx.Value(hostKey{}).(identifier.Host)
	return host
}

// credentials are the content of a call's Authorization header.
type credentials struct {
	host  string
	at    string
	nonce string
	mac   string
}

func (c *credentials) header() string {
	return strings.Join([]string{scheme, c.host, c.at, c.nonce, c.mac}, " ")
}

func parse(header string) (credentials, bool) {
	parts := strings.Split(header, " ")
	const fields = 5
	if len(parts) != fields || parts[0] != scheme {
		return credentials{}, false
	}
	return credentials{parts[1], parts[2], parts[3], parts[4]}, true
}

func (s *Signer) mac(parts ...string) string {
	h := hmac.New(sha256.New, s.c.Key)
	for _, part := range parts {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

func (s *Signer) callMAC(c *credentials, address, path string, body []byte) string {
	return s.mac("call", c.host, c.at, c.nonce, address, path, string(body))
}

func (s *Signer) answerMAC(nonce string, status int, body []byte) string {
	return s.mac("answer", nonce, strconv.Itoa(status), string(body))
}

// Sign returns a transport that signs calls and verifies their answers.
func (s *Signer) Sign(next http.RoundTripper) http.RoundTripper {
	return &transport{s: s, next: next}
}

type transport struct {
	s    *Signer
	next http.RoundTripper
}

var _ http.RoundTripper = (*transport)(nil)

// RoundTrip signs and sends a call. An answer without a valid signature is an error.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("peer: read own call: %w", err)
	}
	_ = r.Body.Close()
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	c := credentials{host: string(t.s.c.Host), at: strconv.FormatInt(time.Now().UnixMilli(), 10)}
	c.nonce = base64.RawURLEncoding.EncodeToString(nonce)
	c.mac = t.s.callMAC(&c, r.URL.Host, r.URL.Path, body)
	signed := r.Clone(r.Context())
	signed.Header.Set("Authorization", c.header())
	// Receivers don't need these headers, and each byte counts against the bound on control
	// traffic.
	signed.Header.Set("User-Agent", "")
	signed.Header.Del("Twirp-Version")
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	resp, err := t.next.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	return t.verify(resp, c.nonce)
}

func (t *transport) verify(resp *http.Response, nonce string) (*http.Response, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	if err != nil {
		return nil, fmt.Errorf("peer: answer cut: %w", err)
	}
	want := t.s.answerMAC(nonce, resp.StatusCode, body)
	if !hmac.Equal([]byte(want), []byte(resp.Header.Get(answerHeader))) {
		return nil, fmt.Errorf("peer: answer with status %d is not signed", resp.StatusCode)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// Verify returns a handler that passes on only signed calls that are recent and new. It answers
// others with status 401, and bodies that are truncated or too large with 400.
func (s *Signer) Verify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
		if err != nil {
			http.Error(w, "body cut or too large", http.StatusBadRequest)
			return
		}
		c, ok := parse(r.Header.Get("Authorization"))
		if !ok || !s.authentic(&c, r, body) {
			http.Error(w, "not authenticated", http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		buffered := &buffer{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(buffered, r.WithContext(context.WithValue(r.Context(), hostKey{}, identifier.Host(c.host))))
		w.Header().Set(answerHeader, s.answerMAC(c.nonce, buffered.status, buffered.body.Bytes()))
		w.WriteHeader(buffered.status)
		_, _ = w.Write(buffered.body.Bytes())
	})
}

// authentic reports whether a call is signed for this process, within the window and new.
func (s *Signer) authentic(c *credentials, r *http.Request, body []byte) bool {
	want := s.callMAC(c, r.Host, r.URL.Path, body)
	if !slices.Contains(s.c.Addresses, r.Host) || !hmac.Equal([]byte(want), []byte(c.mac)) {
		return false
	}
	milli, err := strconv.ParseInt(c.at, 10, 64)
	if err != nil {
		return false
	}
	now := time.Now()
	if age := now.Sub(time.UnixMilli(milli)); age > Window || age < -Window {
		return false
	}
	return s.recordNonce(c.nonce, now)
}

// recordNonce records a nonce and reports whether it is new. The time of a call may be up to a
// window ahead, so a nonce has to be kept for two windows: recent holds it for up to two
// windows, older for two more.
func (s *Signer) recordNonce(nonce string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.rotated) > 2*Window {
		s.older = s.recent
		s.recent = make(map[string]bool)
		s.rotated = now
	}
	if s.recent[nonce] || s.older[nonce] || len(s.recent) >= maxNonces {
		return false
	}
	s.recent[nonce] = true
	return true
}

// buffer holds an answer back until it is signed.
type buffer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader records the status.
func (b *buffer) WriteHeader(status int) { b.status = status }

// Write buffers the body.
func (b *buffer) Write(p []byte) (int, error) { return b.body.Write(p) }
