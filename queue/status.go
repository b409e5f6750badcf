package queue

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
)

const reasonCancelling = "cancelling"

func (j *jobState) urgent() bool { return j.Priority >= job.UrgentPriority }

func (j *jobState) spec() job.Spec {
	return job.Spec{
		ID:           j.ID,
		Organisation: j.Organisation,
		Team:         j.Team,
		Class:        j.Class,
		Tasks:        j.Tasks,
		Resources:    j.Resources,
		Command:      j.Command,
		Priority:     j.Declared,
		DataCentres:  j.DataCentres,
	}
}

func (j *jobState) status() job.Status {
	s := job.Status{
		Spec:      j.spec(),
		State:     j.state(),
		Reason:    j.reason(),
		Submitted: time.UnixMilli(j.At).UTC(),
		Queued:    j.counts[taskQueued],
		Delegated: j.counts[taskDelegated] - j.running,
		Running:   j.running,
		Finished:  j.counts[taskFinished],
		Failed:    j.counts[taskFailed],
		Cancelled: j.counts[taskCancelled],
		Evictions: j.evictions,
		LastError: j.lastError,
	}
	if j.ended != 0 {
		s.Ended = time.UnixMilli(j.ended).UTC()
	}
	return s
}

func (j *jobState) state() job.State {
	switch {
	case j.running > 0:
		return job.StateRunning
	case j.counts[taskDelegated] > 0:
		return job.StateDelegated
	case j.counts[taskQueued] > 0:
		return job.StateQueued
	case j.counts[taskFailed] > 0:
		return job.StateFailed
	case j.counts[taskCancelled] > 0:
		return job.StateCancelled
	default:
		return job.StateFinished
	}
}

func (j *jobState) reason() string {
	switch {
	case j.cancelled && !j.final():
		return reasonCancelling
	case j.counts[taskQueued] > 0 && j.waitReason != "":
		return j.waitReason
	case j.counts[taskQueued] > 0:
		return waitPriority
	case j.ended != 0 && j.counts[taskFailed] > 0:
		return j.lastError
	default:
		return ""
	}
}

// Status returns the status of a job, or false if the job is unknown.
func (m *Machine) Status(id fleet.JobID) (job.Status, bool) {
	j := m.jobs[id]
	if j == nil {
		return job.Status{}, false
	}
	return j.status(), true
}

const (
	// maxPageBytes bounds the estimated size of a page, well below the largest
	// message between peers.
	maxPageBytes        = 2 << 20
	statusOverheadBytes = 1 << 10 // estimate for a job's status without its command
)

// List returns up to limit jobs with IDs greater than after, sorted by ID. It
// returns fewer, but at least one if there is any, when the page would exceed
// maxPageBytes.
func (m *Machine) List(after fleet.JobID, limit int) job.Page {
	at, found := slices.BinarySearch(m.ids, after)
	if found {
		at++
	}
	end := min(at+limit, len(m.ids))
	page := job.Page{Jobs: make([]job.Status, 0, end-at)}
	size := 0
	for i, id := range m.ids[at:end] {
		size += statusOverheadBytes + len(m.jobs[id].Command)
		if size > maxPageBytes && i > 0 {
			end = at + i
			break
		}
		page.Jobs = append(page.Jobs, m.jobs[id].status())
	}
	if end < len(m.ids) {
		page.Next = string(m.ids[end-1])
	}
	return page
}

// markRunning marks delegated attempts as running on a worker. Other attempts
// are ignored.
func (m *Machine) markRunning(refs []inventory.AttemptRef) {
	for _, ref := range refs {
		name, index, ok := parseTaskID(ref.Task)
		j := m.jobs[name]
		if !ok || j == nil || index >= len(j.tasks) || j.tasks[index].attempts() != ref.Attempt {
			continue
		}
		d := m.delegations[taskKey{job: j, index: index}]
		if d != nil && !d.running {
			d.running = true
			j.running++
		}
	}
}
