// Package starter runs a stand-in as a process of its own.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:9000
//	standin engine --listen 127.0.0.1:9101 --platform 127.0.0.1:9000 \
//	    --host engine-host-1 --zone hal-utrecht --pool models --model demo-1
//	standin plain --listen 127.0.0.1:9201 --platform 127.0.0.1:9000 \
//	    --host app-host-1 --zone hal-utrecht --pool planning
//
// An engine or plain service registers its host with the platform, which
// lists it after its lag.
package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/standin/engine"
	"brasschute/internal/standin/plain"
	"brasschute/internal/standin/platform"

	"github.com/integrii/flaggy"
)

const (
	headerTimeout = 5 * time.Second
	registerTries = 50
	registerPause = 100 * time.Millisecond
)

// Config names where errors go.
type Config struct {
	Errors io.Writer
}

// Starter parses the command line and serves.
type Starter struct {
	c       Config
	listen  string
	public  string
	lag     time.Duration
	where   string
	host    inventory.Host
	class   string
	zone    string
	name    string
	pool    string
	model   string
	prefill int
	decode  int
	slots   int
	ignores bool
	dedupes bool
	linger  time.Duration
	start   time.Duration
	notice  time.Duration
}

// New returns a starter.
func New(c Config) *Starter {
	return &Starter{c: c, class: string(document.ClassReclaimable), slots: 8}
}

// Run serves until SIGINT or SIGTERM and returns the exit code.
func (s *Starter) Run(args []string) int {
	p := flaggy.NewParser("standin")
	p.Description = "stand-ins for the platform, engines and plain services"
	roles := map[string]*flaggy.Subcommand{}
	for _, role := range []string{"platform", "engine", "plain"} {
		sub := flaggy.NewSubcommand(role)
		sub.String(&s.listen, "l", "listen", "address to listen on, IP:port")
		p.AttachSubcommand(sub, 1)
		roles[role] = sub
	}
	roles["platform"].Duration(&s.lag, "", "lag", "time until a host's change shows in the list")
	roles["platform"].Duration(&s.start, "", "start-time", "time until a rented host is up")
	roles["platform"].Duration(&s.notice, "", "stop-notice", "notice of a host that is given back")
	s.endpointFlags(roles["engine"])
	s.endpointFlags(roles["plain"])
	roles["engine"].String(&s.model, "m", "model", "model that is loaded")
	roles["engine"].Int(&s.prefill, "", "prefill", "tokens read in a second, 0 for at once")
	roles["engine"].Int(&s.decode, "", "decode", "tokens written in a second, 0 for at once")
	roles["engine"].Int(&s.slots, "", "slots", "streams that run at once")
	roles["engine"].Duration(&s.linger, "", "linger", "how long a stream without reader lives on")
	roles["engine"].Bool(&s.ignores, "", "ignores-fencing", "take orders with an old fencing number")
	roles["plain"].Bool(&s.dedupes, "", "deduplicates", "run each key at most once")
	if err := p.ParseArgs(args); err != nil {
		return s.fail(err)
	}
	for role, sub := range roles {
		if sub.Used {
			return s.serve(role)
		}
	}
	p.ShowHelp()
	return 2
}

func (s *Starter) endpointFlags(sub *flaggy.Subcommand) {
	sub.String(&s.public, "", "advertise", "address under which it is listed; the listening one if left out")
	sub.String(&s.where, "p", "platform", "address of the platform, IP:port")
	sub.String((*string)(&s.host.Host), "", "host", "name of the host")
	sub.String(&s.zone, "z", "zone", "availability zone")
	sub.String(&s.class, "", "class", "reclaimable or on-demand")
	sub.String(&s.name, "n", "name", "name of the endpoint; the host's if left out")
	sub.String(&s.pool, "", "pool", "pool of the endpoint")
}

func (s *Starter) fail(err error) int {
	fmt.Fprintln(s.c.Errors, "standin:", err)
	return 1
}

func (s *Starter) serve(role string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return s.fail(err)
	}
	server := http.Server{Handler: s.handler(role), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }()
	if role != "platform" {
		if err := s.register(ctx); err != nil {
			return s.fail(err)
		}
	}
	<-ctx.Done()
	_ = server.Close()
	return 0
}

func (s *Starter) handler(role string) http.Handler {
	if s.name == "" {
		s.name = string(s.host.Host)
	}
	if s.public == "" {
		s.public = s.listen
	}
	s.host.AvailabilityZone = identifier.AvailabilityZone(s.zone)
	s.host.Class = document.Class(s.class)
	s.host.State = inventory.StateLive
	s.host.Incarnation = identifier.Incarnation(time.Now().UnixMilli())
	s.host.Endpoints = []inventory.Endpoint{{
		Endpoint: identifier.Endpoint(s.name), Pool: identifier.Pool(s.pool), Address: s.public,
	}}
	switch role {
	case "engine":
		return engine.New(engine.Config{
			Endpoint: identifier.Endpoint(s.name), Incarnation: s.host.Incarnation, Model: s.model, Slots: s.slots,
			PrefillPerSecond: s.prefill, DecodePerSecond: s.decode, IgnoresFencing: s.ignores, Linger: s.linger,
		})
	case "plain":
		return plain.New(plain.Config{
			Endpoint: identifier.Endpoint(s.name), Incarnation: s.host.Incarnation, Deduplicates: s.dedupes,
		})
	}
	return platform.New(platform.Config{HostLag: s.lag, StartTime: s.start, StopNotice: s.notice})
}

// register lists the host; the platform may start later than its hosts.
func (s *Starter) register(ctx context.Context) error {
	body, err := json.Marshal(s.host)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	for range registerTries {
		if err = s.post(ctx, body); err == nil || ctx.Err() != nil {
			return nil
		}
		time.Sleep(registerPause)
	}
	return err
}

func (s *Starter) post(ctx context.Context, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.where+"/admin/hosts", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("register: status %d", resp.StatusCode)
	}
	return nil
}
