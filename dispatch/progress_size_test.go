package dispatch

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// longJob returns a job with every task of its occurrences before done finished, and those
// of the next one started on a worker.
func longJob(t *testing.T, occurrences, tasks, done int) (*job, workload.Job) {
	t.Helper()
	submitted := workload.Job{ID: "0123456789abcdef", Queue: testQueue, Steps: []workload.Step{cpuStep(tasks, 100)}, Repeats: occurrences, IntervalMS: 1}
	if err := submitted.Validate(); err != nil {
		t.Fatal(err)
	}
	j := &job{Job: submitted}
	for k := range min(done+1, occurrences) {
		step := j.occurrence(k).steps[0]
		for i := range step.Count {
			x := step.record(i)
			x.lastRun, x.done = 1, k < done
			if !x.done {
				x.formerWorker, x.formerConfirmed = "worker-0123456789", true
			}
		}
		j.recount()
	}
	return j, submitted
}

func encodeProgress(t *testing.T, j *job) []byte {
	t.Helper()
	value, err := json.Marshal((&Machine{}).progress(j))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// storedProgress returns the progress of a job as the next owner reads it.
func storedProgress(t *testing.T, j *job) workload.Progress {
	t.Helper()
	var p workload.Progress
	if err := json.Unmarshal(encodeProgress(t, j), &p); err != nil {
		t.Fatal(err)
	}
	return p
}

// The progress of a job with many tasks that are done outgrows a value of the store, and is
// refused from then on. The next owner knows all tasks that are done.
func TestStoredProgressOutgrowsItsValue(t *testing.T) {
	for name, tt := range map[string]struct{ occurrences, tasks, done int }{
		"40,000 tasks":          {400, 100, 399},
		"40,000 tasks, 4 steps": {4, 10_000, 3},
		"1,000 occurrences":     {1000, 100, 999},
		"halfway":               {1000, 100, 500},
	} {
		t.Run(name, func(t *testing.T) {
			j, submitted := longJob(t, tt.occurrences, tt.tasks, tt.done)
			size := len(encodeProgress(t, j))
			t.Logf("%d bytes, with %d of %d tasks done", size, tt.done*tt.tasks, tt.occurrences*tt.tasks)
			if size > store.MaxValueBytes {
				t.Errorf("progress has %d bytes, the limit is %d", size, store.MaxValueBytes)
			}
			next := newRig(t)
			next.m.AddJob(&submitted, workload.StateRunning, 1, storedProgress(t, j), next.now, true)
			if got := next.m.progress(next.m.jobs[j.ID]); !reflect.DeepEqual(got, next.m.progress(j)) {
				t.Error("the next owner has other progress")
			}
		})
	}
}

// Tasks that are done here and there in a step need the most ranges.
func TestScatteredTasksOutgrowTheValue(t *testing.T) {
	j, _ := longJob(t, 1, workload.MaxTasks, 0)
	for i := range workload.MaxTasks {
		j.occurrences[0].steps[0].record(i).done = i%2 == 0
	}
	j.recount()
	size := len(encodeProgress(t, j))
	t.Logf("%d bytes", size)
	if size > store.MaxValueBytes {
		t.Errorf("progress has %d bytes, the limit is %d", size, store.MaxValueBytes)
	}
}

// Progress as hosts of earlier builds stored it, with each task that is done, is read.
func TestProgressOfEarlierBuildIsLost(t *testing.T) {
	const stored = `{"t":[{"r":2,"d":true,"f":[1]},{"i":1,"r":1,"w":"w1","a":true}]}`
	var p workload.Progress
	if err := json.Unmarshal([]byte(stored), &p); err != nil {
		t.Fatal(err)
	}
	r := newRig(t)
	r.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{cpuStep(3, 100)}}, workload.StateRunning, 1, p, r.now, true)
	value := encodeProgress(t, r.m.jobs["a"])
	if want := `{"e":[{"n":1}],"t":[{"i":1,"r":1,"w":"w1","a":true}]}`; string(value) != want {
		t.Errorf("progress %s, want %s", value, want)
	}
}

// The run number of a member of a gang that is done is kept while the rest of the gang isn't:
// the gang starts again with a higher one.
func TestGangStartsAgainWithAnOldRunNumber(t *testing.T) {
	step := cpuStep(2, 100)
	step.Gang = true
	submitted := workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{step}}
	j := &job{Job: submitted}
	first := j.occurrence(0).steps[0].record(0)
	first.lastRun, first.done = 7, true
	j.recount()
	r := newRig(t)
	r.m.AddJob(&submitted, workload.StateRunning, 1, storedProgress(t, j), r.now, true)
	if got := r.m.jobs["a"].occurrences[0].steps[0].lastGangRun; got != 7 {
		t.Errorf("last run of the gang %d, want 7", got)
	}
}

// The numbers of the failed runs of a task that is done are not stored. A worker that lists
// the end of one to the next owner has not failed again.
func TestEndOfFinishedTaskCountsAsAnotherFailure(t *testing.T) {
	r := newRig(t, "w1")
	p := workload.Progress{Done: []workload.TaskRange{{Range: workload.Range{Count: 1}}}}
	r.m.AddJob(&workload.Job{ID: "a", Queue: testQueue, Steps: []workload.Step{cpuStep(2, 100)}}, workload.StateRunning, 1, p, r.now, true)
	end := workload.EndedRun{Sequence: 1, Task: workload.TaskName{Job: "a"}, Run: 1, Outcome: workload.OutcomeFailed}
	r.m.handleEnded(r.m.workers["w1"], end, r.now)
	if n := r.m.workers["w1"].failureStreak; n != 0 {
		t.Errorf("%d failures in a row on the worker, want none", n)
	}
	if task := r.m.jobs["a"].find(end.Task); !task.done || task.failures() != 0 {
		t.Errorf("done %v, %d failures, want done without failures", task.done, task.failures())
	}
}
