package settings

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

type trackerStep struct {
	Op string
	N  int
}

// Under random changes, outages, delays, offers and restarts, the revision in
// force never decreases, and every change that was accepted before ConfirmedAt
// is in force.
func TestTrackerInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) trackerStep {
			ops := []string{"change", "change", "down", "slow", "heal", "offer", "sleep", "sleep", "restart"}
			return trackerStep{rapid.SampledFrom(ops).Draw(rt, "op"), rapid.IntRange(0, 2500).Draw(rt, "n")}
		}), 1, 30).Draw(rt, "steps")
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = runTracker(t, steps) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// acceptedRevision is a revision that the store accepted, with its time.
type acceptedRevision struct {
	revision store.Revision
	at       time.Time
	value    []byte
}

func runTracker(t *testing.T, steps []trackerStep) string {
	s := newSeededStore(t)
	tr := startTracker(t, s, TrackerOptions{})
	accepted := []acceptedRevision{{revision: 1, at: time.Now()}}
	var highest store.Revision
	for _, step := range steps {
		switch step.Op {
		case "change":
			if a, ok := writeTree(t, s, accepted[len(accepted)-1].revision, step.N); ok {
				accepted = append(accepted, a)
			}
		case "down":
			s.SetFaults(standin.StoreFaults{Down: true})
		case "slow":
			s.SetFaults(standin.StoreFaults{Delay: time.Duration(step.N) * time.Millisecond})
		case "heal":
			s.SetFaults(standin.StoreFaults{})
		case "offer":
			a := accepted[step.N%len(accepted)]
			if len(a.value) > 0 && tr.Offer(a.value, a.revision) != nil {
				return "the tracker rejected an offer"
			}
		case "restart":
			tr, highest = startTracker(t, s, TrackerOptions{}), 0
		}
		time.Sleep(time.Duration(step.N) * time.Millisecond / 2)
		confirmed := tr.ConfirmedAt()
		current := tr.Current().Revision()
		if current < highest {
			return fmt.Sprintf("revision in force decreased from %[2]d to %[1]d", current, highest)
		}
		highest = current
		for _, a := range accepted {
			if a.at.Before(confirmed) && a.revision > current {
				return fmt.Sprintf("revision %d, accepted at %s, is not in force but settings are confirmed at %s", a.revision, a.at, confirmed)
			}
		}
	}
	return ""
}

// writeTree writes a tree with a priority derived from n and reports whether
// the store accepted it, which it does unless it is down.
func writeTree(t *testing.T, s *standin.Store, expect store.Revision, n int) (acceptedRevision, bool) {
	priority := n % 101
	value, err := (&document{Tree: &Tree{Values: Values{Priority: &priority}}}).encode()
	if err != nil || !json.Valid(value) {
		t.Error(err)
	}
	revision, err := s.CompareAndSwap(t.Context(), TreeKey, expect, value, 0)
	return acceptedRevision{revision, time.Now(), value}, err == nil
}
