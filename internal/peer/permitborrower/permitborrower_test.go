package permitborrower

import (
	"context"
	"errors"
	"testing"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/peer/rpc"

	"github.com/uber-go/tally/v4"
)

var wanted = []identifier.EndpointIncarnation{{Endpoint: "i-1"}, {Endpoint: "i-2"}}

// fakePacer has daemons that send to all endpoints, and slots that it may lend.
type fakePacer struct {
	senders  []identifier.Host
	slots    int
	borrowed []identifier.EndpointIncarnation
}

func (p *fakePacer) Senders(identifier.EndpointIncarnation) []identifier.Host { return p.senders }
func (p *fakePacer) Borrow(i identifier.EndpointIncarnation, _ time.Time) {
	p.borrowed = append(p.borrowed, i)
}

func (p *fakePacer) Lend(list []identifier.EndpointIncarnation, now time.Time) (at int, ok bool, next time.Time) {
	if p.slots == 0 {
		return 0, false, now.Add(time.Second)
	}
	p.slots--
	return len(list) - 1, true, next
}

// lender counts the calls of a daemon, which fail if err is set.
type lender struct {
	*Borrower
	calls int
	err   error
}

func (l *lender) BorrowPermit(ctx context.Context, m *rpc.PermitRequest) (*rpc.PermitReply, error) {
	l.calls++
	if l.err != nil {
		return nil, l.err
	}
	return l.Borrower.BorrowPermit(ctx, m)
}

// newBorrower returns a borrower with one other daemon.
func newBorrower(slots int, err error) (*Borrower, *fakePacer, *lender) {
	l := &lender{Borrower: New(Config{Pacer: &fakePacer{slots: slots}, Metrics: tally.NoopScope}), err: err}
	p := &fakePacer{senders: []identifier.Host{"other"}}
	return New(Config{
		Pacer: p, Address: func(identifier.Host) (string, bool) { return "10.0.0.2:82", true }, Dial: func(string) Lender { return l }, Metrics: tally.NoopScope,
	}), p, l
}

// Guards against a slot that is borrowed for another endpoint than the one that it was lent for.
func TestBorrowedSlotIsOfTheLentEndpoint(t *testing.T) {
	b, p, _ := newBorrower(1, nil)
	if !b.Borrow(context.Background(), wanted) || len(p.borrowed) != 1 || p.borrowed[0] != wanted[1] {
		t.Errorf("borrowed %v", p.borrowed)
	}
}

// Guards against calls for each request to a daemon that has nothing to lend, has ended, or is of a
// version that does not lend.
func TestDaemonWithoutSlotsIsNotAskedAgainAtOnce(t *testing.T) {
	for name, err := range map[string]error{"nothing to lend": nil, "no answer": errors.New("no handler")} {
		t.Run(name, func(t *testing.T) {
			b, p, l := newBorrower(0, err)
			for range 5 {
				if b.Borrow(context.Background(), wanted) {
					t.Error("borrowed")
				}
			}
			if l.calls != 1 || len(p.borrowed) != 0 {
				t.Errorf("%d calls, borrowed %v", l.calls, p.borrowed)
			}
		})
	}
}

// Guards against a reply of another version that names no endpoint of the call.
func TestReplyBeyondTheCallIsIgnored(t *testing.T) {
	b, p, _ := newBorrower(1, nil)
	b.c.Dial = func(string) Lender { return wrongReply{} }
	if b.Borrow(context.Background(), wanted) || len(p.borrowed) != 0 {
		t.Errorf("borrowed %v", p.borrowed)
	}
}

type wrongReply struct{}

func (wrongReply) BorrowPermit(context.Context, *rpc.PermitRequest) (*rpc.PermitReply, error) {
	return &rpc.PermitReply{Granted: true, Index: 7}, nil
}
