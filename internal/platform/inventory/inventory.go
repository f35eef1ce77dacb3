// Package inventory declares the platform's records of hosts and the keys of the
// objects in its store.
//
// The platform publishes a [Host] under hosts/ZONE/HOST, some time after a change,
// and a [Notice] under notices/ZONE/HOST as soon as it decides to reclaim the
// host. With one object per host a change stays small: a daemon that watches 1,200
// hosts receives only the record that changed.
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

// Keys and key prefixes of the platform's objects and of the system's own.
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

// State is the state of a host according to the platform.
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
	// Born is the start time of the host's endpoint, 0 if the platform doesn't state it.
	Born  identifier.StartTime `json:",omitempty"`
	State State
	// Owner is the zone for which the host was started, if it is not the host's own.
	Owner     identifier.AvailabilityZone `json:",omitempty"`
	Endpoints []Endpoint
}

// Endpoint is one process on a host that serves requests.
type Endpoint struct {
	Endpoint identifier.Endpoint
	Pool     identifier.Pool
	// Address is IP:port.
	Address string
	// Version is the version of its software, empty if the platform doesn't state it.
	Version identifier.Version `json:",omitempty"`
	// Cold is how much longer the endpoint is slow because it started recently.
	Cold time.Duration `json:",omitempty"`
}

// Notice announces that a host will be reclaimed.
type Notice struct {
	Host             identifier.Host
	AvailabilityZone identifier.AvailabilityZone
	Incarnation      identifier.Incarnation
	// Deadline is when the host is reclaimed, by the platform's clock.
	Deadline time.Time
}

// Member is the record that an entry daemon writes so that peers find it.
type Member struct {
	Host             identifier.Host
	AvailabilityZone identifier.AvailabilityZone
	Incarnation      identifier.Incarnation
	// PeerAddress is IP:port of the daemon's listener for peers.
	PeerAddress string
	// RenewedUnix is the time of the last renewal, in Unix seconds by the platform's
	// clock.
	RenewedUnix int64
}
