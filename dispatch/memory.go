package dispatch

import (
	"math"
	"time"
)

// The memory of an owner that jobs take is bounded in two parts. What a job takes from its
// acceptance on is known before, and hosts accept jobs up to Limits.JobBytes. What its tasks take
// while they are under way is bounded by Limits.Records: further ones wait, as for workers.

// setRecordRoom sets the room for tasks that have no record. A gang may exceed it, as it starts as
// a whole.
func (m *Machine) setRecordRoom() {
	m.recordRoom = math.MaxInt
	if m.limits.Records <= 0 {
		return
	}
	m.recordRoom = m.limits.Records
	for _, j := range m.jobs {
		m.recordRoom -= j.records
	}
}

// recordOf returns the record of a task that is about to be started.
func (m *Machine) recordOf(t *task) *task {
	record := t.step.record(t.name.Index)
	if record != t {
		m.recordRoom--
	}
	return record
}

// recordsInterval is how often the log says that tasks wait for memory.
const recordsInterval = time.Second

// recordRecords emits that tasks wait because as many as may be are under way.
func (m *Machine) recordRecords(waiting int, now time.Duration) {
	if m.recordRoom > 0 || waiting == 0 || now-m.recordsReportedAt < recordsInterval {
		return
	}
	m.recordsReportedAt = now
	m.emit("tasks_wait_for_memory", "", "records", m.limits.Records-m.recordRoom, "limit", m.limits.Records, "jobs", waiting)
}
