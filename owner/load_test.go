package owner

import (
	"context"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Guards against a change of owner that resets the age of inherited jobs: a job
// that can no longer meet its target time would be ranked with those that can.
func TestTakeoverForgetsAge(t *testing.T) {
	const now, nowMS = 5 * time.Second, int64(1_000_000)
	tests := map[string]struct {
		acceptedMS int64
		want       time.Duration // on the owner's clock
	}{
		"accepted 3 s ago":                             {acceptedMS: nowMS - 3_000, want: 2 * time.Second},
		"accepted before the host started":             {acceptedMS: nowMS - 20_000, want: -15 * time.Second},
		"accepted by a host whose clock is ahead":      {acceptedMS: nowMS + 2_000, want: now},
		"accepted by a host whose clock is far behind": {acceptedMS: 0, want: now - maxInheritedAge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := arrivalTime(&workload.Job{AcceptedMS: tt.acceptedMS}, now, nowMS); got != tt.want {
				t.Errorf("arrival time %v, want %v", got, tt.want)
			}
		})
	}
}

// pagesStore is a store that fails the first pages.
type pagesStore struct {
	*storetest.Memory
	failures int
	err      error
}

func (s *pagesStore) Page(prefix, after string) ([]store.Entry, bool, store.Revision, error) {
	if s.failures > 0 {
		s.failures--
		return nil, false, 0, s.err
	}
	return s.Memory.Page(prefix, after)
}

// A page without an answer must not end a term whose ownership lease is still valid: the
// next owner waits again for the leases of this one.
func TestUnansweredPageEndsTerm(t *testing.T) {
	unknown, unavailable := &store.UnknownOutcomeError{Op: "range"}, &store.UnavailableError{Op: "range"}
	tests := map[string]struct {
		failures int
		err      error
		left     time.Duration // of the ownership lease
		renewed  bool          // the ownership lease is renewed meanwhile
		loaded   bool
	}{
		"no answer":                     {failures: 1, err: unknown, left: ownerTTL, loaded: true},
		"store unavailable twice":       {failures: 2, err: unavailable, left: ownerTTL, loaded: true},
		"ownership lease is over":       {failures: 1, err: unknown, left: -time.Millisecond},
		"store unavailable for so long": {failures: 1 << 20, err: unavailable, left: 3 * pageRetryDelay},
		"store can't be read":           {failures: 1 << 20, err: unknown, left: 2 * renewInterval, renewed: true},
		"request is wrong":              {failures: 1, err: &store.BadRequestError{}, left: ownerTTL},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, memory := testDispatcher(t)
			d.deps.Store = &pagesStore{Memory: memory, failures: tt.failures, err: tt.err}
			d.authorityEnd.Store(int64(steady.Now() + tt.left))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.renewed {
				go d.renewLoop(ctx)
			}
			if err := d.load(t.Context()); (err == nil) != tt.loaded {
				t.Errorf("error %v, want the state to be loaded: %t", err, tt.loaded)
			}
		})
	}
}

// A stored submission or progress that can't be planned must not stop the owner: each
// next one would load it as well.
func TestPoisonedRecordIsSkipped(t *testing.T) {
	job := func(steps string) string { return `{"id":"bad","queue":"q","at":1,"steps":` + steps + `}` }
	tests := map[string]struct{ submission, progress string }{
		"dependency on a step that does not exist": {submission: job(`[{"n":1,"after":[5],"need":{}}]`)},
		"no steps":                          {submission: job(`[]`)},
		"a thousand million tasks":          {submission: job(`[{"n":1000000000,"need":{}}]`)},
		"progress of a negative index":      {submission: job(`[{"n":1,"need":{}}]`), progress: `{"t":[{"i":-1}]}`},
		"progress of a negative step":       {submission: job(`[{"n":1,"need":{}}]`), progress: `{"t":[{"s":-1}]}`},
		"progress of a negative occurrence": {submission: job(`[{"n":1,"need":{}}]`), progress: `{"t":[{"k":-1}]}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, s := testDispatcher(t)
			state := intake.Record{Queue: "q", State: workload.StateQueued}
			d.addJob(store.Entry{Key: "s/bad", Value: []byte(tt.submission)}, store.Entry{Key: "f/j/bad", Value: state.Encode()}, []byte(tt.progress), time.Second, addition{inherited: true})
			submit(t, d, s, workload.Job{ID: "good", Queue: "q", Steps: []workload.Step{{Count: 1, EstimateMS: 1000}}})
			d.machine.Plan(2*time.Second, 1)
			started := false
			for _, o := range d.machine.TakeOrders() {
				started = started || o.Kind == dispatch.OrderStart && o.Task.Job == "good"
			}
			if !started {
				t.Error("the job beside the poisoned one has not started")
			}
		})
	}
}

// Whatever is stored as a submission and its progress, an owner can load it and plan.
func FuzzStoredJob(f *testing.F) {
	f.Add([]byte(`{"id":"a","queue":"q","at":1,"steps":[{"n":2,"est":900,"need":{"MilliCores":500}},{"n":1,"after":[0],"gang":true,"need":{}}]}`), []byte(`{"t":[{"i":1,"r":3,"d":true}]}`))
	f.Add([]byte(`{"id":"a","queue":"q","repeats":5,"first":1,"every":10,"steps":[{"n":1,"serving":true,"image":"s","target":50,"need":{}}]}`), []byte(`{"t":[{"k":4,"f":[1,2]}]}`))
	f.Add([]byte(`{"id":"a","queue":"q","repeats":1000000000,"steps":[{"n":1,"need":{}}]}`), []byte(`{"t":[{"i":-1,"s":-1,"k":-1}]}`))
	f.Fuzz(func(t *testing.T, submission, progress []byte) {
		d, _ := testDispatcher(t)
		d.deps.Log = func(string, ...any) {}
		state := intake.Record{Queue: "q", State: workload.StateQueued}
		d.addJob(store.Entry{Key: "s/a", Value: submission}, store.Entry{Key: "f/j/a", Value: state.Encode()}, progress, time.Second, addition{inherited: true})
		for i := range 3 {
			d.machine.Plan(time.Duration(i+2)*time.Second, 1_000_000)
			for _, e := range d.machine.TakeEvents() {
				if e.Name == "job_plan_failed" {
					t.Fatalf("planning panicked: %v", e.KeyVals)
				}
			}
		}
		d.machine.TakeWrites(31, farFuture)
	})
}
