package settings_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// A tracker that received the tree from a peer before its first read gets the
// response "not newer" without an entry, and must still confirm the tree.
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
	go func() { _ = tracker.Serve(t.Context()) }() // stops at the end of the test
	for deadline := time.Now().Add(5 * time.Second); !tracker.Ready(); {
		if time.Now().After(deadline) {
			t.Fatal("tree not confirmed within 5 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
