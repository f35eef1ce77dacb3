// Package mirror keeps the platform's objects as a daemon last knew them, so that peers can
// follow them without calls to the platform.
//
// Each call to the platform is priced, and its rate is shared: if sixty daemons watch the same
// lists, one change costs sixty calls. So a few daemons watch the store, and the others ask them
// for what changed after the highest revision that they have. Revisions are the store's own,
// hence the same at every daemon. A deleted object is kept as a tombstone, so that its deletion
// is a change, too.
//
// A daemon that lists the store does not see what was deleted before, so it does not have all
// changes since an older revision. If a daemon passed on such a list as changes, its peers would
// keep ended endpoints forever. [Mirror.BeginList] marks the revision from which on
// the changes are complete. [Mirror.Changes] returns all objects to peers that ask for changes
// from before it, and none while a list is uncertain.
//
// A store that was restored from a copy lists objects again that have been deleted since the copy was
// taken. They stay deleted here until they are written again.
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

// maxTombstones bounds the tombstones kept: those of hours in a fleet that replaces an endpoint
// every few seconds. The oldest are dropped.
const maxTombstones = 4096

// maxRecent bounds the latest changes of a kind that are kept in order. A peer that is further
// behind is served by a search of all objects.
const maxRecent = 1024

// Mirror keeps objects by key. The zero value is empty and ready to use; it is safe for
// concurrent use.
type Mirror struct {
	mu         sync.Mutex
	objects    map[string]object.Object
	tombstones int
	// completeFrom is, by kind, the revision from which on all changes are known. uncertainAfter
	// is, by kind, the revision up to which they are known while a list is uncertain.
	completeFrom   map[string]uint64
	uncertainAfter map[string]uint64
	// kinds holds what is kept of each kind besides its objects.
	kinds map[string]*kindState
}

// kindState is kept of a kind so that the many calls of peers that are up to date cost no search of
// its objects.
type kindState struct {
	// highest is the highest version of the kind's objects, tombstones included.
	highest uint64
	// recent holds the versions and keys of the latest changes, in the order of the versions. Changes
	// up to the version recentAfter may be missing.
	recent      []change
	recentAfter uint64
	// eraFrom is the version up to which objects of the present era may be those of the copy that the
	// store was restored from.
	eraFrom uint64
}

type change struct {
	version uint64
	key     string
}

// record records a change of an object.
func (k *kindState) record(o *object.Object) {
	k.highest = max(k.highest, o.Version)
	if o.Version <= k.recentAfter {
		return
	}
	c := change{o.Version, o.Key}
	at := len(k.recent)
	for i := at; i > 0 && k.recent[i-1].version >= o.Version; i-- {
		if k.recent[i-1] == c {
			// The object was deleted at its version.
			return
		}
		if k.recent[i-1].version > o.Version {
			at = i - 1
		}
	}
	k.recent = slices.Insert(k.recent, at, c)
	if len(k.recent) > 2*maxRecent {
		dropped := len(k.recent) - maxRecent
		k.recentAfter = k.recent[dropped-1].version
		k.recent = slices.Clone(k.recent[dropped:])
	}
}

// ErrListUncertain means that the last list lacked objects, and it is not known yet whether they
// were deleted.
var ErrListUncertain = errors.New("mirror: list in doubt")

// Apply merges the objects of one list or one watch event and returns those that changed. It
// merges all of them under one lock: a peer that asked for changes in between would
// consider the highest revision of a part complete, and never ask for the rest. A deleted object
// returns only with a higher version, as with an entry that lapsed while the platform was
// unavailable.
func (m *Mirror) Apply(objects []object.Object) (changed []object.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = make(map[string]object.Object, len(objects))
	}
	for _, o := range objects {
		if m.apply(o) {
			changed = append(changed, o)
		}
	}
	if m.tombstones > maxTombstones {
		m.dropTombstones()
	}
	return changed
}

// ApplyFromPeer merges objects from a peer, as Apply does. A mirror has all changes up to its
// revision. So an object that it does not have, and that is not newer than its revision, has
// been deleted: a peer that lags, or that missed the deletion, must not bring it back.
func (m *Mirror) ApplyFromPeer(objects []object.Object) (changed []object.Object) {
	revisions := make(map[string]uint64)
	var newer []object.Object
	for _, o := range objects {
		kind := kindOf(o.Key)
		if _, ok := revisions[kind]; !ok {
			revisions[kind] = m.Revision(kind)
		}
		if o.Deleted || o.Version > revisions[kind] {
			newer = append(newer, o)
		}
	}
	return m.Apply(newer)
}

// apply merges one object and reports whether it changed. The caller holds the lock.
func (m *Mirror) apply(o object.Object) bool {
	old, known := m.objects[o.Key]
	if known && old.Deleted && object.Era(o.Version) > object.Era(old.Version) && o.Version <= m.kind(kindOf(o.Key)).eraFrom {
		// The copy was taken before the object was deleted.
		return false
	}
	if known && (o.Version < old.Version || o.Version == old.Version && (!o.Deleted || old.Deleted)) {
		return false
	}
	if o.Deleted {
		o.Value = nil
	}
	if o.Deleted != old.Deleted {
		m.countTombstone(o.Deleted)
	}
	m.objects[o.Key] = o
	m.kind(kindOf(o.Key)).record(&o)
	return !o.Deleted || !old.Deleted
}

