// Package wal persists the state of one shard in the platform's store as a
// write-ahead log: a ring of entries plus a snapshot. The ring also fences
// owners of the shard: the next append of a superseded owner fails with a
// collision.
//
// Entry N is written by compare-and-swap into slot N mod RingSize, against the
// revision that entry N-RingSize left there, and only after a durable snapshot
// covers entry N-RingSize. Each shard has at most one outstanding write; after
// an unknown outcome it sends the same bytes again. docs/JOURNAL.md gives the
// reason for each rule.
package wal

import (
	"context"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Sequence is the number of an entry in its journal. Entries are numbered from
// 1 without gaps.
type Sequence uint64

// Owner is the process that writes a journal, as identified by its claim on the
// shard. It converts from shard.Owner.
type Owner struct {
	Host        fleet.HostID      `cbor:"1,keyasint"`
	Incarnation fleet.Incarnation `cbor:"2,keyasint"`
	Epoch       fleet.Epoch       `cbor:"3,keyasint"`
}

// Machine is the state machine of a shard. Apply and Restore must be
// deterministic and free of I/O. A Machine is used by one goroutine.
type Machine interface {
	// Apply applies one record, as it was passed to Tx.Append. An error
	// means that the record can't be decoded or contradicts the state; it
	// aborts recovery.
	Apply(record []byte) error
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot. An empty snapshot
	// is the initial state.
	Restore(snapshot []byte) error
}

// Tx is one transaction on a shard's Machine, run on the shard's goroutine.
type Tx interface {
	// Append applies record to the Machine immediately and journals it with
	// the next group commit. If that commit fails permanently, the shard
	// stops and its Machine must be discarded. The caller must not modify
	// record afterwards.
	Append(record []byte)
	// OnDurable registers an effect to run, on its own goroutine, once every
	// record appended to this journal so far is durable.
	OnDurable(effect func())
	// Epoch returns the owner's epoch, which is its fencing token.
	Epoch() fleet.Epoch
}

// Committer runs transactions on the shard that this host owns.
type Committer interface {
	// Do runs fn on the shard's goroutine and returns when the records that
	// it and earlier transactions appended are durable, so a response never
	// exposes state that may still be lost. If fn returns an error, Do
	// returns it, and records that fn appended may or may not become durable;
	// fn must therefore return an error before it appends. fn must neither
	// block nor call Do. When Do returns, fn has returned or will never run.
	//
	// Other errors are *StoppedError and the context's error. After the
	// latter, records of an fn that has run may still become durable.
	Do(ctx context.Context, fn func(Tx) error) error
}
