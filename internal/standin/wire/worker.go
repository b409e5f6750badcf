package wire

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// MaxLease is the longest lease of a worker's runs.
	MaxLease = 6 * time.Second
	// stopDuration is how long a stop takes: the platform's stop_timeout_ms.
	stopDuration = 200 * time.Millisecond
	// maxClockSlow is how much slower than time a worker's clock may be, in percent.
	maxClockSlow = 2
	// tickInterval is how often a worker checks for what is due.
	tickInterval = 10 * time.Millisecond
)

// Worker is a stand-in for a worker. Its incarnations follow one another on the
// same port.
type Worker struct {
	id      fleet.WorkerID
	checker *Checker
	store   *Store
	server  *http.Server
	address string
	done    chan struct{}

	registration sync.Mutex     // held while the entry is written, so that the newest is written last
	registered   store.Revision // of the worker's entry; 0: it has expired
	lastBeat     time.Time
	returnAt     time.Time // of an entry that has expired while the store was down

	mu               sync.Mutex
	registeredAt     string // address in the worker's entry
	capacity         fleet.Resources
	formerCapacities []formerCapacity
	incarnationStart time.Time
	up               bool
	restarted        chan struct{} // closed at the restart; nil while the worker is up
	restartAt        time.Time     // zero if the worker does not restart by itself
	faults           WorkerFaults
	advice           *Advice // that starts need a ticket of; nil: none
	clockPercent     int64   // rate of the worker's clock
	token            int64
	leaseDeadline    int64     // ms on the worker's clock
	lapsedAt         time.Time // when the lease was last found to have expired
	runs             map[workload.TaskName]*activeRun
	highestEndedRun  map[workload.TaskName]int // highest run that was stopped or has ended
	ended            []endedRun
	lastEndNumber    int64
	runEnded         chan struct{}
}

type activeRun struct {
	run       int
	endsAt    time.Time
	stopsAt   time.Time // zero if not being stopped
	step      workload.Step
	startedAt time.Time
	fails     bool
	deadly    bool
	crashesAt time.Time // of a deadly run
	noReply   bool      // its start gets no reply
	assembled bool      // all tasks of its gang are present
	broken    bool      // another task of its gang has ended
	aloneAt   time.Time // end of a run that waits for the rest of its gang
}

type endedRun struct {
	number  int64
	task    workload.TaskName
	run     int
	outcome workload.Outcome
	at      time.Time
	starts  int // of the task until then
}

// NewWorker starts a worker and registers it in the store. It returns an error if
// it can't listen or the registration fails.
func NewWorker(id fleet.WorkerID, capacity fleet.Resources, checker *Checker, s *Store) (*Worker, error) {
	w := &Worker{id: id, capacity: capacity, checker: checker, store: s, done: make(chan struct{}), runEnded: make(chan struct{})}
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = ln.Addr().String()
	w.registeredAt = w.address
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.start)
	mux.HandleFunc("POST /v1/run-stop", w.stop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	mux.HandleFunc("POST /v1/pace", w.pace)
	w.server = &http.Server{Handler: w.applyFaults(mux), ReadHeaderTimeout: time.Second}
	w.startIncarnation()
	go func() { _ = w.server.Serve(limitConnections(ln, maxConnections)) }() // returns after Close
	go w.tick()
	return w, w.register()
}

// startIncarnation starts an incarnation without runs.
func (w *Worker) startIncarnation() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beginIncarnation()
}

// beginIncarnation is startIncarnation for callers that hold w.mu.
func (w *Worker) beginIncarnation() {
	w.incarnationStart, w.up, w.token, w.leaseDeadline, w.lastEndNumber = time.Now(), true, 0, 0, 0
	w.runs, w.highestEndedRun, w.ended = make(map[workload.TaskName]*activeRun), make(map[workload.TaskName]int), nil
	w.restartAt, w.clockPercent = time.Time{}, 100-rand.Int64N(maxClockSlow+1)
	if w.advice != nil {
		w.advice.endLife(w.id)
	}
	if w.restarted != nil {
		close(w.restarted)
		w.restarted = nil
	}
}

// ID returns the worker's ID.
func (w *Worker) ID() fleet.WorkerID { return w.id }

// Followed reports whether an owner has extended the worker's lease beyond now.
func (w *Worker) Followed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up && w.clockMS() < w.leaseDeadline
}

// RequireTickets makes the worker refuse starts without a valid ticket.
func (w *Worker) RequireTickets(a *Advice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advice = a
}

// UnacknowledgedEnds returns how many ends the worker has to report.
func (w *Worker) UnacknowledgedEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ended)
}

// Address returns the host:port where the worker listens.
func (w *Worker) Address() string { return w.address }

// Close stops the stand-in.
func (w *Worker) Close() {
	close(w.done)
	_ = w.server.Close()
}

func (w *Worker) clockMS() int64 {
	return time.Since(w.incarnationStart).Milliseconds() * w.clockPercent / 100
}

// tick carries out ends of runs, crashes and restarts that are due, until Close.
func (w *Worker) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	unregistered := false
	for {
		select {
		case <-w.done:
			return
		case now := <-ticker.C:
			w.mu.Lock()
			if !w.crashIfDue(now) {
				w.endRuns(now)
			}
			restarted := w.restartIfDue(now)
			w.mu.Unlock()
			if restarted || unregistered {
				unregistered = w.register() != nil // the next tick tries again
			} else {
				w.beat(now)
			}
		}
	}
}

func (w *Worker) endRuns(now time.Time) {
	expired := w.clockMS() > w.leaseDeadline
	if expired {
		w.lapsedAt = now
	}
	ended := false
	for n, r := range w.runs {
		outcome := workload.Outcome("")
		switch {
		case expired:
			outcome = workload.OutcomeLeaseExpired
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			outcome = workload.OutcomeStopped
		case r.broken:
			outcome = workload.OutcomeGangBroken
		case r.step.Gang && !r.assembled:
			if now.After(r.aloneAt) {
				outcome = workload.OutcomeGangTimeout
			}
		case now.After(r.endsAt) && r.stopsAt.IsZero() && !r.step.Serving && !r.deadly:
			outcome = workload.OutcomeDone
			if r.fails {
				outcome = workload.OutcomeFailed
			}
		}
		if outcome == "" {
			continue
		}
		ended = true
		delete(w.runs, n)
		w.leaveGang(n, r, outcome)
		w.highestEndedRun[n] = max(w.highestEndedRun[n], r.run)
		w.lastEndNumber++
		w.ended = append(w.ended, endedRun{w.lastEndNumber, n, r.run, outcome, now, w.checker.startsOf(n)})
		w.checker.recordEnd(n, outcome)
	}
	if ended {
		close(w.runEnded)
		w.runEnded = make(chan struct{})
	}
}

func (w *Worker) String() string { return fmt.Sprintf("%s at %s", w.id, w.address) }
