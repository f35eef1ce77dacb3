// Package mirror keeps the platform's objects as a daemon last knew them, so
// that a peer can follow them without asking the platform.
//
// # Why
//
// Each call to the platform has its price, and its rate is shared: sixty daemons
// that follow the same lists pay sixty times for one change. So a few daemons
// watch the store, and the others take from them what changed after the highest
// revision that they have. Revisions are the store's own, hence the same at every
// daemon; the end of an object is kept as a change, too.
//
// # Gaps
//
// A daemon that lists the store does not see what ended before, so it can't tell
// others all changes after an older revision. One that passed on such a list as
// changes left its peers with endpoints that had ended, for good. [Mirror.BeginList]
// marks from where on the history is whole; [Mirror.Changes] hands out everything to
// those who ask from before, and nothing while a list is in doubt.
//
// # Usage
//
//	use(m.Apply(objects))
//	changes, full, err := m.Changes("servers", revision)
package mirror

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"sync"

	"brasschute/internal/platform/object"
)

// maxEnds bounds the ends of objects that are remembered: hours of a fleet that
// replaces an endpoint every few seconds. The oldest are forgotten.
const maxEnds = 4096

// Mirror holds objects by key. The zero value holds none; it is safe for
// concurrent use.
type Mirror struct {
	mu      sync.Mutex
	objects map[string]object.Object
	ends    int
	// whole is, by kind, the revision from which on all changes are known; doubt the
	// one up to which they are while a list is in doubt.
	whole map[string]uint64
	doubt map[string]uint64
}

// ErrListUncertain means that the last list lacked objects of which it is not known yet
// whether they have ended.
var ErrListUncertain = errors.New("mirror: list in doubt")

// Apply takes in what one list, or one watch, brought and returns what was news of
// it. It takes all or nothing: whoever asked for the changes in between would take
// the highest revision of a part for all that there is, and never ask for the
// rest. An object that has ended returns only with a higher version: entries that
// lapsed while the platform was away.
func (m *Mirror) Apply(objects []object.Object) (news []object.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = make(map[string]object.Object, len(objects))
	}
	for _, o := range objects {
		if m.apply(o) {
			news = append(news, o)
		}
	}
	if m.ends > maxEnds {
		m.forget()
	}
	return news
}

// ApplyFromPeer takes in what a peer told, as Apply does. A mirror shows all that happened
// up to its revision, so an object that it does not have, and that is not newer, has
// ended: a peer that lags, or that missed the end, must not bring it back.
func (m *Mirror) ApplyFromPeer(objects []object.Object) (news []object.Object) {
	revisions := make(map[string]uint64)
	var newer []object.Object
	for _, o := range objects {
		kind, _, _ := strings.Cut(o.Key, "/")
		if _, ok := revisions[kind]; !ok {
			revisions[kind] = m.Revision(kind)
		}
		if o.Deleted || o.Version > revisions[kind] {
			newer = append(newer, o)
		}
	}
	return m.Apply(newer)
}

// apply takes in one object and reports whether it was news. The caller holds
// the lock.
func (m *Mirror) apply(o object.Object) bool {
	old, known := m.objects[o.Key]
	if known && (o.Version < old.Version || o.Version == old.Version && (!o.Deleted || old.Deleted)) {
		return false
	}
	if o.Deleted {
		o.Value = nil
	}
	if o.Deleted != old.Deleted {
		m.count(o.Deleted)
	}
	m.objects[o.Key] = o
	return !o.Deleted || !old.Deleted
}

// count keeps the number of ends.
func (m *Mirror) count(end bool) {
	if end {
		m.ends++
		return
	}
	m.ends--
}

// forget drops the older half of the ends.
func (m *Mirror) forget() {
	var ended []object.Object
	for _, o := range m.objects {
		if o.Deleted {
			ended = append(ended, o)
		}
	}
	slices.SortFunc(ended, func(a, b object.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, o := range ended[:len(ended)/2] {
		delete(m.objects, o.Key)
		m.ends--
	}
}

// Revision is that up to which all changes of a kind's objects are known: the
// highest version, unless a list is in doubt.
func (m *Mirror) Revision(kind string) uint64 {
	highest := m.highest(kind)
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, in := m.doubt[kind]; in {
		return min(highest, known)
	}
	return highest
}

// BeginList notes that a list of a kind, as of a revision, is about to be applied. gap:
// changes before it have gone unseen. doubt: it lacks objects that may have ended.
func (m *Mirror) BeginList(kind string, revision uint64, gap, doubt bool) {
	known := m.Revision(kind)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.whole == nil {
		m.whole, m.doubt = make(map[string]uint64), make(map[string]uint64)
	}
	_, was := m.doubt[kind]
	switch {
	case doubt && !was:
		m.doubt[kind] = known
	case !doubt:
		delete(m.doubt, kind)
	}
	if gap || was {
		m.whole[kind] = max(m.whole[kind], revision)
	}
}

// Changes returns the changes of a kind after a revision, or all objects where not
// all changes since are known. It fails while a list is in doubt, but for those who
// know nothing.
func (m *Mirror) Changes(kind string, after uint64) (changes []object.Object, full bool, err error) {
	m.mu.Lock()
	_, doubt := m.doubt[kind]
	full = after < m.whole[kind]
	m.mu.Unlock()
	switch {
	case after == 0:
		return m.ChangedSince(kind, 0), false, nil
	case doubt:
		return nil, false, ErrListUncertain
	case full:
		return m.ChangedSince(kind, 0), true, nil
	}
	return m.ChangedSince(kind, after), false, nil
}

// Replace takes in all objects of a kind as a peer knows them up to a revision. What
// is missing has ended.
func (m *Mirror) Replace(kind string, objects []object.Object, revision uint64) (news []object.Object) {
	present := make(map[string]bool, len(objects))
	for i := range objects {
		present[objects[i].Key] = true
	}
	for key, version := range m.KnownVersions(kind) {
		if !present[key] && version <= revision {
			objects = append(objects, object.Object{Key: key, Version: revision, Deleted: true})
		}
	}
	// A peer that lags does not settle a doubt.
	if m.highest(kind) <= revision || !m.doubts(kind) {
		m.BeginList(kind, revision, true, false)
	}
	return m.ApplyFromPeer(objects)
}

func (m *Mirror) doubts(kind string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, in := m.doubt[kind]
	return in
}

// highest is the highest version of a kind's objects.
func (m *Mirror) highest(kind string) uint64 {
	var highest uint64
	m.each(kind, func(o object.Object) { highest = max(highest, o.Version) })
	return highest
}

// KnownVersions returns the keys and versions of a kind's objects that have not ended.
func (m *Mirror) KnownVersions(kind string) map[string]uint64 {
	out := make(map[string]uint64)
	m.each(kind, func(o object.Object) {
		if !o.Deleted {
			out[o.Key] = o.Version
		}
	})
	return out
}

// ChangedSince returns the objects of a kind that changed or ended after a revision, in
// the order of their versions.
func (m *Mirror) ChangedSince(kind string, after uint64) []object.Object {
	var out []object.Object
	m.each(kind, func(o object.Object) {
		if o.Version > after {
			out = append(out, o)
		}
	})
	slices.SortFunc(out, func(a, b object.Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

func (m *Mirror) each(kind string, f func(object.Object)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, o := range m.objects {
		if strings.HasPrefix(key, kind+"/") {
			f(o)
		}
	}
}
