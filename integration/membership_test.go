package integration

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"brasschute/internal/fault/injector"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/signer"
	"brasschute/internal/standin/platform"

	"google.golang.org/protobuf/proto"
)

// TestMembershipOfPausedDaemon pauses a daemon until the others consider it dead, and resumes it.
// All must list it as alive again, although the update about its death is still spreading.
func TestMembershipOfPausedDaemon(t *testing.T) {
	f := newThreeZoneFleet(t)
	p := f.entries[2]
	p.signal(syscall.SIGSTOP)
	f.entries[0].awaitMemberState("entry-3", rpc.State_DEAD)
	f.entries[1].awaitMemberState("entry-3", rpc.State_DEAD)
	p.signal(syscall.SIGCONT)
	f.entries[0].awaitMemberState("entry-3", rpc.State_ALIVE)
	f.entries[1].awaitMemberState("entry-3", rpc.State_ALIVE)
	p.awaitMemberState("entry-1", rpc.State_ALIVE)
}

// TestProcessesHaveSessionsOfTheirOwn guards the tests that stop a process by a signal: in the
// session of the tests, it would get SIGHUP and SIGCONT when the shell of their job ends, and would
// end or go on instead of staying stopped.
func TestProcessesHaveSessionsOfTheirOwn(t *testing.T) {
	f := newFleet(t)
	pid := f.platform.cmd.Process.Pid
	if group, err := syscall.Getpgid(pid); err != nil || group != pid {
		t.Fatalf("process %d is in the process group %d: %v", pid, group, err)
	}
}

// TestMembershipOfRestartedDaemon kills a daemon and starts it again at the same address. The
// others must list the new incarnation as alive, and it must know them.
func TestMembershipOfRestartedDaemon(t *testing.T) {
	f := newThreeZoneFleet(t)
	p := f.entries[2]
	p.kill()
	f.entries[0].awaitMemberState("entry-3", rpc.State_DEAD)
	p.restart()
	f.entries[0].awaitMemberState("entry-3", rpc.State_ALIVE)
	f.awaitReady()
}

// TestMembershipUnderOneWayCut cuts the calls of one daemon to the others, who can still call it.
// It must remain a member, since every exchange carries updates in both directions.
func TestMembershipUnderOneWayCut(t *testing.T) {
	f := newThreeZoneFleet(t)
	for _, d := range f.entries[:2] {
		d.peerProxy.Set(zoneNet(3), injector.Fault{Cut: true})
	}
	f.platformProxy.Set(zoneNet(3), injector.Fault{Cut: true})
	f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	f.entries[2].awaitConfiguration(2)
	f.entries[0].awaitMemberState("entry-3", rpc.State_ALIVE)
}

