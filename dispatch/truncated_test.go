package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// truncatedRig returns a rig with a task that has run on w1 and isn't listed by a truncated
// report, and with another worker where it could run.
func truncatedRig(t *testing.T, s workload.Step) (*rig, Order) {
	r := newRig(t, "w1")
	r.addJob("a", s)
	first := r.planStarts()[0]
	r.report("w1", workload.Report{Running: []workload.ActiveRun{runningOf(first)}})
	r.addWorker("w2", testCapacity)
	r.report("w1", workload.Report{EndsTruncated: true})
	return r, first
}

// taskOf returns the first task of a job.
func (r *rig) taskOf(id fleet.JobID) *task {
	return r.m.jobs[id].occurrence(0).steps[0].record(0)
}

// completes fails the test if job a is not completed.
func (r *rig) completes() {
	r.Helper()
	if got := r.m.jobs["a"].state; got != workload.StateCompleted {
		r.Errorf("the job is %s, want it completed", got)
	}
}

// A run that a truncated report does not list has ended, but how is not known: its end is
// on a later page. Its task was started again, although it was done.
func TestTaskRunsTwiceAfterItsEndIsCutOff(t *testing.T) {
	r, first := truncatedRig(t, cpuStep(1, 3000))
	r.noStart("while the end of its run may not be listed")
	// The run holds no capacity any more: other work goes on.
	r.addJob("b", cpuStep(2, 3000))
	if starts := r.planStarts(); len(starts) != 2 {
		t.Errorf("started %v beside the ended run, want one task on each worker", starts)
	}
	r.report("w1", workload.Report{EndsTruncated: true, Ended: []workload.EndedRun{r.endOf(first, workload.OutcomeDone)}})
	r.noStart("after the task was done")
	r.completes()
}

// Once a complete report does not list the end of a run, there is none.
func TestTaskIsLostAfterItsEndIsCutOff(t *testing.T) {
	r, first := truncatedRig(t, cpuStep(1, 1000))
	// This report was overtaken by the truncated one. It shows neither that the run goes on
	// nor that its end is not listed.
	r.m.WorkerReported("w1", workload.Report{StartedMS: 1, Running: []workload.ActiveRun{runningOf(first)}}, 0, r.now)
	r.noStart("after a report that was overtaken")
	r.m.WorkerReported("w1", workload.Report{StartedMS: 1}, 0, r.now)
	r.noStart("after a report that is older than the run")
	r.report("w1", workload.Report{})
	if starts := r.planStarts(); len(starts) != 1 || starts[0].Run <= first.Run {
		t.Errorf("started %v after a complete report without the run, want its task", starts)
	}
}

// A stopped run may have been done before the stop.
func TestStoppedTaskRunsTwiceAfterItsEndIsCutOff(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	first := r.planStarts()[0]
	r.m.requestStop(r.taskOf("a").runs[0], "no progress")
	r.noStart("while the run is being stopped")
	r.addWorker("w2", testCapacity)
	r.report("w1", workload.Report{EndsTruncated: true})
	r.noStart("while the end of the stopped run may not be listed")
	r.report("w1", workload.Report{EndsTruncated: true, Ended: []workload.EndedRun{r.endOf(first, workload.OutcomeDone)}})
	r.completes()
}

// What had ended before its worker went down did not crash it. Its end is not acknowledged
// then, so that the task starts again.
func TestCutOffEndCountsAsCrash(t *testing.T) {
	tests := map[string]func(r *rig){
		"restart":  func(r *rig) { r.restart() },
		"replaced": func(r *rig) { r.m.WorkerReplaced("w1", r.now) },
		"lease": func(r *rig) {
			r.now = r.m.workers["w1"].leaseEnd - 100*time.Millisecond
			r.report("w2", workload.Report{})
			r.noStart("while the lease may last, within which the end counts")
			r.now += 100 * time.Millisecond
			r.report("w2", workload.Report{})
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := truncatedRig(t, cpuStep(1, 1000))
			lose(r)
			if starts := r.planStarts(); len(starts) != 1 || starts[0].Worker != "w2" {
				t.Errorf("started %v after w1 was lost, want the task on w2", starts)
			}
			if name == "lease" {
				r.restart()
			}
			if weight := r.taskOf("a").crashWeight(); weight != 0 {
				t.Errorf("a crash of weight %d counts against a task that had ended", weight)
			}
		})
	}
}

