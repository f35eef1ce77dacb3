// Package sealer creates and opens resume tokens.
//
// Each event of a stream has an id. A caller whose connection broke sends the last id
// back as Last-Event-ID, to any daemon. No daemon stores anything for this: the token
// itself states which stream it belongs to, where the stream runs, how many tokens
// the caller has, and which peers may hold the state. It is signed, bound to the
// organisation and short-lived, so that a forged, expired or stolen token is refused.
//
// # Usage
//
//	s := sealer.New(sealer.Config{Key: key})
//	id := s.Seal(&sealer.Token{...})
//	t, err := s.Open(id, organisation)
package sealer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"brasschute/internal/core/identifier"

	"github.com/cespare/xxhash/v2"
)

// ErrRefused is returned for every invalid token. It does not say why, as that would help
// a forger.
var ErrRefused = errors.New("resume token refused")

const (
	macBytes        = 16
	formatVersion   = 1
	defaultLifetime = 10 * time.Minute
	maxHolders      = 3
)

// Config holds the key, which all daemons of a system share.
type Config struct {
	Key []byte
	// Lifetime is how long a token is valid; 10 min if zero.
	Lifetime time.Duration
}

// Token is the content of a resume token.
type Token struct {
	Organisation identifier.Organisation
	// Instance is the unique id of the request, Stream the id of its stream at the engine.
	Instance identifier.Request
	Stream   string
	Endpoint identifier.Endpoint
	// Offset is the number of tokens that the caller has received.
	Offset int
	// Holders are the peers that may hold the state of the request.
	Holders []netip.AddrPort
}

// Sealer creates and opens tokens. It has no state and is safe for concurrent use.
type Sealer struct {
	key      []byte
	lifetime time.Duration
}

// New returns a sealer. Its key is derived from the given one, so that a token can never
// pass as a signature made for another purpose.
func New(c Config) *Sealer {
	if c.Lifetime == 0 {
		c.Lifetime = defaultLifetime
	}
	h := hmac.New(sha256.New, c.Key)
	_, _ = h.Write([]byte("resume token"))
	return &Sealer{key: h.Sum(nil), lifetime: c.Lifetime}
}

// Seal returns the token as text for an event id. It keeps the first three holders.
func (s *Sealer) Seal(t *Token) string {
	b := []byte{formatVersion}
	b = binary.BigEndian.AppendUint32(b, uint32(time.Now().Add(s.lifetime).Unix()))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64String(string(t.Organisation)))
	b = appendText(b, string(t.Instance))
	b = appendText(b, t.Stream)
	b = appendText(b, string(t.Endpoint))
	b = binary.AppendUvarint(b, uint64(t.Offset))
	for _, a := range t.Holders[:min(len(t.Holders), maxHolders)] {
		b = appendText(b, a.String())
	}
	return base64.RawURLEncoding.EncodeToString(append(b, s.mac(b)...))
}

func appendText(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

func (s *Sealer) mac(b []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	_, _ = h.Write(b)
	return h.Sum(nil)[:macBytes]
}

// Open checks a token for an organisation. The error is ErrRefused.
func (s *Sealer) Open(text string, o identifier.Organisation) (*Token, error) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) <= macBytes {
		return nil, ErrRefused
	}
	b, mac := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !hmac.Equal(mac, s.mac(b)) || b[0] != formatVersion {
		return nil, ErrRefused
	}
	r := reader{b: b[1:]}
	expires := time.Unix(int64(r.uint32()), 0)
	owner := r.uint64()
	t := &Token{Organisation: o}
	t.Instance = identifier.Request(r.text())
	t.Stream = r.text()
	t.Endpoint = identifier.Endpoint(r.text())
	t.Offset = int(r.uvarint())
	for len(r.b) > 0 && !r.failed {
		if a, err := netip.ParseAddrPort(r.text()); err == nil {
			t.Holders = append(t.Holders, a)
		}
	}
	if r.failed || time.Now().After(expires) || owner != xxhash.Sum64String(string(o)) {
		return nil, ErrRefused
	}
	return t, nil
}

// reader reads fields from the front of b. failed is set if a field is missing.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.failed = true
		return make([]byte, max(n, 0)&0xff)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) uint32() uint32 {
	const size = 4
	return binary.BigEndian.Uint32(r.take(size))
}

func (r *reader) uint64() uint64 {
	const size = 8
	return binary.BigEndian.Uint64(r.take(size))
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text() string {
	n := r.uvarint()
	if n > uint64(len(r.b)) {
		r.failed = true
		return ""
	}
	return string(r.take(int(n)))
}
