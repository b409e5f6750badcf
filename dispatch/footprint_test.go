package dispatch

import (
	"runtime"
	"strings"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// heapBytes returns the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestAcceptedJobTakesMoreThanItDraws adds jobs that are valid and wide, long, repeated or
// full of text, plans them, and compares the memory with what they draw.
func TestAcceptedJobTakesMoreThanItDraws(t *testing.T) {
	const copies = 20
	blocked := func(count int) workload.Step {
		s := cpuStep(count, 100)
		s.Label = "none"
		return s
	}
	steps := func(n int, after ...int) []workload.Step {
		all := []workload.Step{blocked(1)}
		for range n - 1 {
			s := blocked(1)
			s.After = append([]int(nil), after...)
			all = append(all, s)
		}
		return all
	}
	lasting := blocked(workload.MaxTasks)
	lasting.Serving = true
	gang := blocked(workload.MaxTasks)
	gang.Gang = true
	tests := map[string]workload.Job{
		"small":             {Steps: steps(1)},
		"wide":              {Steps: []workload.Step{blocked(workload.MaxTasks)}},
		"lasting":           {Steps: []workload.Step{lasting}},
		"gang":              {Steps: []workload.Step{gang}},
		"steps":             {Steps: steps(3400, 0)},
		"most steps":        {Steps: steps(workload.MaxTasks)},
		"steps after steps": {Steps: steps(100, make([]int, 1000)...)},
		"occurrences":       {Steps: steps(1), Repeats: 100_000},
		"wide occurrences":  {Steps: []workload.Step{blocked(1000)}, Repeats: 100},
		"long occurrences":  {Steps: steps(1000), Repeats: 100},
		"text":              {Steps: steps(1), Payload: strings.Repeat("x", 4000)},
	}
	for name, job := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "w1")
			drawn := int64(0)
			before := heapBytes()
			for i := range copies {
				j := job
				j.ID, j.Queue = fleet.JobID(strings.Repeat("0", 14)+string(rune('a'+i))), testQueue
				j.Payload = strings.Clone(job.Payload)
				j.Steps = make([]workload.Step, len(job.Steps))
				for k, s := range job.Steps {
					s.After = append([]int(nil), s.After...)
					j.Steps[k] = s
				}
				if err := j.Validate(); err != nil {
					t.Fatal(err)
				}
				drawn += JobBytes(&j)
				r.m.AddJob(&j, workload.StateQueued, 1, workload.Progress{}, r.now, false)
			}
			r.planStarts()
			r.m.TakeEvents()
			taken := heapBytes() - before
			t.Logf("%d jobs take %d bytes each and draw %d", copies, taken/copies, drawn/copies)
			if taken > drawn {
				t.Errorf("%d jobs take %d bytes and draw %d", copies, taken, drawn)
			}
			runtime.KeepAlive(r)
		})
	}
}

// TestDoneTasksKeepTheirRecords runs a wide job to its end, and compares the memory before
// the last tasks with what the job draws.
func TestDoneTasksKeepTheirRecords(t *testing.T) {
	const (
		rounds = 150
		warmUp = 10 // rounds after which the machine itself has what it needs
	)
	r := newRig(t)
	r.addWorker("w1", fleet.Resources{MilliCores: 4000, MemoryMB: 8000 * workload.MaxTasks})
	r.addJob("wide", cpuStep(workload.MaxTasks, 0))
	started, before := 0, int64(0)
	for i := range rounds {
		if i == warmUp {
			before = heapBytes()
		}
		orders := r.planStarts()
		started += len(orders)
		var ends []workload.EndedRun
		for _, o := range orders {
			ends = append(ends, r.endOf(o, workload.OutcomeDone))
		}
		r.report("w1", workload.Report{Ended: ends})
		r.store()
		r.m.TakeEvents()
	}
	drawn := JobBytes(&r.m.jobs["wide"].Job)
	taken := heapBytes() - before
	runtime.KeepAlive(r)
	t.Logf("%d tasks done, %d bytes, drawn %d", started, taken, drawn)
	if started < workload.MaxTasks/2 {
		t.Fatalf("%d tasks started", started)
	}
	if taken > drawn {
		t.Errorf("%d bytes are taken with %d tasks done, and %d drawn", taken, started, drawn)
	}
}
