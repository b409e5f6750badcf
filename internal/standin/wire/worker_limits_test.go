package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// noReplyTimeout is how long a test waits for a reply that must not come: long enough for
// the call to arrive on a busy machine.
const noReplyTimeout = time.Second

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
		w.ended = append(w.ended, endedRun{number: w.lastEndNumber, task: workload.TaskName{Job: "other", Index: int(w.lastEndNumber)}, run: 1, outcome: workload.OutcomeDone})
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

// A renewal must wait for a whole number of milliseconds, at most 2,000, and an order must
// name a task and a run.
func TestMalformedCallIsExecuted(t *testing.T) {
	w := newTestWorker(t)
	order := func(fields string) string {
		return `{"task":"job.0.0.0","run":1,"deadline_ms":60000,"fencing_token":7` + fields + `}`
	}
	for _, c := range []struct {
		path, body string
		want       int
	}{
		{"/v1/hold", `{"fencing_token":7,"wait_ms":1.5}`, http.StatusBadRequest},
		{"/v1/hold", `{"fencing_token":7,"wait_ms":2001}`, http.StatusBadRequest},
		{"/v1/hold", `{"fencing_token":7,"wait_ms":-1}`, http.StatusBadRequest},
		{"/v1/hold", `{"fencing_token":7,"deadline_ms":0.5}`, http.StatusBadRequest},
		{"/v1/hold", `{"fencing_token":7,"wait_ms":1}`, http.StatusOK},
		{"/v1/run-start", order(`,"spec":"` + strings.Repeat("x", 4001) + `"`), http.StatusBadRequest},
		{"/v1/run-start", `{"task":"job","run":1,"deadline_ms":60000}`, http.StatusBadRequest},
		{"/v1/run-start", `{"task":"job.0.0.0","run":0,"deadline_ms":60000}`, http.StatusBadRequest},
		{"/v1/pace", order(`,"percent":101`), http.StatusBadRequest},
		{"/v1/run-stop", `{"task":"job.0.0","run":1}`, http.StatusBadRequest},
		{"/v1/run-start", order(`,"spec":"` + strings.Repeat("x", 4000) + `"`), http.StatusOK},
	} {
		if status := postBody(t, w, c.path, []byte(c.body), testTimeout); status != c.want {
			t.Errorf("%s %.90s: status %d, want %d", c.path, c.body, status, c.want)
		}
	}
	if starts, _ := w.checker.Violations(); starts != 1 {
		t.Errorf("%d starts, want one", starts)
	}
}

