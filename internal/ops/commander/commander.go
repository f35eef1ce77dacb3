// Package commander implements the command line of brasschute.
//
// # Exit codes
//
//	0  success
//	1  failure; nothing changed
//	2  invalid command line
//	3  rejected: a draft is invalid or conflicts with another change
//	4  the outcome is unknown, or the change isn't in force at all daemons
//
// # Usage
//
//	os.Exit(commander.New(commander.Config{Output: os.Stdout, Errors: os.Stderr}).Run(os.Args[1:]))
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"brasschute/internal/config/deployment"
	"brasschute/internal/config/settings"
	"brasschute/internal/ops/asyncwriter"
	"brasschute/internal/ops/logger"
	"brasschute/internal/ops/memorylimiter"
	"brasschute/internal/role/controller"
	"brasschute/internal/role/demonstrator"
	"brasschute/internal/role/entry"
	"brasschute/internal/role/gateway"
	"brasschute/platform"

	"github.com/integrii/flaggy"
	"github.com/twitchtv/twirp"
)

// Exit codes; see the package comment.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	exitUnknown = 4
)

// collectorPercent is the growth of a gateway's heap over what is live before the collector runs. The live heap is a few
// megabytes, so that a run takes a few milliseconds.
const collectorPercent = 50

// keyVariable is the environment variable that holds the default of --key.
const keyVariable = "BRASSCHUTE_OPERATOR_KEY"

// Config holds the outputs of commands.
type Config struct {
	Output io.Writer
	// Errors receives error messages and the logs of all roles but the gateway.
	Errors io.Writer
}

// Commander parses a command line and runs its command.
type Commander struct {
	c Config

	settings    string
	address     string
	key         string
	output      string
	keepServing bool
	file        string
	baseNumber  int
	request     string
	host        string
	limit       int

	fingerprint string
}

// New returns a commander with the default values of all flags.
func New(c Config) *Commander {
	return &Commander{c: c, address: "127.0.0.1:8081", key: os.Getenv(keyVariable), output: "text", baseNumber: baseNumberUnset}
}

// baseNumberUnset is the value of --from if the flag isn't given.
const baseNumberUnset = -1

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context) error
}

// Run parses the arguments, runs the command and returns the exit code.
func (k *Commander) Run(args []string) int {
	p := flaggy.NewParser("brasschute")
	p.Description = "serves language models and plain services on reclaimable hosts"
	commands := k.subcommands(p)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(k.c.Errors, "brasschute:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.sub.Used {
			return k.exitCode(c.run(ctx))
		}
	}
	p.ShowHelp()
	return exitUsage
}

// subcommands attaches all subcommands to the parser and returns them. Nested ones come before
// their parent, because Run takes the first that is used.
func (k *Commander) subcommands(p *flaggy.Parser) []command {
	var out []command
	add := func(name, description string, run func(context.Context) error) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		p.AttachSubcommand(sub, 1)
		out = append(out, command{sub, run})
		return sub
	}
	role := func(name, description string, run func(context.Context) error) {
		add(name, description, run).String(&k.settings, "s", "settings", "settings file (YAML)")
	}
	role("entry", "run an entry daemon", k.entry)
	role("controller", "run a controller", k.controller)
	add("gateway", "run a daemon on the hosting platform with the settings that the platform provides", k.gateway)
	add("settings", "check a settings file of the hosting platform; needs no daemon", k.checkSettings).
		AddPositionalValue(&k.file, "FILE", 1, true, "settings file (TOML), as the platform provides it")
	beliefs := add("beliefs", "show a gateway's view of the system, with the age of each part", k.view)
	beliefs.AddPositionalValue(&k.address, "ADDRESS", 1, true, "address of the daemon's metrics, IP:port")
	lift := add("lift", "lift the quarantine of a request under which endpoints crashed", k.releaseQuarantined)
	lift.AddPositionalValue(&k.address, "ADDRESS", 1, true, "address of any daemon's metrics, IP:port")
	lift.AddPositionalValue(&k.fingerprint, "FINGERPRINT", 2, true, "fingerprint of the request, as shown by 'beliefs' and in the log")
	add("demo", "run a demonstration of the whole system in one process", k.demo).Bool(&k.keepServing, "", "keep", "keep serving until interrupted")
	add("key", "print a new random key and its hash", k.newKey)
	ask := func(name, description string, run func(context.Context) error) *flaggy.Subcommand {
		sub := add(name, description, run)
		k.addRemoteFlags(sub)
		return sub
	}
	ask("status", "show a daemon's view of the fleet", k.status)
	ask("explain", "show how a request was routed", k.explain).AddPositionalValue(&k.request, "REQUEST-ID", 1, true, "the request's id")
	audit := ask("audit", "show changes to the fleet, with author and cause", k.audit)
	audit.String(&k.host, "", "host", "show only entries about this host")
	audit.Int(&k.limit, "n", "limit", "maximum number of entries")
	ask("drain", "stop a daemon gracefully", k.drain)
	return append(k.configSubcommands(p), out...)
}

