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
// # Usage
//
//	use(m.Apply(objects))
//	changes := m.Since("servers", revision)
package mirror

import (
	"cmp"
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
}

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

// Hear takes in what a peer told, as Apply does. A mirror shows all that happened
// up to its revision, so an object that it does not have, and that is not newer, has
// ended: a peer that lags, or that missed the end, must not bring it back.
func (m *Mirror) Hear(objects []object.Object) (news []object.Object) {
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

// Revision is the highest version of a kind's objects.
func (m *Mirror) Revision(kind string) uint64 {
	var highest uint64
	m.each(kind, func(o object.Object) { highest = max(highest, o.Version) })
	return highest
}

// Known returns the keys and versions of a kind's objects that have not ended.
func (m *Mirror) Known(kind string) map[string]uint64 {
	out := make(map[string]uint64)
	m.each(kind, func(o object.Object) {
		if !o.Deleted {
			out[o.Key] = o.Version
		}
	})
	return out
}

// Since returns the objects of a kind that changed or ended after a revision, in
// the order of their versions.
func (m *Mirror) Since(kind string, after uint64) []object.Object {
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
