package queue

import (
	"testing"
	"testing/synctest"
)

func TestJobRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.start()
		defer func() { r.stop() }()
		if _, err := r.submit("j1", 5); err != nil {
			t.Fatal(err)
		}
		status := r.mustEnd("j1")
		if status.Finished != 5 || status.State != "finished" {
			t.Fatalf("status %+v", status)
		}
		r.cells.check(t)
		if n := len(r.cells.runs()); n != 5 {
			t.Fatalf("%d tasks ran, want 5", n)
		}
	})
}
