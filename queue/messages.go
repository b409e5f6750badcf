package queue

import (
	"cmp"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// messages returns what each cell that is ready is still to be told, at most
// maxOffer tasks of each kind.
func (m *Machine) messages(ready func(shard.ID) bool) []message {
	var found []message
	for _, c := range m.cells {
		if len(c.offers)+len(c.cancels) == 0 || !ready(c.id) {
			continue
		}
		msg := message{cell: c.id}
		for _, key := range firstKeys(c.offers) {
			msg.offers = append(msg.offers, key.delegationTask())
		}
		for _, key := range firstKeys(c.cancels) {
			msg.cancels = append(msg.cancels, key.ref())
		}
		found = append(found, msg)
	}
	slices.SortFunc(found, func(a, b message) int { return cmp.Compare(a.cell, b.cell) })
	return found
}

// firstKeys returns up to maxOffer tasks, urgent ones first.
func firstKeys(set map[taskKey]struct{}) []taskKey {
	keys := make([]taskKey, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b taskKey) int {
		return cmp.Or(
			-cmp.Compare(a.job.Priority, b.job.Priority),
			older(a.job, b.job),
			cmp.Compare(a.index, b.index),
		)
	})
	return keys[:min(len(keys), maxOffer)]
}

func (k taskKey) ref() inventory.AttemptRef {
	return attemptRef(k.job.ID, k.index, k.job.tasks[k.index].attempts())
}

func (k taskKey) delegationTask() delegation.Task {
	j := k.job
	d := j.details[k.index]
	return delegation.Task{
		AttemptRef:         k.ref(),
		Organisation:       j.Organisation,
		Team:               j.Team,
		Class:              j.Class,
		Resources:          j.Resources,
		Priority:           j.Priority,
		Command:            j.Command,
		Checkpoint:         d.Checkpoint,
		CheckpointProgress: d.Progress,
	}
}

// accept notes attempts that a cell has accepted. Those of cancelled jobs are
// now to be cancelled there.
func (m *Machine) accept(cell shard.ID, refs []inventory.AttemptRef) {
	for _, ref := range refs {
		key, ok := m.held(cell, ref.Task, ref.Attempt)
		if !ok {
			continue
		}
		d := m.delegations[key]
		d.accepted = true
		delete(d.cell.offers, key)
		if key.job.cancelled {
			m.askToStop(key)
		}
	}
}

// cancelTold notes attempts whose cancellation a cell has acknowledged.
func (m *Machine) cancelTold(cell shard.ID, refs []inventory.AttemptRef) {
	for _, ref := range refs {
		if key, ok := m.held(cell, ref.Task, ref.Attempt); ok {
			delete(m.delegations[key].cell.cancels, key)
		}
	}
}

// setWaiting notes why no queued job is given out.
func (m *Machine) setWaiting(reason string) {
	for _, l := range m.order.lanes {
		for _, j := range l.jobs {
			j.waiting = reason
		}
	}
}

// expirable reports whether a job ended before a time in Unix milliseconds.
func (m *Machine) expirable(before int64) bool {
	for _, j := range m.jobs {
		if j.ended != 0 && j.ended < before {
			return true
		}
	}
	return false
}
