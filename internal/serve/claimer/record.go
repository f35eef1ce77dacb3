package claimer

import (
	"crypto/sha256"
	"fmt"

	"brasschute/internal/core/identifier"
	"brasschute/internal/platform/inventory"
)

// Key identifies a claim.
type Key struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Key          string
	// Digest is the digest of the request.
	Digest string
}

func (k *Key) hash() [sha256.Size]byte {
	return sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%s", len(k.Organisation), k.Organisation, len(k.Service), k.Service, k.Key))
}

// Entry is a claim as stored.
type Entry struct {
	Token  string
	Digest string
	// At is the platform's time of the claim, in Unix seconds.
	At int64
	// Done means that the request ran. The fields below are its answer, if it is small
	// enough.
	Done        bool
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Answer      []byte `json:",omitempty"`
}

func (e *Entry) bytes() int { return entryBytes + len(e.Answer)*4/3 }

type shard struct {
	Entries map[string]Entry
}

func shardKey(i int) string { return fmt.Sprintf("%s%02d", inventory.ClaimPrefix, i) }
