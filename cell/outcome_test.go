package cell

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// TestLatestCheckpointIsReturned checks which checkpoint the next attempt gets if
// the worker did not report the end of this one.
func TestLatestCheckpointIsReturned(t *testing.T) {
	tests := map[string]struct {
		resumed, reported string
		want              string
	}{
		"none":                          {},
		"only the one resumed from":     {resumed: "cp-1", want: "cp-1"},
		"the first one, from a report":  {reported: "cp-2", want: "cp-2"},
		"a later one, from a report":    {resumed: "cp-1", reported: "cp-2", want: "cp-2"},
		"the same, from a report again": {resumed: "cp-1", reported: "cp-1", want: "cp-1"},
	}
	ends := map[string]func(*attempt, *run, string) delegation.Outcome{"lost": lostOutcome, "not run": notRunOutcome}
	for name, tt := range tests {
		for end, newOutcome := range ends {
			t.Run(name+"/"+end, func(t *testing.T) {
				a := &attempt{Task: delegation.Task{Checkpoint: tt.resumed}}
				r := &run{status: inventory.TaskStatus{Checkpoint: tt.reported}}
				if got := newOutcome(a, r, reasonLapsed).Checkpoint; got != tt.want {
					t.Errorf("checkpoint %q, want %q", got, tt.want)
				}
			})
		}
	}
}
