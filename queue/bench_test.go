package queue

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const targetJobs = 12_000 // number of queued jobs at the target size

var unlimited = fleet.Resources{MilliCores: 1 << 40, MemoryMB: 1 << 40}

// submissions returns records that admit jobs of one task.
func submissions(jobs int) [][]byte {
	values := newEnvironment().values
	records := make([][]byte, jobs)
	for i := range records {
		s := spec(fleet.JobID(fmt.Sprintf("job-%06d", i)), 1)
		s.Command = "reclaim check --batch 2026-12"
		admitted := newSubmitted(s, values, time.Unix(int64(i), 0))
		records[i] = record{Submitted: &admitted}.encode()
	}
	return records
}

func machineOf(b *testing.B, records [][]byte) *Machine {
	m := NewMachine()
	for _, r := range records {
		if err := m.Apply(r); err != nil {
			b.Fatal(err)
		}
	}
	return m
}

// targetChooser chooses among the 56 cells of the target size.
func targetChooser() *cellChooser {
	c := &cellChooser{rand: newRand(1), sent: newSentTracker(), now: time.Unix(1_000_000, 0)}
	free := fleet.Resources{MilliCores: 1 << 30, MemoryMB: 1 << 30}
	for i := range 56 {
		c.cells = append(c.cells, cellView{
			id: benchCell(i), dataCentre: "sofia", dataCentreIn: true, hasLoad: true,
			load: member.CellLoad{Capacity: free, Free: free, LargestFit: free},
		})
	}
	return c
}

// BenchmarkDecision releases tasks from a queue of 12,000 jobs. It measures the
// choice of the job and of the cell, and encoding and applying the record. One
// op is one task.
func BenchmarkDecision(b *testing.B) {
	records := submissions(targetJobs)
	m := machineOf(b, records)
	c := targetChooser()
	bytes := 0
	planned := 0
	b.ReportAllocs()
	for b.Loop() {
		if planned > 0 {
			planned--
			continue
		}
		plan := m.planRelease(c.now, unlimited, c)
		if plan == nil {
			b.StopTimer()
			m = machineOf(b, records)
			b.StartTimer()
			continue
		}
		data := record{Delegated: plan}.encode()
		if err := m.Apply(data); err != nil {
			b.Fatal(err)
		}
		bytes += len(data)
		planned = len(plan.Runs)
		c.now = c.now.Add(time.Second)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/task")
}

// BenchmarkTaskLife measures submission, delegation and return of jobs of one
// task. One op is one task.
func BenchmarkTaskLife(b *testing.B) {
	c := targetChooser()
	records := submissions(1000)
	bytes, counted := 0, 0
	for b.Loop() {
		if counted > 0 {
			counted--
			continue
		}
		m := NewMachine()
		for _, r := range records {
			bytes += len(r)
			if err := m.Apply(r); err != nil {
				b.Fatal(err)
			}
		}
		for plan := m.planRelease(c.now, unlimited, c); plan != nil; plan = m.planRelease(c.now, unlimited, c) {
			bytes += apply(b, m, record{Delegated: plan})
			for _, msg := range m.pendingMessages(func(shard.ID) bool { return true }) {
				bytes += returnAll(b, m, msg)
			}
			c.now = c.now.Add(time.Second)
		}
		counted = len(records) - 1
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/task")
}

func apply(b *testing.B, m *Machine, r record) int {
	data := r.encode()
	if err := m.Apply(data); err != nil {
		b.Fatal(err)
	}
	return len(data)
}

func returnAll(b *testing.B, m *Machine, msg message) int {
	var outcomes []delegation.Outcome
	for _, task := range msg.offers {
		outcomes = append(outcomes, delegation.Outcome{AttemptRef: task.AttemptRef, Kind: delegation.OutcomeFinished})
	}
	return apply(b, m, record{Returned: m.newReturned(msg.cell, outcomes, modelLimits, time.Unix(1, 0))})
}

// BenchmarkRecovery restores a queue of 12,000 jobs from its snapshot.
func BenchmarkRecovery(b *testing.B) {
	data := snapshotOf(b, machineOf(b, submissions(targetJobs)))
	for b.Loop() {
		if err := NewMachine().Restore(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
}

// BenchmarkSnapshot encodes a queue of 12,000 jobs.
func BenchmarkSnapshot(b *testing.B) {
	m := machineOf(b, submissions(targetJobs))
	for b.Loop() {
		snapshotOf(b, m)
	}
}

// BenchmarkCancel cancels a job of 10,000 tasks, half of them delegated.
func BenchmarkCancel(b *testing.B) {
	s := newSubmitted(spec("large", job.MaxTasks), newEnvironment().values, time.Unix(1, 0))
	admitted := record{Submitted: &s}.encode()
	delegate := record{Delegated: &delegated{Runs: []delegatedRun{{Job: "large", Count: job.MaxTasks / 2, Cell: benchCell(0)}}}}.encode()
	end := record{Cancelled: &cancelled{At: 2, Jobs: []fleet.JobID{"large"}}}.encode()
	for b.Loop() {
		b.StopTimer()
		m := machineOf(b, [][]byte{admitted, delegate})
		b.StartTimer()
		if err := m.Apply(end); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(end)), "record-bytes")
}

// BenchmarkMemory reports the heap bytes that one task takes.
func BenchmarkMemory(b *testing.B) {
	one := submissions(targetJobs)
	s := newSubmitted(spec("large", job.MaxTasks), newEnvironment().values, time.Unix(1, 0))
	large := [][]byte{record{Submitted: &s}.encode()}
	tests := map[string]struct {
		records   [][]byte
		tasks     int
		delegated bool
	}{
		"queued job of one task":     {records: one, tasks: targetJobs},
		"queued task of a large job": {records: large, tasks: job.MaxTasks},
		"running job of one task":    {records: one, tasks: targetJobs, delegated: true},
	}
	for name, tt := range tests {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heap()
				m := machineOf(b, tt.records)
				for tt.delegated {
					plan := m.planRelease(time.Unix(1, 0), unlimited, oneCell{})
					if plan == nil {
						break
					}
					apply(b, m, record{Delegated: plan})
				}
				b.ReportMetric(float64(heap()-before)/float64(tt.tasks), "heap-bytes/task")
				runtime.KeepAlive(m)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func benchCell(n int) shard.ID { return shard.NewID(shard.KindCell, "sofia", n) }
