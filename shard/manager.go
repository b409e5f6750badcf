package shard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/semaphore"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Deps are what a Manager needs. Optional ones may be nil.
type Deps struct {
	Self    member.Host // its region and data centre bound what this host owns
	Store   store.Store
	Members member.Directory
	// StoreSteadySince returns since when the store has answered steadily,
	// and false if it does not answer.
	StoreSteadySince func() (time.Time, bool)
	// Shards returns the shards of the region. An empty answer means that
	// they are not known yet.
	Shards func() []ID
	// Runners run the shards of each kind. Kinds without one are not claimed.
	Runners map[Kind]Runner
	// Platform is optional: without it no host is known to be gone or
	// leaving before its lease ends.
	Platform inventory.View
	// Draining is optional and reports whether this host should own nothing.
	Draining func() bool
	// MaxRequestDuration is optional and returns the longest time that a request
	// to a backend server may take, 0 while it is not known;
	// DefaultMaxRequestDuration without it.
	MaxRequestDuration func() time.Duration
	Timing             Timing
	Logger             log.Logger
}

// Manager claims the shards that this host should own, runs them, and hands
// over those that it should not. It is a Directory and SendRights, and safe for
// concurrent use.
type Manager struct {
	deps   Deps
	timing Timing
	logger log.Logger
	rights *rights
	wake   chan struct{} // holds one token if there is something to decide
	calls  *semaphore.Weighted

	mu      sync.Mutex
	claims  map[ID]record
	tenures map[ID]*tenure
	busy    map[ID]bool // an operation on the shard is in progress
	plan    plan
	bounds  bounds
	longest longest
	// listed is when the claims were first listed; zero before.
	listed  time.Time
	renewed time.Time // when the last acknowledged renewal was sent
	ops     sync.WaitGroup
}

var (
	_ Directory  = (*Manager)(nil)
	_ SendRights = (*Manager)(nil)
)

// NewManager returns a manager that owns nothing yet.
func NewManager(deps Deps) *Manager {
	m := &Manager{
		deps:    deps,
		timing:  deps.Timing.withDefaults(),
		logger:  log.With(deps.Logger, "component", "shard"),
		wake:    make(chan struct{}, 1),
		calls:   semaphore.NewWeighted(concurrentCalls),
		claims:  make(map[ID]record),
		tenures: make(map[ID]*tenure),
		busy:    make(map[ID]bool),
		plan:    newPlan(),
		bounds:  make(bounds),
	}
	m.rights = newRights(time.Now(), m.timing.PauseThreshold, m.signal)
	return m
}

// Owner implements Directory.
func (m *Manager) Owner(id ID) (Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec, ok := m.claims[id]
	if !ok || rec.Released {
		return Owner{}, false
	}
	return rec.Owner, true
}

// MaySend implements SendRights.
func (m *Manager) MaySend(front ID) bool { return m.rights.maySend(front) }

// PreviousOwner returns the owner right before this process, which runs the shard
// for the first time under its claim; false if there was none, or it is not
// known, or this process does not run the shard or runs it again.
func (m *Manager) PreviousOwner(id ID) (Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.tenures[id]
	if !ok || t.former.Host == "" {
		return Owner{}, false
	}
	return t.former, true
}

// List returns what this host knows of each shard, ordered by ID.
func (m *Manager) List() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[ID]Status)
	for id, host := range m.plan.wanted {
		known[id] = Status{ID: id, DesiredOwner: host}
	}
	for id, rec := range m.claims {
		st := known[id]
		st.ID = id
		st.Owner = rec.Owner
		st.Owned = !rec.Released
		known[id] = st
	}
	list := make([]Status, 0, len(known))
	for id, st := range known {
		if t, ok := m.tenures[id]; ok {
			t.describe(&st)
		}
		st.MaySend = m.rights.maySend(id)
		list = append(list, st)
	}
	sortStatus(list)
	return list
}