// sendForgedNotice sends a daemon an exchange that announces an engine's host as leaving, and
// returns the status, or 0 on an error.
func (f *fleet) sendForgedNotice(d *daemon, client *http.Client, headers http.Header) int {
	f.t.Helper()
	body, err := proto.Marshal(&rpc.News{
		Self:    &rpc.Member{Host: "intruder", AvailabilityZone: "zone-1", PeerAddress: "127.9.9.9:1", Incarnation: 1},
		Leaving: []*rpc.Leaving{{Host: "ledger-1-host", Incarnation: 1 << 62}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	url := "http://" + d.peerProxy.Address() + rpc.PeerPathPrefix + "Exchange"
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/protobuf")
	for name, values := range headers {
		r.Header[name] = values
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// checkUnchanged checks that a forged message has changed neither endpoints nor members.
func (d *daemon) checkUnchanged(t *testing.T, what string) {
	t.Helper()
	if state := d.endpointState("ledger-1"); state != "usable" {
		t.Fatalf("%s: the endpoint is %s", what, state)
	}
	s, err := d.status()
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range s.Members {
		if m.Host == "intruder" {
			t.Fatalf("%s: the intruder is a member", what)
		}
	}
}

// TestMembershipRefusesForgedMessages announces an endpoint as leaving in messages that are
// unsigned, signed with another key, or signed by a peer for another daemon. None of them may
// change anything.
func TestMembershipRefusesForgedMessages(t *testing.T) {
	f := newThreeZoneFleet(t)
	d := f.entries[0]
	cases := []struct {
		name   string
		client *http.Client
	}{
		{"unsigned", &http.Client{}},
		{"another key", &http.Client{Transport: signer.New(signer.Config{Key: []byte("another key"), Host: "entry-2"}).Sign(http.DefaultTransport)}},
		{"meant for another daemon", &http.Client{Transport: misdirectingTransport(f, f.entries[1])}},
	}
	for _, c := range cases {
		if status := f.sendForgedNotice(d, c.client, nil); status == http.StatusOK {
			t.Errorf("%s: accepted", c.name)
		}
		d.checkUnchanged(t, c.name)
	}
}

// misdirectingTransport returns a transport that signs calls for the daemon signedFor and sends
// them to the first daemon of the fleet.
func misdirectingTransport(f *fleet, signedFor *daemon) http.RoundTripper {
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, f.entries[0].peerProxy.Address())
	}
	s := signer.New(signer.Config{Key: bytes.Repeat([]byte{0x5a}, 32), Host: "entry-2"})
	return redirectingTransport{s.Sign(&http.Transport{DialContext: dial}), signedFor.peerProxy.Address()}
}

// redirectingTransport replaces the host of each call.
type redirectingTransport struct {
	next http.RoundTripper
	host string
}

// RoundTrip sends the call with another host in its URL and its Host header.
func (r redirectingTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.Clone(q.Context())
	q.URL.Host = r.host
	q.Host = r.host
	return r.next.RoundTrip(q)
}

// recordingTransport keeps the headers of the last call.
type recordingTransport struct {
	next   http.RoundTripper
	header http.Header
}

// RoundTrip records the headers, including the signature.
func (r *recordingTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	r.header = q.Header.Clone()
	return r.next.RoundTrip(q)
}

// TestMembershipRefusesReplay records a genuine message and sends it again. The second one must
// be refused although its signature is valid.
func TestMembershipRefusesReplay(t *testing.T) {
	f := newThreeZoneFleet(t)
	d := f.entries[0]
	tap := &recordingTransport{next: http.DefaultTransport}
	s := signer.New(signer.Config{Key: bytes.Repeat([]byte{0x5a}, 32), Host: "entry-2"})
	client := &http.Client{Transport: s.Sign(tap), Timeout: 5 * time.Second}
	if status := f.sendForgedNotice(d, client, nil); status != http.StatusOK {
		t.Fatalf("the genuine message: %d", status)
	}
	if status := f.sendForgedNotice(d, http.DefaultClient, tap.header); status != http.StatusUnauthorized {
		t.Fatalf("replayed: %d", status)
	}
}

// TestMembershipRefusesOperatorsWithoutKey makes operator calls without a key or with a wrong
// one. They must be refused and change nothing.
func TestMembershipRefusesOperatorsWithoutKey(t *testing.T) {
	f := newThreeZoneFleet(t)
	d := f.entries[0]
	for _, key := range []string{"", "wrong"} {
		r, err := http.NewRequest(http.MethodPost, "http://"+d.operatorAddress+rpc.OperatorPathPrefix+"Drain", bytes.NewReader(nil))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Content-Type", "application/protobuf")
		r.Header.Set("Authorization", "Bearer "+key)
		resp, err := f.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("key %q: %d", key, resp.StatusCode)
		}
	}
	if s, err := d.status(); err != nil || s.State != "serving" {
		t.Fatalf("%v %v", s, err)
	}
}

// TestMembershipHealsAfterLongPartition cuts a zone off until both sides consider each other
// dead, and heals the partition while the platform is down. Daemons must go on to try dead
// members, or the two sides would never find each other again.
func TestMembershipHealsAfterLongPartition(t *testing.T) {
	f := newThreeZoneFleet(t)
	f.isolate(3, true)
	f.entries[0].awaitMemberState("entry-3", rpc.State_DEAD)
	f.entries[2].awaitMemberState("entry-1", rpc.State_DEAD)
	f.entries[2].awaitMemberState("entry-2", rpc.State_DEAD)
	f.setFaults(platform.Faults{Outage: true})
	f.isolate(3, false)
	f.entries[0].awaitMemberState("entry-3", rpc.State_ALIVE)
	f.entries[1].awaitMemberState("entry-3", rpc.State_ALIVE)
	f.entries[2].awaitMemberState("entry-1", rpc.State_ALIVE)
}
