package fetcher

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"brasschute/internal/peer/rpc"
	"brasschute/internal/peer/supplier"
)

// An engine begins to leave while a daemon fetches an earlier change. The note about the departure
// arrived during the fetch and was dropped, and the daemon kept sending requests to the leaving
// engine for three more seconds.
func TestRevisionAnnouncedDuringAFetchIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		revision, taken := uint64(1), uint64(0)
		answer := make(chan struct{})
		f := New(Config{
			Kind: "servers", Logger: log.New(io.Discard), OtherPeers: func() []string { return nil },
			SinceRevision: func() uint64 { return taken }, KnownRevision: func() uint64 { return taken },
			RequestSnapshot: func(context.Context, string, string, uint64) (*rpc.SnapshotReply, error) {
				found := &rpc.SnapshotReply{Revision: revision}
				<-answer
				return found, nil
			},
			Apply: func(_, _ string, r *rpc.SnapshotReply) { taken = r.GetRevision() },
		})
		f.Want("a", 1)
		synctest.Wait()
		revision = 2
		f.Want("a", 2)
		f.Want("a", 2)
		answer <- struct{}{}
		synctest.Wait()
		answer <- struct{}{}
		synctest.Wait()
		if taken != 2 {
			t.Errorf("revision %d was fetched, the peer has 2", taken)
		}
	})
}

// The only source fails, and so does one of the other peers. The remaining one must be asked.
func TestOtherPeersAreAskedAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := make(map[string]int)
		taken := uint64(0)
		f := New(Config{
			Logger: log.New(io.Discard), OtherPeers: func() []string { return []string{"b", "c"} },
			SinceRevision: func() uint64 { return 0 }, KnownRevision: func() uint64 { return taken },
			RequestSnapshot: func(_ context.Context, address, _ string, _ uint64) (*rpc.SnapshotReply, error) {
				asked[address]++
				if address != "c" {
					return nil, errors.New("no answer")
				}
				return nil, nil
			},
			Apply: func(string, string, *rpc.SnapshotReply) { taken = 1 },
		})
		f.Want("a", 1)
		time.Sleep(time.Second)
		synctest.Wait()
		if taken != 1 || asked["a"] == 0 || asked["c"] != 1 {
			t.Errorf("asked %v, taken %v", asked, taken)
		}
	})
}

// The only peer that has a new configuration is busy serving others. Its announcement, and the
// peers that it names as having been served, must lead to the configuration without another
// announcement.
func TestHoldersNamedByBusySourceAreAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		taken, from := uint64(0), ""
		f := New(Config{
			Logger: log.New(io.Discard), OtherPeers: func() []string { return nil },
			SinceRevision: func() uint64 { return 0 }, KnownRevision: func() uint64 { return taken },
			RequestSnapshot: func(_ context.Context, address, _ string, _ uint64) (*rpc.SnapshotReply, error) {
				if address == "a" {
					return nil, &supplier.BusyError{Peer: "a", Holders: []string{"b"}}
				}
				return &rpc.SnapshotReply{}, nil
			},
			Apply: func(address, _ string, _ *rpc.SnapshotReply) { taken, from = 7, address },
		})
		f.Want("a", 7)
		time.Sleep(time.Second)
		synctest.Wait()
		if taken != 7 || from != "b" {
			t.Errorf("revision %d was fetched from %q, b has 7", taken, from)
		}
	})
}

// A peer announces a higher revision, but keeps failing or has nothing newer. It must be dropped
// after a while.
func TestFailingSourcesAreDropped(t *testing.T) {
	for name, answer := range map[string]error{"fails": errors.New("refused"), "nothing newer": nil, "busy": &supplier.BusyError{Peer: "a"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asked := 0
				f := New(Config{
					Logger: log.New(io.Discard), OtherPeers: func() []string { return nil },
					SinceRevision: func() uint64 { return 0 }, KnownRevision: func() uint64 { return 0 },
					RequestSnapshot: func(context.Context, string, string, uint64) (*rpc.SnapshotReply, error) {
						asked++
						return &rpc.SnapshotReply{}, answer
					},
					Apply: func(string, string, *rpc.SnapshotReply) {},
				})
				f.Want("a", 1)
				time.Sleep(2 * sourceLifetime)
				synctest.Wait()
				before := asked
				time.Sleep(sourceLifetime)
				synctest.Wait()
				if asked != before || asked == 0 {
					t.Errorf("asked %d times, %d of them after %v", asked, asked-before, 2*sourceLifetime)
				}
			})
		})
	}
}
