package dev

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	// inForceBound limits the time until an accepted change is in force on every
	// host.
	inForceBound  = 5 * time.Second
	checkInterval = 50 * time.Millisecond
)

// Settings counts changes of settings. Late ones were not in force on every
// host within 5 s of being accepted. Reverted counts the times that a host
// returned to an older revision.
type Settings struct {
	Changes  int `json:"changes"`
	Late     int `json:"late"`
	Reverted int `json:"reverted"`
}

// settingsMonitor polls the revisions in force on the hosts of a run. Safe for
// concurrent use.
type settingsMonitor struct {
	hosts *hostSet

	mu      sync.Mutex
	seen    map[*entryHost]store.Revision
	pending map[store.Revision]time.Time // accepted and not yet in force on every host
	result  Settings
}

func newSettingsMonitor(hosts *hostSet) *settingsMonitor {
	return &settingsMonitor{
		hosts:   hosts,
		seen:    make(map[*entryHost]store.Revision),
		pending: make(map[store.Revision]time.Time),
	}
}

// recordAccepted records that a change was acknowledged to an operator now.
func (m *settingsMonitor) recordAccepted(revision store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.Changes++
	m.pending[revision] = time.Now()
}

// run checks the hosts every checkInterval until ctx ends.
func (m *settingsMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.check(m.hosts.list(), time.Now())
		}
	}
}

func (m *settingsMonitor) check(hosts []*entryHost, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range hosts {
		revision := e.host.SettingsRevision()
		if revision < m.seen[e] {
			m.result.Reverted++
		}
		m.seen[e] = revision
	}
	for revision, since := range m.pending {
		if m.inForceEverywhere(hosts, revision) {
			delete(m.pending, revision)
			continue
		}
		if now.Sub(since) > inForceBound {
			m.result.Late++
			delete(m.pending, revision)
		}
	}
}

// inForceEverywhere reports whether every host applies a revision. A host that
// has not read any settings yet does not count, since it accepts no work.
func (m *settingsMonitor) inForceEverywhere(hosts []*entryHost, revision store.Revision) bool {
	for _, e := range hosts {
		if seen := m.seen[e]; seen != 0 && seen < revision {
			return false
		}
	}
	return true
}

// counts returns the counts so far.
func (m *settingsMonitor) counts() Settings {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.result
}
