// Package demonstrator demonstrates the whole system in one process.
//
// It starts stand-ins for the platform, two engines and a plain service, and a real entry daemon,
// all on loopback ports chosen by the kernel. It applies an embedded configuration, sends one
// streaming request and one plain call, and prints the answers and the explanations of their
// routing.
//
// # Usage
//
//	d := demonstrator.New(demonstrator.Config{Output: os.Stdout})
//	err := d.Run(ctx)
package demonstrator

import (
	"bufio"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"brasschute/internal/config/document"
	"brasschute/internal/config/settings"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/frame"
	"brasschute/internal/ops/logger"
	"brasschute/internal/ops/printer"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/inventory"
	"brasschute/internal/role/entry"
	"brasschute/internal/serve/recorder"
	"brasschute/internal/standin/engine"
	"brasschute/internal/standin/plain"
	"brasschute/internal/standin/platform"
)

//go:embed demo.yaml
var configuration string

const (
	zone                  = "demo-zone"
	callerKey             = "demo-key"
	operatorKey           = "demo-operator"
	requestID             = "demo-request"
	readyTimeout          = 15 * time.Second
	pollInterval          = 20 * time.Millisecond
	prompt                = `{"model":"demo-model","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Draft a maturity letter."}]}`
	decodeTokensPerSecond = 50
)

// Config configures a demonstration.
type Config struct {
	// Output receives the printed demonstration.
	Output io.Writer
	// Log receives the daemon's log lines.
	Log io.Writer
	// KeepServing keeps the system running until the context ends.
	KeepServing bool
}

// Demonstrator runs the demonstration. Create it with [New].
type Demonstrator struct {
	c        Config
	platform *platform.Platform
	servers  []*http.Server
	callers  string
	settings *settings.Settings
}

// New returns a demonstrator.
func New(c Config) *Demonstrator { return &Demonstrator{c: c} }

// Run starts the system, demonstrates it and stops it.
func (d *Demonstrator) Run(ctx context.Context) error {
	defer d.close()
	if err := d.startStandins(); err != nil {
		return err
	}
	e, err := d.newEntry()
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 1)
	go func() { done <- e.Run(running) }()
	if err := d.demonstrate(ctx); err != nil {
		return err
	}
	if d.c.KeepServing {
		d.printInstructions()
		<-ctx.Done()
	}
	stop()
	return <-done
}

func (d *Demonstrator) close() {
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// serve starts a stand-in on a free loopback port and returns its address.
func (d *Demonstrator) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *Demonstrator) startStandins() error {
	d.platform = platform.New(platform.Config{})
	for i := range 2 {
		name := fmt.Sprintf("engine-%d", i+1)
		e := engine.New(engine.Config{Endpoint: identifier.Endpoint(name), Incarnation: 1, Model: "demo-1", DecodePerSecond: decodeTokensPerSecond})
		if err := d.register(name, "demo-engines", e); err != nil {
			return err
		}
	}
	return d.register("ledger-1", "demo-ledgers", plain.New(plain.Config{Endpoint: "ledger-1", Incarnation: 1}))
}

func (d *Demonstrator) register(name, pool string, h http.Handler) error {
	address, err := d.serve(h)
	if err != nil {
		return err
	}
	d.platform.Register(inventory.Host{
		Host: identifier.Host(name + "-host"), AvailabilityZone: zone, Class: document.ClassReclaimable, Incarnation: 1,
		State:     inventory.StateLive,
		Endpoints: []inventory.Endpoint{{Endpoint: identifier.Endpoint(name), Pool: identifier.Pool(pool), Address: address}},
	})
	return nil
}

