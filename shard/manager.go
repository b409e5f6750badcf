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

// Deps holds the dependencies of a Manager. Optional ones may be nil.
type Deps struct {
	Self    member.Host // its region and data centre limit which shards this host owns
	Store   store.Store
	Members member.Directory
	// StoreSteadySince returns since when the store has been available without
	// interruption, or false if it is unavailable.
	StoreSteadySince func() (time.Time, bool)
	// Shards returns the shards of the region; none if they are not known yet.
	Shards func() []ID
	// Runners holds the runner of each kind. Shards of other kinds are not
	// claimed.
	Runners map[Kind]Runner
	// Inventory is optional. Without it, a host is not known to be gone or
	// leaving until its lease ends.
	Inventory inventory.View
	// Draining is optional and reports whether this host must not own shards.
	Draining func() bool
	// MaxRequestDuration is optional and returns the maximum duration of a
	// request to a backend server, or 0 while it is not known. The default is
	// DefaultMaxRequestDuration.
	MaxRequestDuration func() time.Duration
	Timing             Timing
	Logger             log.Logger
}

// Manager claims and runs the shards that this host should own and hands over
// those that it should not. It implements Directory and SendRights and is safe
// for concurrent use.
type Manager struct {
	deps       Deps
	timing     Timing
	logger     log.Logger
	rights     *sendRights
	wake       chan struct{} // holds one token if a decision is due
	storeCalls *semaphore.Weighted

	mu               sync.Mutex
	claims           map[ID]observedClaim
	ownerships       map[ID]*ownership
	inProgress       map[ID]bool // shards with an operation in progress
	plan             plan
	renewals         observedRenewals
	requestDurations requestDurations
	// listedAt is when the claims were first listed; zero before that.
	listedAt   time.Time
	renewedAt  time.Time // when the last acknowledged renewal was sent
	operations sync.WaitGroup
}

var (
	_ Directory  = (*Manager)(nil)
	_ SendRights = (*Manager)(nil)
)

// NewManager returns a Manager that owns no shards. Serve runs it.
func NewManager(deps Deps) *Manager {
	m := &Manager{
		deps:       deps,
		timing:     deps.Timing.withDefaults(),
		logger:     log.With(deps.Logger, "component", "shard"),
		wake:       make(chan struct{}, 1),
		storeCalls: semaphore.NewWeighted(maxConcurrentCalls),
		claims:     make(map[ID]observedClaim),
		ownerships: make(map[ID]*ownership),
		inProgress: make(map[ID]bool),
		plan:       newPlan(),
		renewals:   make(observedRenewals),
	}
	m.rights = newSendRights(time.Now(), m.timing.PauseThreshold, m.signal)
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

// PreviousOwner returns the owner immediately before this process, during the
// first run of the shard under the claim of this process. It returns false if
// there was no such owner or it is not known, and if this process does not run
// the shard or has restarted its runner.
func (m *Manager) PreviousOwner(id ID) (Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.ownerships[id]
	if !ok || o.previous.Host == "" {
		return Owner{}, false
	}
	return o.previous, true
}

// List returns the status of every known shard, ordered by ID.
func (m *Manager) List() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	statuses := make(map[ID]Status)
	for id, host := range m.plan.desired {
		statuses[id] = Status{ID: id, DesiredOwner: host}
	}
	for id, rec := range m.claims {
		st := statuses[id]
		st.ID = id
		st.Owner = rec.Owner
		st.Owned = !rec.Released
		statuses[id] = st
	}
	list := make([]Status, 0, len(statuses))
	for id, st := range statuses {
		if o, ok := m.ownerships[id]; ok {
			o.fillStatus(&st)
		}
		st.MaySend = m.rights.maySend(id)
		list = append(list, st)
	}
	sortStatuses(list)
	return list
}

