// Package mirror keeps a local copy of the keys under a prefix of the store. The
// copy follows the store's changes, and no key ever returns to an older revision.
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
	// pollTimeout is how long a poll waits for a change. A dead connection must
	// be detected, within pollTimeout and the client's margin, in less than the
	// 2 s within which a configuration must be in force.
	pollTimeout = 800 * time.Millisecond
	// fullBatch is the number of changes from which the next poll follows at
	// once, since more changes are probably waiting: half of a page of the
	// store.
	fullBatch = 200
	// minRetryDelay is the delay after a failed poll. It doubles with each
	// consecutive failure, since refused calls are billed too, up to
	// maxRetryDelay: a fifth of the 2 s within which a configuration must be in
	// force.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Mirror is a copy of the keys under a prefix. It is safe for concurrent use.
type Mirror struct {
	store      store.Transactional
	prefix     string
	batchDelay time.Duration
	apply      func(store.Event)
	log        func(name string, keyvals ...any)

	mu           sync.Mutex
	entries      map[string]store.Entry
	deleted      map[string]store.Revision // of recently deleted keys
	lastSync     time.Duration
	loaded       bool
	disconnected bool
	regainedAt   time.Duration
	preloaded    store.Revision // from which changes are followed; 0: the copy is loaded first
	keysOnly     bool
}

// New returns a mirror that calls apply with each change, in order of revision
// for each key, from the goroutine that runs Serve. After a poll with changes it
// waits for batchDelay so that the next poll returns several changes, since each
// poll is a billed call.
func New(s store.Transactional, prefix string, batchDelay time.Duration, apply func(store.Event), log func(string, ...any)) *Mirror {
	return &Mirror{store: s, prefix: prefix, batchDelay: batchDelay, apply: apply, log: log, entries: make(map[string]store.Entry), deleted: make(map[string]store.Revision)}
}

// KeepKeysOnly makes the copy hold the entries without their values, which only apply gets. It is
// called before the mirror is preloaded or served.
func (m *Mirror) KeepKeysOnly() { m.keysOnly = true }

// kept returns an entry as the copy holds it.
func (m *Mirror) kept(e store.Entry) store.Entry {
	if m.keysOnly {
		e.Value = nil
	}
	return e
}

// Preload fills the copy with entries that were read and applied before it is served. It
// then follows the changes after revision, that of the first page of these entries, and does
// not read them again.
func (m *Mirror) Preload(entries map[string]store.Entry, revision store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, e := range entries {
		m.entries[key] = m.kept(e)
	}
	m.preloaded = revision
}

// Get returns the entry of a key in the copy, and whether there is one.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	return e, ok
}

// Each calls f for each entry, in no order, with the mirror locked: f must be fast
// and must not call the mirror.
func (m *Mirror) Each(f func(store.Entry)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.entries {
		f(e)
	}
}

// LastSync returns the time, on the steady clock, at which the copy was last up to
// date, and whether the copy has been loaded.
func (m *Mirror) LastSync() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastSync, m.loaded
}

// RegainedAt returns the time, on the steady clock, at which a call to the store last
// succeeded after a failed one; 0 if there was none.
func (m *Mirror) RegainedAt() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.regainedAt
}

// Disconnected reports whether the last call to the store failed.
func (m *Mirror) Disconnected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disconnected
}

// Serve loads the copy and follows the store until ctx ends. It returns ctx's
// error.
func (m *Mirror) Serve(ctx context.Context) error {
	after := m.preloaded
	load := after == 0
	pause := minRetryDelay
	for ctx.Err() == nil {
		sent := steady.Now()
		var err error
		if load {
			after, err = m.load()
			load = err != nil
		} else {
			var events []store.Event
			var rev store.Revision
			events, rev, err = m.store.Changes(m.prefix, after, pollTimeout)
			if err == nil {
				m.applyNewer(events)
				after = max(after, rev)
				if len(events) > 0 && len(events) < fullBatch && wait.For(ctx, m.batchDelay) != nil {
					break
				}
			}
			var gone *store.CompactedError
			load = errors.As(err, &gone) // the store has dropped the history after this revision: reload
		}
		m.recordResult(sent, err)
		var gone *store.CompactedError
		if err == nil || errors.As(err, &gone) {
			pause = minRetryDelay
			continue
		}
		if wait.For(ctx, pause) != nil {
			break
		}
		pause = min(2*pause, maxRetryDelay)
	}
	return ctx.Err()
}

// recordResult records the result of a call sent at a steady time, and logs when
// the connection is lost or regained.
func (m *Mirror) recordResult(sent time.Duration, err error) {
	m.mu.Lock()
	changed := m.disconnected != (err != nil)
	m.disconnected = err != nil
	if err == nil {
		m.lastSync, m.loaded = sent, true
	}
	if err == nil && changed {
		m.regainedAt = steady.Now()
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

// load reads all pages and returns the revision of the first one, from which
// changes are followed, so that changes made between pages are not missed.
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
			m.applyNewer([]store.Event{{Entry: e}})
		}
	}
	m.mu.Lock()
	var gone []store.Event
	for key, e := range m.entries {
		if !seen[key] && e.Revision <= first {
			gone = append(gone, store.Event{Entry: store.Entry{Key: key, Revision: first}, Deleted: true})
		}
	}
	m.mu.Unlock()
	m.applyNewer(gone)
	return first, nil
}

// applyNewer applies the events that are newer than the copy.
func (m *Mirror) applyNewer(events []store.Event) {
	for _, e := range events {
		m.mu.Lock()
		newer := e.Revision > m.entries[e.Key].Revision && e.Revision > m.deleted[e.Key]
		if newer {
			if e.Deleted {
				delete(m.entries, e.Key)
				m.deleted[e.Key] = e.Revision
			} else {
				m.entries[e.Key] = m.kept(e.Entry)
				delete(m.deleted, e.Key)
			}
		}
		if len(m.deleted) > maxDeletedKeys {
			m.deleted = make(map[string]store.Revision)
		}
		m.mu.Unlock()
		if newer {
			m.apply(e)
		}
	}
}

// maxDeletedKeys bounds the number of remembered deleted keys. They are needed
// only to ignore a page that is older than a deletion.
const maxDeletedKeys = 10_000
