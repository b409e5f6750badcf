package inventory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// TestPartialReports has a worker with several tasks: a start's answer lists
// its own attempt and ends that were not told, a renewal's lists everything.
func TestPartialReports(t *testing.T) {
	for rigName, open := range map[string]func(*testing.T) rig{"in process": inProcess, "HTTP": overHTTP} {
		t.Run(rigName, func(t *testing.T) {
			r := open(t)
			start := func(task fleet.TaskID) inventory.WorkerReport {
				req := startOf(1, 1, time.Minute)
				req.Task = task
				return must(r.control.Start(t.Context(), r.address, req))
			}
			stop := inventory.StopRequest{AttemptRef: inventory.AttemptRef{Task: "job/0", Attempt: 1}, Cell: testCell, Token: 1}
			checkTasks(t, start("job/0"), true, "job/0")
			checkTasks(t, start("job/1"), true, "job/1")
			r.worker.SetFaults(standin.WorkerFaults{FailStarts: true})
			checkTasks(t, start("job/2"), true, "job/2")
			r.worker.SetFaults(standin.WorkerFaults{LoseReply: 1})
			if _, err := r.control.Stop(t.Context(), r.address, stop); err == nil {
				t.Error("a lost reply came")
			}
			checkTasks(t, start("job/3"), true, "job/3")
			checkTasks(t, must(r.control.Renew(t.Context(), r.address, renewOf(1, time.Minute))), false,
				"job/0", "job/1", "job/2", "job/3")
		})
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func checkTasks(t *testing.T, report inventory.WorkerReport, partial bool, want ...fleet.TaskID) {
	t.Helper()
	var got []fleet.TaskID
	for _, st := range report.Tasks {
		got = append(got, st.Task)
	}
	slices.Sort(got)
	if !slices.Equal(got, want) || report.Partial != partial {
		t.Errorf("tasks %v, partial %v, want %v, %v", got, report.Partial, want, partial)
	}
}
