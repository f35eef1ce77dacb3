// Command load sends the workload of one of the example customers to a running daemon and prints
// the results that clients saw, as a row of the tables in docs/MEASUREMENTS.md.
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
	defaultMaxDuration      = 30 * time.Second
	defaultMaxRequests      = 10_000
	defaultFirstTokenTarget = 330 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	c := loadgenerator.Config{
		Address: "127.0.0.1:8080", Model: "planning-model", Seed: 1, MaxDuration: defaultMaxDuration,
		MaxRequests: defaultMaxRequests, FirstTokenTarget: defaultFirstTokenTarget,
	}
	mix, rate, seed := "werkbrug", 0.0, 1
	p := flaggy.NewParser("load")
	p.Description = "sends a workload to a daemon and measures what clients see"
	p.String(&c.Address, "a", "address", "the daemon's client address, IP:port")
	p.String(&c.Key, "k", "key", "an organisation's key")
	p.String(&c.Model, "m", "model", "name of the model service")
	p.String(&mix, "", "mix", "werkbrug or harrowby-trent")
	p.Float64(&rate, "r", "rate", "requests per second; by default the mix's own rate")
	p.Int(&seed, "s", "seed", "seed of the workload")
	p.Duration(&c.MaxDuration, "l", "length", "maximum duration of the run")
	p.Int(&c.MaxRequests, "n", "requests", "maximum number of requests")
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
