// Package starter runs a stand-in as a process of its own: the platform, an engine or
// a plain service.
//
// An engine or a plain service registers its host with the platform, which lists it
// after its lag.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:9000
//	standin engine --listen 127.0.0.1:9101 --platform 127.0.0.1:9000 \
//	    --host engine-host-1 --zone hal-utrecht --pool models --model demo-1
//	standin plain --listen 127.0.0.1:9201 --platform 127.0.0.1:9000 \
//	    --host app-host-1 --zone hal-utrecht --pool planning
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
	headerTimeout    = 5 * time.Second
	registerAttempts = 50
	registerBackoff  = 100 * time.Millisecond
)

// Config is the configuration of a starter.
type Config struct {
	// Errors receives error messages.
	Errors io.Writer
}

// Starter parses the command line and runs one stand-in.
type Starter struct {
	c                Config
	listen           string
	advertised       string
	hostLag          time.Duration
	platformAddress  string
	host             inventory.Host
	class            string
	zone             string
	name             string
	pool             string
	model            string
	prefillPerSecond int
	decodePerSecond  int
	slots            int
	ignoresFencing   bool
	deduplicates     bool
	linger           time.Duration
	startTime        time.Duration
	stopNotice       time.Duration
}

// New returns a starter.
func New(c Config) *Starter {
	return &Starter{c: c, class: string(document.ClassReclaimable), slots: 8}
}

// Run runs the stand-in that the arguments name until SIGINT or SIGTERM. It returns the
// exit code: 1 for an error, 2 if the arguments name no stand-in.
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
	roles["platform"].Duration(&s.hostLag, "", "lag", "time until a change of a host appears in the list")
	roles["platform"].Duration(&s.startTime, "", "start-time", "time that a new host takes to start")
	roles["platform"].Duration(&s.stopNotice, "", "stop-notice", "time from the notice to the end of a host that is stopped")
	s.endpointFlags(roles["engine"])
	s.endpointFlags(roles["plain"])
	roles["engine"].String(&s.model, "m", "model", "model that is loaded")
	roles["engine"].Int(&s.prefillPerSecond, "", "prefill", "prefill speed in tokens per second, 0 for no delay")
	roles["engine"].Int(&s.decodePerSecond, "", "decode", "decode speed in tokens per second, 0 for no delay")
	roles["engine"].Int(&s.slots, "", "slots", "streams that run at once")
	roles["engine"].Duration(&s.linger, "", "linger", "time for which a stream without a reader is kept")
	roles["engine"].Bool(&s.ignoresFencing, "", "ignores-fencing", "accept orders with an old fencing number")
	roles["plain"].Bool(&s.deduplicates, "", "deduplicates", "run each idempotency key at most once")
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

// endpointFlags adds the flags that an engine and a plain service share.
func (s *Starter) endpointFlags(sub *flaggy.Subcommand) {
	sub.String(&s.advertised, "", "advertise", "address in the list of hosts; the listening address if left out")
	sub.String(&s.platformAddress, "p", "platform", "address of the platform, IP:port")
	sub.String((*string)(&s.host.Host), "", "host", "name of the host")
	sub.String(&s.zone, "z", "zone", "availability zone")
	sub.String(&s.class, "", "class", "reclaimable or on-demand")
	sub.String(&s.name, "n", "name", "name of the endpoint; the name of the host if left out")
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
	if s.advertised == "" {
		s.advertised = s.listen
	}
	s.host.AvailabilityZone = identifier.AvailabilityZone(s.zone)
	s.host.Class = document.Class(s.class)
	s.host.State = inventory.StateLive
	s.host.Incarnation = identifier.Incarnation(time.Now().UnixMilli())
	s.host.Endpoints = []inventory.Endpoint{{
		Endpoint: identifier.Endpoint(s.name), Pool: identifier.Pool(s.pool), Address: s.advertised,
	}}
	switch role {
	case "engine":
		return engine.New(engine.Config{
			Endpoint: identifier.Endpoint(s.name), Incarnation: s.host.Incarnation, Model: s.model, Slots: s.slots,
			PrefillPerSecond: s.prefillPerSecond, DecodePerSecond: s.decodePerSecond, IgnoresFencing: s.ignoresFencing, Linger: s.linger,
		})
	case "plain":
		return plain.New(plain.Config{
			Endpoint: identifier.Endpoint(s.name), Incarnation: s.host.Incarnation, Deduplicates: s.deduplicates,
		})
	}
	return platform.New(platform.Config{HostListLag: s.hostLag, StartTime: s.startTime, StopNotice: s.stopNotice})
}

// register registers the host with the platform. It retries, as the platform may start
// later than its hosts.
func (s *Starter) register(ctx context.Context) error {
	body, err := json.Marshal(s.host)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	for range registerAttempts {
		if err = s.post(ctx, body); err == nil || ctx.Err() != nil {
			return nil
		}
		time.Sleep(registerBackoff)
	}
	return err
}

// post sends one registration.
func (s *Starter) post(ctx context.Context, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.platformAddress+"/admin/hosts", bytes.NewReader(body))
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
