package owner

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// receivedRenewal is a renewal as a worker receives it.
type receivedRenewal struct {
	Token      int64 `json:"fencing_token"`
	LastSeen   int64 `json:"last_seen"`
	DeadlineMS int64 `json:"deadline_ms"`
}

// scriptedWorker answers renewals with the incarnation and the clock that a test sets.
type scriptedWorker struct {
	server   *httptest.Server
	renewals chan receivedRenewal

	mu             sync.Mutex
	startedMS      int64
	clockMS        int64
	running, ended string // rows of the report, as JSON
}

func newScriptedWorker(t *testing.T) *scriptedWorker {
	s := &scriptedWorker{renewals: make(chan receivedRenewal, 16), running: "[]", ended: "[]"}
	s.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		var r receivedRenewal
		if err := json.NewDecoder(req.Body).Decode(&r); err != nil {
			t.Error(err)
		}
		s.renewals <- r
		s.mu.Lock()
		defer s.mu.Unlock()
		fmt.Fprintf(rw, `{"born":%d,"clock_ms":%d,"running":%s,"ended":%s}`, s.startedMS, s.clockMS, s.running, s.ended)
	}))
	t.Cleanup(s.server.Close)
	return s
}

// set changes what the worker reports.
func (s *scriptedWorker) set(startedMS, clockMS int64, ended string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedMS, s.clockMS, s.ended = startedMS, clockMS, ended
}

func (s *scriptedWorker) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// next returns the next renewal, which must follow within a second.
func (s *scriptedWorker) next(t *testing.T) receivedRenewal {
	t.Helper()
	select {
	case r := <-s.renewals:
		return r
	case <-time.After(time.Second):
		t.Fatal("no renewal within 1 s")
		return receivedRenewal{}
	}
}

// loopFor returns the renewal loop of w1 for a scripted worker, without a goroutine.
func loopFor(d *dispatcher, s *scriptedWorker) *workerLoop {
	w := &workerLoop{id: "w1", address: s.address(), client: platform.NewWorkerClient("w1", s.address(), platform.NewConnections(0, always)), cancel: func() {}, answered: true, token: 7}
	d.workers["w1"] = w
	d.authorityEnd.Store(int64(steady.Now() + time.Hour))
	return w
}

// entryOf returns the change of a worker's entry that shows an incarnation.
func entryOf(id fleet.WorkerID, address string, startedMS int64) store.Event {
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dc-1","state":"ready","born":%d,"capacity":{"cpu":8000,"mem_mb":8000},"labels":[]}`, testService, address, startedMS)
	return store.Event{Entry: store.Entry{Key: platform.WorkerPrefix + string(id), Value: []byte(value), Revision: store.Revision(startedMS)}}
}

// A renewal that was sent to the earlier incarnation hangs until it times out. The
// new one must not wait for that with the runs it may have and without a lease.
func TestRestartedWorkerWaitsForHungRenewal(t *testing.T) {
	d, _ := testDispatcher(t)
	s := newScriptedWorker(t)
	w := loopFor(d, s)
	s.set(1, 50_000, "[]")
	if err := d.renewOnce(w, 0); err != nil {
		t.Fatal(err)
	}
	first := s.next(t)
	s.set(2, 900, "[]")
	d.handleWorkerChange(entryOf("w1", s.address(), 2))
	read, extended := s.next(t), s.next(t)
	if read.Token <= first.Token || read.DeadlineMS != 0 {
		t.Errorf("first renewal of the new incarnation %+v, want a token above %d and no deadline on the earlier clock", read, first.Token)
	}
	if extended.DeadlineMS <= 900 || extended.DeadlineMS > 900+6000 {
		t.Errorf("second renewal %+v, want a deadline on the clock of the new incarnation", extended)
	}
}