// Serve claims and runs shards until ctx ends, then stops their runners and
// releases the shards. It returns the error of ctx.
func (m *Manager) Serve(ctx context.Context) error {
	defer m.shutdown()
	var background sync.WaitGroup
	defer background.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background.Go(func() { m.rights.detectPauses(ctx) })
	background.Go(func() { m.watchClaims(ctx) })
	background.Go(func() { m.renewLoop(ctx) })
	ticker := time.NewTicker(m.timing.DecisionInterval)
	defer ticker.Stop()
	for {
		m.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// signal wakes the decision loop.
func (m *Manager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// reconcile decides about every shard and starts the resulting operations.
func (m *Manager) reconcile(ctx context.Context, now time.Time) {
	shards := m.deps.Shards()
	hosts := m.eligibleHosts(now)
	draining := m.draining()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(shards) > 0 && len(hosts) > 0 {
		m.plan.update(now, shards, hosts)
	}
	m.plan.draining = draining
	for id := range m.plan.desired {
		m.reconcileShard(ctx, now, id)
	}
	for id := range m.ownerships {
		if _, planned := m.plan.desired[id]; !planned {
			m.reconcileShard(ctx, now, id)
		}
	}
}

// eligibleHosts returns the hosts that may own shards of this region.
func (m *Manager) eligibleHosts(now time.Time) []member.Host {
	var hosts []member.Host
	for _, h := range m.deps.Members.Hosts() {
		if h.Region == m.deps.Self.Region && !m.isLeaving(now, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// isLeaving reports whether a host must not own shards because it is draining or
// the platform reports it as leaving or gone.
func (m *Manager) isLeaving(now time.Time, h member.Host) bool {
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
	return appliesTo(entry, h.Incarnation, now)
}

func (m *Manager) draining() bool { return m.deps.Draining != nil && m.deps.Draining() }

func (m *Manager) platformEntry(id fleet.HostID) (inventory.EntryHost, bool) {
	if m.deps.Inventory == nil {
		return inventory.EntryHost{}, false
	}
	list := m.deps.Inventory.Hosts()
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

// appliesTo reports whether an entry of the platform's host list refers to the
// process with the given incarnation. An entry without an incarnation may be
// older than the process, so it counts only if the process is older than the
// maximum lag of the list.
func appliesTo(e inventory.EntryHost, incarnation fleet.Incarnation, now time.Time) bool {
	if e.Incarnation != 0 {
		return e.Incarnation >= incarnation
	}
	return now.Sub(time.Unix(0, int64(incarnation))) > inventory.MaxLag
}

// reconcileShard decides about one shard and starts the resulting operation. The
// caller holds the mutex.
func (m *Manager) reconcileShard(ctx context.Context, now time.Time, id ID) {
	if m.inProgress[id] || m.deps.Runners[id.Kind()] == nil {
		return
	}
	s := m.decisionInput(now, id)
	act := decide(s)
	if act == actNone {
		return
	}
	op := m.operation(act, id)
	m.inProgress[id] = true
	m.operations.Go(func() {
		defer m.operationDone(id)
		if err := op(ctx); err != nil && !errors.Is(err, context.Canceled) {
			level.Warn(m.logger).Log("event", "operation_failed", "shard", id, "action", act, "err", err)
			_ = wait.For(ctx, operationRetryDelay)
		}
	})
}

func (m *Manager) operationDone(id ID) {
	m.mu.Lock()
	delete(m.inProgress, id)
	m.mu.Unlock()
	m.signal()
}

// decisionInput collects the input of decide. The caller holds the mutex.
func (m *Manager) decisionInput(now time.Time, id ID) decisionInput {
	rec, claimed := m.claims[id]
	o, held := m.ownerships[id]
	s := decisionInput{
		now:             now,
		kind:            id.Kind(),
		self:            Owner{Host: m.deps.Self.ID, Incarnation: m.deps.Self.Incarnation},
		desired:         m.plan.desired[id],
		claim:           rec.Claim,
		hasClaim:        claimed,
		held:            held,
		revoked:         held && id.Kind() == KindFront && !m.rights.isGranted(id),
		restartDue:      held && o.due(now),
		notDesiredSince: m.plan.notDesiredSince(id, m.deps.Self.ID),
		ready:           m.ready(now),
		storeSteady:     m.storeSteady(now),
		handoverDelay:   m.timing.HandoverDelay,
	}
	if m.plan.draining {
		s.handoverDelay = min(s.handoverDelay, drainDelay)
	}
	if !claimed || rec.Released || rec.Host == m.deps.Self.ID {
		return s
	}
	s.ownerLive, s.ownerEnded = m.ownerState(now, rec.Owner)
	s.takeoverTimedOut = m.renewals.timedOut(now, rec, m.timing.FrontTakeoverTimeout)
	return s
}

// ready reports whether this host is a member and has known the claims for long
// enough to have learned of hosts that started at the same time.
func (m *Manager) ready(now time.Time) bool {
	if m.listedAt.IsZero() || now.Sub(m.listedAt) < m.timing.SettleDelay {
		return false
	}
	self, ok := m.deps.Members.Host(m.deps.Self.ID)
	return ok && self.Incarnation == m.deps.Self.Incarnation
}

// storeSteady reports whether the store has been available for one lease TTL, so
// that every live host has had time to renew its lease.
func (m *Manager) storeSteady(now time.Time) bool {
	since, ok := m.deps.StoreSteadySince()
	return ok && now.Sub(since) >= member.LeaseTTL
}

// ownerState reports whether the owner is a live member, and whether there is
// proof that its process has ended.
func (m *Manager) ownerState(now time.Time, owner Owner) (live, ended bool) {
	h, known := m.deps.Members.Host(owner.Host)
	if known && h.Incarnation > owner.Incarnation {
		return false, true
	}
	if e, ok := m.platformEntry(owner.Host); ok && e.State == inventory.StateGone && appliesTo(e, owner.Incarnation, now) {
		return false, true
	}
	return known, false
}
