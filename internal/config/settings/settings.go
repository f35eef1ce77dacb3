// Package settings parses the start-up settings of one process.
//
// Settings hold the location of a process, its listeners and the addresses it
// connects to. They are a file on the host image and differ from host to host.
// The configuration, in contrast, defines what the whole fleet serves; it is
// stored on the platform and changes while processes run.
//
// # Usage
//
//	s, err := settings.Parse("entry.yaml", source)
//
// The error is a decoder.Problems with all mistakes of the file.
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

// Defaults of optional fields, and limits.
const (
	defaultBodyBytes         = 1 << 20
	defaultHeaderBytes       = 32 << 10
	defaultBodyTimeout       = 10 * time.Second
	defaultHeaderTimeout     = 5 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
	defaultBalancerLag       = 3 * time.Second
	defaultDrainPatience     = 30 * time.Second
	defaultLeaseDuration     = 6 * time.Second
	defaultStallTimeout      = 5 * time.Second
	defaultFirstStallTimeout = 20 * time.Second

	minPeerKeyBytes = 32
	maxBodyBytes    = 64 << 20
	minMemoryBytes  = 64 << 20
	sha256Bytes     = 32
)

// Address is an IP address with a port.
type Address struct{ netip.AddrPort }

// UnmarshalText parses IP:port. Host names and port 0 are errors; the error says
// what is allowed, as package decoder expects.
func (a *Address) UnmarshalText(text []byte) error {
	v, err := netip.ParseAddrPort(string(text))
	if err != nil || v.Port() == 0 {
		return fmt.Errorf("IP:port, as 127.0.0.1:8080")
	}
	a.AddrPort = v
	return nil
}

// Settings are the settings of an entry daemon or a controller.
type Settings struct {
	// Host and AvailabilityZone are the host of the process and its zone.
	Host             identifier.Host
	AvailabilityZone identifier.AvailabilityZone
	// Callers, Operators and Peers are the addresses to listen on.
	Callers   Address
	Operators Address
	Peers     Address
	// AdvertisedPeers is the address at which peers reach the Peers listener,
	// if it differs from Peers.
	AdvertisedPeers Address
	// Platform is the address of the platform's API.
	Platform Address
	// Seeds are the peers to contact first while the platform cannot be read.
	Seeds []Address
	// PeerKey is the key shared by all processes of the system, in hexadecimal.
	PeerKey      string
	OperatorKeys []OperatorKey
	Limits       Limits
	Drain        Drain
	Engine       Engine
	Lease        Lease
	Log          Log
}

// PeerAddress returns the address at which peers reach the process.
func (s *Settings) PeerAddress() Address {
	if s.AdvertisedPeers.IsValid() {
		return s.AdvertisedPeers
	}
	return s.Peers
}

// Source returns the local address to connect from, the IP of the Peers listener:
// a host may have several addresses, and peers know it by this one.
func (s *Settings) Source() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.Peers.Addr(), 0))
}

// OperatorKey is the key of one operator.
type OperatorKey struct {
	Name string
	// KeyHash is the SHA-256 of the key, in hexadecimal.
	KeyHash string
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	BodyBytes   int
	HeaderBytes int
	// MemoryBytes is the memory that the process may take; 0 for that of the machine.
	MemoryBytes   int
	BodyTimeout   quantity.Duration
	HeaderTimeout quantity.Duration
	IdleTimeout   quantity.Duration
}

// Drain sets the times of a graceful stop.
type Drain struct {
	// BalancerLag is how long the load balancer may still send requests after the
	// readiness check fails.
	BalancerLag quantity.Duration
	// Patience is how long a stop waits for responses in progress before it hands
	// them over.
	Patience quantity.Duration
}

// Engine sets after how long a silent engine counts as failed.
type Engine struct {
	// Stall is the timeout between two events of a stream, FirstStall that before
	// the first event.
	Stall      quantity.Duration
	FirstStall quantity.Duration
}

// Lease sets the terms of a zone's lease.
type Lease struct {
	Duration quantity.Duration
}

// Log sets the level and format of the log.
type Log struct {
	// Level is debug, info, warn or error; Format is json or text.
	Level  string
	Format string
}

// Parse parses and checks settings; file is the name shown in problems. The error
// is a decoder.Problems.
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
		Drain:  Drain{BalancerLag: quantity.Duration(defaultBalancerLag), Patience: quantity.Duration(defaultDrainPatience)},
		Engine: Engine{Stall: quantity.Duration(defaultStallTimeout), FirstStall: quantity.Duration(defaultFirstStallTimeout)},
		Lease:  Lease{Duration: quantity.Duration(defaultLeaseDuration)},
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
	s.checkAddresses(d)
	s.checkKeys(d)
	s.checkBounds(d)
	checkOneOf(d, "Log.Level", s.Log.Level, "debug", "info", "warn", "error")
	checkOneOf(d, "Log.Format", s.Log.Format, "json", "text")
}

func (s *Settings) checkAddresses(d *decoder.Decoder) {
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

func (s *Settings) checkKeys(d *decoder.Decoder) {
	if key, err := hex.DecodeString(s.PeerKey); err != nil || len(key) < minPeerKeyBytes {
		d.Report("PeerKey", fmt.Sprintf("%d characters", len(s.PeerKey)), "at least 64 hexadecimal digits, as 'brasschute key' prints")
	}
	names := make(map[string]bool)
	for i, k := range s.OperatorKeys {
		path := fmt.Sprintf("OperatorKeys[%d].", i)
		if k.Name == "" || names[k.Name] {
			d.Report(path+"Name", fmt.Sprintf("%q", k.Name), "a name of its own")
		}
		names[k.Name] = true
		if h, err := hex.DecodeString(k.KeyHash); err != nil || len(h) != sha256Bytes {
			d.Report(path+"KeyHash", fmt.Sprintf("%q", k.KeyHash), "a SHA-256 in hexadecimal, as 'brasschute key' prints")
		}
	}
}

func (s *Settings) checkBounds(d *decoder.Decoder) {
	if s.Limits.BodyBytes < 1 || s.Limits.BodyBytes > maxBodyBytes {
		d.Report("Limits.BodyBytes", fmt.Sprint(s.Limits.BodyBytes), fmt.Sprintf("1 to %d", maxBodyBytes))
	}
	if s.Limits.HeaderBytes < 1 || s.Limits.HeaderBytes > maxBodyBytes {
		d.Report("Limits.HeaderBytes", fmt.Sprint(s.Limits.HeaderBytes), fmt.Sprintf("1 to %d", maxBodyBytes))
	}
	if s.Limits.MemoryBytes != 0 && s.Limits.MemoryBytes < minMemoryBytes {
		d.Report("Limits.MemoryBytes", fmt.Sprint(s.Limits.MemoryBytes), fmt.Sprintf("%d or more, or 0 for that of the machine", minMemoryBytes))
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

func checkOneOf(d *decoder.Decoder, field, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	d.Report(field, fmt.Sprintf("%q", value), fmt.Sprint(allowed))
}
