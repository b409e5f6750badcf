package settings

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// unwatchedStore is a store whose watches never report an event.
type unwatchedStore struct{ store.Store }

func (unwatchedStore) Watch(ctx context.Context, _ string, _ store.Revision) (<-chan store.Event, error) {
	events := make(chan store.Event)
	context.AfterFunc(ctx, func() { close(events) })
	return events, nil
}

// halfConfirmInterval is half the time between two confirming reads. A test
// that waits for it first never acts at the same moment as such a read.
const halfConfirmInterval = DefaultConfirmInterval / 2

// inBubble runs f with a running Tracker of the example tree in a synctest
// bubble, whose clock advances only while all goroutines are blocked.
func inBubble(t *testing.T, wrap func(store.Store) store.Store, f func(t *testing.T, s *standin.Store, tr *Tracker)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSeededStore(t)
		f(t, s, startTracker(t, wrap(s), TrackerOptions{}))
	})
}

func startTracker(t *testing.T, s store.Store, opts TrackerOptions) *Tracker {
	tr := NewTracker(s, opts)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- tr.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve returned %v", err)
		}
	})
	return tr
}

func unwrapped(s store.Store) store.Store    { return s }
func withoutWatch(s store.Store) store.Store { return unwatchedStore{s} }

var changeCount int

// changePriority sets the priority at the root and returns the new revision.
func changePriority(t testing.TB, s store.Store, priority int) store.Revision {
	t.Helper()
	changeCount++
	rec, err := newTestEditor(s).Apply(t.Context(), set(fmt.Sprint("change-", changeCount), "values.priority", fmt.Sprint(priority)))
	if err != nil {
		t.Fatal(err)
	}
	return rec.Revision
}

func priority(tr *Tracker) int { return tr.Current().JobClass("x", "x", "x").Priority }

func TestTrackerPicksUpChanges(t *testing.T) {
	tests := []struct {
		name   string
		wrap   func(store.Store) store.Store
		within time.Duration
	}{
		{"from the watch, at once", unwrapped, 0},
		{"from the confirming read while the watch reports nothing", withoutWatch, DefaultConfirmInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, tt.wrap, func(t *testing.T, s *standin.Store, tr *Tracker) {
				time.Sleep(halfConfirmInterval)
				changed := tr.Changed()
				revision := changePriority(t, s, 33)
				start := time.Now()
				<-changed
				if took := time.Since(start); took > tt.within {
					t.Errorf("change in force after %s, want at most %s", took, tt.within)
				}
				if tr.Current().Revision() != revision || priority(tr) != 33 {
					t.Errorf("revision %d, priority %d", tr.Current().Revision(), priority(tr))
				}
			})
		})
	}
}

func TestTrackerConfirmsAtTimeOfSending(t *testing.T) {
	inBubble(t, withoutWatch, func(t *testing.T, s *standin.Store, tr *Tracker) {
		synctest.Wait()
		if !tr.Ready() || !tr.ConfirmedAt().Equal(time.Now()) {
			t.Fatalf("confirmed at %s, want %s", tr.ConfirmedAt(), time.Now())
		}
		start := time.Now()
		s.SetFaults(standin.StoreFaults{Delay: 700 * time.Millisecond})
		time.Sleep(1600 * time.Millisecond)
		if got := tr.ConfirmedAt().Sub(start); got != 0 {
			t.Errorf("confirmation time advanced by %s before the response", got)
		}
		time.Sleep(200 * time.Millisecond)
		if got := tr.ConfirmedAt().Sub(start); got != time.Second {
			t.Errorf("confirmation time advanced by %s after the response, want 1s, when the read was sent", got)
		}
	})
}

func TestTrackerInOutage(t *testing.T) {
	inBubble(t, unwrapped, func(t *testing.T, s *standin.Store, tr *Tracker) {
		time.Sleep(halfConfirmInterval)
		revision := changePriority(t, s, 33)
		time.Sleep(time.Second)
		s.SetFaults(standin.StoreFaults{Down: true})
		lastConfirmed := tr.ConfirmedAt()
		time.Sleep(2 * time.Hour)
		if tr.Current().Revision() != revision || tr.ConfirmedAt().Sub(lastConfirmed) > time.Second {
			t.Errorf("revision %d confirmed at %s, want %d within 1 s of %s", tr.Current().Revision(), tr.ConfirmedAt(), revision, lastConfirmed)
		}
		s.SetFaults(standin.StoreFaults{})
		newer := changePriority(t, s, 34)
		time.Sleep(DefaultConfirmInterval)
		if tr.Current().Revision() != newer || time.Since(tr.ConfirmedAt()) > DefaultConfirmInterval {
			t.Errorf("revision %d confirmed at %s after the outage", tr.Current().Revision(), tr.ConfirmedAt())
		}
	})
}

