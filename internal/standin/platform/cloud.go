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

// startedHost is a host that the cloud API has started.
type startedHost struct {
	host   inventory.Host
	server *http.Server
}

// ReclaimWave reclaims all hosts of a zone, or those of one class, at a deadline.
type ReclaimWave struct {
	AvailabilityZone identifier.AvailabilityZone
	// Class is empty for all classes.
	Class    string
	Deadline time.Time
}

// CloudCalls counts the calls of the cloud API.
type CloudCalls struct {
	Starts  int64
	Refused int64
	// Started counts the hosts started; a repeated token starts none.
	Started int64
	Stops   int64
}

func (p *Platform) cloudPaths() {
	p.mux.HandleFunc("POST /cloud/hosts", p.startHost)
	p.mux.HandleFunc("DELETE /cloud/hosts/{host}", p.stopHost)
	p.mux.HandleFunc("POST /admin/waves", p.postWave)
	p.mux.HandleFunc("GET /admin/cloud", p.getCloudCalls)
}

// startHost starts a host with an engine. A repeated token gets the host of the first
// call.
func (p *Platform) startHost(w http.ResponseWriter, r *http.Request) {
	var s cloud.Start
	if !readJSON(w, r, &s) {
		return
	}
	p.mu.Lock()
	p.cloudCalls.Starts++
	host, repeated := p.startTokens[s.Token]
	place := fmt.Sprintf("%s/%s", s.AvailabilityZone, s.Class)
	refused := slices.Contains(p.faults.RefuseStarts, place) || slices.Contains(p.faults.RefuseStarts, "*")
	if !repeated && refused {
		p.cloudCalls.Refused++
		p.mu.Unlock()
		http.Error(w, "no such host to give", http.StatusConflict)
		return
	}
	if !repeated {
		p.cloudCalls.Started++
		host = identifier.Host(fmt.Sprintf("rented-%d", p.cloudCalls.Started))
		p.startTokens[s.Token] = host
	}
	lose := p.faults.LoseStarts > 0
	if lose {
		p.faults.LoseStarts--
	}
	p.mu.Unlock()
	if !repeated {
		time.AfterFunc(p.c.StartTime, func() { p.boot(host, &s) })
	}
	if lose {
		closeUnanswered(w)
		return
	}
	writeJSON(w, cloud.Started{Host: host})
}

// boot starts the engine of a host, without a model, and registers the host.
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
	p.started[host] = &startedHost{h, server}
	p.mu.Unlock()
	p.Register(h)
}

// stopHost announces the end of a host.
func (p *Platform) stopHost(w http.ResponseWriter, r *http.Request) {
	host := identifier.Host(r.PathValue("host"))
	p.mu.Lock()
	p.cloudCalls.Stops++
	h, ok := p.find(host)
	p.mu.Unlock()
	if ok {
		p.AnnounceReclaim(inventory.Notice{
			Host: host, AvailabilityZone: h.AvailabilityZone, Incarnation: h.Incarnation, Deadline: time.Now().Add(p.c.StopNotice),
		})
	}
	w.WriteHeader(http.StatusNoContent)
}

// find returns a registered host. The caller holds the lock.
func (p *Platform) find(host identifier.Host) (inventory.Host, bool) {
	h, ok := p.registered[host]
	return h, ok
}

// postWave announces the reclaim of the hosts that a wave names.
func (p *Platform) postWave(w http.ResponseWriter, r *http.Request) {
	var wave ReclaimWave
	if !readJSON(w, r, &wave) {
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
		p.AnnounceReclaim(inventory.Notice{Host: h.Host, AvailabilityZone: h.AvailabilityZone, Incarnation: h.Incarnation, Deadline: wave.Deadline})
	}
	w.WriteHeader(http.StatusNoContent)
}

// removeHost stops the engine of a reclaimed host, and deletes its notice and its
// entry in the list after the lag.
func (p *Platform) removeHost(n *inventory.Notice) {
	p.mu.Lock()
	started := p.started[n.Host]
	delete(p.started, n.Host)
	delete(p.registered, n.Host)
	p.mu.Unlock()
	if started != nil {
		_ = started.server.Close()
	}
	place := string(n.AvailabilityZone) + "/" + string(n.Host)
	time.AfterFunc(p.c.HostListLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, key := range []string{inventory.HostPrefix + place, inventory.NoticePrefix + place} {
			if _, listed := p.objects[key]; listed {
				p.apply(object.Object{Key: key, Deleted: true})
			}
		}
	})
}

func (p *Platform) getCloudCalls(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	c := p.cloudCalls
	p.mu.Unlock()
	writeJSON(w, c)
}
