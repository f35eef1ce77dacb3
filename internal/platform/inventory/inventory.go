// Package inventory holds the records in which the platform lists hosts.
//
// # Keys
//
// The platform publishes a [Host] under hosts/ZONE/HOST, some time after the
// fact, and a [Notice] under notices/ZONE/HOST as soon as it decides to
// reclaim the host. One object a host keeps a change small: a daemon that
// watches 1,200 hosts receives the one record that changed.
//
// # Usage
//
//	var h inventory.Host
//	err := json.Unmarshal(o.Value, &h)
package inventory

import (
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
)

// The prefixes of the platform's and the system's own objects.
const (
	HostPrefix          = "hosts/"
	NoticePrefix        = "notices/"
	MemberPrefix        = "members/"
	ConfigurationKey    = "config/current"
	ConfigurationPrefix = "config/"
	ClaimPrefix         = "claims/"
	LeasePrefix         = "leases/"
	AuditPrefix         = "trail/"
	HeldPrefix          = "held/"
	RepairPrefix        = "repairs/"
)

// State tells what the platform believes of a host.
type State string

// The states of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is the platform's record of one machine.
type Host struct {
	Host             identifier.Host
	AvailabilityZone identifier.AvailabilityZone
	Class            document.Class
	Incarnation      identifier.Incarnation
	// Born is when the host's endpoint started, where the platform tells.
	Born  identifier.StartTime `json:",omitempty"`
	State State
	// Owner is the zone on whose behalf the host was started, if another.
	Owner     identifier.AvailabilityZone `json:",omitempty"`
	Endpoints []Endpoint
}

// Endpoint is one process on a host that serves requests.
type Endpoint struct {
	Endpoint identifier.Endpoint
	Pool     identifier.Pool
	// Address is IP:port.
	Address string
	// Version is that of its software, where the platform tells.
	Version identifier.Version `json:",omitempty"`
	// Cold is how much longer it is slow after its start.
	Cold time.Duration `json:",omitempty"`
}

// Notice announces that a host will be reclaimed.
type Notice struct {
	Host             identifier.Host
	AvailabilityZone identifier.AvailabilityZone
	Incarnation      identifier.Incarnation
	// Deadline is when the host is taken away, by the platform's clock.
	Deadline time.Time
}

// Member is an entry daemon's own record, by which peers find it.
type Member struct {
	Host             identifier.Host
	AvailabilityZone identifier.AvailabilityZone
	Incarnation      identifier.Incarnation
	// PeerAddress is IP:port of the listener for peers.
	PeerAddress string
	// RenewedUnix is the platform's time of the last renewal, in seconds.
	RenewedUnix int64
}