// configSubcommands attaches the config command and its subcommands.
func (k *Commander) configSubcommands(p *flaggy.Parser) []command {
	config := flaggy.NewSubcommand("config")
	config.Description = "check, apply and show the configuration"
	p.AttachSubcommand(config, 1)
	var out []command
	add := func(name, description string, run func(context.Context) error) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		config.AttachSubcommand(sub, 1)
		out = append(out, command{sub, run})
		return sub
	}
	add("validate", "check a configuration file; needs no daemon", k.validate).AddPositionalValue(&k.file, "FILE", 1, true, "configuration (YAML)")
	apply := add("apply", "apply a configuration", k.apply)
	apply.AddPositionalValue(&k.file, "FILE", 1, true, "configuration (YAML)")
	apply.Int(&k.baseNumber, "f", "from", "number of the configuration that the draft is based on; by default taken from the file's first line")
	k.addRemoteFlags(apply)
	k.addRemoteFlags(add("get", "print the configuration in force", k.get))
	history := add("history", "show configuration changes, with author", k.history)
	history.Int(&k.limit, "n", "limit", "maximum number of changes")
	k.addRemoteFlags(history)
	out = append(out, command{config, func(context.Context) error {
		return usageError("config needs one of: validate, apply, get, history")
	}})
	return out
}

// addRemoteFlags adds the flags of commands that call a daemon.
func (k *Commander) addRemoteFlags(sub *flaggy.Subcommand) {
	sub.String(&k.address, "a", "address", "the daemon's operator address, IP:port")
	sub.String(&k.key, "k", "key", "operator's key; preferably set in "+keyVariable)
	sub.String(&k.output, "o", "output", "text or json")
}

// usageError reports an invalid command line.
type usageError string

// Error returns the description of the mistake.
func (u usageError) Error() string { return string(u) }

// partialError reports a change that is accepted but not confirmed in force at all daemons.
type partialError string

// Error returns how many daemons don't have the change.
func (p partialError) Error() string { return string(p) }

// refusedError reports an invalid draft.
type refusedError string

// Error returns the list of problems.
func (r refusedError) Error() string { return string(r) }

// exitCode prints an error, if any, and returns the exit code for it.
func (k *Commander) exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	text := err.Error()
	var remote twirp.Error
	if errors.As(err, &remote) {
		text = remote.Msg()
	}
	fmt.Fprintln(k.c.Errors, text)
	var u usageError
	var p partialError
	var r refusedError
	switch {
	case errors.As(err, &u):
		return exitUsage
	case errors.As(err, &p):
		return exitUnknown
	case errors.As(err, &r):
		return exitRefused
	case remote == nil:
		return exitFailed
	}
	switch remote.Code() {
	case twirp.InvalidArgument, twirp.Aborted:
		return exitRefused
	case twirp.Unknown:
		return exitUnknown
	}
	return exitFailed
}

func (k *Commander) loadSettings() (*settings.Settings, error) {
	if k.settings == "" {
		return nil, usageError("--settings FILE is needed")
	}
	source, err := os.ReadFile(k.settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return settings.Parse(k.settings, source)
}

func (k *Commander) entry(ctx context.Context) error {
	s, err := k.loadSettings()
	if err != nil {
		return err
	}
	l := logger.New(logger.Config{Level: s.Log.Level, Format: s.Log.Format, Output: k.c.Errors, Host: string(s.Host)})
	e, err := entry.New(entry.Config{Settings: s, Logger: l})
	if err != nil {
		return err
	}
	limiter := memorylimiter.New(memorylimiter.Config{HostBytes: e.MemoryBytes(), Shed: func(int64) {}})
	go func() { _ = limiter.Serve(ctx) }()
	return e.Run(ctx)
}

func (k *Commander) controller(ctx context.Context) error {
	s, err := k.loadSettings()
	if err != nil {
		return err
	}
	l := logger.New(logger.Config{Level: s.Log.Level, Format: s.Log.Format, Output: k.c.Errors, Host: string(s.Host)})
	return controller.New(controller.Config{Settings: s, Logger: l}).Run(ctx)
}

// gateway runs a daemon on the hosting platform. Its log goes to standard output through an
// asyncwriter, so that an unread output can't block the daemon.
func (k *Commander) gateway(ctx context.Context) error {
	// By default, SIGHUP would end the process, and so would SIGPIPE after a write to a log pipe
	// whose reader is gone.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	path := os.Getenv(platform.SettingsFileVariable)
	d, err := platform.ReadDeployment(path)
	if err != nil {
		return err
	}
	lines := asyncwriter.New(asyncwriter.Config{Output: k.c.Output})
	defer lines.Flush()
	go func() { _ = lines.Serve(context.WithoutCancel(ctx)) }()
	g, err := gateway.New(gateway.Config{
		Deployment: d, ReadDeployment: func() (*deployment.Deployment, error) { return platform.ReadDeployment(path) }, Reload: reload,
		Logger: logger.New(logger.Config{Level: "info", Format: "json", Output: lines, Host: string(d.Host)}),
	})
	if err != nil {
		return err
	}
	limiter := memorylimiter.New(memorylimiter.Config{HostBytes: d.MemoryBytes, CollectorPercent: collectorPercent, Shed: g.ShedCaches})
	go func() { _ = limiter.Serve(ctx) }()
	return g.Run(ctx)
}

// demo runs a demonstration of the whole system in one process.
func (k *Commander) demo(ctx context.Context) error {
	return demonstrator.New(demonstrator.Config{Output: k.c.Output, Log: k.c.Errors, KeepServing: k.keepServing}).Run(ctx)
}