func TestTrackerRevisionNeverDecreases(t *testing.T) {
	inBubble(t, withoutWatch, func(t *testing.T, s *standin.Store, tr *Tracker) {
		time.Sleep(halfConfirmInterval)
		old, oldRevision := tr.Stored()
		newer := changePriority(t, s, 33)
		time.Sleep(DefaultConfirmInterval)
		s.SetFaults(standin.StoreFaults{StaleReads: 3})
		before := tr.ConfirmedAt()
		time.Sleep(2 * DefaultConfirmInterval)
		if tr.Current().Revision() != newer {
			t.Errorf("a stale read put revision %d in force after %d", tr.Current().Revision(), newer)
		}
		if !tr.ConfirmedAt().Equal(before) {
			t.Error("a stale read confirmed the revision in force")
		}
		if err := tr.Offer(old, oldRevision); err != nil || tr.Current().Revision() != newer {
			t.Errorf("a late offer from a peer put revision %d in force after %d, %v", tr.Current().Revision(), newer, err)
		}
		time.Sleep(2 * DefaultConfirmInterval)
		if !tr.ConfirmedAt().After(before) {
			t.Error("not confirmed after the stale reads")
		}
	})
}

func TestTrackerAppliesOffers(t *testing.T) {
	inBubble(t, withoutWatch, func(t *testing.T, s *standin.Store, tr *Tracker) {
		synctest.Wait()
		confirmed := tr.ConfirmedAt()
		revision := changePriority(t, s, 33)
		entry, err := s.Get(t.Context(), TreeKey)
		if err != nil {
			t.Fatal(err)
		}
		s.SetFaults(standin.StoreFaults{Down: true})
		if err := tr.Offer(entry.Value, entry.Revision); err != nil {
			t.Fatal(err)
		}
		if tr.Current().Revision() != revision || !tr.ConfirmedAt().Equal(confirmed) {
			t.Errorf("revision %d confirmed at %s", tr.Current().Revision(), tr.ConfirmedAt())
		}
		value, stored := tr.Stored()
		if stored != revision || !bytes.Equal(value, entry.Value) {
			t.Errorf("stored %d: %s", stored, value)
		}
	})
}

func TestConcurrentOffers(t *testing.T) {
	tr := NewTracker(standin.NewStore(), TrackerOptions{})
	value, err := (&document{Tree: DefaultTree()}).encode()
	if err != nil {
		t.Fatal(err)
	}
	const newest = 400
	var group sync.WaitGroup
	for first := range 4 {
		group.Go(func() {
			for revision := newest - first; revision > 0; revision -= 4 {
				before := tr.Current().Revision()
				if err := tr.Offer(value, store.Revision(newest-revision)); err != nil {
					t.Error(err)
				}
				if after := tr.Current().Revision(); after < before {
					t.Errorf("revision decreased to %d from %d", after, before)
				}
			}
		})
	}
	group.Wait()
	// An offer that was being decoded while a newer revision came into force.
	tr.advance(NewSnapshot(DefaultTree(), 1), value)
	if got := tr.Current().Revision(); got != newest-1 {
		t.Errorf("revision %d at the end, want %d", got, newest-1)
	}
}

// After a restart the tracker must not become ready while the store is down,
// nor on the stale value that the store returns at first.
func TestTrackerAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSeededStore(t)
		newest := changePriority(t, s, 33)
		s.SetFaults(standin.StoreFaults{Down: true})
		tr := startTracker(t, withoutWatch(s), TrackerOptions{})
		time.Sleep(10*time.Second + halfConfirmInterval)
		if tr.Ready() || tr.Current().Revision() != 0 {
			t.Errorf("ready %t at revision %d while the store is down", tr.Ready(), tr.Current().Revision())
		}
		s.SetFaults(standin.StoreFaults{StaleReads: 3})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if tr.Ready() && tr.Current().Revision() != newest {
				t.Fatalf("ready at revision %d, the store is at %d", tr.Current().Revision(), newest)
			}
		}
		if !tr.Ready() {
			t.Error("not ready after the stale reads")
		}
	})
}

func TestTrackerOnEmptyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		tr := startTracker(t, s, TrackerOptions{})
		synctest.Wait()
		if !tr.Ready() || tr.Current().Revision() != 0 || priority(tr) != DefaultValues().Priority {
			t.Errorf("ready %t, revision %d, priority %d", tr.Ready(), tr.Current().Revision(), priority(tr))
		}
		revision := changePriority(t, s, 33)
		synctest.Wait()
		if tr.Current().Revision() != revision {
			t.Errorf("revision %d, want %d", tr.Current().Revision(), revision)
		}
	})
}

func TestTrackerKeepsLastGoodValue(t *testing.T) {
	for name, broken := range map[string]string{
		"invalid JSON":  "{",
		"no tree":       "{}",
		"invalid value": `{"tree": {"values": {"priority": 101}}}`,
		"unknown name":  `{"tree": {"later": {}}}`,
	} {
		t.Run(name+", from the watch", func(t *testing.T) { checkLastGoodValue(t, unwrapped, broken) })
		t.Run(name+", from the read", func(t *testing.T) { checkLastGoodValue(t, withoutWatch, broken) })
	}
}

func checkLastGoodValue(t *testing.T, wrap func(store.Store) store.Store, broken string) {
	synctest.Test(t, func(t *testing.T) {
		s := newSeededStore(t)
		var logs bytes.Buffer
		tr := startTracker(t, wrap(s), TrackerOptions{Logger: log.NewLogfmtLogger(log.NewSyncWriter(&logs))})
		time.Sleep(halfConfirmInterval)
		validRevision := changePriority(t, s, 33)
		time.Sleep(DefaultConfirmInterval)
		corruptRevision, err := s.CompareAndSwap(t.Context(), TreeKey, validRevision, []byte(broken), 0)
		if err != nil {
			t.Fatal(err)
		}
		corruptedAt := time.Now()
		time.Sleep(time.Minute)
		if tr.Current().Revision() != validRevision || priority(tr) != 33 {
			t.Errorf("revision %d in force, want the last good one, %d", tr.Current().Revision(), validRevision)
		}
		if tr.ConfirmedAt().After(corruptedAt) {
			t.Error("confirmed while the store held another value")
		}
		if c := tr.Corrupt(); c == nil || c.Revision != corruptRevision {
			t.Errorf("corrupt value %v, want one at revision %d", c, corruptRevision)
		}
		if got := tr.Vars().Get("corrupt_revision").String(); got != fmt.Sprint(corruptRevision) {
			t.Errorf("metric corrupt_revision is %s", got)
		}
		if n := strings.Count(logs.String(), "event=settings_corrupt"); n != 1 {
			t.Errorf("settings_corrupt logged %d times, want once", n)
		}
		restoreTree(t, s, corruptRevision)
		time.Sleep(DefaultConfirmInterval)
		if tr.Corrupt() != nil || priority(tr) != 10 || !tr.ConfirmedAt().After(corruptedAt) {
			t.Errorf("not recovered: %v, priority %d", tr.Corrupt(), priority(tr))
		}
	})
}

// TreeKey is never deleted. If a read finds it missing, a host that has seen a
// tree must neither put the default tree in force nor base a change on it.
func TestDeletedTreeKey(t *testing.T) {
	inBubble(t, unwrapped, func(t *testing.T, s *standin.Store, tr *Tracker) {
		time.Sleep(halfConfirmInterval)
		e := newTestEditor(s)
		if _, err := e.Apply(t.Context(), set("a", "values.priority", "33")); err != nil {
			t.Fatal(err)
		}
		if err := s.Delete(t.Context(), TreeKey, 2); err != nil {
			t.Fatal(err)
		}
		deletedAt := time.Now()
		time.Sleep(time.Minute)
		if tr.Current().Revision() != 2 || priority(tr) != 33 || tr.ConfirmedAt().After(deletedAt) {
			t.Errorf("revision %d, priority %d, confirmed %s", tr.Current().Revision(), priority(tr), tr.ConfirmedAt())
		}
		var down *UnavailableError
		if _, err := e.Apply(t.Context(), set("b", "values.priority", "34")); !errors.As(err, &down) {
			t.Errorf("change of a missing tree: got %v, want an UnavailableError", err)
		}
	})
}

func restoreTree(t *testing.T, s store.Store, revision store.Revision) {
	value, err := (&document{Tree: mustDecode(t, example)}).encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(t.Context(), TreeKey, revision, value, 0); err != nil {
		t.Fatal(err)
	}
}
