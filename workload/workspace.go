package workload

import (
	"crypto/sha256"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Workspace is a customer whose callers share the workers with those of others.
type Workspace struct {
	Name string
	Keys []KeyDigest // of the API keys of its callers
	// Priority orders workspaces; 0 is the highest.
	Priority int
	// Weight is its share when all capacity is in use, relative to the other workspaces, and
	// the jobs a second that it may submit while there is too little room.
	Weight float64
	// Cap limits the sum of the requests of its runs on all workers; an amount of 0 is no limit.
	Cap fleet.Resources
}

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// String keeps digests out of logs and errors.
func (KeyDigest) String() string { return "(digest)" }

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }
