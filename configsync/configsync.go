// Package configsync keeps a host's configuration up to date while the store turns the
// host away: it asks other hosts, which may still follow the store.
package configsync

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// maxSilence is the age of the last contact from which a host is behind: two polls of
	// the store without a change take 2 s. A poll that fails shows it earlier.
	maxSilence = 2 * time.Second
	// checkInterval is the interval of questions while a host is behind. A poll that hangs
	// takes 1.5 s of the 3 s within which a configuration must be in force.
	checkInterval = 250 * time.Millisecond
	// callTimeout bounds a question. Four hosts that don't answer are left within half of
	// the rest.
	callTimeout = 300 * time.Millisecond

	methodNewer = "config.newer"
)

// Snapshot is the configuration in force on a host.
type Snapshot struct {
	Config   *workload.Config
	Revision store.Revision
	SyncedAt time.Duration // on the steady clock; the configuration was the newest then
}

// Holder holds the configuration of a host. It is safe for concurrent use.
type Holder interface {
	Snapshot() (Snapshot, bool) // false: none yet
	// Install brings a configuration into force if it is newer.
	Install(cfg *workload.Config, revision store.Revision)
	// Disconnected reports whether the last poll of the store failed.
	Disconnected() bool
}

type question struct {
	Revision store.Revision `json:"revision"` // of the caller's configuration
}

type answer struct {
	AgeMS    int64            `json:"age_ms"`           // since the configuration was known to be the newest
	Config   *workload.Config `json:"config,omitempty"` // nil: not newer
	Revision store.Revision   `json:"revision,omitempty"`
}

// Register registers the handler that answers other hosts.
func Register(r peer.Registry, h Holder) {
	peer.Register(r, methodNewer, func(_ context.Context, _ fleet.HostID, q question) (answer, error) {
		s, ok := h.Snapshot()
		if !ok {
			return answer{}, &peer.RemoteError{Kind: peer.KindUnavailable, Message: "no configuration yet"}
		}
		a := answer{AgeMS: (steady.Now() - s.SyncedAt).Milliseconds()}
		if s.Revision > q.Revision {
			a.Config, a.Revision = s.Config, s.Revision
		}
		return a, nil
	})
}

// Follower asks other hosts for the configuration while its own host is behind.
type Follower struct {
	peers  peer.Caller
	hosts  func() []fleet.HostID // that may know, the likeliest first
	holder Holder
	log    func(name string, keyvals ...any)

	enabled   chan struct{} // closed once the deployment has workspaces
	enable    sync.Once
	wake      chan struct{}
	contact   atomic.Int64 // time.Duration on the steady clock
	preferred fleet.HostID // that answered last; used by Serve only
	lost      bool         // the last round had no answer; used by Serve only
}

// New returns a follower. It asks only while Serve runs.
func New(peers peer.Caller, hosts func() []fleet.HostID, holder Holder, log func(string, ...any)) *Follower {
	return &Follower{peers: peers, hosts: hosts, holder: holder, log: log, enabled: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// LastContact returns the time, on the steady clock, at which the configuration in force
// was known to be the newest, by another host's word; 0 if none has been asked.
func (f *Follower) LastContact() time.Duration { return time.Duration(f.contact.Load()) }

// Enable makes the follower watch its host: its deployment has workspaces.
func (f *Follower) Enable() { f.enable.Do(func() { close(f.enabled) }) }

// Wake makes the follower ask at once: another host is known to have a later version.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Serve asks other hosts while this one is behind, until ctx ends. It returns ctx's error.
func (f *Follower) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.enabled:
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		woken := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-f.wake:
			woken = true
		}
		s, ok := f.holder.Snapshot()
		if !ok {
			continue
		}
		// Another host's answer does not end the questions: only the store does.
		if woken || f.holder.Disconnected() || isBehind(steady.Now(), s.SyncedAt) {
			f.ask(ctx, s.Revision)
		}
	}
}

// isBehind reports whether a configuration that was the newest at a time may be outdated.
func isBehind(now, syncedAt time.Duration) bool { return now-syncedAt > maxSilence }

// IsOutdated reports whether a configuration that was the newest at a time is out of
// bounds, so that a deployment that fails closed serves nobody by it.
func IsOutdated(now, syncedAt, bound time.Duration) bool {
	return now-syncedAt > max(bound, maxSilence+checkInterval)
}

// ask asks hosts until one of them has been in contact with the store lately.
func (f *Follower) ask(ctx context.Context, revision store.Revision) {
	for _, host := range askingOrder(f.hosts(), f.preferred) {
		sent := steady.Now()
		a, err := f.call(ctx, host, revision)
		if err != nil {
			continue
		}
		if a.Config != nil && a.Revision > revision {
			f.log("config_from_host", "from", host, "version", a.Config.Version, "revision", a.Revision)
			f.holder.Install(a.Config, a.Revision)
			revision = a.Revision
		}
		age := time.Duration(a.AgeMS) * time.Millisecond
		if age > maxSilence {
			continue // it is cut off itself
		}
		f.contact.Store(max(f.contact.Load(), int64(sent-age)))
		f.preferred = host
		f.noteResult(false)
		return
	}
	f.noteResult(true)
}

// noteResult logs when no host answers any more, and when one does again.
func (f *Follower) noteResult(lost bool) {
	if lost != f.lost {
		f.log("config_contact", "lost", lost, "from", f.preferred)
	}
	f.lost = lost
}

func (f *Follower) call(ctx context.Context, host fleet.HostID, revision store.Revision) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var a answer
	err := f.peers.Call(ctx, host, methodNewer, question{Revision: revision}, &a)
	if err == nil && a.AgeMS < 0 {
		err = errors.New("configsync: negative age")
	}
	return a, err
}

// askingOrder returns hosts with the preferred one first, each once.
func askingOrder(hosts []fleet.HostID, preferred fleet.HostID) []fleet.HostID {
	var order []fleet.HostID
	if preferred != "" {
		order = append(order, preferred)
	}
	for _, h := range hosts {
		if h != "" && !slices.Contains(order, h) {
			order = append(order, h)
		}
	}
	return order
}
