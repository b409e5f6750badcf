package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	shortOutage = 150 * time.Millisecond
	testTimeout = 5 * time.Second
)

// newTestWorker starts a worker whose checker knows a job of one task that takes
// longer than any test.
func newTestWorker(t *testing.T, deadly ...workload.TaskName) *Worker {
	t.Helper()
	s, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := NewChecker(3, time.Second)
	c.RecordSubmission("job", []workload.Step{{Count: 1, EstimateMS: time.Hour.Milliseconds(), Need: fleet.Resources{MilliCores: 1}}}, deadly...)
	w, err := NewWorker("w", fleet.Resources{MilliCores: 10}, c, s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

// post sends a command to a worker and returns the status of the reply, or 0 if
// there is none within timeout.
func post(t *testing.T, w *Worker, path string, cmd command, timeout time.Duration) int {
	t.Helper()
	body, err := json.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	return postBody(t, w, path, body, timeout)
}

func postBody(t *testing.T, w *Worker, path string, body []byte, timeout time.Duration) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Address()+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func startCommand(task workload.TaskName) command {
	return command{Task: task.String(), Run: 1, DeadlineMS: time.Hour.Milliseconds(), Token: 7}
}

// entry returns the worker's entry in the store.
func entry(t *testing.T, w *Worker) (e struct {
	Address  string           `json:"address"`
	Born     int64            `json:"born"`
	Capacity map[string]int64 `json:"capacity"`
}) {
	t.Helper()
	item, err := w.store.Get("servers/" + string(w.id))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(item.Value, &e); err != nil {
		t.Fatal(err)
	}
	return e
}

// awaitCondition waits until the condition holds under the worker's lock.
func awaitCondition(t *testing.T, w *Worker, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(tickInterval) {
		w.mu.Lock()
		holds := condition()
		w.mu.Unlock()
		if holds {
			return
		}
	}
	t.Fatalf("not within %v: %s", testTimeout, what)
}

func TestStartInShortOutageIsLost(t *testing.T) {
	w := newTestWorker(t)
	w.CrashFor(shortOutage)
	if status := post(t, w, "/v1/run-start", startCommand(workload.TaskName{Job: "job"}), testTimeout); status != http.StatusOK {
		t.Fatalf("status %d, want %d from the next incarnation", status, http.StatusOK)
	}
	if starts, broken := w.checker.Violations(); starts != 1 || len(broken) > 0 {
		t.Errorf("%d starts, broken %q, want one start", starts, broken)
	}
}

func TestStartOfAbsentCallerIsExecutedAfterOutage(t *testing.T) {
	w := newTestWorker(t)
	w.Crash()
	if status := post(t, w, "/v1/run-start", startCommand(workload.TaskName{Job: "job"}), shortOutage); status != 0 {
		t.Fatalf("status %d from a worker that is down", status)
	}
	time.Sleep(shortOutage) // the server notices the disconnection
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(shortOutage)
	if starts, _ := w.checker.Violations(); starts != 0 {
		t.Errorf("%d starts, want none", starts)
	}
}

func TestHoldIsAnsweredAfterCrash(t *testing.T) {
	w := newTestWorker(t)
	time.AfterFunc(shortOutage, func() { w.CrashFor(shortOutage) })
	hold := command{Token: 7, DeadlineMS: time.Hour.Milliseconds(), WaitMS: (4 * shortOutage).Milliseconds()}
	if status := post(t, w, "/v1/hold", hold, 8*shortOutage); status != 0 {
		t.Errorf("status %d to a call that was open at the crash, want no reply", status)
	}
}

func TestStartOnCrashedWorkerIsRecorded(t *testing.T) {
	w := newTestWorker(t)
	w.Crash()
	ctx, cancel := context.WithTimeout(t.Context(), shortOutage)
	defer cancel()
	body, err := json.Marshal(startCommand(workload.TaskName{Job: "job"}))
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "/v1/run-start", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	w.start(discardWriter{http.Header{}}, req) // accepted before the crash
	if starts, _ := w.checker.Violations(); starts != 0 {
		t.Errorf("%d starts, want none", starts)
	}
}

func TestRestartMovesWorkerFromProxy(t *testing.T) {
	w := newTestWorker(t)
	if err := w.RegisterAt("proxy:1"); err != nil {
		t.Fatal(err)
	}
	before := entry(t, w)
	w.CrashFor(shortOutage)
	awaitCondition(t, w, "restart", func() bool { return w.up })
	time.Sleep(shortOutage) // the entry is written after the restart
	if after := entry(t, w); after.Address != "proxy:1" || after.Born <= before.Born {
		t.Errorf("entry %+v after %+v, want the same address and a later incarnation", after, before)
	}
}

func TestRestartInterruptsLongerOutage(t *testing.T) {
	w := newTestWorker(t)
	w.CrashFor(shortOutage)
	w.Crash()
	w.CrashFor(shortOutage)
	time.Sleep(2 * shortOutage)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		t.Error("the worker is up before Restart")
	}
}

// A start that waits for the restart is the first call of the new incarnation,
// which nothing there can refuse.
func TestStartHeldDuringOutageBreaksTwice(t *testing.T) {
	w, task := newTestWorker(t), workload.TaskName{Job: "job"}
	w.Crash()
	w.checker.recordStart(w, task, 1, startOnTime)
	w.checker.recordEnd(task, workload.OutcomeDone)
	w.checker.recordAcknowledgement(task, workload.OutcomeDone)
	time.AfterFunc(shortOutage, func() {
		if err := w.Restart(); err != nil {
			t.Error(err)
		}
	})
	if status := post(t, w, "/v1/run-start", startCommand(task), testTimeout); status != http.StatusOK {
		t.Fatalf("status %d, want %d from the next incarnation", status, http.StatusOK)
	}
	if _, broken := w.checker.Violations(); len(broken) > 0 || w.checker.Strays() != 1 {
		t.Errorf("broken %q and %d strays, want one stray", broken, w.checker.Strays())
	}
}

func TestDeadlyTaskLeavesWorkerUp(t *testing.T) {
	task := workload.TaskName{Job: "job"}
	w := newTestWorker(t, task)
	first := entry(t, w)
	status := post(t, w, "/v1/run-start", startCommand(task), 2*maxCrashDelay)
	if status != 0 && status != http.StatusOK {
		t.Fatalf("status %d, want %d or no reply", status, http.StatusOK)
	}
	awaitCondition(t, w, "crash", func() bool { return !w.up })
	awaitCondition(t, w, "restart", func() bool { return w.up })
	w.mu.Lock()
	if outage := w.incarnationStart.UnixMilli() - first.Born; outage < minDeadlyOutage.Milliseconds() || len(w.runs) > 0 {
		t.Errorf("next incarnation after %d ms with %d runs", outage, len(w.runs))
	}
	w.mu.Unlock()
	if crashes := w.checker.jobs["job"].crashes[task]; crashes != 1 {
		t.Errorf("%d crashes recorded, want 1", crashes)
	}
}

// A start without a reply must have been executed before the crash, and one with
// a reply too.
func TestDeadlyStartIsAlwaysAnswered(t *testing.T) {
	task := workload.TaskName{Job: "job"}
	w := newTestWorker(t, task)
	answered := make(map[bool]bool)
	for run := 1; len(answered) < 2; run++ {
		if run > 50 {
			t.Fatalf("each of %d starts has answered=%v", run-1, answered)
		}
		cmd := startCommand(task)
		cmd.Run = run
		answered[post(t, w, "/v1/run-start", cmd, 2*maxCrashDelay) == http.StatusOK] = true
		awaitCondition(t, w, "crash", func() bool { return !w.up })
		if starts, _ := w.checker.Violations(); starts != run {
			t.Fatalf("%d starts after start %d", starts, run)
		}
		if err := w.Restart(); err != nil {
			t.Fatal(err)
		}
	}
}

// A deadly run that is due to end must still crash its worker.
func TestDeadlyTaskCompletes(t *testing.T) {
	task := workload.TaskName{Job: "job"}
	w := newTestWorker(t, task)
	w.mu.Lock()
	w.startRun(startCommand(task), startOnTime)
	w.runs[task].endsAt = time.Now()
	w.mu.Unlock()
	awaitCondition(t, w, "crash", func() bool { return !w.up })
	w.checker.CheckState("job", workload.StateCompleted)
	if _, broken := w.checker.Violations(); len(broken) != 1 {
		t.Errorf("broken %q, want the completion of a deadly job", broken)
	}
}