// A start without an answer that was stopped may reach the next incarnation, which knows
// nothing of the stop.
func TestLateStartAfterCutOffEnd(t *testing.T) {
	r := newRig(t, "w1")
	r.addJob("a", cpuStep(1, 1000))
	r.now += 10 * time.Millisecond
	r.m.Plan(r.now, 0)
	first := r.m.TakeOrders()[0]
	r.m.StartAnswered(first, NoAnswer, r.now)
	r.noStart("after a start without an answer") // stops it
	r.addWorker("w2", testCapacity)
	r.report("w1", workload.Report{EndsTruncated: true})
	r.restart()
	r.noStart("while the new incarnation may execute the start")
	if got := r.m.workers["w1"].used.MilliCores; got != 1000 {
		t.Errorf("%d millicores are used on the new incarnation, want 1000", got)
	}
	r.report("w1", workload.Report{StartedMS: 2, Running: []workload.ActiveRun{runningOf(first)}})
	r.noStart("while the run is on the new incarnation")
}

// successor returns a new owner of job a, whose last stored run was on w1, and with a record
// of w1, which reports for the first time.
func successor(t *testing.T, progress workload.TaskProgress, record WorkerRecord, rep workload.Report) *rig {
	r := newRig(t)
	record.Worker = workload.Worker{ID: "w1", StartedMS: 1, Service: testService, Address: "127.0.0.1:1", Capacity: testCapacity}
	r.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 1000)}}, workload.StateRunning, 2,
		workload.Progress{Tasks: []workload.TaskProgress{progress}}, r.now, true)
	r.m.RestoreWorker(record, 5, r.now)
	worker := record.Worker
	worker.StartedMS = max(1, rep.StartedMS)
	r.m.SetWorker(worker, r.now)
	r.addWorker("w2", testCapacity)
	r.report("w1", rep)
	return r
}

// The first report to a new owner may leave out ends of runs that the former one started,
// stored or not. Their tasks were started again.
func TestTaskRunsTwiceAfterTruncatedFirstReport(t *testing.T) {
	tests := map[string]struct {
		progress workload.TaskProgress
		record   WorkerRecord
	}{
		"stored run":                   {workload.TaskProgress{Run: 1, Worker: "w1", Confirmed: true}, WorkerRecord{}},
		"stored run on a closed one":   {workload.TaskProgress{Run: 1, Worker: "w1", Confirmed: true}, WorkerRecord{WorkerMarks: WorkerMarks{Closed: true}}},
		"run that was not stored":      {workload.TaskProgress{Run: 0}, WorkerRecord{}},
		"run after one that is stored": {workload.TaskProgress{Run: 1, Worker: "w3", Confirmed: true}, WorkerRecord{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := successor(t, test.progress, test.record, workload.Report{EndsTruncated: true})
			for end := r.m.formerLeasesEnd + maxOrderDelay; r.now < end; r.now += time.Second {
				r.report("w1", workload.Report{EndsTruncated: true})
				r.report("w2", workload.Report{})
				r.noStart("while the end of its run may not be listed")
			}
			done := workload.EndedRun{Sequence: 900, Task: workload.TaskName{Job: "a"}, Run: 1, Outcome: workload.OutcomeDone}
			r.report("w1", workload.Report{EndsTruncated: true, Ended: []workload.EndedRun{done}})
			r.report("w1", workload.Report{})
			r.noStart("after the task was done")
			r.completes()
		})
	}
}

// The inherited task starts once the ends are all listed, and its own is not among them.
func TestInheritedTaskIsLostAfterTruncatedReports(t *testing.T) {
	r := successor(t, workload.TaskProgress{Run: 1, Worker: "w1", Confirmed: true}, WorkerRecord{}, workload.Report{EndsTruncated: true})
	r.report("w1", workload.Report{EndsTruncated: true})
	r.noStart("before the ends are all listed")
	r.report("w1", workload.Report{})
	if starts := r.planStarts(); len(starts) != 1 {
		t.Errorf("started %v once the ends were all listed, want the task", starts)
	}
}

