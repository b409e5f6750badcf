package intake

import (
	"context"
	"errors"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
	"github.com/fuchsiahill/fuchsiahill/workload"
	"github.com/fuchsiahill/fuchsiahill/workspace"
)

// countingStore counts the calls to a store.
type countingStore struct {
	store.Transactional
	reads, writes int
}

func (c *countingStore) Get(key string) (store.Entry, error) {
	c.reads++
	return c.Transactional.Get(key)
}

func (c *countingStore) Commit(txn store.Txn) (store.Revision, error) {
	c.writes++
	return c.Transactional.Commit(txn)
}

const ownJob, publicJob, unknownJob fleet.JobID = "00000000000000aa", "00000000000000bb", "00000000000000cc"

// startIntake returns an intake whose store holds a job of workspace one and a job that was
// submitted while the queue was public, and its counted store. The host's copy of the store
// has both if mirrored.
func startIntake(t *testing.T, mirrored bool) (*Intake, *countingStore) {
	t.Helper()
	s := &countingStore{Transactional: storetest.NewMemory()}
	shared := mirror.New(s, SharedPrefix, 0, func(store.Event) {}, func(string, ...any) {})
	in := New(s, shared, 0)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = in.Serve(ctx) }() // ends with ctx
	for id, caller := range map[fleet.JobID]workspace.Caller{ownJob: {Workspace: "one"}, publicJob: {}} {
		if err := in.Submit(ctx, caller, &workload.Job{ID: id, Queue: "q"}); err != nil {
			t.Fatal(err)
		}
		if !mirrored {
			continue
		}
		e, err := s.Get(StatePrefix + string(id))
		if err != nil {
			t.Fatal(err)
		}
		shared.Preload(map[string]store.Entry{e.Key: e}, e.Revision)
	}
	s.reads, s.writes = 0, 0
	return in, s
}

// Another workspace must learn nothing of a job: it gets the error of an unknown job, after
// the same calls to the store.
func TestForeignJobIsAnsweredLikeUnknownJob(t *testing.T) {
	foreign := workspace.Caller{Workspace: "two"}
	for name, mirrored := range map[string]bool{"in the host's copy": true, "not in the host's copy": false} {
		t.Run(name, func(t *testing.T) {
			in, s := startIntake(t, mirrored)
			calls := func(request func(id fleet.JobID) error, id fleet.JobID) (reads, writes int) {
				s.reads, s.writes = 0, 0
				var missing *JobNotFoundError
				if err := request(id); !errors.As(err, &missing) || missing.ID != id {
					t.Errorf("job %s: %v, want no such job", id, err)
				}
				return s.reads, s.writes
			}
			for what, request := range map[string]func(id fleet.JobID) error{
				"state":  func(id fleet.JobID) error { _, err := in.State(foreign, id, "q"); return err },
				"cancel": func(id fleet.JobID) error { return in.Cancel(foreign, id, "q") },
			} {
				reads, writes := calls(request, ownJob)
				if wantReads, wantWrites := calls(request, unknownJob); reads != wantReads || writes != wantWrites {
					t.Errorf("%s: %d reads, %d writes; of an unknown job %d, %d", what, reads, writes, wantReads, wantWrites)
				}
			}
			_, cached := in.CachedState(foreign, ownJob, "q")
			if exists, err := in.MayExist(foreign, ownJob); cached || exists || err != nil {
				t.Errorf("another workspace learns that the job exists: %t, %t, %v", cached, exists, err)
			}
			if state, err := in.State(workspace.Caller{Workspace: "one"}, ownJob, "q"); err != nil || state != workload.StateQueued {
				t.Errorf("its workspace gets %s, %v", state, err)
			}
		})
	}
}

// A job that was submitted while its queue was public has no workspace; one that has must
// stay in reach when the queue becomes public.
func TestJobsAreLostWhenQueueBecomesPublicOrPrivate(t *testing.T) {
	in, _ := startIntake(t, true)
	for name, tt := range map[string]struct {
		caller workspace.Caller
		id     fleet.JobID
	}{
		"queue became private": {workspace.Caller{Workspace: "two"}, publicJob},
		"queue became public":  {workspace.Caller{}, ownJob},
	} {
		if _, ok := in.CachedState(tt.caller, tt.id, "q"); !ok {
			t.Errorf("%s: no state", name)
		}
		if err := in.Submit(t.Context(), tt.caller, &workload.Job{ID: tt.id, Queue: "q"}); err != nil {
			t.Errorf("%s: submitted again: %v", name, err)
		}
	}
}

// A job of another workspace has the ID of a submission. "Never runs" might be false: the
// caller may have submitted that job before its key was given to another workspace.
func TestSubmissionWithForeignIDIsRefused(t *testing.T) {
	for name, mirrored := range map[string]bool{"in the host's copy": true, "not in the host's copy": false} {
		t.Run(name, func(t *testing.T) {
			in, s := startIntake(t, mirrored)
			for queue, caller := range map[string]workspace.Caller{"q": {Workspace: "two"}, "other": {Workspace: "two"}} {
				err := in.Submit(t.Context(), caller, &workload.Job{ID: ownJob, Queue: queue})
				var unknown *UnknownOutcomeError
				if !errors.As(err, &unknown) || !errors.Is(err, errIDInUse) {
					t.Errorf("queue %s: %v, want an unknown outcome", queue, err)
				}
			}
			if s.writes == 0 {
				t.Error("answered without the call that a new job takes")
			}
			e, err := s.Get(StatePrefix + string(ownJob))
			if err != nil {
				t.Fatal(err)
			}
			if r, err := DecodeRecord(e.Value); err != nil || r.Workspace != "one" || r.Queue != "q" {
				t.Errorf("record %+v, %v", r, err)
			}
		})
	}
}

// The host's copy of the store has a job that has been removed since, and whose ID may be in
// use again. A caller who cancels it must learn that there is none.
func TestCancellationOfRemovedJobIsRepeated(t *testing.T) {
	for name, id := range map[string]fleet.JobID{"removed": unknownJob, "removed, and of another workspace now": ownJob} {
		t.Run(name, func(t *testing.T) {
			in, s := startIntake(t, false)
			key := StatePrefix + string(id)
			stale := store.Entry{Key: key, Revision: 1 << 20, Value: Record{Queue: "q", State: workload.StateQueued, Workspace: "two"}.Encode()}
			in.shared.Preload(map[string]store.Entry{key: stale}, stale.Revision)
			err := in.Cancel(workspace.Caller{Workspace: "two"}, id, "q")
			var missing *JobNotFoundError
			if !errors.As(err, &missing) || s.writes != 1 {
				t.Errorf("%v after %d writes, want no such job after one", err, s.writes)
			}
			if e, err := s.Get(StatePrefix + string(ownJob)); err != nil {
				t.Error(err)
			} else if r, err := DecodeRecord(e.Value); err != nil || r.State != workload.StateQueued {
				t.Errorf("the other workspace's job: %+v, %v", r, err)
			}
		})
	}
}
