package standin

import (
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Records collects the runs of all workers of a test. It is safe for concurrent
// use.
type Records struct {
	mu                  sync.Mutex
	runs                []*Record
	used                map[fleet.WorkerID]fleet.Resources
	overlapping         []Record // started while another attempt of the task ran
	overCapacity        []Record // started on a worker without the capacity for it
	repeated            []Record // started after an attempt of the task had finished and a host could know it
	outOfService        map[fleet.DataCentre]time.Time
	startedOutOfService []Record // started in a data centre that was out of service
}

// OutOfServiceDelay is how long a task may still start in a data centre after
// operators took it out of service.
const OutOfServiceDelay = 3 * time.Second

// NewRecords returns empty Records.
func NewRecords() *Records {
	return &Records{
		used:         make(map[fleet.WorkerID]fleet.Resources),
		outOfService: make(map[fleet.DataCentre]time.Time),
	}
}

// SetOutOfService records that operators took a data centre out of service now,
// or back into service.
func (r *Records) SetOutOfService(dc fleet.DataCentre, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out {
		r.outOfService[dc] = time.Now()
		return
	}
	delete(r.outOfService, dc)
}

func (r *Records) begin(rec Record, capacity fleet.Resources) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.runs {
		if other.Task != rec.Task {
			continue
		}
		if other.Ended.IsZero() {
			r.overlapping = append(r.overlapping, rec)
		}
		if other.State == inventory.TaskFinished && !other.OutcomeUnknowable() {
			r.repeated = append(r.repeated, rec)
		}
	}
	used := r.used[rec.Worker].Add(rec.Resources)
	if !used.Fits(capacity) {
		r.overCapacity = append(r.overCapacity, rec)
	}
	if since, out := r.outOfService[rec.DataCentre]; out && rec.Started.Sub(since) > OutOfServiceDelay {
		r.startedOutOfService = append(r.startedOutOfService, rec)
	}
	r.used[rec.Worker] = used
	stored := rec
	r.runs = append(r.runs, &stored)
	return &stored
}

func (r *Records) end(rec *Record, state inventory.TaskState, progress float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.Ended = time.Now()
	rec.State = state
	rec.Progress = progress
	r.used[rec.Worker] = r.used[rec.Worker].Sub(rec.Resources)
}

// recordEndReported records that the end of a run was reported to a host.
func (r *Records) recordEndReported(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.EndReported = true
}

// recordEndLost records that the worker died while it held the run or its
// outcome.
func (r *Records) recordEndLost(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.EndLost = true
}

// Runs returns copies of all runs, ordered by start.
func (r *Records) Runs() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Record, 0, len(r.runs))
	for _, rec := range r.runs {
		runs = append(runs, *rec)
	}
	return runs
}

// Violations holds the runs that broke a rule. It must be empty after every test
// run.
type Violations struct {
	Overlapping         []Record // two attempts of a task ran concurrently
	RepeatedRuns        []Record // a task started after it had finished, unless no host could know that
	OverCapacity        []Record
	StartedOutOfService []Record // started more than OutOfServiceDelay after the data centre was taken out of service
}

// Empty reports whether no rule was broken.
func (v Violations) Empty() bool {
	return len(v.Overlapping)+len(v.RepeatedRuns)+len(v.OverCapacity)+len(v.StartedOutOfService) == 0
}

// Violations returns the violations so far.
func (r *Records) Violations() Violations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Violations{
		Overlapping:         append([]Record(nil), r.overlapping...),
		RepeatedRuns:        append([]Record(nil), r.repeated...),
		OverCapacity:        append([]Record(nil), r.overCapacity...),
		StartedOutOfService: append([]Record(nil), r.startedOutOfService...),
	}
}