// What a truncated first report does not run had ended by then. A restart after it is no
// crash under that run, whatever the ends.
func TestCutOffEndCountsAsCrashForNextOwner(t *testing.T) {
	progress := workload.TaskProgress{Run: 1, Worker: "w1", Confirmed: true}
	tests := map[string]struct {
		first, next workload.Report
		want        int
	}{
		"restart after a truncated report":          {workload.Report{EndsTruncated: true}, workload.Report{StartedMS: 2}, 0},
		"restart before, end on a later page":       {workload.Report{StartedMS: 2, EndsTruncated: true}, workload.Report{StartedMS: 2, Ended: []workload.EndedRun{{Sequence: 9, Task: workload.TaskName{Job: "a"}, Run: 1, Outcome: workload.OutcomeStopped}}}, 0},
		"restart before, and no end":                {workload.Report{StartedMS: 2, EndsTruncated: true}, workload.Report{StartedMS: 2}, possibleCrash},
		"restart before and after, end not listed":  {workload.Report{StartedMS: 2, EndsTruncated: true}, workload.Report{StartedMS: 3}, 0},
		"restart before, complete first report too": {workload.Report{StartedMS: 2}, workload.Report{StartedMS: 2}, possibleCrash},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := successor(t, progress, WorkerRecord{}, test.first)
			r.report("w1", test.next)
			if got := r.taskOf("a").crashWeight(); got != test.want {
				t.Errorf("crashes of weight %d, want %d", got, test.want)
			}
		})
	}
}

// A serving task whose run has ended is missing, so that no other of its step may be moved.
func TestServiceWithCutOffEndCountsAsServing(t *testing.T) {
	r := newRig(t, "w1", "w2")
	s := servingStep("img", 2, 500)
	s.MaxPerWorker, s.MaxUnavailable = 1, 1
	r.addJob("a", s)
	starts := r.planStarts()
	r.reportAll(starts, nil)
	left, other := starts[0], starts[1]
	r.report(left.Worker, workload.Report{EndsTruncated: true})
	if r.m.mayEvacuate(r.m.workers[other.Worker].find(other.Task, other.Run)) {
		t.Error("a serving task may be moved while another of its step has ended")
	}
}

// The upkeep of a machine ends its worker, and with it the ends that are not listed yet.
func TestWaveDropsCutOffEnds(t *testing.T) {
	r, first := truncatedRig(t, cpuStep(1, 1000))
	r.m.SetMachines([]workload.Machine{machineOf("w1"), machineOf("w2")})
	r.m.SetWave(workload.Wave{Number: 1, Machines: []string{"m-w1"}, MaxDown: 1}, WaveRecord{})
	r.noStart("while the end of its run may not be listed")
	if orders := r.m.TakeMaintenanceOrders(); len(orders) != 0 {
		t.Fatalf("upkeep %v before the ends are all listed", orders)
	}
	r.report("w1", workload.Report{EndsTruncated: true, Ended: []workload.EndedRun{r.endOf(first, workload.OutcomeDone)}})
	r.planStarts()
	if orders := r.m.TakeMaintenanceOrders(); len(orders) != 1 {
		t.Errorf("upkeep %v once the end is listed, want that of w1", orders)
	}
}

// A worker is called for the ends that are not listed yet, also without an entry and runs.
func TestUnlistedWorkerIsForgottenBeforeItsEndsAreListed(t *testing.T) {
	r, first := truncatedRig(t, cpuStep(1, 1000))
	r.m.WorkerGone("w1", r.now)
	r.noStart("while the end of its run may not be listed")
	if _, ok := r.m.Addresses()["w1"]; !ok {
		t.Fatal("w1 is not called any more")
	}
	r.report("w1", workload.Report{Ended: []workload.EndedRun{r.endOf(first, workload.OutcomeDone)}})
	r.completes()
}
