package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
)

func TestTasksRunToTheirEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3, 10*time.Second)
		o := b.start("a")
		defer o.stop()
		b.queue.add(30, small)
		if !o.finish(2 * time.Minute) {
			t.Fatal("tasks are not done")
		}
		if got := b.queue.outcomes(delegation.EndFinished); got != 30 {
			t.Errorf("%d outcomes finished, want 30", got)
		}
		b.check()
	})
}
