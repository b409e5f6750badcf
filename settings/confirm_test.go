package settings_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// TestTrackerConfirmsTreeLearnedElsewhere starts a tracker that has learned
// the tree from a peer before its first read, so that the store answers "not
// newer" without an entry.
func TestTrackerConfirmsTreeLearnedElsewhere(t *testing.T) {
	backing := standin.NewStore()
	server := httptest.NewServer(standin.NewStoreServer(backing))
	defer server.CloseClientConnections()
	client := store.NewHTTP(server.URL, 0)
	editor := settings.NewEditor(backing, time.Now)
	change := settings.Change{ID: "first", Actor: "test", Path: "values.objective_ms", Value: []byte("100")}
	if _, err := editor.Apply(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	entry, err := client.Get(t.Context(), settings.TreeKey)
	if err != nil {
		t.Fatal(err)
	}
	tracker := settings.NewTracker(client, settings.TrackerOptions{})
	if err := tracker.Offer(entry.Value, entry.Revision); err != nil {
		t.Fatal(err)
	}
	go func() { _ = tracker.Serve(t.Context()) }() // ends with the test
	for deadline := time.Now().Add(5 * time.Second); !tracker.Ready(); {
		if time.Now().After(deadline) {
			t.Fatal("never confirmed")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
