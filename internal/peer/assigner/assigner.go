// Package assigner determines which daemon coordinates an endpoint, and which daemons keep a record.
//
// All daemons must find the same coordinator without communication, and must spread the endpoints
// evenly over the daemons. The coordinator is the live daemon of the endpoint's zone that wins a
// rendezvous hash of daemon and endpoint, so that the end of a daemon moves only the endpoints that
// it coordinated. A partition between zones does not separate an endpoint from its coordinator. If
// no daemon of the zone coordinates, those of the whole fleet are considered.
//
// # Usage
//
//	a := assigner.New(assigner.Config{Daemons: liveDaemons})
//	d, ok := a.Coordinator("i-38b230184d", "zone-1", now)
//	keepers := a.Select("request-1", 2, now)
package assigner

import (
	"sync"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/core/mixer"
	"brasschute/internal/core/ranker"

	"github.com/cespare/xxhash/v2"
)

// maxAge is how long a list of daemons is used: several requests a second ask, and a daemon counts
// as live for seconds after it was last heard.
const maxAge = 100 * time.Millisecond

// Daemon is a live daemon that coordinates endpoints.
type Daemon struct {
	Host    identifier.Host
	Zone    identifier.AvailabilityZone
	Address string
}

// Config holds the source of the daemons.
type Config struct {
	// Daemons returns the live daemons that coordinate endpoints, this one included. Called with a
	// lock held; must not call back.
	Daemons func(now time.Time) []Daemon
}

// Assigner assigns endpoints to daemons. It is safe for concurrent use.
type Assigner struct {
	c Config

	mu    sync.Mutex
	all   []hashedDaemon
	zones map[identifier.AvailabilityZone][]hashedDaemon
	asOf  time.Time
}

// hashedDaemon is a daemon with the hash of its name.
type hashedDaemon struct {
	Daemon
	hash uint64
}

// New returns an assigner.
func New(c Config) *Assigner { return &Assigner{c: c} }

// Coordinator returns the daemon that coordinates an endpoint of a zone. ok is false if no daemon
// does.
func (a *Assigner) Coordinator(e identifier.Endpoint, zone identifier.AvailabilityZone, now time.Time) (d Daemon, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.zones == nil || now.Sub(a.asOf) >= maxAge {
		a.refresh(now)
	}
	list := a.zones[zone]
	if len(list) == 0 {
		list = a.all
	}
	endpoint, highest := xxhash.Sum64String(string(e)), uint64(0)
	for i := range list {
		h := mixer.Mix(endpoint ^ list[i].hash)
		if !ok || h > highest || h == highest && list[i].Host < d.Host {
			d, highest, ok = list[i].Daemon, h, true
		}
	}
	return d, ok
}

// Select returns up to n daemons of all zones for a key, in the order of a rendezvous hash. The end
// of a daemon moves only the keys for which it was selected.
func (a *Assigner) Select(key string, n int, now time.Time) []Daemon {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.zones == nil || now.Sub(a.asOf) >= maxAge {
		a.refresh(now)
	}
	hash := xxhash.Sum64String(key)
	best := ranker.New[Daemon](n)
	for i := range a.all {
		best.Add(a.all[i].Daemon, mixer.Mix(hash^a.all[i].hash))
	}
	return best.Items()
}

// refresh reads the daemons. The caller holds the lock.
func (a *Assigner) refresh(now time.Time) {
	daemons := a.c.Daemons(now)
	a.asOf, a.all, a.zones = now, make([]hashedDaemon, 0, len(daemons)), make(map[identifier.AvailabilityZone][]hashedDaemon)
	for _, d := range daemons {
		h := hashedDaemon{d, xxhash.Sum64String(string(d.Host))}
		a.all = append(a.all, h)
		a.zones[d.Zone] = append(a.zones[d.Zone], h)
	}
}
