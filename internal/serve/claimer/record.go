package claimer

import (
	"crypto/sha256"
	"fmt"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
)

// Key names what is claimed.
type Key struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          string
	// Digest is that of the request.
	Digest string
}

func (k *Key) hash() [sha256.Size]byte {
	return sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s", len(k.Organisation), k.Organisation, len(k.Service), k.Service, k.Key))
}

// Entry is one claim as it is kept.
type Entry struct {
	Token  string
	Digest string
	// At is the platform's time in Unix seconds.
	At int64
	// Done: the request ran; the rest is its answer, if short enough.
	Done        bool
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Answer      []byte `json:",omitempty"`
}

func (e *Entry) bytes() int { return entryBytes + len(e.Answer)*4/3 }

type shard struct {
	Entries map[string]Entry
}

func key(i int) string { return fmt.Sprintf("%s%02d", inventory.ClaimPrefix, i) }
