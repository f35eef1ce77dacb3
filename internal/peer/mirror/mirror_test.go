package mirror

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"brasschute/internal/platform/object"
)

// one takes in one object.
func (m *Mirror) one(o object.Object) bool { return len(m.Apply([]object.Object{o})) == 1 }

func TestEndsAreFinal(t *testing.T) {
	var m Mirror
	m.one(object.Object{Key: "servers/a", Version: 3})
	m.one(object.Object{Key: "servers/a", Version: 5, Deleted: true})
	if m.one(object.Object{Key: "servers/a", Version: 4}) || m.one(object.Object{Key: "servers/a", Version: 5}) {
		t.Error("an endpoint that has ended came back")
	}
	if news := m.ApplyFromPeer([]object.Object{{Key: "servers/b", Version: 5}}); len(news) > 0 {
		t.Error("a peer that lags brought back an endpoint that had ended before")
	}
	changes := m.ChangedSince("servers", 4)
	if len(changes) != 1 || !changes[0].Deleted || m.Revision("servers") != 5 || m.Revision("config") != 0 {
		t.Errorf("changes %+v, revision %d", changes, m.Revision("servers"))
	}
}

// The store is away, and the entry of an endpoint that lives lapses; it comes back
// with a new version. A daemon that took the end for final never used it again.
func TestLapsedEndpointsReturn(t *testing.T) {
	var m Mirror
	m.Apply([]object.Object{{Key: "servers/a", Version: 3}})
	m.Apply([]object.Object{{Key: "servers/a", Version: 5, Deleted: true}})
	if !m.one(object.Object{Key: "servers/a", Version: 6}) || len(m.KnownVersions("servers")) != 1 || m.ends != 0 {
		t.Errorf("known %v, %d ends", m.KnownVersions("servers"), m.ends)
	}
}

// Two daemons see the store's changes in any order, late and twice, and one
// follows the other: in the end both hold the same.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ahead, behind Mirror
		n := rapid.IntRange(1, 40).Draw(t, "changes")
		for version := range n {
			o := object.Object{Key: fmt.Sprintf("servers/%d", rapid.IntRange(0, 5).Draw(t, "key")), Version: uint64(version + 1)}
			o.Deleted = rapid.IntRange(0, 4).Draw(t, "end") == 0
			ahead.one(o)
			if rapid.Bool().Draw(t, "follow") {
				for _, c := range ahead.ChangedSince("servers", behind.Revision("servers")) {
					behind.one(c)
				}
			}
		}
		for _, c := range ahead.ChangedSince("servers", behind.Revision("servers")) {
			behind.one(c)
			behind.one(c)
		}
		if a, b := fmt.Sprint(ahead.ChangedSince("servers", 0)), fmt.Sprint(behind.ChangedSince("servers", 0)); a != b {
			t.Fatalf("ahead %s\nbehind %s", a, b)
		}
	})
}

func TestEndsAreBounded(t *testing.T) {
	var m Mirror
	for n := range 3 * maxEnds {
		m.one(object.Object{Key: fmt.Sprintf("servers/%d", n), Version: uint64(n + 1), Deleted: true})
	}
	if got := len(m.ChangedSince("servers", 0)); got > maxEnds {
		t.Errorf("%d ends remembered", got)
	}
}

// A daemon that has just started lists the store, in which an endpoint has ended a
// moment before. A peer that still knows the endpoint asks it for the changes since:
// it got a higher revision without the end, asked nobody any more, and sent requests
// to the endpoint twenty seconds after it had gone.
func TestNewcomersListIsNotAHistory(t *testing.T) {
	for _, doubt := range []bool{false, true} {
		var newcomer, lags Mirror
		at := func(key string, version uint64) object.Object { return object.Object{Key: key, Version: version} }
		lags.Apply([]object.Object{at("servers/a", 3), at("servers/ends", 4), at("servers/b", 5)})
		if doubt {
			newcomer.Apply([]object.Object{at("servers/ends", 4)})
		}
		newcomer.BeginList("servers", 7, true, doubt)
		newcomer.Apply([]object.Object{at("servers/a", 3), at("servers/b", 7)})
		if doubt {
			if got := newcomer.Revision("servers"); got != 4 {
				t.Errorf("revision %d while the list is in doubt", got)
			}
			if _, _, err := newcomer.Changes("servers", lags.Revision("servers")); err == nil {
				t.Error("a list in doubt was passed on")
			}
			newcomer.BeginList("servers", 8, false, false)
			newcomer.Apply([]object.Object{{Key: "servers/ends", Version: 8, Deleted: true}})
		}
		changes, full, err := newcomer.Changes("servers", lags.Revision("servers"))
		if err != nil || !full {
			t.Fatalf("full %v, error %v", full, err)
		}
		lags.Replace("servers", changes, newcomer.Revision("servers"))
		if known := lags.KnownVersions("servers"); len(known) != 2 || known["servers/b"] != 7 {
			t.Errorf("known in the end: %v", known)
		}
	}
}
