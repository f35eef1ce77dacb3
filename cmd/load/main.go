// Command load sends one user's workload to a running daemon and prints what
// its callers saw, as a row of the tables in docs/MEASUREMENTS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"brasschute/internal/measure/collector"
	"brasschute/internal/measure/loadgenerator"
	"brasschute/internal/measure/workload"
)

const (
	defaultLength   = 30 * time.Second
	defaultRequests = 10_000
	defaultTarget   = 330 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	c := loadgenerator.Config{
		Address: "127.0.0.1:8080", Model: "planning-model", Seed: 1, MaxDuration: defaultLength,
		MaxRequests: defaultRequests, FirstTokenTarget: defaultTarget,
	}
	mix, rate, seed := "werkbrug", 0.0, 1
	p := flaggy.NewParser("load")
	p.Description = "sends a workload to a daemon and measures what callers see"
	p.String(&c.Address, "a", "address", "the daemon's address for callers, IP:port")
	p.String(&c.Key, "k", "key", "an organisation's key")
	p.String(&c.Model, "m", "model", "the model service to ask")
	p.String(&mix, "", "mix", "werkbrug or harrowby-trent")
	p.Float64(&rate, "r", "rate", "requests a second; the mix's own if left out")
	p.Int(&seed, "s", "seed", "seed of the workload")
	p.Duration(&c.MaxDuration, "l", "length", "length of the run")
	p.Int(&c.MaxRequests, "n", "requests", "most requests of the run")
	p.Duration(&c.FirstTokenTarget, "t", "target", "latency target of the first token")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		return 2
	}
	mixes := map[string]workload.Mix{"werkbrug": workload.Werkbrug(), "harrowby-trent": workload.HarrowbyTrent()}
	var ok bool
	if c.Mix, ok = mixes[mix]; !ok {
		fmt.Fprintf(os.Stderr, "load: --mix: found %q; allowed: werkbrug, harrowby-trent\n", mix)
		return 2
	}
	if rate > 0 {
		c.Mix.RequestsPerSecond = rate
	}
	c.Seed = uint64(seed)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := loadgenerator.New(c).Run(ctx)
	fmt.Printf("%s\n%s\n", collector.TableHeader, s.Row(c.Mix.Name))
	for kind, n := range s.Refused {
		fmt.Printf("refused %s: %d\n", kind, n)
	}
	return 0
}
