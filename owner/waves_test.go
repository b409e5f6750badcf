package owner

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// The record of a wave is written again after a write without an answer, and that one is
// executed late. The wave must not be shown as open again, which its owner would not
// notice.
func TestLateWriteReopensWave(t *testing.T) {
	d, s := testDispatcher(t)
	d.machine.SetWave(workload.Wave{Number: 1, Machines: []string{"m1"}, MaxDown: 1}, dispatch.WaveRecord{})
	late := &withholdingStore{Transactional: s}
	d.replaceStore(late)
	d.commitWaves()
	if late.txn == nil {
		t.Fatal("no record of the wave was written")
	}
	d.replaceStore(s)
	d.machine.SetMachines(nil) // m1 has been removed, which completes the wave
	d.machine.Plan(steady.Now()+farFuture, 0)
	d.commitWaves()
	key, completed := platform.WaveStatusEntry(1, true)
	if _, err := s.Commit(*late.txn); err == nil {
		t.Error("the late write was executed")
	}
	if e, err := s.Get(key); err != nil || string(e.Value) != string(completed) {
		t.Errorf("status %s, %v, want %s", e.Value, err, completed)
	}
}

// withholdingStore keeps a commit, whose outcome is unknown.
type withholdingStore struct {
	store.Transactional
	txn *store.Txn
}

func (w *withholdingStore) Commit(txn store.Txn) (store.Revision, error) {
	w.txn = &txn
	return 0, &store.UnknownOutcomeError{Op: "commit", Cause: storetest.ErrInjected}
}
