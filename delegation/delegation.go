// Package delegation defines the messages by which a queue shard delegates
// tasks to a cell and receives their outcomes.
//
// The queue journals a delegation before sending it and repeats it until the
// cell replies. It does not delegate the task elsewhere until that cell has
// durably returned it. The cell recognises attempts that it already holds.
//
// Once the queue has accepted the outcome of an attempt, the cell forgets the
// attempt. An offer of it that arrives late, from a paused owner or over a slow
// connection, must then not be mistaken for a new one: see Offer.
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

// Task is one attempt of a task as it is sent to a cell.
type Task struct {
	inventory.AttemptRef
	Queue              shard.ID           `json:"queue" cbor:"3,keyasint"` // shard that receives the outcome
	Organisation       fleet.Organisation `json:"organisation" cbor:"4,keyasint"`
	Team               fleet.Team         `json:"team" cbor:"5,keyasint"`
	Class              fleet.JobClass     `json:"class" cbor:"6,keyasint"`
	Resources          fleet.Resources    `json:"resources" cbor:"7,keyasint"` // as declared by the job
	Priority           int                `json:"priority" cbor:"8,keyasint,omitempty"`
	Command            string             `json:"command" cbor:"9,keyasint,omitempty"`
	Checkpoint         string             `json:"checkpoint,omitempty" cbor:"10,keyasint,omitempty"`
	CheckpointProgress float64            `json:"checkpoint_progress,omitempty" cbor:"11,keyasint,omitempty"`
}

// Offer delegates tasks to a cell.
//
// The offers of a queue to a cell are ordered by Epoch, then by Sequence. A
// cell that durably stores the highest pair of each queue, and raises it to
// that of a ReturnReply in the same record that forgets the attempts, can
// refuse any offer that is not higher (*peer.RemoteError of kind refused),
// however late it arrives: its sender has been superseded or has sent a later
// offer with the same tasks. A cell that remembers ended attempts for a limited
// time recognises only late offers that arrive within that time.
type Offer struct {
	Cell     shard.ID    `json:"cell"`
	Queue    shard.ID    `json:"queue"`
	Epoch    fleet.Epoch `json:"epoch"`    // of the queue's owner
	Sequence uint64      `json:"sequence"` // increases with each offer of that owner
	Tasks    []Task      `json:"tasks"`
}

// OfferReply reports for each task whether the cell has accepted it. A task in
// neither list was not processed and remains delegated.
type OfferReply struct {
	Accepted []inventory.AttemptRef `json:"accepted"`
	Refused  []Refusal              `json:"refused"`
	Load     member.CellLoad        `json:"load"` // after the decision
}

// Refusal durably returns an attempt that the cell has not started and will
// never start.
type Refusal struct {
	inventory.AttemptRef
	Reason string `json:"reason"` // machine-readable
}

// Cancel asks a cell to stop tasks. Their outcomes are sent by Return.
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
	OutcomeEvicted  OutcomeKind = "evicted" // to be resumed from the last checkpoint
	OutcomeLost     OutcomeKind = "lost"    // the worker is gone and its lease has certainly expired
	OutcomeNotRun   OutcomeKind = "not_run"
	OutcomeStopped  OutcomeKind = "stopped" // after a Cancel
)

// Outcome reports how one attempt ended. The attempt is no longer running
// anywhere.
type Outcome struct {
	inventory.AttemptRef
	Kind               OutcomeKind     `json:"end" cbor:"3,keyasint"`
	Worker             fleet.WorkerID  `json:"worker,omitempty" cbor:"4,keyasint,omitempty"`
	Checkpoint         string          `json:"checkpoint,omitempty" cbor:"5,keyasint,omitempty"`
	CheckpointProgress float64         `json:"checkpoint_progress,omitempty" cbor:"6,keyasint,omitempty"`
	Used               fleet.Resources `json:"used" cbor:"7,keyasint"` // highest observed
	Error              string          `json:"error,omitempty" cbor:"8,keyasint,omitempty"`
}

// Return sends the outcomes of attempts to a queue shard.
type Return struct {
	Queue    shard.ID        `json:"queue"`
	Cell     shard.ID        `json:"cell"`
	Outcomes []Outcome       `json:"outcomes"`
	Load     member.CellLoad `json:"load"` // after these outcomes
}

// ReturnReply acknowledges a Return, after which the cell may forget the
// attempts. No offer of them has a higher Epoch and Sequence than these.
type ReturnReply struct {
	Epoch    fleet.Epoch `json:"epoch"`
	Sequence uint64      `json:"sequence"`
}

// Started reports attempts that a worker was observed to be running. It is used
// for status only.
type Started struct {
	Queue shard.ID               `json:"queue"`
	Tasks []inventory.AttemptRef `json:"tasks"`
}

// StartedReply acknowledges a Started.
type StartedReply struct{}
