package settings

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// attempt is one call of Apply: the index of the editor and the change ID.
type attempt struct {
	editor int
	id     int
}

// Random changes by two editors under random store faults: every accepted
// change is in the history exactly once, no rejected change is, and the tree
// matches the history.
func TestEditorsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		results := rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "lost", "vanished", "refused", "raced"}), 0, 40).Draw(rt, "fates of the writes")
		attempts := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) attempt {
			return attempt{rapid.IntRange(0, 1).Draw(rt, "editor"), rapid.IntRange(0, 9).Draw(rt, "ID")}
		}), 1, 15).Draw(rt, "attempts")
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = runAttempts(t, results, attempts) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// storeWithFaults returns a store whose writes of the tree end in turn with the
// given results. All later writes succeed.
func storeWithFaults(t *testing.T, s *standin.Store, results []string) *hookedStore {
	racers := 0
	return &hookedStore{Store: s, write: func(n int, apply func() (store.Revision, error)) (store.Revision, error) {
		if n > len(results) {
			return apply()
		}
		switch results[n-1] {
		case "lost":
			if _, err := apply(); err != nil {
				return 0, err
			}
			return 0, lostReplyError()
		case "vanished":
			return 0, lostReplyError()
		case "refused":
			return 0, &store.UnavailableError{Op: "write", Cause: &standin.DownError{}}
		case "raced":
			racers++
			if _, err := newTestEditor(s).Apply(t.Context(), set(fmt.Sprintf("racer-%d", racers), "values.grace_ms", fmt.Sprint(racers))); err != nil {
				t.Error(err)
			}
		}
		return apply()
	}}
}

func runAttempts(t *testing.T, results []string, attempts []attempt) string {
	s := newSeededStore(t)
	hooked := storeWithFaults(t, s, results)
	hooked.accepted = make(map[store.Revision]string)
	editors := []*Editor{newTestEditor(hooked), newTestEditor(hooked)}
	for _, e := range editors {
		e.OnApplied(func(value []byte, revision store.Revision) {
			if hooked.accepted[revision] != string(value) {
				t.Errorf("editor reported %s at revision %d, the store holds %s", value, revision, hooked.accepted[revision])
			}
		})
	}
	accepted := make(map[string]Record)
	unknown := make(map[string]bool)
	for _, a := range attempts {
		id := fmt.Sprint(a.id)
		rec, err := editors[a.editor].Apply(t.Context(), set(id, "values.priority", id))
		var uncertain *UnknownOutcomeError
		switch {
		case err == nil:
			if first, ok := accepted[id]; ok && first.Revision != rec.Revision {
				return fmt.Sprintf("change %s accepted at revisions %d and %d", id, first.Revision, rec.Revision)
			}
			accepted[id] = rec
		case errors.As(err, &uncertain):
			unknown[id] = true
		}
	}
	return checkHistory(t, s, accepted, unknown)
}

func checkHistory(t *testing.T, s store.Store, accepted map[string]Record, unknown map[string]bool) string {
	records, err := newTestEditor(s).History(t.Context(), 0, 1000)
	if err != nil {
		return err.Error()
	}
	seen := make(map[string]bool)
	priority := "10" // the value in example
	for _, r := range records {
		if seen[r.ID] {
			return fmt.Sprintf("change %s is in the history twice", r.ID)
		}
		seen[r.ID] = true
		if r.Path != "values.priority" {
			continue
		}
		if priority == "10" {
			priority = string(r.New)
		}
		if _, ok := accepted[r.ID]; !ok && !unknown[r.ID] {
			return fmt.Sprintf("change %s was rejected but is in the history", r.ID)
		}
	}
	for id, rec := range accepted {
		if !seen[id] {
			return fmt.Sprintf("change %s was accepted at revision %d but is not in the history", id, rec.Revision)
		}
	}
	if got := valueAt(t, s, "values.priority"); got != priority {
		return fmt.Sprintf("priority is %s, want %s according to the history", got, priority)
	}
	return ""
}
