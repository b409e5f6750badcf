package standin

import (
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Records is what all workers of a test saw. Safe for concurrent use.
type Records struct {
	mu        sync.Mutex
	runs      []*Record
	used      map[fleet.WorkerID]fleet.Resources
	overlaps  []Record // started while another attempt of the task ran
	overfull  []Record // started on a worker that could not hold it
	resumed   []Record // started after an attempt of the task had finished, as a host could know
	outage    map[fleet.DataCentre]time.Time
	wrongHost []Record // started in a data centre that was out
}

// OutDelay is how long after operators took a data centre out a task may
// still start there.
const OutOfServiceDelay = 3 * time.Second

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{
		used:   make(map[fleet.WorkerID]fleet.Resources),
		outage: make(map[fleet.DataCentre]time.Time),
	}
}

// SetOut notes that operators took a data centre out now, or back in.
func (r *Records) SetOutOfService(dc fleet.DataCentre, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out {
		r.outage[dc] = time.Now()
		return
	}
	delete(r.outage, dc)
}

func (r *Records) begin(rec Record, capacity fleet.Resources) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.runs {
		if other.Task != rec.Task {
			continue
		}
		if other.Ended.IsZero() {
			r.overlaps = append(r.overlaps, rec)
		}
		if other.State == inventory.TaskFinished && !other.OutcomeUnknowable() {
			r.resumed = append(r.resumed, rec)
		}
	}
	used := r.used[rec.Worker].Add(rec.Resources)
	if !used.Fits(capacity) {
		r.overfull = append(r.overfull, rec)
	}
	if since, out := r.outage[rec.DataCentre]; out && rec.Started.Sub(since) > OutOfServiceDelay {
		r.wrongHost = append(r.wrongHost, rec)
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

// tell notes that a host was told of the end.
func (r *Records) tell(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.EndReported = true
}

// bury notes that the worker died with the run or its end.
func (r *Records) bury(rec *Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.EndLost = true
}

// Runs returns a copy of all runs in order of their start.
func (r *Records) Runs() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Record, 0, len(r.runs))
	for _, rec := range r.runs {
		runs = append(runs, *rec)
	}
	return runs
}

// Violations is what must be empty after every run.
type Violations struct {
	Overlapping         []Record // two attempts of a task ran at once
	RepeatedRuns        []Record // a task started after it had finished, unless the end was unknowable
	OverCapacity        []Record
	StartedOutOfService []Record // more than OutDelay after the data centre was taken out
}

// Empty reports whether nothing was violated.
func (v Violations) Empty() bool {
	return len(v.Overlapping)+len(v.RepeatedRuns)+len(v.OverCapacity)+len(v.StartedOutOfService) == 0
}

// Violations returns what was seen so far.
func (r *Records) Violations() Violations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Violations{
		Overlapping:         append([]Record(nil), r.overlaps...),
		RepeatedRuns:        append([]Record(nil), r.resumed...),
		OverCapacity:        append([]Record(nil), r.overfull...),
		StartedOutOfService: append([]Record(nil), r.wrongHost...),
	}
}
