package intake

import (
	"errors"
	"fmt"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// The store refuses one submission of a batch for its content, also after another one was
// found to be accepted already. Only that one is refused.
func TestRefusedSubmissionFailsItsBatch(t *testing.T) {
	s := storetest.NewMemory()
	known := Record{Queue: "q", State: workload.StateQueued}
	if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: StatePrefix + "known", Value: known.Encode()}}}); err != nil {
		t.Fatal(err)
	}
	for name, first := range map[string]fleet.JobID{"at once": "new", "after a conflict": "known"} {
		t.Run(name, func(t *testing.T) {
			in := New(&conflictFirst{storetest.Refusing{Transactional: s, Part: SubmissionPrefix + "bad"}}, nil, 0)
			batch := []*submission{newSubmission(first), newSubmission("bad")}
			for i := range 8 {
				batch = append(batch, newSubmission(fleet.JobID(fmt.Sprintf("%s-%d", first, i))))
			}
			in.commitBatch(batch)
			for _, b := range batch {
				err := <-b.done
				var refused *RefusedError
				if b.job.ID == "bad" != errors.As(err, &refused) || b.job.ID != "bad" && err != nil {
					t.Errorf("job %s: %v", b.job.ID, err)
				}
			}
		})
	}
}

func newSubmission(id fleet.JobID) *submission {
	return &submission{job: &workload.Job{ID: id, Queue: "q"}, body: []byte("{}"), done: make(chan error, 1)}
}

// conflictFirst checks the conditions of a transaction before its content.
type conflictFirst struct{ storetest.Refusing }

func (c *conflictFirst) Commit(txn store.Txn) (store.Revision, error) {
	var conflict *store.TxnConflictError
	if _, err := c.Transactional.Commit(store.Txn{Checks: txn.Checks}); errors.As(err, &conflict) {
		return 0, err
	}
	return c.Refusing.Commit(txn)
}
