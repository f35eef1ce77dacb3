// Package object declares the platform's stored object and the errors of its API.
//
// A write to the platform can fail in three ways. [ErrConflict] and
// [ErrUnavailable] mean that it has not taken effect and never will.
// [ErrUnknown] means that it may have taken effect or may still do so: the caller
// must read the object back before it relies on either outcome.
//
// # Usage
//
//	o, err := store.Put(ctx, key, ifVersion, value)
//	if errors.Is(err, object.ErrUnknown) {
//		o, err = store.Get(ctx, key) // read back
//	}
package object

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Errors of the platform's clients.
var (
	// ErrConflict means that the object's version is not the expected one.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable means that the platform did not accept the call, which had no
	// effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that the call was sent and its response was lost.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrMissing means that there is no such object.
	ErrMissing = errors.New("platform: no such object")
	// ErrGap means that the watch is too far behind and the objects must be listed
	// again.
	ErrGap = errors.New("platform: watch gap")
)

// revisionBits is the number of bits of a version that hold the revision; those above hold the era.
const revisionBits = 44

// Join returns the version of a write at a revision of the store in an era.
//
// A store that comes back from an older copy of itself gives revisions out again, in an era that is
// higher by one. Versions of a later era are therefore higher than all of an earlier one. A store that
// states no era is in era 0, in which versions are revisions.
func Join(era, revision uint64) uint64 { return era<<revisionBits | revision }

// Era returns the era of a version, and Revision its revision in the store.
func Era(version uint64) uint64 { return version >> revisionBits }

// Revision returns the revision of a version.
func Revision(version uint64) uint64 { return version & (1<<revisionBits - 1) }

// LogValue returns a version for a log line: the revision, behind the era if the store states one.
func LogValue(version uint64) any {
	if era := Era(version); era > 0 {
		return fmt.Sprintf("%d/%d", era, Revision(version))
	}
	return version
}

// Absent is the version of an object that does not exist.
const Absent uint64 = 0

// Object is one stored value with its version.
type Object struct {
	// Key is the object's path, such as config/main or hosts/ZONE/HOST.
	Key string
	// Version is the platform's revision of the last write to the object, with its era; see [Join]. It
	// increases over all objects, so it also orders writes to different keys.
	Version uint64
	// Deleted is set, in a watch, if the object was removed.
	Deleted bool `json:",omitempty"`
	Value   json.RawMessage
}

// Page is the result of a list or a watch: objects, and the revision of the store that
// they show.
type Page struct {
	Revision uint64
	Objects  []Object
	// Unreadable holds an error for each entry that could not be decoded. The other
	// entries are valid.
	Unreadable []error
}

// ClassifyError classifies the error of an HTTP call without a complete response, and
// returns one that wraps ErrUnavailable or ErrUnknown. Only a failed dial proves that a
// write did not reach the store; otherwise the response may have been lost on its way back
// and the write may have taken effect.
func ClassifyError(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}
