package wire

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// report is the answer to a renewal.
type report struct {
	ClockMS int64   `json:"clock_ms"`
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

// renew sends a renewal to a worker and returns the status and the report.
func renew(t *testing.T, w *Worker, cmd command) (int, report) {
	t.Helper()
	body, err := json.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+w.Address()+"/v1/hold", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var r report
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode, r
}

// addEnds makes a worker list n ends that nobody has acknowledged.
func addEnds(w *Worker, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range n {
		w.lastEndNumber++
		w.ended = append(w.ended, endedRun{w.lastEndNumber, workload.TaskName{Job: "other", Index: int(w.lastEndNumber)}, 1, workload.OutcomeDone})
	}
}

// A report must be cut off after 500 ends, so that an owner that takes a run for absent
// because a report does not list it is found out.
func TestWorkerReportsAllEndsAtOnce(t *testing.T) {
	w := newTestWorker(t)
	addEnds(w, 2*maxReportedEnds+200)
	for _, want := range []struct{ seen, first, ends int }{{0, 1, 500}, {0, 1, 500}, {300, 301, 500}, {800, 801, 400}, {1200, 0, 0}} {
		_, r := renew(t, w, command{Token: 7, DeadlineMS: time.Hour.Milliseconds(), LastSeen: int64(want.seen)})
		if len(r.Ended) != want.ends {
			t.Fatalf("%d ends after end %d, want %d", len(r.Ended), want.seen, want.ends)
		}
		if want.ends > 0 && r.Ended[0][0] != float64(want.first) {
			t.Errorf("the first end listed after end %d is %v, want %d", want.seen, r.Ended[0][0], want.first)
		}
	}
}
