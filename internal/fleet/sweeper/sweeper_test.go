package sweeper

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"brasschute/internal/platform/inventory"
	"brasschute/internal/platform/object"
	"brasschute/internal/serve/transferrer"
)

type store map[string]object.Object

func (s store) Now() time.Time { return time.Now() }

func (s store) List(context.Context, ...string) (object.Page, error) {
	var p object.Page
	for _, o := range s {
		p.Objects = append(p.Objects, o)
	}
	return p, nil
}

func (s store) Delete(_ context.Context, key string, ifVersion uint64) error {
	if s[key].Version != ifVersion {
		return object.ErrConflict
	}
	delete(s, key)
	return nil
}

type lease bool

func (l lease) Held() (uint64, bool) { return 1, bool(l) }

func TestSweep(t *testing.T) {
	cases := []struct {
		name  string
		leads lease
		key   string
		value any
		after time.Duration
		kept  bool
	}{
		{"renewed member", true, "members/z/a", inventory.Member{RenewedUnix: 1}, 0, true},
		{"expired member", true, "members/z/a", inventory.Member{RenewedUnix: 1}, 2 * MaxMemberAge, false},
		{"member without a time", true, "members/z/a", inventory.Member{}, 2 * MaxMemberAge, true},
		{"lease not held", false, "members/z/a", inventory.Member{RenewedUnix: 1}, 2 * MaxMemberAge, true},
		{"held answer", true, "held/a", transferrer.HeldAnswer{AtUnix: 1}, 2 * MaxMemberAge, true},
		{"expired held answer", true, "held/a", transferrer.HeldAnswer{AtUnix: 1}, 2 * MaxHeldAge, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				raw, _ := json.Marshal(stamp(c.value))
				s := store{c.key: {Key: c.key, Version: 3, Value: raw}}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = New(Config{Store: s, Zone: "z", Lease: c.leads}).Serve(ctx) }()
				time.Sleep(c.after + 11*time.Minute)
				cancel()
				synctest.Wait()
				if _, kept := s[c.key]; kept != c.kept {
					t.Errorf("kept: %t", kept)
				}
			})
		})
	}
}

// stamp sets the time of values that have one to the current time.
func stamp(v any) any {
	now := time.Now().Unix()
	switch v := v.(type) {
	case inventory.Member:
		if v.RenewedUnix > 0 {
			v.RenewedUnix = now
		}
		return v
	case transferrer.HeldAnswer:
		v.AtUnix = now
		return v
	}
	return v
}
