package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/uuid"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

func TestRepeatedIDIsAppliedOnce(t *testing.T) {
	s := newSeededStore(t)
	id := uuid.Must(uuid.NewV7()).String()
	first, err := newTestEditor(s).Apply(t.Context(), set(id, "values.objective_ms", "70"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 * maxRecords {
		if _, err := newTestEditor(s).Apply(t.Context(), set(fmt.Sprint(i), "values.priority", fmt.Sprint(i%100))); err != nil {
			t.Fatal(err)
		}
		if i != 0 && i != maxRecords && i != 2*maxRecords-1 {
			continue
		}
		again, err := newTestEditor(s).Apply(t.Context(), set(id, "values.objective_ms", " 70 "))
		if err != nil || again.Revision != first.Revision || !again.Time.Equal(first.Time) {
			t.Fatalf("after %d changes: got %+v, %v; want the first record %+v", i+1, again, err, first)
		}
		_, err = newTestEditor(s).Apply(t.Context(), set(id, "values.objective_ms", "71"))
		var reused *ReusedIDError
		if !errors.As(err, &reused) || reused.First.Revision != first.Revision {
			t.Fatalf("after %d changes: got %v, want a ReusedIDError", i+1, err)
		}
	}
	if n := countRecords(t, s, id); n != 1 {
		t.Errorf("change applied %d times, want once", n)
	}
}

func TestHistoryIsComplete(t *testing.T) {
	s := newSeededStore(t)
	for i := range 200 {
		_, err := newTestEditor(s).Apply(t.Context(), set(fmt.Sprint(i), "values.priority", fmt.Sprint(i%100)))
		if err != nil {
			t.Fatal(err)
		}
		if i%50 == 0 {
			// A change that is rejected after the oldest records were archived.
			hooked := &hookedStore{Store: s, write: func(int, func() (store.Revision, error)) (store.Revision, error) {
				return 0, &store.UnavailableError{Op: "write", Cause: &standin.DownError{}}
			}}
			if _, err := newTestEditor(hooked).Apply(t.Context(), set("refused", "values.priority", "1")); err == nil {
				t.Fatal("a change was accepted without a store")
			}
		}
	}
	records, err := newTestEditor(s).History(t.Context(), 0, 1000)
	if err != nil || len(records) != 200 {
		t.Fatalf("got %d records, %v; want 200", len(records), err)
	}
	for i, r := range records {
		if want := fmt.Sprint(199 - i); r.ID != want || r.Revision == 0 {
			t.Fatalf("record %d is %+v, want ID %s", i, r, want)
		}
		if i > 0 && records[i-1].Predecessor != r.Revision {
			t.Fatalf("predecessor of record %+v is not %+v", records[i-1], r)
		}
	}
	page, err := newTestEditor(s).History(t.Context(), records[149].Revision, 5)
	if err != nil || len(page) != 5 || page[0].ID != records[150].ID {
		t.Errorf("got page %+v, %v", page, err)
	}
	entry, err := s.Get(t.Context(), TreeKey)
	if err != nil || len(entry.Value) > 64<<10 {
		t.Errorf("document has %d bytes, %v", len(entry.Value), err)
	}
}

// A change must fail rather than lose records when the audit key to which the
// oldest ones should be moved already holds something else.
func TestAuditKeyIsWrittenOnce(t *testing.T) {
	s := newSeededStore(t)
	key := chunkKey(Record{ID: "0", Predecessor: 1})
	if _, err := s.CompareAndSwap(t.Context(), key, 0, []byte("{}"), 0); err != nil {
		t.Fatal(err)
	}
	for i := range maxRecords {
		if _, err := newTestEditor(s).Apply(t.Context(), set(fmt.Sprint(i), "values.priority", "1")); err != nil {
			t.Fatal(err)
		}
	}
	_, err := newTestEditor(s).Apply(t.Context(), set("last", "values.priority", "2"))
	var conflict *WriteOnceConflictError
	if !errors.As(err, &conflict) || conflict.Key != key || valueAt(t, s, "values.priority") != "1" {
		t.Errorf("got %v, want a WriteOnceConflictError of %s", err, key)
	}
}

func TestLargeRecordsAreArchivedEarly(t *testing.T) {
	s := newSeededStore(t)
	classes := make(map[string]any)
	for i := range 150 {
		classes[fmt.Sprintf("class-%056d", i)] = map[string]int{"priority": 1}
	}
	value, err := json.Marshal(classes)
	if err != nil || len(value) > MaxChangeBytes {
		t.Fatalf("value has %d bytes, %v", len(value), err)
	}
	const path = "organisations.balkantrans.data_centres.sofia-1.job_classes"
	const changes = 38
	for i := range changes {
		if _, err := newTestEditor(s).Apply(t.Context(), set(fmt.Sprint(i), path, string(value))); err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
	}
	records, err := newTestEditor(s).History(t.Context(), 0, 1000)
	if err != nil || len(records) != changes {
		t.Errorf("%d records, %v", len(records), err)
	}
}
