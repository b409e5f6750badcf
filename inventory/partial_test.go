package inventory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// TestPartialReports runs several tasks on a worker. The response to a start must
// list its own attempt and those whose end was not reported yet; the response to
// a renewal must list all attempts.
func TestPartialReports(t *testing.T) {
	for fixtureName, newFixture := range map[string]func(*testing.T) workerFixture{"in process": inProcessFixture, "HTTP": httpFixture} {
		t.Run(fixtureName, func(t *testing.T) {
			r := newFixture(t)
			start := func(task fleet.TaskID) inventory.WorkerReport {
				req := startRequest(1, 1, time.Minute)
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
				t.Error("stop succeeded although its reply was lost")
			}
			checkTasks(t, start("job/3"), true, "job/3")
			checkTasks(t, must(r.control.Renew(t.Context(), r.address, renewRequest(1, time.Minute))), false,
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
