package platform

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/cloud"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/standin/engine"
)

const headerTimeout = 5 * time.Second

// rented is a host that the cloud has started.
type rented struct {
	host   inventory.Host
	server *http.Server
}

// ReclaimWave reclaims all hosts of a zone, or those of one class.
type ReclaimWave struct {
	AvailabilityZone identifier.AvailabilityZone
	// Class is empty for all.
	Class    string
	Deadline time.Time
}

// CloudCalls counts what was asked of the cloud API.
type CloudCalls struct {
	Starts  int64
	Refused int64
	// Started counts the hosts that were really started.
	Started int64
	Stops   int64
}

func (p *Platform) cloudPaths() {
	p.mux.HandleFunc("POST /cloud/hosts", p.startHost)
	p.mux.HandleFunc("DELETE /cloud/hosts/{host}", p.stopHost)
	p.mux.HandleFunc("POST /admin/waves", p.wave)
	p.mux.HandleFunc("GET /admin/cloud", p.getCloudCalls)
}

// startHost starts an engine on a new host, once a token.
func (p *Platform) startHost(w http.ResponseWriter, r *http.Request) {
	var s cloud.Start
	if !read(w, r, &s) {
		return
	}
	p.mu.Lock()
	p.cloudCalls.Starts++
	host, known := p.tokens[s.Token]
	place := fmt.Sprintf("%s/%s", s.AvailabilityZone, s.Class)
	refused := slices.Contains(p.faults.RefuseStarts, place) || slices.Contains(p.faults.RefuseStarts, "*")
	if !known && refused {
		p.cloudCalls.Refused++
		p.mu.Unlock()
		http.Error(w, "no such host to give", http.StatusConflict)
		return
	}
	if !known {
		p.cloudCalls.Started++
		host = identifier.Host(fmt.Sprintf("rented-%d", p.cloudCalls.Started))
		p.tokens[s.Token] = host
	}
	lose := p.faults.LoseStarts > 0
	if lose {
		p.faults.LoseStarts--
	}
	p.mu.Unlock()
	if !known {
		time.AfterFunc(p.c.StartTime, func() { p.boot(host, &s) })
	}
	if lose {
		drop(w)
		return
	}
	answer(w, cloud.Started{Host: host})
}

// boot brings up the host's engine, without a model, and lists it.
func (p *Platform) boot(host identifier.Host, s *cloud.Start) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	name := identifier.Endpoint(host)
	incarnation := identifier.Incarnation(time.Now().UnixMilli())
	server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: engine.New(engine.Config{Endpoint: name, Incarnation: incarnation})}
	go func() { _ = server.Serve(l) }()
	h := inventory.Host{
		Host: host, AvailabilityZone: s.AvailabilityZone, Class: s.Class, Incarnation: incarnation, State: inventory.StateLive, Owner: s.Owner,
		Endpoints: []inventory.Endpoint{{Endpoint: name, Pool: s.Pool, Address: l.Addr().String()}},
	}
	p.mu.Lock()
	p.rented[host] = &rented{h, server}
	p.mu.Unlock()
	p.Register(h)
}

func (p *Platform) stopHost(w http.ResponseWriter, r *http.Request) {
	host := identifier.Host(r.PathValue("host"))
	p.mu.Lock()
	p.cloudCalls.Stops++
	h, ok := p.find(host)
	p.mu.Unlock()
	if ok {
		p.Announce(inventory.Notice{
			Host: host, AvailabilityZone: h.AvailabilityZone, Incarnation: h.Incarnation, Deadline: time.Now().Add(p.c.StopNotice),
		})
	}
	w.WriteHeader(http.StatusNoContent)
}

// find returns a host that is registered or started. The caller holds the
// lock.
func (p *Platform) find(host identifier.Host) (inventory.Host, bool) {
	h, ok := p.registered[host]
	return h, ok
}

func (p *Platform) wave(w http.ResponseWriter, r *http.Request) {
	var wave ReclaimWave
	if !read(w, r, &wave) {
		return
	}
	p.mu.Lock()
	var hosts []inventory.Host
	for _, h := range p.registered {
		if h.AvailabilityZone == wave.AvailabilityZone && (wave.Class == "" || wave.Class == string(h.Class)) {
			hosts = append(hosts, h)
		}
	}
	p.mu.Unlock()
	for _, h := range hosts {
		p.Announce(inventory.Notice{Host: h.Host, AvailabilityZone: h.AvailabilityZone, Incarnation: h.Incarnation, Deadline: wave.Deadline})
	}
	w.WriteHeader(http.StatusNoContent)
}

// take removes a reclaimed host: its engine, its notice and, after the lag,
// its place in the list.
func (p *Platform) take(n *inventory.Notice) {
	p.mu.Lock()
	gone := p.rented[n.Host]
	delete(p.rented, n.Host)
	delete(p.registered, n.Host)
	p.mu.Unlock()
	if gone != nil {
		_ = gone.server.Close()
	}
	place := string(n.AvailabilityZone) + "/" + string(n.Host)
	time.AfterFunc(p.c.HostLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, key := range []string{inventory.HostPrefix + place, inventory.NoticePrefix + place} {
			if _, listed := p.objects[key]; listed {
				p.store(object.Object{Key: key, Deleted: true})
			}
		}
	})
}

func (p *Platform) getCloudCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	c := p.cloudCalls
	p.mu.Unlock()
	answer(w, c)
}