// Serve owns shards until ctx ends; then it stops their runners and releases
// them.
func (m *Manager) Serve(ctx context.Context) error {
	defer m.shutdown()
	var background sync.WaitGroup
	defer background.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background.Go(func() { m.rights.beat(ctx) })
	background.Go(func() { m.watchClaims(ctx) })
	background.Go(func() { m.keepRenewed(ctx) })
	ticker := time.NewTicker(m.timing.DecisionInterval)
	defer ticker.Stop()
	for {
		m.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// signal makes the decision loop run soon.
func (m *Manager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// step decides about every shard and starts the operations that follow.
func (m *Manager) step(ctx context.Context, now time.Time) {
	shards := m.deps.Shards()
	hosts := m.candidates(now)
	draining := m.draining()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(shards) > 0 && len(hosts) > 0 {
		m.plan.update(now, shards, hosts)
	}
	m.plan.draining = draining
	for id := range m.plan.wanted {
		m.consider(ctx, now, id)
	}
	for id := range m.tenures {
		if _, planned := m.plan.wanted[id]; !planned {
			m.consider(ctx, now, id)
		}
	}
}

// candidates returns the hosts that may own shards of this region.
func (m *Manager) candidates(now time.Time) []member.Host {
	var hosts []member.Host
	for _, h := range m.deps.Members.Hosts() {
		if h.Region == m.deps.Self.Region && !m.leaving(now, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// leaving reports whether a host should own nothing: it drains, or the
// platform takes it away.
func (m *Manager) leaving(now time.Time, h member.Host) bool {
	if h.ID == m.deps.Self.ID && m.draining() {
		return true
	}
	if s, ok := m.deps.Members.Summary(h.ID); ok && s.Draining && s.Incarnation == h.Incarnation {
		return true
	}
	entry, ok := m.platformEntry(h.ID)
	if !ok || entry.State == inventory.StateLive {
		return false
	}
	return covers(entry, h.Incarnation, now)
}

func (m *Manager) draining() bool { return m.deps.Draining != nil && m.deps.Draining() }

func (m *Manager) platformEntry(id fleet.HostID) (inventory.EntryHost, bool) {
	if m.deps.Platform == nil {
		return inventory.EntryHost{}, false
	}
	list := m.deps.Platform.Hosts()
	if list == nil {
		return inventory.EntryHost{}, false
	}
	for _, e := range list.EntryHosts {
		if e.ID == id {
			return e, true
		}
	}
	return inventory.EntryHost{}, false
}

// covers reports whether an entry of the platform's list speaks of a process.
// An entry for every incarnation may be older than the process, so it counts
// only when the process is older than the list can lag.
func covers(e inventory.EntryHost, incarnation fleet.Incarnation, now time.Time) bool {
	if e.Incarnation != 0 {
		return e.Incarnation >= incarnation
	}
	return now.Sub(time.Unix(0, int64(incarnation))) > inventory.MaxLag
}

// consider decides about one shard. The mutex is held.
func (m *Manager) consider(ctx context.Context, now time.Time, id ID) {
	if m.busy[id] || m.deps.Runners[id.Kind()] == nil {
		return
	}
	s := m.situation(now, id)
	act := decide(s)
	if act == actNone {
		return
	}
	op := m.operation(act, id)
	m.busy[id] = true
	m.ops.Go(func() {
		defer m.done(id)
		if err := op(ctx); err != nil && !errors.Is(err, context.Canceled) {
			level.Warn(m.logger).Log("event", "operation_failed", "shard", id, "action", act, "err", err)
			_ = wait.For(ctx, operationRetry)
		}
	})
}

func (m *Manager) done(id ID) {
	m.mu.Lock()
	delete(m.busy, id)
	m.mu.Unlock()
	m.signal()
}

// situation gathers what decide needs. The mutex is held.
func (m *Manager) situation(now time.Time, id ID) situation {
	rec, claimed := m.claims[id]
	t, held := m.tenures[id]
	s := situation{
		now:          now,
		kind:         id.Kind(),
		self:         Owner{Host: m.deps.Self.ID, Incarnation: m.deps.Self.Incarnation},
		wanted:       m.plan.wanted[id],
		claim:        rec.Claim,
		claimed:      claimed,
		held:         held,
		stopped:      held && t.due(now),
		awaySince:    m.plan.awaySince(id, m.deps.Self.ID),
		ready:        m.ready(now),
		settled:      m.settled(now),
		handOverWait: m.timing.HandoverDelay,
	}
	if m.plan.draining {
		s.handOverWait = min(s.handOverWait, drainWait)
	}
	if !claimed || rec.Released || rec.Host == m.deps.Self.ID {
		return s
	}
	s.ownerLive, s.ownerEnded = m.ownerState(now, rec.Owner)
	s.boundPassed = m.bounds.passed(now, rec, m.timing.FrontTakeoverTimeout)
	return s
}

// ready reports whether this host knows the claims and has been a member long
// enough for others that start with it to be known.
func (m *Manager) ready(now time.Time) bool {
	if m.listed.IsZero() || now.Sub(m.listed) < m.timing.SettleDelay {
		return false
	}
	self, ok := m.deps.Members.Host(m.deps.Self.ID)
	return ok && self.Incarnation == m.deps.Self.Incarnation
}

func (m *Manager) settled(now time.Time) bool {
	since, ok := m.deps.StoreSteadySince()
	return ok && now.Sub(since) >= member.LeaseTTL
}

// ownerState reports whether the owner's record is live and whether its
// process has surely ended.
func (m *Manager) ownerState(now time.Time, o Owner) (live, ended bool) {
	h, known := m.deps.Members.Host(o.Host)
	if known && h.Incarnation > o.Incarnation {
		return false, true
	}
	if e, ok := m.platformEntry(o.Host); ok && e.State == inventory.StateGone && covers(e, o.Incarnation, now) {
		return false, true
	}
	return known, false
}
