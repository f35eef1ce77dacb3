package supplier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"brasschute/internal/peer/mirror"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/platform/object"

	"github.com/charmbracelet/log"
)

// gate is a throttler that admits all answers or none.
type gate bool

func (g *gate) Admit(context.Context, int) bool { return bool(*g) }

// fleet implements rpc.Fleet with a supplier's Snapshot only.
type fleet struct {
	rpc.Fleet
	s *Supplier
}

func (f fleet) Snapshot(ctx context.Context, r *rpc.SnapshotRequest) (*rpc.SnapshotReply, error) {
	return f.s.Snapshot(ctx, r)
}

// startPeer starts a daemon that has some objects.
func startPeer(t *testing.T, open *gate, objects ...object.Object) (address string) {
	t.Helper()
	m := new(mirror.Mirror)
	m.Apply(objects)
	return startPeerWith(t, open, m)
}

// startPeerWith starts a daemon that has a mirror's objects.
func startPeerWith(t *testing.T, open *gate, m *mirror.Mirror) (address string) {
	t.Helper()
	s := New(Config{Objects: m, Kinds: []string{"config", "servers"}, Throttler: open, Logger: log.New(io.Discard)})
	server := httptest.NewServer(rpc.NewFleetServer(fleet{s: s}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newRequester returns a supplier that requests objects.
func newRequester(address string) *Supplier {
	open := gate(true)
	return New(Config{Address: address, Client: http.DefaultClient, Throttler: &open, Objects: new(mirror.Mirror), Logger: log.New(io.Discard)})
}

var large = object.Object{Key: "config/main", Version: 9, Value: bytes.Repeat([]byte(`{"Name":"a","Kind":"idempotent"}`), 4000)}

func TestRequestedObjectsAreReturned(t *testing.T) {
	open := gate(true)
	small := object.Object{Key: "servers/i-1", Version: 4, Value: []byte(`{}`)}
	address := startPeer(t, &open, large, small)
	for _, c := range []struct {
		kind   string
		after  uint64
		expect []object.Object
	}{
		{"config", 0, []object.Object{large}},
		{"servers", 0, []object.Object{small}},
		{"servers", 4, nil},
		{"", 0, []object.Object{large, small}},
	} {
		reply, err := newRequester("").RequestSnapshot(t.Context(), address, c.kind, c.after)
		if err != nil {
			t.Fatal(err)
		}
		if len(reply.GetObjects()) != len(c.expect) {
			t.Fatalf("%q after %d: %d objects, %d expected", c.kind, c.after, len(reply.GetObjects()), len(c.expect))
		}
		for i, o := range reply.GetObjects() {
			if o.GetKey() != c.expect[i].Key || o.GetVersion() != c.expect[i].Version || !bytes.Equal(o.GetValue(), c.expect[i].Value) {
				t.Errorf("%q after %d: %s differs", c.kind, c.after, o.GetKey())
			}
		}
	}
}

func TestLargeAnswersArePacked(t *testing.T) {
	open := gate(true)
	m := new(mirror.Mirror)
	m.Apply([]object.Object{large})
	s := New(Config{Objects: m, Throttler: &open, Logger: log.New(io.Discard)})
	reply, err := s.Snapshot(t.Context(), &rpc.SnapshotRequest{Kind: "config", Packed: true})
	if err != nil || len(reply.GetPacked()) == 0 || len(reply.GetPacked()) > len(large.Value)/10 {
		t.Errorf("%d bytes sent for %d, error %v", len(reply.GetPacked()), len(large.Value), err)
	}
	reply, err = s.Snapshot(t.Context(), &rpc.SnapshotRequest{Kind: "config"})
	if err != nil || len(reply.GetObjects()) != 1 || len(reply.GetPacked()) > 0 {
		t.Errorf("a peer of the previous version gets %d objects, %d packed bytes, error %v", len(reply.GetObjects()), len(reply.GetPacked()), err)
	}
}

// The first daemon that has a new configuration can't serve all others at once. Those that it
// does not serve must learn where else to get it, or they would retry over the same link.
func TestBusyPeerNamesHolders(t *testing.T) {
	open := gate(true)
	address := startPeer(t, &open, large)
	for _, one := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		if _, err := newRequester(one).RequestSnapshot(t.Context(), address, "config", 0); err != nil {
			t.Fatal(err)
		}
	}
	open = false
	var busy *BusyError
	if _, err := newRequester("10.0.0.2:1").RequestSnapshot(t.Context(), address, "config", 0); !errors.As(err, &busy) || !slices.Equal(busy.Holders, []string{"10.0.0.1:1"}) {
		t.Errorf("error %v, the other peer is expected in it: %+v", err, busy)
	}
}

// A daemon of the previous version would treat a busy reply as "nothing new" and never ask
// again.
func TestBusyForOldPeersIsAnError(t *testing.T) {
	open := gate(false)
	m := new(mirror.Mirror)
	m.Apply([]object.Object{large})
	s := New(Config{Objects: m, Throttler: &open, Logger: log.New(io.Discard)})
	if reply, err := s.Snapshot(t.Context(), &rpc.SnapshotRequest{Kind: "config"}); err == nil {
		t.Errorf("%d objects, no error", len(reply.GetObjects()))
	}
}

func TestUncertainObjectsAreNotSent(t *testing.T) {
	open := gate(true)
	m := new(mirror.Mirror)
	m.Apply([]object.Object{large})
	m.BeginList("config", 12, true, true)
	s := New(Config{Objects: m, Throttler: &open, Logger: log.New(io.Discard)})
	if _, err := s.Snapshot(t.Context(), &rpc.SnapshotRequest{Kind: "config", After: 3, Packed: true}); err == nil {
		t.Error("an uncertain list was sent")
	}
}

// A configuration changes while a peer is busy sending it. The peer named daemons that it had
// served with the previous one, and lagging daemons fetched that previous one, which they already
// had, from each of them in turn while others had the new one. In 3 of 25 runs one daemon of forty
// was behind for more than three seconds.
func TestHoldersOfAnOlderRevisionAreNotNamed(t *testing.T) {
	open, m := gate(true), new(mirror.Mirror)
	m.Apply([]object.Object{large})
	address := startPeerWith(t, &open, m)
	ask := func(from string) error {
		_, err := newRequester(from).RequestSnapshot(t.Context(), address, "config", 0)
		return err
	}
	if err := ask("10.0.0.1:1"); err != nil {
		t.Fatal(err)
	}
	newer := large
	newer.Version++
	m.Apply([]object.Object{newer})
	open = false
	var busy *BusyError
	if err := ask("10.0.0.2:1"); !errors.As(err, &busy) || len(busy.Holders) > 0 {
		t.Errorf("error %v, holders of the older version: %+v", err, busy)
	}
	open = true
	if err := ask("10.0.0.3:1"); err != nil {
		t.Fatal(err)
	}
	open = false
	if err := ask("10.0.0.2:1"); !errors.As(err, &busy) || !slices.Equal(busy.Holders, []string{"10.0.0.3:1"}) {
		t.Errorf("error %v, %+v", err, busy)
	}
}
