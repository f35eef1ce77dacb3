// Package settings reads what one process is told at its start.
//
// # Settings and configuration
//
// Settings say where a process is and whom it talks to; they are a file on
// the host image and differ from host to host. The configuration says what
// the fleet does; it lives on the platform and changes while processes run.
//
// # Usage
//
//	s, err := settings.Parse("entry.yaml", source)
//
// An error is a decoder.Problems with all mistakes of the file.
package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"time"

	"brasschute/internal/config/decoder"
	"brasschute/internal/core/identifier"
	"brasschute/internal/core/quantity"
)

// Defaults of the fields that may be left out.
const (
	defaultBodyBytes     = 1 << 20
	defaultHeaderBytes   = 32 << 10
	defaultBodyTimeout   = 10 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultBalancerLag   = 3 * time.Second
	defaultPatience      = 30 * time.Second
	defaultLease         = 6 * time.Second
	defaultStall         = 5 * time.Second
	defaultFirstStall    = 20 * time.Second

	minKeyBytes  = 32
	maxBodyBytes = 64 << 20
	digestBytes  = 32
)

// Address is an IP address and port.
type Address struct{ netip.AddrPort }

// UnmarshalText reads IP:port; host names are errors.
func (a *Address) UnmarshalText(text []byte) error {
	v, err := netip.ParseAddrPort(string(text))
	if err != nil || v.Port() == 0 {
		return fmt.Errorf("IP:port, as 127.0.0.1:8080")
	}
	a.AddrPort = v
	return nil
}

// Settings are those of an entry daemon or a controller.
type Settings struct {
	// Host and AvailabilityZone say who and where the process is.
	Host             identifier.Host
	AvailabilityZone identifier.AvailabilityZone
	// Callers, Operators and Peers are the addresses to listen on.
	Callers   Address
	Operators Address
	Peers     Address
	// AdvertisedPeers is the address under which peers reach Peers, if it is
	// another one.
	AdvertisedPeers Address
	// Platform is the address of the platform's API.
	Platform Address
	// Seeds are peers to start with while the platform cannot be read.
	Seeds []Address
	// PeerKey is shared by all processes of the system, in hexadecimal.
	PeerKey      string
	OperatorKeys []OperatorKey
	Limits       Limits
	Drain        Drain
	Engine       Engine
	Lease        Lease
	Log          Log
}

// PeerAddress is where peers reach the process.
func (s *Settings) PeerAddress() Address {
	if s.AdvertisedPeers.IsValid() {
		return s.AdvertisedPeers
	}
	return s.Peers
}

// Source is the local address from which the process connects: a host may
// have several, and the others know it by this one.
func (s *Settings) Source() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.Peers.Addr(), 0))
}

// OperatorKey names an operator by the SHA-256 of the operator's key.
type OperatorKey struct {
	Name    string
	KeyHash string
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes     int
	HeaderBytes   int
	BodyTimeout   quantity.Duration
	HeaderTimeout quantity.Duration
	IdleTimeout   quantity.Duration
}

// Drain sets the pace of a graceful stop.
type Drain struct {
	// BalancerLag is how long the balancer may still send requests after
	// readiness fails.
	BalancerLag quantity.Duration
	// Patience is how long a stop waits for answers before handing over.
	Patience quantity.Duration
}

// Engine sets when an engine that is silent counts as failed.
type Engine struct {
	Stall      quantity.Duration
	FirstStall quantity.Duration
}

// Lease sets how leadership of a zone is held.
type Lease struct {
	Duration quantity.Duration
}

// Log sets what is logged.
type Log struct {
	// Level is debug, info, warn or error; Format is json or text.
	Level  string
	Format string
}

