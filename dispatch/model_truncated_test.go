package dispatch

import (
	"testing"

	"pgregory.net/rapid"
)

// modelMaxEnds is how many ends a report lists in the model with truncated reports: fewer
// than end on a worker while the store is down.
const modelMaxEnds = 2

// TestTaskRunsTwiceAfterTruncatedReport checks the Machine against the rules with workers
// that list only some of their ends.
func TestTaskRunsTwiceAfterTruncatedReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.maxEnds = modelMaxEnds
		actions := w.actions(t)
		actions["store down"] = func(*rapid.T) {
			for range 3 {
				w.submitJob()
			}
			for range rapid.IntRange(2, 8).Draw(t, "steps") {
				w.advance()
			}
		}
		t.Repeat(actions)
	})
}