// The clocks of two incarnations are unrelated. An answer of the earlier one must not
// set the clock of the new one: a deadline on the wrong clock makes leases longer than
// the owner assumes.
func TestDeadlineOnClockOfEarlierIncarnation(t *testing.T) {
	d, _ := testDispatcher(t)
	s := newScriptedWorker(t)
	w := loopFor(d, s)
	s.set(2, 900, "[]")
	if err := d.renewOnce(w, 0); err != nil {
		t.Fatal(err)
	}
	s.next(t)
	earlier := map[string]func(){
		"report": func() {
			s.set(1, 50_000, "[]")
			if err := d.renewOnce(w, 0); err != nil {
				t.Fatal(err)
			}
			s.next(t)
		},
		"answer to an order": func() {
			s.set(1, 50_000, "[]")
			d.sendOrder(w, dispatch.Order{Kind: dispatch.OrderStop, Worker: "w1", Task: workload.TaskName{Job: "a"}, Run: 1})
			s.next(t)
		},
	}
	for name, late := range earlier {
		t.Run(name, func(t *testing.T) {
			late()
			s.set(2, 950, "[]")
			for range 2 {
				if err := d.renewOnce(w, 0); err != nil {
					t.Fatal(err)
				}
				if r := s.next(t); r.DeadlineMS > 950+6000 {
					t.Errorf("renewal %+v after a late %s, want a deadline on the clock of the new incarnation", r, name)
				}
			}
		})
	}
}

// A renewal that fails may mean that the worker restarts. The next one reaches a new
// incarnation that numbers its ends from 1: it must not acknowledge ends of the
// earlier one, nor carry a deadline on its clock.
func TestFirstRenewalOfNewIncarnationDropsItsEnds(t *testing.T) {
	d, w, s := acknowledgeEnd(t)
	if err := d.renewOnce(w, 0); err != nil {
		t.Fatal(err)
	}
	if before := s.next(t); before.LastSeen != 7 || before.DeadlineMS == 0 {
		t.Fatalf("renewal %+v, want one that acknowledges end 7 and extends the lease", before)
	}
	d.handleRenewalError(w, w.currentToken(), &platform.UnknownOutcomeError{Call: "/v1/hold", Cause: errors.New("connection reset")})
	s.set(2, 900, `[[1,"a.0.0.0",1,"done",""]]`)
	if err := d.renewOnce(w, 0); err != nil {
		t.Fatal(err)
	}
	if first := s.next(t); first.LastSeen != 0 || first.DeadlineMS != 0 {
		t.Errorf("first renewal after a failed one %+v, want neither an acknowledgement nor a deadline of the earlier incarnation", first)
	}
}

// acknowledgeEnd returns a dispatcher that has acknowledged end 7 of the first incarnation
// of w1, with its renewal loop.
func acknowledgeEnd(t *testing.T) (*dispatcher, *workerLoop, *scriptedWorker) {
	t.Helper()
	d, _ := testDispatcher(t)
	s := newScriptedWorker(t)
	w := loopFor(d, s)
	s.set(1, 50_000, `[[7,"gone.0.0.0",1,"done",""]]`)
	for range 3 {
		if err := d.renewOnce(w, 0); err != nil {
			t.Fatal(err)
		}
		s.next(t)
		d.mu.Lock()
		d.machine.WritesDone(nil, 0)
		d.mu.Unlock()
	}
	return d, w, s
}

// restartAfter returns the first renewal that reaches the second incarnation of w1, after
// ends of the first one have been acknowledged and then lost has happened.
func restartAfter(t *testing.T, lost func(d *dispatcher, w *workerLoop, s *scriptedWorker)) receivedRenewal {
	t.Helper()
	d, w, s := acknowledgeEnd(t)
	lost(d, w, s)
	s.set(2, 900, "[]")
	for len(s.renewals) > 0 {
		<-s.renewals
	}
	if err := d.renewOnce(w, 0); err != nil {
		t.Fatal(err)
	}
	return s.next(t)
}

