package wire

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

func newTestAdvice(t *testing.T) *Advice {
	t.Helper()
	a, err := NewAdvice(func(_ string, id fleet.WorkerID) bool { return id == "w" })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

func TestAdviceNamesAnyNumberOfWorkers(t *testing.T) {
	a := newTestAdvice(t)
	client := platform.NewAdviceClient(a.Address())
	var workers []fleet.WorkerID
	for i := range maxAdvisedWorkers + 1 {
		workers = append(workers, fleet.WorkerID(fmt.Sprintf("w%d", i)))
	}
	step := workload.TaskName{Job: "job"}
	var status *platform.StatusError
	if _, _, err := client.Tickets(step, workers); !errors.As(err, &status) || status.Status != http.StatusBadRequest {
		t.Errorf("%d workers: %v, want them refused", len(workers), err)
	}
	began := time.Now()
	if _, _, err := client.Tickets(step, workers[:maxAdvisedWorkers]); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took < adviceTime+maxAdvisedWorkers*adviceTimeEach {
		t.Errorf("advice on %d workers after %v", maxAdvisedWorkers, took)
	}
}

// Calls must wait for their turn, and be refused once 32 do.
func TestAdviceIsGivenToAllAtOnce(t *testing.T) {
	a := newTestAdvice(t)
	a.turn <- struct{}{}
	statuses := make(chan int, 2*maxWaitingAdvice)
	body := map[string]any{"step": "job.0.0", "workers": []string{"w"}}
	for range maxWaitingAdvice + 3 {
		go func() {
			status, _ := call(t, a.Address(), http.MethodPost, "/v1/advise", body, testTimeout)
			statuses <- status
		}()
	}
	for range 3 {
		if status := <-statuses; status != http.StatusTooManyRequests {
			t.Fatalf("status %d, want %d beyond %d waiting calls", status, http.StatusTooManyRequests, maxWaitingAdvice)
		}
	}
	<-a.turn
	for range maxWaitingAdvice {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d to a call that waited", status)
		}
	}
}

// A start needs a ticket of its own step, issued in this life of the worker, that has not run out.
func TestStartWithoutValidTicketIsAccepted(t *testing.T) {
	w, a := newTestWorker(t), newTestAdvice(t)
	w.RequireTickets(a)
	start := func(text string) int {
		cmd := startCommand(workload.TaskName{Job: "job"})
		cmd.Ticket = text
		return post(t, w, "/v1/run-start", cmd, testTimeout)
	}
	for name, text := range map[string]string{"no ticket": "", "another step's": a.issue("job.0.1", "w"), "another worker's": a.issue("job.0.0", "w2")} {
		if status := start(text); status != http.StatusConflict {
			t.Errorf("%s: status %d, want %d", name, status, http.StatusConflict)
		}
	}
	former := a.issue("job.0.0", "w")
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	if status := start(former); status != http.StatusConflict {
		t.Errorf("a former life's: status %d, want %d", status, http.StatusConflict)
	}
	late := a.issue("job.0.0", "w")
	a.mu.Lock()
	a.tickets[ticket{"job.0.0", "w", late}] = time.Now()
	a.mu.Unlock()
	if status := start(late); status != http.StatusConflict {
		t.Errorf("one that has run out: status %d, want %d", status, http.StatusConflict)
	}
	if status := start(a.issue("job.0.0", "w")); status != http.StatusOK {
		t.Errorf("a valid ticket: status %d", status)
	}
}