// Parse reads and checks settings.
func Parse(file string, source []byte) (*Settings, error) {
	s := defaults()
	d := decoder.Decoder{File: file}
	d.Decode(source, s)
	s.check(&d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func defaults() *Settings {
	return &Settings{
		Limits: Limits{
			BodyBytes: defaultBodyBytes, HeaderBytes: defaultHeaderBytes, BodyTimeout: quantity.Duration(defaultBodyTimeout),
			HeaderTimeout: quantity.Duration(defaultHeaderTimeout), IdleTimeout: quantity.Duration(defaultIdleTimeout),
		},
		Drain:  Drain{BalancerLag: quantity.Duration(defaultBalancerLag), Patience: quantity.Duration(defaultPatience)},
		Engine: Engine{Stall: quantity.Duration(defaultStall), FirstStall: quantity.Duration(defaultFirstStall)},
		Lease:  Lease{Duration: quantity.Duration(defaultLease)},
		Log:    Log{Level: "info", Format: "json"},
	}
}

func (s *Settings) check(d *decoder.Decoder) {
	if s.Host == "" {
		d.Report("Host", "nothing", "a name")
	}
	if s.AvailabilityZone == "" {
		d.Report("AvailabilityZone", "nothing", "a name")
	}
	s.addresses(d)
	s.keys(d)
	s.bounds(d)
	oneOf(d, "Log.Level", s.Log.Level, "debug", "info", "warn", "error")
	oneOf(d, "Log.Format", s.Log.Format, "json", "text")
}

func (s *Settings) addresses(d *decoder.Decoder) {
	seen := make(map[netip.AddrPort]string)
	for _, a := range []struct {
		name    string
		address Address
	}{{"Callers", s.Callers}, {"Operators", s.Operators}, {"Peers", s.Peers}, {"Platform", s.Platform}} {
		if !a.address.IsValid() {
			d.Report(a.name, "nothing", "IP:port, as 127.0.0.1:8080")
			continue
		}
		if other := seen[a.address.AddrPort]; other != "" {
			d.Report(a.name, "the address of "+other, "an address of its own")
		}
		seen[a.address.AddrPort] = a.name
	}
}

func (s *Settings) keys(d *decoder.Decoder) {
	if key, err := hex.DecodeString(s.PeerKey); err != nil || len(key) < minKeyBytes {
		d.Report("PeerKey", fmt.Sprintf("%d characters", len(s.PeerKey)), "at least 64 hexadecimal digits, as 'brasschute key' prints")
	}
	names := make(map[string]bool)
	for i, k := range s.OperatorKeys {
		at := fmt.Sprintf("OperatorKeys[%d].", i)
		if k.Name == "" || names[k.Name] {
			d.Report(at+"Name", fmt.Sprintf("%q", k.Name), "a name of its own")
		}
		names[k.Name] = true
		if h, err := hex.DecodeString(k.KeyHash); err != nil || len(h) != digestBytes {
			d.Report(at+"KeyHash", fmt.Sprintf("%q", k.KeyHash), "a SHA-256 in hexadecimal, as 'brasschute key' prints")
		}
	}
}

func (s *Settings) bounds(d *decoder.Decoder) {
	if s.Limits.BodyBytes < 1 || s.Limits.BodyBytes > maxBodyBytes {
		d.Report("Limits.BodyBytes", fmt.Sprint(s.Limits.BodyBytes), fmt.Sprintf("1 to %d", maxBodyBytes))
	}
	if s.Limits.HeaderBytes < 1 || s.Limits.HeaderBytes > maxBodyBytes {
		d.Report("Limits.HeaderBytes", fmt.Sprint(s.Limits.HeaderBytes), fmt.Sprintf("1 to %d", maxBodyBytes))
	}
	for _, b := range []struct {
		name  string
		value quantity.Duration
	}{
		{"Limits.BodyTimeout", s.Limits.BodyTimeout},
		{"Limits.HeaderTimeout", s.Limits.HeaderTimeout},
		{"Limits.IdleTimeout", s.Limits.IdleTimeout},
		{"Drain.Patience", s.Drain.Patience},
		{"Engine.Stall", s.Engine.Stall},
		{"Engine.FirstStall", s.Engine.FirstStall},
		{"Lease.Duration", s.Lease.Duration},
	} {
		if b.value <= 0 {
			d.Report(b.name, b.value.String(), "a duration above 0")
		}
	}
}

func oneOf(d *decoder.Decoder, field, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	d.Report(field, fmt.Sprintf("%q", value), fmt.Sprint(allowed))
}
