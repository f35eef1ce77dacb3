// Package integration tests the daemons, controllers and command line as real processes, with
// fault-injecting proxies between them.
//
// For each process, the test binary starts itself again with [roleEnv] set: it then runs the
// command line of brasschute or of the stand-ins instead of the tests. The processes are thus
// built like the tests, including the race detector, and no binary has to be built first.
//
// Zone z has the network 127.z.0.0/16, and fleet f uses 127.z.f.0/24 of it. Each process has its
// own address there, which it also connects from. Each process is reached through its own proxy;
// the proxy tells callers apart by their source address.
//
// Tests wait for a state, never for a fixed time. The timeout of [eventually] only limits how
// long a failing test takes.
package integration

import (
	"fmt"
	"os"
	"testing"
	"time"

	"brasschute/internal/ops/commander"
	"brasschute/internal/standin/starter"
)

// roleEnv is the environment variable that names the command line that the test binary runs.
const roleEnv = "BRASSCHUTE_TEST_ROLE"

func TestMain(m *testing.M) {
	switch os.Getenv(roleEnv) {
	case "brasschute":
		os.Exit(commander.New(commander.Config{Output: os.Stdout, Errors: os.Stderr}).Run(os.Args[1:]))
	case "standin":
		os.Exit(starter.New(starter.Config{Errors: os.Stderr}).Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

const (
	// waitTimeout limits each wait for a state of the system.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a state.
	pollInterval = 10 * time.Millisecond
)

// eventually calls f every pollInterval until it returns nil, and fails the test with f's last
// error after waitTimeout. what names the awaited state in the failure.
func eventually(t testing.TB, what string, f func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollInterval)
	}
}

// checkEqual returns an error that starts with what if got differs from expected.
func checkEqual[T comparable](what string, got, expected T) error {
	if got != expected {
		return fmt.Errorf("%s: got %v, want %v", what, got, expected)
	}
	return nil
}
