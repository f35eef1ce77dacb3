package injector

import (
	"errors"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"testing"
)

// ownIP is an address at which no other test listens: one that does may get the port of a proxy that was closed.
const ownIP = "127.98.0.1"

// closings is the number of proxies that are closed while processes are started.
const closings = 2000

// Guards against connections that a closed proxy still takes and resets, while this process starts others.
func TestClosedProxyRefusesConnections(t *testing.T) {
	program, err := exec.LookPath("true")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	var starting sync.WaitGroup
	for range 3 {
		starting.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command(program).Run()
				}
			}
		})
	}
	defer starting.Wait()
	defer close(done)
	taken := 0
	for range closings {
		p, err := New(Config{Listen: ownIP + ":0", Target: "127.0.0.1:1"})
		if err != nil {
			t.Fatal(err)
		}
		p.Close()
		c, err := net.Dial("tcp", p.Address())
		switch {
		case err == nil:
			taken++
			c.Close()
		case !errors.Is(err, syscall.ECONNREFUSED):
			t.Error(err)
		}
	}
	if taken > 0 {
		t.Errorf("%d of %d closed proxies took a connection", taken, closings)
	}
}
