// Package wal keeps the state of one shard in the platform's store: a
// ring of entries plus a snapshot. The ring is also the fence between owners
// of the shard: a superseded owner collides at its next append.
//
// Entry N is written by compare-and-swap into slot N mod RingSize against the
// revision that entry N-RingSize left there, and never before a durable
// snapshot covers entry N-RingSize. One write is outstanding per shard; after
// an unknown outcome the same bytes are sent again. docs/JOURNAL.md gives the
// reasons for each rule.
package wal

import (
	"context"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Sequence numbers the entries of one journal from 1, without gaps.
type Sequence uint64

// Owner is the process that writes a journal, as its claim of the shard says.
// It converts from shard.Owner.
type Owner struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Epoch       fleet.Epoch       `cbor:"3,keyasint"`
}

// Machine is the state machine of a shard. Apply and Restore must be
// deterministic and free of I/O. A Machine is used by one goroutine.
type Machine interface {
	// Apply applies one record, as it was passed to Tx.Append. An error
	// means that the record can't be decoded or contradicts the state;
	// recovery stops with it.
	Apply(record []byte) error
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a decoded snapshot. An empty snapshot is
	// the initial state.
	Restore(snapshot []byte) error
}

// Tx is one transaction on a shard's Machine, run on the shard's goroutine.
type Tx interface {
	// Append applies record to the Machine at once and journals it with the
	// next group commit. If that commit fails for good, the owner stops and
	// the Machine is thrown away. The record must not be changed afterwards.
	Append(record []byte)
	// OnDurable registers an effect to run after every record appended so
	// far in this journal is durable. It runs on its own goroutine.
	OnDurable(effect func())
	// Epoch returns the owner's epoch, its fencing token.
	Epoch() fleet.Epoch
}

// Committer runs transactions on the shard that this host owns.
type Committer interface {
	// Do runs fn on the shard's goroutine and returns when the records that
	// it and the transactions before it appended are durable, so that an
	// answer never tells of a state that may still be lost. fn's error is
	// returned and nothing it appended may then be relied on, so fn must
	// return its error before it appends. fn must neither block nor call Do.
	// When Do returns, fn has returned or
	// will never run. Errors besides fn's: *StoppedError, the context's error
	// (if fn has run, its records may still become durable).
	Do(ctx context.Context, fn func(Tx) error) error
}
