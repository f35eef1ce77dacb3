// Package signer authenticates calls between the system's processes.
//
// # What it guards against
//
// Anyone who reaches a peer's port could otherwise declare an endpoint
// leaving or hand over a configuration. A [Signer] signs each call with a
// shared key over its path, its body, the address it is meant for, the time
// and a random nonce. A receiver refuses calls that are unsigned, older than
// the window, meant for another address, or seen before; a replayed call
// therefore changes nothing. Answers are signed over the call's nonce, so
// that an old answer cannot stand for a new one.
//
// # Usage
//
//	s := signer.New(signer.Config{Key: key, Host: "entry-1"})
//	server.Handler = s.Verify(twirpHandler)
//	client := &http.Client{Transport: s.Sign(transport)}
//
// The window tolerates clocks that differ by up to [Window]; beyond it peers
// refuse each other and say so.
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
	// Window is how old a call may be.
	Window = 30 * time.Second

	scheme     = "Peer"
	nonceBytes = 12
	macBytes   = 16
	maxMessage = 8 << 20
	// maxNonces bounds the memory of nonces in each half of the window; at
	// the limit calls are refused, since forgetting one would allow replay.
	maxNonces = 1 << 16

	answerHeader = "Peer-Signature"
)

// Config holds the key shared by all processes of one system.
type Config struct {
	Key  []byte
	Host identifier.Host
	// Addresses are those under which this process may be called, as IP:port.
	// A call signed for another process is refused, so that it cannot be
	// replayed here.
	Addresses []string
}

// Signer signs and verifies. Use New.
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

// Caller returns the host that signed a verified call.
func Caller(ctx context.Context) identifier.Host {
	host, _ := ctx.Value(hostKey{}).(identifier.Host)
	return host
}

// credentials are what the Authorization header of a call carries.
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

// RoundTrip signs one call; an answer without valid signature is an error.
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
	// Each byte of a message counts against the bound on control traffic.
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

// Verify returns a handler that lets only fresh, signed calls through.
func (s *Signer) Verify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
		if err != nil {
			http.Error(w, "body cut or too large", http.StatusBadRequest)
			return
		}
		c, ok := parse(r.Header.Get("Authorization"))
		if !ok || !s.genuine(&c, r, body) {
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

func (s *Signer) genuine(c *credentials, r *http.Request, body []byte) bool {
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
	return s.fresh(c.nonce, now)
}

// fresh records a nonce and tells whether it is new. A call's time may lie up
// to a window ahead, so a nonce is remembered for two windows: it is kept in
// recent for one to two of them and then in older for as long again.
func (s *Signer) fresh(nonce string, now time.Time) bool {
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

// buffer holds an answer back until it can be signed.
type buffer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader notes the status.
func (b *buffer) WriteHeader(status int) { b.status = status }

// Write collects the body.
func (b *buffer) Write(p []byte) (int, error) { return b.body.Write(p) }
