package intake

import (
	"errors"
	"fmt"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
	"github.com/fuchsiahill/fuchsiahill/workspace"
)

// Requests for jobs that nobody submitted were read from the store each, which all hosts and the
// owner share.
func TestUnknownJobsTakeAllCallsOfTheStore(t *testing.T) {
	in, s := startIntake(t, false)
	const requests = 3 * lookupBurst
	limited, missing := 0, 0
	for i := range requests {
		id := fleet.JobID(fmt.Sprintf("%016x", i+1000))
		_, stateErr := in.State(workspace.Caller{}, id, "q")
		for _, err := range []error{stateErr, in.Cancel(workspace.Caller{}, id, "q")} {
			var refused *RefusedError
			var none *JobNotFoundError
			switch {
			case errors.As(err, &refused) && refused.RetryAfter > 0 && !refused.StoreUnavailable:
				limited++
			case errors.As(err, &none):
				missing++
			default:
				t.Fatalf("%v, want no such job or a refusal", err)
			}
		}
	}
	if s.reads > 2*lookupBurst || missing > s.reads || limited == 0 {
		t.Errorf("%d reads for %d requests, %d jobs are missing and %d requests were refused", s.reads, 2*requests, missing, limited)
	}
}

// Whether a job for which there is no room was accepted before is not known once the lookups are
// used up: a refusal would say that it never runs.
func TestRefusalOfUncheckedJobSaysItNeverRuns(t *testing.T) {
	in, _ := startIntake(t, false)
	in.ledger.limit = 1
	var refused *RefusedError
	if err := in.Submit(t.Context(), workspace.Caller{}, &workload.Job{ID: unknownJob, Queue: "q"}); !errors.As(err, &refused) || !refused.OutOfMemory {
		t.Errorf("a new job: %v, want a refusal", err)
	}
	if err := in.Submit(t.Context(), workspace.Caller{}, &workload.Job{ID: publicJob, Queue: "q"}); err != nil {
		t.Errorf("a job that was accepted before: %v", err)
	}
	for in.lookups.Allow() {
	}
	var limited *LookupLimitError
	if err := in.Submit(t.Context(), workspace.Caller{}, &workload.Job{ID: unknownJob, Queue: "q"}); !errors.As(err, &limited) {
		t.Errorf("a job that was not looked for: %v, want that it is not known", err)
	}
}
