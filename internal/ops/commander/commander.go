// Package commander is the command line of brasschute.
//
// # Exit codes
//
//	0  done
//	1  failed; nothing changed
//	2  wrong use of the command line
//	3  refused: a draft is not valid, or conflicts with another change
//	4  the outcome is not known, or not all daemons have the change in force
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
	"brasschute/internal/ops/logger"
	"brasschute/internal/ops/asyncwriter"
	"brasschute/internal/role/controller"
	"brasschute/internal/role/demonstrator"
	"brasschute/internal/role/entry"
	"brasschute/internal/role/gateway"
	"brasschute/platform"

	"github.com/integrii/flaggy"
	"github.com/twitchtv/twirp"
)

// The exit codes.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	exitUnknown = 4
)

// keyVariable is the environment variable that may hold the operator's key.
const keyVariable = "BRASSCHUTE_OPERATOR_KEY"

// Config names the outputs.
type Config struct {
	Output io.Writer
	Errors io.Writer
}

// Commander runs one command.
type Commander struct {
	c Config

	settings string
	address  string
	key      string
	output   string
	keep     bool
	file     string
	from     int
	request  string
	host     string
	limit    int

	fingerprint string
}

// New returns a commander with its defaults.
func New(c Config) *Commander {
	return &Commander{c: c, address: "127.0.0.1:8081", key: os.Getenv(keyVariable), output: "text", from: noFrom}
}

// noFrom is the value of --from when it was not given.
const noFrom = -1

// command is one subcommand with what runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context) error
}

// Run parses the arguments, runs the command and returns the exit code.
func (k *Commander) Run(args []string) int {
	p := flaggy.NewParser("brasschute")
	p.Description = "serves language models and plain services on reclaimable hosts"
	commands := k.commands(p)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(k.c.Errors, "brasschute:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.sub.Used {
			return k.exit(c.run(ctx))
		}
	}
	p.ShowHelp()
	return exitUsage
}

func (k *Commander) commands(p *flaggy.Parser) []command {
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
	add("gateway", "run a daemon on the hosting platform, from the settings that it hands over", k.gateway)
	add("settings", "check a settings file of the hosting platform; needs no daemon", k.checkSettings).
		AddPositionalValue(&k.file, "FILE", 1, true, "settings (TOML), as the platform hands them over")
	beliefs := add("beliefs", "show what a daemon on the hosting platform believes, with the age of each belief", k.beliefs)
	beliefs.AddPositionalValue(&k.address, "ADDRESS", 1, true, "IP:port of the daemon's metrics")
	lift := add("lift", "let a request through again that is held back, as endpoints ended under it", k.lift)
	lift.AddPositionalValue(&k.address, "ADDRESS", 1, true, "IP:port of any daemon's metrics")
	lift.AddPositionalValue(&k.fingerprint, "FINGERPRINT", 2, true, "as beliefs and the log show it")
	add("demo", "show the whole system in one process", k.demo).Bool(&k.keep, "", "keep", "go on serving")
	add("key", "print a new random key and its hash", k.newKey)
	ask := func(name, description string, run func(context.Context) error) *flaggy.Subcommand {
		sub := add(name, description, run)
		k.remote(sub)
		return sub
	}
	ask("status", "show a daemon's view of the fleet", k.status)
	ask("explain", "explain how a request was decided", k.explain).AddPositionalValue(&k.request, "REQUEST-ID", 1, true, "the request's id")
	audit := ask("audit", "show who and what changed the fleet", k.audit)
	audit.String(&k.host, "", "host", "only this host's story")
	audit.Int(&k.limit, "n", "limit", "number of entries")
	ask("drain", "stop a daemon gracefully", k.drain)
	return append(k.configCommands(p), out...)
}

func (k *Commander) configCommands(p *flaggy.Parser) []command {
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
	apply := add("apply", "bring a configuration into force", k.apply)
	apply.AddPositionalValue(&k.file, "FILE", 1, true, "configuration (YAML)")
	apply.Int(&k.from, "f", "from", "number that the draft was made from; taken from the file's first line if left out")
	k.remote(apply)
	k.remote(add("get", "print the configuration in force", k.get))
	history := add("history", "show who changed what", k.history)
	history.Int(&k.limit, "n", "limit", "number of changes")
	k.remote(history)
	out = append(out, command{config, func(context.Context) error {
		return usage("config needs one of: validate, apply, get, history")
	}})
	return out
}

// remote adds the flags of commands that call a daemon.
func (k *Commander) remote(sub *flaggy.Subcommand) {
	sub.String(&k.address, "a", "address", "the daemon's address for operators, IP:port")
	sub.String(&k.key, "k", "key", "operator's key; better in "+keyVariable)
	sub.String(&k.output, "o", "output", "text or json")
}

// usage is the error of a wrong command line.
type usage string

// Error returns the mistake.
func (u usage) Error() string { return string(u) }

// partial is the error of a change that is accepted but not everywhere in
// force.
type partial string

// Error names who lacks the change.
func (p partial) Error() string { return string(p) }

// refused is the error of a draft with problems.
type refused string

// Error lists the problems.
func (r refused) Error() string { return string(r) }

// exit prints an error and chooses the exit code.
func (k *Commander) exit(err error) int {
	if err == nil {
		return exitDone
	}
	text := err.Error()
	var remote twirp.Error
	if errors.As(err, &remote) {
		text = remote.Msg()
	}
	fmt.Fprintln(k.c.Errors, text)
	var u usage
	var p partial
	var r refused
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
		return nil, usage("--settings FILE is needed")
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

// gateway runs a daemon on the hosting platform. Its log goes to standard
// output, through a queue that never blocks the daemon.
func (k *Commander) gateway(ctx context.Context) error {
	// By default a hang-up would end the process, and so would a write to a log
	// that nobody reads any more.
	hint := make(chan os.Signal, 1)
	signal.Notify(hint, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	path := os.Getenv(platform.SettingsVariable)
	d, err := platform.ReadDeployment(path)
	if err != nil {
		return err
	}
	lines := asyncwriter.New(asyncwriter.Config{Output: k.c.Output})
	defer lines.Flush()
	go func() { _ = lines.Serve(context.WithoutCancel(ctx)) }()
	g, err := gateway.New(gateway.Config{
		Deployment: d, ReadDeployment: func() (*deployment.Deployment, error) { return platform.ReadDeployment(path) }, Reload: hint,
		Logger: logger.New(logger.Config{Level: "info", Format: "json", Output: lines, Host: string(d.Host)}),
	})
	if err != nil {
		return err
	}
	return g.Run(ctx)
}

// checkSettings reads a settings file as a daemon would at its start.
func (k *Commander) demo(ctx context.Context) error {
	return demonstrator.New(demonstrator.Config{Output: k.c.Output, Log: k.c.Errors, KeepServing: k.keep}).Run(ctx)
}
