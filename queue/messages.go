package queue

import (
	"cmp"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// pendingMessages returns the message that is to be sent to each cell for which
// ready reports true, sorted by cell. A message holds at most maxMessageTasks
// offers and as many cancels. ready is called only for cells with a message.
func (m *Machine) pendingMessages(ready func(shard.ID) bool) []message {
	var pending []message
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
		pending = append(pending, msg)
	}
	slices.SortFunc(pending, func(a, b message) int { return cmp.Compare(a.cell, b.cell) })
	return pending
}

// firstKeys returns up to maxMessageTasks tasks of the set, ordered by priority,
// then by the age of the job.
func firstKeys(set map[taskKey]struct{}) []taskKey {
	keys := make([]taskKey, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b taskKey) int {
		return cmp.Or(
			-cmp.Compare(a.job.Priority, b.job.Priority),
			compareAge(a.job, b.job),
			cmp.Compare(a.index, b.index),
		)
	})
	return keys[:min(len(keys), maxMessageTasks)]
}

func (k taskKey) ref() inventory.AttemptRef {
	return attemptRef(k.job.ID, k.index, k.job.tasks[k.index].attempts())
}

func (k taskKey) delegationTask() delegation.Task {
	j := k.job
	h := j.history[k.index]
	return delegation.Task{
		AttemptRef:         k.ref(),
		Organisation:       j.Organisation,
		Team:               j.Team,
		Class:              j.Class,
		Resources:          j.Resources,
		Priority:           j.Priority,
		Command:            j.Command,
		Checkpoint:         h.Checkpoint,
		CheckpointProgress: h.Progress,
	}
}

// markAccepted records attempts that a cell has accepted and queues cancel
// messages for those of cancelled jobs.
func (m *Machine) markAccepted(cell shard.ID, refs []inventory.AttemptRef) {
	for _, ref := range refs {
		key, ok := m.findHeld(cell, ref.Task, ref.Attempt)
		if !ok {
			continue
		}
		d := m.delegations[key]
		d.accepted = true
		delete(d.cell.offers, key)
		if key.job.cancelled {
			m.queueCancel(key)
		}
	}
}

// markCancelAcknowledged records attempts whose cancellation a cell has
// acknowledged.
func (m *Machine) markCancelAcknowledged(cell shard.ID, refs []inventory.AttemptRef) {
	for _, ref := range refs {
		if key, ok := m.findHeld(cell, ref.Task, ref.Attempt); ok {
			delete(m.delegations[key].cell.cancels, key)
		}
	}
}

// setWaitReason sets the reason for which all queued jobs wait.
func (m *Machine) setWaitReason(reason string) {
	for _, b := range m.order.buckets {
		for _, j := range b.jobs {
			j.waitReason = reason
		}
	}
}

// hasExpired reports whether any job ended before a time in Unix milliseconds.
func (m *Machine) hasExpired(before int64) bool {
	for _, j := range m.jobs {
		if j.ended != 0 && j.ended < before {
			return true
		}
	}
	return false
}