// An order may be the call that fails when a worker restarts. The next renewal opens a
// new connection and reaches the new incarnation without having failed itself.
func TestRenewalAfterFailedOrderDropsEndsOfNewIncarnation(t *testing.T) {
	first := restartAfter(t, func(d *dispatcher, w *workerLoop, s *scriptedWorker) {
		s.server.CloseClientConnections()
		time.Sleep(20 * time.Millisecond)
		d.sendOrder(w, dispatch.Order{Kind: dispatch.OrderStop, Worker: "w1", Task: workload.TaskName{Job: "a"}, Run: 1})
	})
	if first.LastSeen != 0 || first.DeadlineMS != 0 {
		t.Errorf("first renewal after a failed order %+v, want neither an acknowledgement nor a deadline of the earlier incarnation", first)
	}
}

// The answer of the earlier incarnation may be read after a later call has failed: it
// does not show which incarnation the next renewal reaches.
func TestAnswerBeforeFailureHidesRestart(t *testing.T) {
	first := restartAfter(t, func(d *dispatcher, w *workerLoop, s *scriptedWorker) {
		s.mu.Lock()
		var group sync.WaitGroup
		group.Go(func() { _ = d.renewOnce(w, 0) }) // answered by the earlier incarnation
		s.next(t)
		d.handleRenewalError(w, w.currentToken(), &platform.UnknownOutcomeError{Call: "/v1/hold"})
		s.mu.Unlock()
		group.Wait()
	})
	if first.LastSeen != 0 || first.DeadlineMS != 0 {
		t.Errorf("first renewal after a failed one %+v, want neither an acknowledgement nor a deadline of the earlier incarnation", first)
	}
}

// A renewal with the token of the new incarnation that carries facts of the earlier one
// is refused by nobody if it is executed late.
func TestNewTokenWithFactsOfEarlierIncarnation(t *testing.T) {
	d, w, s := acknowledgeEnd(t)
	s.mu.Lock()
	var group sync.WaitGroup
	group.Go(func() { _ = d.renewOnce(w, 0) })
	s.next(t)
	s.startedMS, s.clockMS, s.ended = 2, 900, "[]"
	d.mu.Lock() // a plan is being made
	group.Go(func() { _ = d.renewOnce(w, 0) })
	time.Sleep(30 * time.Millisecond)
	s.mu.Unlock() // the new incarnation answers the first renewal
	time.Sleep(30 * time.Millisecond)
	d.mu.Unlock()
	group.Wait()
	for len(s.renewals) > 0 {
		if r := s.next(t); r.Token > 7 && (r.LastSeen > 0 || r.DeadlineMS > 900+6000) {
			t.Errorf("renewal %+v, want no facts of the earlier incarnation with the new token", r)
		}
	}
}

