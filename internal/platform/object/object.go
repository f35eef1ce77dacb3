// Package object holds the platform's stored object and its typed failures.
//
// # Failures of a write
//
// A write to the platform can fail in three ways that must not be mixed up.
// [ErrConflict] and [ErrUnavailable] mean that it has not taken effect and
// never will. [ErrUnknown] means that it may have, or may still: whoever gets
// it reads back before acting on either belief.
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

// Failures that the platform's client returns.
var (
	// ErrConflict: the object's version is not the expected one.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable: the platform did not take the call; nothing happened.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown: the call was sent and its answer was lost.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrMissing: there is no such object.
	ErrMissing = errors.New("platform: no such object")
	// ErrGap: the watch fell too far behind; list again.
	ErrGap = errors.New("platform: watch gap")
)

// Absent is the version that an object has before it is created.
const Absent uint64 = 0

// Object is one stored value with its version.
type Object struct {
	Key string
	// Version is the platform's revision of the last write to the object. It
	// rises over all objects, so it also orders writes to different keys.
	Version uint64
	// Deleted marks, in a watch, the removal of the object.
	Deleted bool `json:",omitempty"`
	Value   json.RawMessage
}

// Page is an answer of List or Watch: objects and the revision they show.
type Page struct {
	Revision uint64
	Objects  []Object
	// Unreadable says of each entry that could not be read what was found. The others
	// hold.
	Unreadable []error
}

// ClassifyError classifies a call over HTTP that got no whole answer. Only a failed dial
// proves that a write did not reach the store; after that the answer may have been
// lost on its way back, so the write may stand.
func ClassifyError(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}
