package wal

import (
	"fmt"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// StoppedError reports that this process no longer owns the shard. Records that
// were not yet reported as durable may or may not be in the journal.
type StoppedError struct {
	Shard string
	Cause error
}

func (e *StoppedError) Error() string {
	return fmt.Sprintf("journal: no longer the owner of %s: %v", e.Shard, e.Cause)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }

// CollisionError reports that another process wrote a key since this one last
// read or wrote it.
type CollisionError struct{ Key string }

func (e *CollisionError) Error() string {
	return fmt.Sprintf("journal: key %q was written by another process", e.Key)
}

// SupersededError reports that the journal holds an entry of a later owner.
type SupersededError struct {
	Epoch fleet.Epoch // of the later owner
	Own   fleet.Epoch
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("journal: epoch %d is superseded by epoch %d", e.Own, e.Epoch)
}

// DecodeError reports a value in the store, or a record in it, that can't be
// decoded or contradicts the state. Such values are never skipped.
type DecodeError struct {
	Key   string
	Cause error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("journal: value of key %q refused: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// VersionError reports a format version that this release does not support.
type VersionError struct{ Version uint }

func (e *VersionError) Error() string {
	return fmt.Sprintf("journal: format version %d is not known", e.Version)
}

// MisplacedError reports an entry in a slot other than the one for its sequence
// number.
type MisplacedError struct {
	Sequence Sequence
	Slot     int
}

func (e *MisplacedError) Error() string {
	return fmt.Sprintf("journal: entry %d in slot %d", e.Sequence, e.Slot)
}

// SizeError reports a record or snapshot that exceeds the journal's limit.
type SizeError struct {
	What  string
	Bytes int
	Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("journal: %s has %d bytes, the limit is %d", e.What, e.Bytes, e.Limit)
}

// gapError reports reads that do not add up to one consistent journal because
// an owner wrote between them. Recovery then starts over.
type gapError struct{ after Sequence }

func (e *gapError) Error() string {
	return fmt.Sprintf("journal: no consistent sequence after entry %d", e.after)
}