// A worker that has crashed is replaced at its address by one with another ID. Its runs
// must not wait for their leases: the answer of the other one shows that they have ended.
func TestRunsOfReplacedWorkerWaitForTheirLease(t *testing.T) {
	d, _ := testDispatcher(t)
	other := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusMisdirectedRequest) }))
	t.Cleanup(other.Close)
	address := strings.TrimPrefix(other.URL, "http://")
	worker := func(id fleet.WorkerID, reports bool) {
		now := steady.Now()
		d.machine.SetWorker(workload.Worker{ID: id, StartedMS: 1, Service: testService, Address: address, Capacity: fleet.Resources{MilliCores: 8000, MemoryMB: 8000}}, now)
		d.storeRecords(t)
		if reports {
			d.machine.RenewalSent(id, now)
			d.machine.WorkerReported(id, workload.Report{StartedMS: 1}, now, now)
		}
	}
	worker("w0", false) // a former owner has placed a task there
	worker("w1", true)
	now := steady.Now()
	progress := workload.Progress{Tasks: []workload.TaskProgress{{Run: 1, Worker: "w0"}}}
	step := workload.Step{Count: 1, Need: fleet.Resources{MilliCores: 100}, EstimateMS: 1000}
	d.machine.AddJob(&workload.Job{ID: "new", Queue: "q", Steps: []workload.Step{step}}, workload.StateQueued, 1, workload.Progress{}, now, false)
	d.machine.AddJob(&workload.Job{ID: "inherited", Queue: "q", Steps: []workload.Step{step}}, workload.StateRunning, 1, progress, now, true)
	d.machine.Plan(now, 0)
	started := d.machine.TakeOrders()
	if len(started) != 1 || started[0].Task.Job != "new" {
		t.Fatalf("started %v, want only the new job", started)
	}
	d.machine.StartAnswered(started[0], dispatch.Accepted, now)
	w := loopFor(d, newScriptedWorker(t))
	for _, id := range []fleet.WorkerID{"w0", "w1"} {
		w.id, w.client = id, platform.NewWorkerClient(id, address, platform.NewConnections(0, always))
		if err := d.renewOnce(w, 0); err == nil {
			t.Fatal("a worker with another ID took the renewal")
		}
	}
	worker("w2", true)
	worker("w3", true)
	d.machine.WritesDone(d.machine.TakeWrites(1000, farFuture), 2)
	d.machine.Plan(steady.Now(), 0)
	jobs := make(map[fleet.JobID]bool)
	for _, o := range d.machine.TakeOrders() {
		if o.Kind == dispatch.OrderStart && (o.Worker == "w2" || o.Worker == "w3") {
			jobs[o.Task.Job] = true
		}
	}
	if !jobs["new"] || !jobs["inherited"] {
		t.Errorf("started on w2 and w3: %v, want both jobs at once", jobs)
	}
	for id := range d.machine.Addresses() {
		if id == "w0" || id == "w1" {
			t.Errorf("the replaced worker %s is still called", id)
		}
	}
}

// A worker that was forgotten and came back has a new loop with a higher token. A late
// refusal of the old loop's call does not show a later owner.
func TestRefusalOfReplacedLoopEndsTerm(t *testing.T) {
	d, _ := testDispatcher(t)
	old := loopFor(d, newScriptedWorker(t))
	stale := &platform.RefusedError{Reason: platform.RefusedStaleToken}
	next := loopFor(d, newScriptedWorker(t))
	next.token = old.token + 1
	d.handleRenewalError(old, old.token, stale)
	if reason := d.reason.Load(); reason != "unknown" {
		t.Errorf("the term ended by the owner's own higher token: %v", reason)
	}
	d.handleRenewalError(next, next.token, stale)
	if reason := d.reason.Load(); reason == "unknown" {
		t.Error("the term goes on although a worker has seen a higher token than the owner's")
	}
}

// Calls that are not sent because all connections are in use, or that are refused, show
// no restart. If they counted, the lease of a busy worker would not be extended.
func TestBusyConnectionsHoldUpLease(t *testing.T) {
	d, _ := testDispatcher(t)
	s := newScriptedWorker(t)
	w := loopFor(d, s)
	s.set(1, 50_000, "[]")
	for name, test := range map[string]struct {
		err      error
		extended bool
	}{
		"busy":          {&platform.NotSentError{Local: true}, true},
		"refused":       {&platform.RefusedError{Reason: platform.RefusedUnhealthy}, true},
		"no connection": {&platform.NotSentError{}, false},
		"no answer":     {&platform.UnknownOutcomeError{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			for range 2 {
				if err := d.renewOnce(w, 0); err != nil {
					t.Fatal(err)
				}
				s.next(t)
			}
			d.handleRenewalError(w, w.currentToken(), test.err)
			if err := d.renewOnce(w, 0); err != nil {
				t.Fatal(err)
			}
			if r := s.next(t); (r.DeadlineMS > 0) != test.extended {
				t.Errorf("renewal %+v, want the lease extended: %v", r, test.extended)
			}
		})
	}
}