func (d *Demonstrator) newEntry() (*entry.Entry, error) {
	address, err := d.serve(d.platform)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	source := fmt.Sprintf(`
Host: demo-entry
AvailabilityZone: %s
Callers: %s
Operators: %s
Peers: %s
Platform: %s
PeerKey: %s
OperatorKeys: [{Name: demo, KeyHash: %s}]
Drain: {BalancerLag: 0s, Patience: 2s}
`, zone, ports[0], ports[1], ports[2], address, strings.Repeat("d3", 32), printer.Hash(operatorKey))
	d.settings, err = settings.Parse("demo settings", []byte(source))
	if err != nil {
		return nil, err
	}
	d.callers = ports[0].String()
	return entry.New(entry.Config{
		Settings: d.settings,
		Logger:   logger.New(logger.Config{Level: "warn", Format: "text", Output: d.c.Log}),
	})
}

// freePorts returns loopback addresses with ports that are free now.
func freePorts(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("demo: %w", err)
		}
		defer l.Close()
		out = append(out, netip.MustParseAddrPort(l.Addr().String()))
	}
	return out, nil
}

func (d *Demonstrator) operatorClient() rpc.Operator {
	return printer.Client(d.settings.Operators.String(), operatorKey)
}

// demonstrate applies the configuration, sends the requests and prints the results.
func (d *Demonstrator) demonstrate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	draft := &rpc.Draft{File: "demo.yaml", Source: configuration}
	if err := d.retryUntil(ctx, func() error { _, err := d.operatorClient().Apply(ctx, draft); return err }); err != nil {
		return err
	}
	fmt.Fprintf(d.c.Output, "configuration 1 applied; asking demo-model for a letter:\n\n  ")
	if err := d.retryUntil(ctx, d.endpointsListed(ctx)); err != nil {
		return err
	}
	if err := d.sendStreaming(ctx); err != nil {
		return err
	}
	if err := d.sendPlain(ctx); err != nil {
		return err
	}
	return d.explain(ctx)
}

// retryUntil calls f every pollInterval until it succeeds or ctx ends, and returns its last
// error.
func (d *Demonstrator) retryUntil(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

func (d *Demonstrator) endpointsListed(ctx context.Context) func() error {
	const endpoints = 3
	return func() error {
		s, err := d.operatorClient().Status(ctx, &rpc.StatusRequest{})
		if err != nil {
			return err
		}
		if len(s.Endpoints) < endpoints {
			return errors.New("demo: the endpoints are not listed yet")
		}
		return nil
	}
}

func (d *Demonstrator) request(ctx context.Context, path, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Request-Id", requestID)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return nil, fmt.Errorf("demo: status %d: %s", resp.StatusCode, text)
	}
	return resp, nil
}

func (d *Demonstrator) sendStreaming(ctx context.Context) error {
	resp, err := d.request(ctx, "/v1/chat/completions", prompt)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	complete := false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if data == frame.EndMarker {
			complete = true
		}
		var f frame.Frame
		if ok && json.Unmarshal([]byte(data), &f) == nil {
			fmt.Fprint(d.c.Output, f.Content())
		}
	}
	if !complete {
		return errors.New("demo: the stream was truncated")
	}
	fmt.Fprint(d.c.Output, "\n\n")
	return d.explain(ctx)
}

func (d *Demonstrator) sendPlain(ctx context.Context) error {
	resp, err := d.request(ctx, "/services/demo-ledger/accounts/7", `{"Lookup":"bond"}`)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	fmt.Fprintf(d.c.Output, "\nasking the plain service demo-ledger:\n\n  %s\n", text)
	return nil
}

func (d *Demonstrator) explain(ctx context.Context) error {
	reply, err := d.operatorClient().ExplainRequestID(ctx, &rpc.ExplainRequest{Request: requestID})
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	var rec recorder.Record
	if err := json.Unmarshal([]byte(reply.RecordJson), &rec); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	printer.New(d.c.Output).Explain(&rec)
	return nil
}

func (d *Demonstrator) printInstructions() {
	fmt.Fprintf(d.c.Output, `
serving until interrupted; try

  curl -N -H 'Authorization: Bearer %s' -d '%s' http://%s/v1/chat/completions

  go run ./cmd/brasschute status --address %s --key %s
`, callerKey, prompt, d.callers, d.settings.Operators, operatorKey)
}