// kind returns the state of a kind. The caller holds the lock.
func (m *Mirror) kind(name string) *kindState {
	k := m.kinds[name]
	if k == nil {
		if m.kinds == nil {
			m.kinds = make(map[string]*kindState)
		}
		k = new(kindState)
		m.kinds[name] = k
	}
	return k
}

func kindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// countTombstone updates the number of tombstones.
func (m *Mirror) countTombstone(deleted bool) {
	if deleted {
		m.tombstones++
		return
	}
	m.tombstones--
}

// dropTombstones drops the older half of the tombstones.
func (m *Mirror) dropTombstones() {
	var deleted []object.Object
	for _, o := range m.objects {
		if o.Deleted {
			deleted = append(deleted, o)
		}
	}
	slices.SortFunc(deleted, func(a, b object.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, o := range deleted[:len(deleted)/2] {
		delete(m.objects, o.Key)
		m.tombstones--
	}
}

// Revision returns the revision up to which all changes of a kind's objects are known: the
// highest version, unless a list is uncertain.
func (m *Mirror) Revision(kind string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	highest := m.kind(kind).highest
	if known, in := m.uncertainAfter[kind]; in {
		return min(highest, known)
	}
	return highest
}

// BeginList records that a list of a kind as of a revision is about to be applied. gap means
// that changes before it were missed. uncertain means that the list lacks objects that may have
// been deleted.
func (m *Mirror) BeginList(kind string, revision uint64, gap, uncertain bool) {
	known := m.Revision(kind)
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kind(kind); object.Era(revision) > object.Era(k.eraFrom) {
		k.eraFrom = revision
	}
	if m.completeFrom == nil {
		m.completeFrom, m.uncertainAfter = make(map[string]uint64), make(map[string]uint64)
	}
	_, wasUncertain := m.uncertainAfter[kind]
	switch {
	case uncertain && !wasUncertain:
		m.uncertainAfter[kind] = known
	case !uncertain:
		delete(m.uncertainAfter, kind)
	}
	if gap || wasUncertain {
		m.completeFrom[kind] = max(m.completeFrom[kind], revision)
	}
}

// Changes returns the changes of a kind after a revision, in the order of their versions, or all
// objects and full if some changes since then are not known. While a list is uncertain it
// returns [ErrListUncertain], except for revision 0, that of a peer that has nothing.
func (m *Mirror) Changes(kind string, after uint64) (changes []object.Object, full bool, err error) {
	m.mu.Lock()
	_, uncertain := m.uncertainAfter[kind]
	full = after < m.completeFrom[kind]
	m.mu.Unlock()
	switch {
	case after == 0:
		return m.ChangedSince(kind, 0), false, nil
	case uncertain:
		return nil, false, ErrListUncertain
	case full:
		return m.ChangedSince(kind, 0), true, nil
	}
	return m.ChangedSince(kind, after), false, nil
}

// Replace replaces the objects of a kind with all those that a peer knows up to a revision, and
// returns those that changed. Objects that are missing have been deleted.
func (m *Mirror) Replace(kind string, objects []object.Object, revision uint64) (changed []object.Object) {
	present := make(map[string]bool, len(objects))
	for i := range objects {
		present[objects[i].Key] = true
	}
	for key, version := range m.KnownVersions(kind) {
		if !present[key] && version <= revision {
			objects = append(objects, object.Object{Key: key, Version: revision, Deleted: true})
		}
	}
	// A list of a peer that lags does not end the uncertainty.
	if m.highest(kind) <= revision || !m.isUncertain(kind) {
		m.BeginList(kind, revision, true, false)
	}
	return m.ApplyFromPeer(objects)
}

// isUncertain reports whether the last list of a kind is uncertain.
func (m *Mirror) isUncertain(kind string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, in := m.uncertainAfter[kind]
	return in
}

// highest returns the highest version of a kind's objects, tombstones included.
func (m *Mirror) highest(kind string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.kind(kind).highest
}

// KnownVersions returns the versions of a kind's objects by key, without deleted ones.
func (m *Mirror) KnownVersions(kind string) map[string]uint64 {
	out := make(map[string]uint64)
	m.each(kind, func(o object.Object) {
		if !o.Deleted {
			out[o.Key] = o.Version
		}
	})
	return out
}

// ChangedSince returns the objects of a kind that changed or were deleted after a revision, in
// the order of their versions.
func (m *Mirror) ChangedSince(kind string, after uint64) []object.Object {
	if out, ok := m.recentSince(kind, after); ok {
		return out
	}
	var out []object.Object
	m.each(kind, func(o object.Object) {
		if o.Version > after {
			out = append(out, o)
		}
	})
	slices.SortFunc(out, func(a, b object.Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// recentSince is ChangedSince for changes that are all among the latest ones; otherwise ok is false.
func (m *Mirror) recentSince(kind string, after uint64) (out []object.Object, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	if after < k.recentAfter {
		return nil, false
	}
	from, _ := slices.BinarySearchFunc(k.recent, after+1, func(c change, version uint64) int { return cmp.Compare(c.version, version) })
	for _, c := range k.recent[from:] {
		// An object that changed again is listed at its last change.
		if o, known := m.objects[c.key]; known && o.Version == c.version {
			out = append(out, o)
		}
	}
	return out, true
}

// each calls f with each object of a kind, tombstones included, under the lock.
func (m *Mirror) each(kind string, f func(object.Object)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, o := range m.objects {
		if strings.HasPrefix(key, kind+"/") {
			f(o)
		}
	}
}