// A call to another lifetime must be refused, and do nothing.
func TestCallReachesAnotherLifetime(t *testing.T) {
	w := newTestWorker(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+w.Address()+"/v1/hold", strings.NewReader(`{"fencing_token":9}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Fuchsiahill-Expect-Instance", "another")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if resp.StatusCode != http.StatusMisdirectedRequest || w.token != 0 {
		t.Errorf("status %d, token %d, want %d and none", resp.StatusCode, w.token, http.StatusMisdirectedRequest)
	}
}

// A run that is not higher than one that was stopped must be refused, also if that one
// never started. The deadline of the refused start holds all the same.
func TestRunStartsAfterItsStop(t *testing.T) {
	w := newTestWorker(t)
	task := workload.TaskName{Job: "job"}
	post(t, w, "/v1/run-stop", command{Task: task.String(), Run: 3, Token: 7}, testTimeout)
	for run, want := range map[int]int{1: http.StatusConflict, 3: http.StatusConflict} {
		cmd := startCommand(task)
		cmd.Run, cmd.DeadlineMS = run, 3000
		if status := post(t, w, "/v1/run-start", cmd, testTimeout); status != want {
			t.Errorf("run %d after a stop of run 3: status %d, want %d", run, status, want)
		}
	}
	w.mu.Lock()
	deadline := w.leaseDeadline
	w.mu.Unlock()
	if deadline != 3000 {
		t.Errorf("deadline %d after a refused start, want 3000", deadline)
	}
	next := startCommand(task)
	next.Run = 4
	if status := post(t, w, "/v1/run-start", next, testTimeout); status != http.StatusOK {
		t.Errorf("run 4: status %d", status)
	}
}

// A lease must be cut to hold_max_ms and measured on a clock that may be 2% slow.
func TestLeaseOutlivesItsLongest(t *testing.T) {
	w := newTestWorker(t)
	rates := make(map[int64]bool)
	for range 100 {
		w.mu.Lock()
		w.beginIncarnation()
		rates[w.clockPercent] = true
		w.mu.Unlock()
	}
	if len(rates) != maxClockSlow+1 || !rates[100-maxClockSlow] {
		t.Errorf("rates of the clock %v, want 98 to 100 percent", rates)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockPercent, w.incarnationStart = 98, time.Now().Add(-100*time.Second)
	if clock := w.clockMS(); clock < 98_000 || clock > 98_900 {
		t.Errorf("clock %d ms after 100 s, want 98,000", clock)
	}
	w.extendLease(time.Hour.Milliseconds())
	if left := w.leaseDeadline - w.clockMS(); left > MaxLease.Milliseconds() {
		t.Errorf("lease of %d ms, want at most %d", left, MaxLease.Milliseconds())
	}
	before := w.leaseDeadline
	if w.extendLease(1); w.leaseDeadline != before {
		t.Error("an earlier deadline has shortened the lease")
	}
}

// A call without a reply must be executed seconds later, after newer ones, be it a start,
// a stop or a renewal.
func TestUnansweredCallIsNeverExecuted(t *testing.T) {
	task := workload.TaskName{Job: "job"}
	for path, executed := range map[string]func(w *Worker) bool{
		"/v1/run-start": func(w *Worker) bool { return w.runs[task] != nil },
		"/v1/run-stop":  func(w *Worker) bool { return w.highestEndedRun[task] == 1 },
		"/v1/hold":      func(w *Worker) bool { return w.leaseDeadline > 0 && len(w.ended) == 0 },
		"/v1/pace":      func(w *Worker) bool { return w.token == 7 },
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := newTestWorker(t)
			addEnds(w, 3)
			w.SetFaults(WorkerFaults{Late: 1})
			cmd := startCommand(task)
			cmd.LastSeen, cmd.DeadlineMS = 3, 60_000
			began := time.Now()
			if status := post(t, w, path, cmd, noReplyTimeout); status != 0 {
				t.Fatalf("status %d, want no reply", status)
			}
			for time.Since(began) < maxLateDelay+testTimeout {
				w.mu.Lock()
				done := executed(w)
				w.mu.Unlock()
				if done {
					if late := time.Since(began); late < minLateDelay {
						t.Errorf("executed %v late", late)
					}
					return
				}
				time.Sleep(tickInterval)
			}
			t.Error("never executed")
		})
	}
}

// Ends that only a late renewal to an earlier incarnation acknowledges must be kept: the
// owner has not seen them.
func TestLateRenewalForgetsEndsOfNextIncarnation(t *testing.T) {
	w := newTestWorker(t)
	sentTo := w.incarnationStart
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	addEnds(w, 3)
	w.executeLate("/v1/hold", command{Token: 7, LastSeen: 3, DeadlineMS: 5000}, sentTo)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ended) != 3 || w.leaseDeadline == 0 {
		t.Errorf("%d ends, lease until %d, want three ends and a lease", len(w.ended), w.leaseDeadline)
	}
}

func TestLostReplyLeavesNoStart(t *testing.T) {
	w := newTestWorker(t)
	w.SetFaults(WorkerFaults{LostReply: 1})
	if status := post(t, w, "/v1/run-start", startCommand(workload.TaskName{Job: "job"}), noReplyTimeout); status != 0 {
		t.Fatalf("status %d, want no reply", status)
	}
	if starts, _ := w.checker.Violations(); starts != 1 {
		t.Errorf("%d starts, want one", starts)
	}
}

func TestUnhealthyWorkerStartsRun(t *testing.T) {
	w := newTestWorker(t)
	w.SetFaults(WorkerFaults{Unhealthy: 1})
	seen := make(map[int]bool)
	for range 40 {
		seen[post(t, w, "/v1/run-start", startCommand(workload.TaskName{Job: "job"}), testTimeout)] = true
	}
	if starts, _ := w.checker.Violations(); starts != 0 || len(seen) != 2 || !seen[http.StatusTooManyRequests] || !seen[http.StatusServiceUnavailable] {
		t.Errorf("%d starts and statuses %v, want none, 429 and 503", starts, seen)
	}
}

// Replies to calls on different connections must overtake each other.
func TestRepliesKeepTheirOrder(t *testing.T) {
	w := newTestWorker(t)
	w.SetFaults(WorkerFaults{SlowReply: 1})
	const calls = 20
	replies := make(chan int64, calls)
	for range calls {
		go func() {
			_, r := renew(t, w, command{Token: 7})
			replies <- r.ClockMS
		}()
		time.Sleep(tickInterval)
	}
	latest, overtaken := int64(0), 0
	for range calls {
		if clock := <-replies; clock < latest {
			overtaken++
		} else {
			latest = clock
		}
	}
	if overtaken == 0 {
		t.Error("no reply was overtaken")
	}
}

// A worker must serve no more connections than the platform allows: further calls wait
// until one of them closes.
func TestWorkerServesAnyNumberOfConnections(t *testing.T) {
	w := newTestWorker(t)
	var held []net.Conn
	for range maxConnections {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp4", w.Address())
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, conn)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+w.Address()+"/v1/hold", strings.NewReader(`{"fencing_token":7}`))
		if err != nil {
			t.Fatal(err)
		}
		if err := req.Write(conn); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		if err != nil {
			t.Fatal(err)
		}
		if err := resp.Body.Close(); err != nil {
			t.Fatal(err)
		}
	}
	defer func() {
		for _, conn := range held {
			_ = conn.Close()
		}
	}()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	hold := func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Address()+"/v1/hold", strings.NewReader(`{"fencing_token":7}`))
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	short, cancel := context.WithTimeout(t.Context(), noReplyTimeout)
	defer cancel()
	if err := hold(short); err == nil {
		t.Fatalf("a call beyond %d connections was answered", maxConnections)
	}
	if err := held[0].Close(); err != nil {
		t.Fatal(err)
	}
	long, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := hold(long); err != nil {
		t.Errorf("a call after a connection has closed: %v", err)
	}
}

// The entry of a worker must go after three heartbeats of silence, also while the store is
// down if so selected, and be back within 2 s of the store's return.
func TestEntryOutlivesSilence(t *testing.T) {
	for name, c := range map[string]struct {
		crash, storeDown, expire bool
		kept                     bool
	}{
		"crashed":                         {crash: true},
		"store down":                      {storeDown: true, kept: true},
		"store down, entries expire":      {storeDown: true, expire: true},
		"crashed while the store is down": {crash: true, storeDown: true, kept: true},
		"alive":                           {kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestWorker(t)
			if c.crash {
				w.Crash()
			}
			w.store.ExpireEntries(c.expire)
			if c.storeDown {
				w.store.SetMode(StoreUnresponsive)
			}
			exists := func() bool {
				_, err := w.store.Get(w.entryKey())
				return err == nil
			}
			await := func(d time.Duration, want bool) {
				for began := time.Now(); exists() != want && time.Since(began) < d; {
					time.Sleep(tickInterval)
				}
			}
			time.Sleep(maxSilence)
			if await(testTimeout, false); exists() != c.kept {
				t.Errorf("entry %v after %v of silence, want %v", exists(), maxSilence, c.kept)
			}
			if c.crash {
				return
			}
			w.store.SetMode(StoreHealthy)
			if await(maxReturnDelay+testTimeout, true); !exists() {
				t.Error("no entry although the store is back")
			}
		})
	}
}
