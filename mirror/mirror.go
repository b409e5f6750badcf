// Package mirror keeps a copy of the keys under a prefix of the store, which
// follows the store's changes and never goes back a revision.
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// pollWait is how long a poll waits for a change. Source: a silent
	// connection must be found out, by pollWait and the client's margin,
	// within the 2 s in which a configuration comes in force.
	pollWait = 800 * time.Millisecond
	// manyEvents is how many changes make the next poll follow at once: more
	// are waiting. Source: half of what a page of the store holds.
	manyEvents = 200
	// retryPause follows a poll that failed, doubled with each further one:
	// refused calls are priced too. Source: retryMost is a fifth of the 2 s in
	// which a configuration comes in force.
	retryPause = 60 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Mirror is a copy of a prefix. It is safe for concurrent use.
type Mirror struct {
	store  store.Transactional
	prefix string
	gather time.Duration
	apply  func(store.Event)
	log    func(name string, keyvals ...any)

	mu      sync.Mutex
	entries map[string]store.Entry
	deleted map[string]store.Revision // of keys that were deleted lately
	fresh   time.Duration
	loaded  bool
	lost    bool
}

// New returns a mirror that tells apply of each change, in order of revision
// for each key, from one goroutine. After a poll with changes it waits for
// gather, so that the next brings several: each poll is a priced call.
func New(s store.Transactional, prefix string, gather time.Duration, apply func(store.Event), log func(string, ...any)) *Mirror {
	return &Mirror{store: s, prefix: prefix, gather: gather, apply: apply, log: log, entries: make(map[string]store.Entry), deleted: make(map[string]store.Revision)}
}

// Get returns the copy of a key.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	return e, ok
}

// Each calls f for each entry, which must be quick.
func (m *Mirror) Each(f func(store.Entry)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.entries {
		f(e)
	}
}

// LastSync returns a steady time at which the copy was true, and whether it has
// been loaded.
func (m *Mirror) LastSync() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fresh, m.loaded
}

// Disconnected reports whether the last call of the store failed.
func (m *Mirror) Disconnected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// Serve follows the store until ctx ends.
func (m *Mirror) Serve(ctx context.Context) error {
	var after store.Revision
	load := true
	pause := retryPause
	for ctx.Err() == nil {
		sent := steady.Now()
		var err error
		if load {
			after, err = m.load()
			load = err != nil
		} else {
			var events []store.Event
			var rev store.Revision
			events, rev, err = m.store.Changes(m.prefix, after, pollWait)
			if err == nil {
				m.take(events)
				after = max(after, rev)
				if len(events) > 0 && len(events) < manyEvents && wait.For(ctx, m.gather) != nil {
					break
				}
			}
			var gone *store.CompactedError
			load = errors.As(err, &gone) // the history from here on is not kept
		}
		m.note(sent, err)
		var gone *store.CompactedError
		if err == nil || errors.As(err, &gone) {
			pause = retryPause
			continue
		}
		if wait.For(ctx, pause) != nil {
			break
		}
		pause = min(2*pause, retryMost)
	}
	return ctx.Err()
}

// note records contact with the store, or its loss.
func (m *Mirror) note(sent time.Duration, err error) {
	m.mu.Lock()
	changed := m.lost != (err != nil)
	m.lost = err != nil
	if err == nil {
		m.fresh, m.loaded = sent, true
	}
	m.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		m.log("store_lost", "prefix", m.prefix, "err", err)
	} else {
		m.log("store_regained", "prefix", m.prefix)
	}
}

// load reads all pages. Changes that come between pages are read again from
// the first page's revision on.
func (m *Mirror) load() (store.Revision, error) {
	var first store.Revision
	seen := make(map[string]bool)
	after, more := "", true
	for more {
		var entries []store.Entry
		var rev store.Revision
		var err error
		entries, more, rev, err = m.store.Page(m.prefix, after)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = rev
		}
		for _, e := range entries {
			seen[e.Key] = true
			after = e.Key
			m.take([]store.Event{{Entry: e}})
		}
		more = more && len(entries) > 0
	}
	m.mu.Lock()
	var gone []store.Event
	for key, e := range m.entries {
		if !seen[key] && e.Revision <= first {
			gone = append(gone, store.Event{Entry: store.Entry{Key: key, Revision: first}, Deleted: true})
		}
	}
	m.mu.Unlock()
	m.take(gone)
	return first, nil
}

// take applies events that are newer than the copy.
func (m *Mirror) take(events []store.Event) {
	for _, e := range events {
		m.mu.Lock()
		newer := e.Revision > m.entries[e.Key].Revision && e.Revision > m.deleted[e.Key]
		if newer {
			if e.Deleted {
				delete(m.entries, e.Key)
				m.deleted[e.Key] = e.Revision
			} else {
				m.entries[e.Key] = e.Entry
				delete(m.deleted, e.Key)
			}
		}
		if len(m.deleted) > maxDeleted {
			m.deleted = make(map[string]store.Revision)
		}
		m.mu.Unlock()
		if newer {
			m.apply(e)
		}
	}
}

// maxDeleted bounds the memory of deleted keys, which only guards against a
// page that is older than a change.
const maxDeleted = 10_000
