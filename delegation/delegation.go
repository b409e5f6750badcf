// Package delegation defines the messages by which a queue shard gives
// tasks to a cell and gets their outcome back.
//
// The queue journals a delegation before it sends it, repeats it until the
// cell answers, and does not give the task to anyone else until that cell
// has durably returned it. The cell recognises an attempt that it holds.
//
// An attempt that the queue has taken back is forgotten by the cell, so an
// offer of it that arrives late, from a paused owner or over a slow
// connection, must not be taken for a new one: see Offer.
package delegation

import (
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// Peer methods.
const (
	MethodOffer   = "cell.offer"   // Offer -> OfferReply, once durable at the cell
	MethodCancel  = "cell.cancel"  // Cancel -> CancelReply, once durable at the cell
	MethodReturn  = "queue.return" // Return -> ReturnReply, once durable at the queue
	MethodStarted = "queue.start"  // Started -> StartedReply, not journaled
)

// Task is one attempt of a task as a cell gets it.
type Task struct {
	inventory.AttemptRef
	Queue              shard.ID           `json:"queue" cbor:"3,keyasint"` // where the outcome goes
	Organisation       fleet.Organisation `json:"organisation" cbor:"4,keyasint"`
	Team               fleet.Team         `json:"team" cbor:"5,keyasint"`
	Class              fleet.JobClass     `json:"class" cbor:"6,keyasint"`
	Resources          fleet.Resources    `json:"resources" cbor:"7,keyasint"` // declared
	Priority           int                `json:"priority" cbor:"8,keyasint,omitempty"`
	Command            string             `json:"command" cbor:"9,keyasint,omitempty"`
	Checkpoint         string             `json:"checkpoint,omitempty" cbor:"10,keyasint,omitempty"`
	CheckpointProgress float64            `json:"checkpoint_progress,omitempty" cbor:"11,keyasint,omitempty"`
}

// Offer gives tasks to a cell.
//
// The offers of a queue to a cell are ordered by Epoch, then Sequence. A cell
// that remembers the highest of each queue durably, and takes up those of a
// ReturnReply in the record that forgets the attempts, can refuse one that is
// not higher (*peer.RemoteError of kind refused) however late it is: its
// sender is superseded or has sent a later one with the same tasks. A cell
// that remembers ended attempts for a time recognises those that are less
// late than that.
type Offer struct {
	Cell     shard.ID    `json:"cell"`
	Queue    shard.ID    `json:"queue"`
	Epoch    fleet.Epoch `json:"epoch"`    // of the queue's owner
	Sequence uint64      `json:"sequence"` // rises with each offer of that owner
	Tasks    []Task      `json:"tasks"`
}

// OfferReply tells for each task whether the cell has accepted it. A task in
// neither list was not looked at and stays delegated.
type OfferReply struct {
	Accepted []inventory.AttemptRef `json:"accepted"`
	Refused  []Refusal              `json:"refused"`
	Load     member.CellLoad        `json:"load"` // after the decision
}

// Refusal durably gives an attempt back: the cell never starts it.
type Refusal struct {
	inventory.AttemptRef
	Reason string `json:"reason"` // machine-readable
}

// Cancel asks a cell to stop tasks. They come back by Return.
type Cancel struct {
	Cell  shard.ID               `json:"cell"`
	Tasks []inventory.AttemptRef `json:"tasks"`
}

// CancelReply acknowledges a Cancel.
type CancelReply struct{}

// OutcomeKind is how an attempt ended.
type OutcomeKind string

// Kinds of outcomes.
const (
	OutcomeFinished OutcomeKind = "finished"
	OutcomeFailed   OutcomeKind = "failed"  // the task's own failure
	OutcomeEvicted  OutcomeKind = "evicted" // to be resumed from its checkpoint
	OutcomeLost     OutcomeKind = "lost"    // the worker is gone, its lease has surely run out
	OutcomeNotRun   OutcomeKind = "not_run"
	OutcomeStopped  OutcomeKind = "stopped" // after a Cancel
)

// Outcome is the end of one attempt. The attempt runs nowhere any more.
type Outcome struct {
	inventory.AttemptRef
	Kind               OutcomeKind     `json:"end" cbor:"3,keyasint"`
	Worker             fleet.WorkerID  `json:"worker,omitempty" cbor:"4,keyasint,omitempty"`
	Checkpoint         string          `json:"checkpoint,omitempty" cbor:"5,keyasint,omitempty"`
	CheckpointProgress float64         `json:"checkpoint_progress,omitempty" cbor:"6,keyasint,omitempty"`
	Used               fleet.Resources `json:"used" cbor:"7,keyasint"` // highest observed
	Error              string          `json:"error,omitempty" cbor:"8,keyasint,omitempty"`
}

// Return gives outcomes to a queue shard.
type Return struct {
	Queue    shard.ID        `json:"queue"`
	Cell     shard.ID        `json:"cell"`
	Outcomes []Outcome       `json:"outcomes"`
	Load     member.CellLoad `json:"load"` // after them
}

// ReturnReply acknowledges a Return: the cell may forget the attempts. Every
// offer of them has at most this Epoch and Sequence.
type ReturnReply struct {
	Epoch    fleet.Epoch `json:"epoch"`
	Sequence uint64      `json:"sequence"`
}

// Started reports attempts that a worker was seen running, for status only.
type Started struct {
	Queue shard.ID               `json:"queue"`
	Tasks []inventory.AttemptRef `json:"tasks"`
}

// StartedReply acknowledges a Started.
type StartedReply struct{}
