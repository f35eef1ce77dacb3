package fetcher

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"

	"brasschute/internal/peer/rpc"
)

// An engine begins to leave while a daemon fetches the news before. The note of it
// came during the fetch and was dropped; for three seconds more the daemon sent
// requests to the leaving engine.
func TestNewsDuringAFetchIsFetchedToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		revision, taken := uint64(1), uint64(0)
		answer := make(chan struct{})
		f := New(Config{
			Kind: "servers", Logger: log.New(io.Discard), Others: func() []string { return nil }, Since: func() uint64 { return taken },
			Ask: func(context.Context, string, string, uint64) (*rpc.SnapshotReply, error) {
				found := &rpc.SnapshotReply{Revision: revision}
				<-answer
				return found, nil
			},
			Take: func(_, _ string, r *rpc.SnapshotReply) { taken = r.GetRevision() },
		})
		f.Want("a")
		synctest.Wait()
		revision = 2
		f.Want("a")
		f.Want("a")
		answer <- struct{}{}
		synctest.Wait()
		answer <- struct{}{}
		synctest.Wait()
		if taken != 2 {
			t.Errorf("revision %d is known, the peer has 2", taken)
		}
	})
}

func TestOthersAreAskedWhenOneIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []string
		taken := false
		f := New(Config{
			Logger: log.New(io.Discard), Others: func() []string { return []string{"b", "c"} }, Since: func() uint64 { return 0 },
			Ask: func(_ context.Context, address, _ string, _ uint64) (*rpc.SnapshotReply, error) {
				asked = append(asked, address)
				if address != "c" {
					return nil, errors.New("silent")
				}
				return nil, nil
			},
			Take: func(string, string, *rpc.SnapshotReply) { taken = true },
		})
		f.Want("a")
		synctest.Wait()
		if !taken || len(asked) != 3 {
			t.Errorf("asked %v, taken %v", asked, taken)
		}
	})
}
