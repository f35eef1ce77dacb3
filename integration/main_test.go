// Package integration proves the promises with real processes behind a
// fault-injecting proxy.
//
// # Processes
//
// The test binary starts itself again for each process: with roleVariable
// set, it runs the command line of brasschute or of the stand-ins instead of
// the tests. So the processes are built as the tests are, race detector
// included, and nothing else has to be built first.
//
// # Addresses
//
// Zone z has the network 127.z.0.0/16, fleet f the part 127.z.f.0/24, and each
// process an address of its own in it, from which it also connects. Every process stands behind its own
// proxy, which tells callers apart by their address.
//
// # Time
//
// Tests wait for states, never for durations; [eventually] only bounds how
// long a test that fails takes to say so.
package integration

import (
	"fmt"
	"os"
	"testing"
	"time"

	"brasschute/internal/ops/commander"
	"brasschute/internal/standin/starter"
)

const roleVariable = "BRASSCHUTE_TEST_ROLE"

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "brasschute":
		os.Exit(commander.New(commander.Config{Output: os.Stdout, Errors: os.Stderr}).Run(os.Args[1:]))
	case "standin":
		os.Exit(starter.New(starter.Config{Errors: os.Stderr}).Run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

const (
	patience = 30 * time.Second
	pause    = 10 * time.Millisecond
)

// eventually waits until f returns nil.
func eventually(t testing.TB, what string, f func() error) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pause)
	}
}

func want[T comparable](what string, got, expected T) error {
	if got != expected {
		return fmt.Errorf("%s: got %v, want %v", what, got, expected)
	}
	return nil
}
