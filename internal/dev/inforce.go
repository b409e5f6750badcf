package dev

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// inForceBound is how long an accepted change may take to be in force on
	// every host.
	inForceBound = 5 * time.Second
	watchEvery   = 50 * time.Millisecond
)

// Settings counts changes of settings. Late ones were not in force on every
// host within 5 s of being accepted. Reverted counts the times that a host
// went back to an older revision.
type Settings struct {
	Changes  int `json:"changes"`
	Late     int `json:"late"`
	Reverted int `json:"reverted"`
}

// inForce watches the revisions in force on the hosts of a run. Safe for
// concurrent use.
type inForce struct {
	hosts *entries

	mu      sync.Mutex
	seen    map[*entry]store.Revision
	pending map[store.Revision]time.Time // accepted and not yet in force everywhere
	result  Settings
}

func newInForce(hosts *entries) *inForce {
	return &inForce{
		hosts:   hosts,
		seen:    make(map[*entry]store.Revision),
		pending: make(map[store.Revision]time.Time),
	}
}

// accepted notes that a change was acknowledged to an operator now.
func (w *inForce) accepted(revision store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.result.Changes++
	w.pending[revision] = time.Now()
}

// run looks at the hosts until ctx ends.
func (w *inForce) run(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.look(w.hosts.list(), time.Now())
		}
	}
}

func (w *inForce) look(up []*entry, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range up {
		revision := e.host.SettingsRevision()
		if revision < w.seen[e] {
			w.result.Reverted++
		}
		w.seen[e] = revision
	}
	for revision, since := range w.pending {
		if w.everywhere(up, revision) {
			delete(w.pending, revision)
			continue
		}
		if now.Sub(since) > inForceBound {
			w.result.Late++
			delete(w.pending, revision)
		}
	}
}

// everywhere reports whether every host applies a revision. A host that has
// not read any settings yet takes no work.
func (w *inForce) everywhere(up []*entry, revision store.Revision) bool {
	for _, e := range up {
		if seen := w.seen[e]; seen != 0 && seen < revision {
			return false
		}
	}
	return true
}

// settings returns the counts so far.
func (w *inForce) settings() Settings {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.result
}
