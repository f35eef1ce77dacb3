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

func TestMembershipOfPausedDaemon(t *testing.T) {
	// A daemon is paused until the others hold it for dead, and wakes up. It
	// must be believed alive again by all, though news of its death travels.
	f := three(t)
	p := f.entries[2]
	p.signal(syscall.SIGSTOP)
	f.entries[0].believes("entry-3", rpc.State_DEAD)
	f.entries[1].believes("entry-3", rpc.State_DEAD)
	p.signal(syscall.SIGCONT)
	f.entries[0].believes("entry-3", rpc.State_ALIVE)
	f.entries[1].believes("entry-3", rpc.State_ALIVE)
	p.believes("entry-1", rpc.State_ALIVE)
}

func TestMembershipOfRestartedDaemon(t *testing.T) {
	// A daemon is killed and started again at the same address. The others
	// must believe the new life, and it must know them.
	f := three(t)
	p := f.entries[2]
	p.kill()
	f.entries[0].believes("entry-3", rpc.State_DEAD)
	p.restart()
	f.entries[0].believes("entry-3", rpc.State_ALIVE)
	f.ready()
}

func TestMembershipUnderOneWayCut(t *testing.T) {
	// One daemon can no longer call the others, who can still call it. It
	// stays a member, since every exchange carries news both ways.
	f := three(t)
	for _, d := range f.entries[:2] {
		d.peers.Set(zoneNet(3), injector.Fault{Cut: true})
	}
	f.proxy.Set(zoneNet(3), injector.Fault{Cut: true})
	f.entries[0].mustApply(configuration(ruleNamed("x")), 1)
	f.entries[2].inForce(2)
	f.entries[0].believes("entry-3", rpc.State_ALIVE)
}

// forge sends a leaving notice for an engine's host to a daemon.
func (f *fleet) forge(d *daemon, client *http.Client, headers http.Header) int {
	f.t.Helper()
	body, err := proto.Marshal(&rpc.News{
		Self:    &rpc.Member{Host: "intruder", AvailabilityZone: "zone-1", PeerAddress: "127.9.9.9:1", Incarnation: 1},
		Leaving: []*rpc.Leaving{{Host: "ledger-1-host", Incarnation: 1 << 62}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	url := "http://" + d.peers.Address() + rpc.PeerPathPrefix + "Exchange"
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

// untouched checks that a forged message changed nothing.
func (d *daemon) untouched(t *testing.T, what string) {
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

func TestMembershipRefusesForgedMessages(t *testing.T) {
	// Somebody on the network says that an endpoint is leaving: unsigned,
	// signed with another key, or with a peer's signature meant for another
	// daemon. None may change anything.
	f := three(t)
	d := f.entries[0]
	cases := []struct {
		name   string
		client *http.Client
	}{
		{"unsigned", &http.Client{}},
		{"another key", &http.Client{Transport: signer.New(signer.Config{Key: []byte("another key"), Host: "entry-2"}).Sign(http.DefaultTransport)}},
		{"meant for another daemon", &http.Client{Transport: misdirected(f, f.entries[1])}},
	}
	for _, c := range cases {
		if status := f.forge(d, c.client, nil); status == http.StatusOK {
			t.Errorf("%s: accepted", c.name)
		}
		d.untouched(t, c.name)
	}
}

// misdirected signs for one daemon and sends to whom it is told.
func misdirected(f *fleet, signedFor *daemon) http.RoundTripper {
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, f.entries[0].peers.Address())
	}
	s := signer.New(signer.Config{Key: bytes.Repeat([]byte{0x5a}, 32), Host: "entry-2"})
	return redirected{s.Sign(&http.Transport{DialContext: dial}), signedFor.peers.Address()}
}

type redirected struct {
	next http.RoundTripper
	host string
}

// RoundTrip addresses the call to another host.
func (r redirected) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.Clone(q.Context())
	q.URL.Host = r.host
	q.Host = r.host
	return r.next.RoundTrip(q)
}

// recording keeps the headers of the last call.
type recording struct {
	next   http.RoundTripper
	header http.Header
}

// RoundTrip records the signed headers.
func (r *recording) RoundTrip(q *http.Request) (*http.Response, error) {
	r.header = q.Header.Clone()
	return r.next.RoundTrip(q)
}

func TestMembershipRefusesReplay(t *testing.T) {
	// A genuine message is recorded on the network and sent again. The second
	// one must be refused, though its signature is right.
	f := three(t)
	d := f.entries[0]
	tap := &recording{next: http.DefaultTransport}
	s := signer.New(signer.Config{Key: bytes.Repeat([]byte{0x5a}, 32), Host: "entry-2"})
	client := &http.Client{Transport: s.Sign(tap), Timeout: 5 * time.Second}
	if status := f.forge(d, client, nil); status != http.StatusOK {
		t.Fatalf("the genuine message: %d", status)
	}
	if status := f.forge(d, http.DefaultClient, tap.header); status != http.StatusUnauthorized {
		t.Fatalf("replayed: %d", status)
	}
}

func TestMembershipRefusesOperatorsWithoutKey(t *testing.T) {
	// Operators' calls without a key, or with a wrong one, must be refused
	// and change nothing.
	f := three(t)
	d := f.entries[0]
	for _, key := range []string{"", "wrong"} {
		r, err := http.NewRequest(http.MethodPost, "http://"+d.operators+rpc.OperatorPathPrefix+"Drain", bytes.NewReader(nil))
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

func TestMembershipHealsAfterLongPartition(t *testing.T) {
	// A zone is cut off until both sides hold each other for dead, and the cut
	// heals while the platform is down. Somebody must try the dead again, or
	// the two sides would never meet.
	f := three(t)
	f.isolate(3, true)
	f.entries[0].believes("entry-3", rpc.State_DEAD)
	f.entries[2].believes("entry-1", rpc.State_DEAD)
	f.entries[2].believes("entry-2", rpc.State_DEAD)
	f.faults(platform.Faults{Outage: true})
	f.isolate(3, false)
	f.entries[0].believes("entry-3", rpc.State_ALIVE)
	f.entries[1].believes("entry-3", rpc.State_ALIVE)
	f.entries[2].believes("entry-1", rpc.State_ALIVE)
}
