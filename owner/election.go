// Package owner elects the host that dispatches and runs the dispatcher there.
// One host at a time owns the workers: it renews their leases, sends them orders
// and stores what they report.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// ownerTTL is the TTL of the ownership lease in the store. After an owner
	// is killed, a new one must take over and renew all workers before their
	// 4.5 s leases expire; nothing new starts in the meantime.
	ownerTTL = 1600 * time.Millisecond
	// renewInterval allows for three lost renewals within ownerTTL.
	renewInterval = 400 * time.Millisecond
	// checkInterval is how often a host checks whether there is an owner.
	checkInterval = 50 * time.Millisecond
	// claimDelayPerCore is how long a host of one core waits before it claims
	// ownership. Smaller hosts wait longer, up to maxClaimDelay, so that larger
	// ones claim first.
	claimDelayPerCore = 30 * time.Millisecond
	maxClaimDelay     = 600 * time.Millisecond
	// recentRestartAge is the process age up to which a host counts as recently
	// restarted: a rolling restart of seven hosts takes 20 s.
	// notRestartedDelay is the additional delay of the other hosts. It covers
	// the jitter of up to claimDelayPerCore and the store's response time, so
	// that a restarted host claims first.
	recentRestartAge  = 20 * time.Second
	notRestartedDelay = 60 * time.Millisecond
	// regainedDelay is the additional delay of a host that knows of larger ones, after an
	// outage of the store: these notice its return within regainedWindow, the longest time
	// of a poll that hangs and of the delay before the next, and most often one of several
	// does within half of that.
	regainedDelay  = time.Second
	regainedWindow = 2 * time.Second
	// largerFactor is by how much the processor or the link of a host exceeds that of a
	// smaller one for which it is the better owner, and largerMemory is how long a host
	// remembers that a larger one has owned.
	largerFactor = 2
	largerMemory = time.Minute
	// maxViewAge is the maximum age of a view of the store that shows no owner.
	maxViewAge = 1500 * time.Millisecond
)

// Claim is the value of the owner key.
type Claim struct {
	Host  fleet.HostID `json:"host"`
	Nonce int64        `json:"nonce"` // distinguishes processes of the same host
	Term  int          `json:"term"`
	Peer  string       `json:"peer,omitempty"` // address at which the owner accepts calls from other hosts

	Cores    float64 `json:"cores,omitempty"`     // of the host
	LinkMbps float64 `json:"link_mbps,omitempty"` // of the host's link, in Mbit/s; 0: unbounded

	// TermAgesMS holds for how long, in ms, terms had been claimed at least when this was
	// written: a host that was restarted since has not seen their claims.
	TermAgesMS map[int]int64 `json:"term_ages_ms,omitempty"`
}

// isLarger reports whether the claim is that of a host that is a better owner than one with
// the given processor and link.
func (c Claim) isLarger(cores, linkMbps float64) bool {
	return c.Cores >= largerFactor*cores || linkMbps > 0 && c.LinkMbps >= largerFactor*linkMbps
}

// Deps are the dependencies of an Owner.
type Deps struct {
	Settings *platform.Settings
	Store    store.Transactional
	Shared   *mirror.Mirror // of intake.SharedPrefix
	Operator *mirror.Mirror // of the operators' keys
	Log      func(name string, keyvals ...any)
	Metrics  *Metrics
}

// Owner competes for ownership of dispatching and dispatches while it holds it.
type Owner struct {
	deps     Deps
	nonce    int64
	started  time.Duration // on the steady clock
	draining atomic.Bool
	current  atomic.Pointer[dispatcher]
	config   atomic.Pointer[workload.Config]

	mu sync.Mutex
	// termsSeen holds when each of the latest claims was seen first, on the steady
	// clock, by term.
	termsSeen map[int]time.Duration
	// largerSeenAt is when a claim of a larger host was seen last, on the steady clock; 0:
	// never.
	largerSeenAt time.Duration
}

// New returns an Owner. It does nothing until Serve runs.
func New(deps Deps) *Owner {
	return &Owner{deps: deps, nonce: time.Now().UnixNano(), started: steady.Now(), termsSeen: make(map[int]time.Duration)}
}

// SetConfig sets the configuration in force.
func (o *Owner) SetConfig(cfg *workload.Config) {
	o.config.Store(cfg)
	if d := o.current.Load(); d != nil {
		d.applyConfig()
	}
}

// UpdateDataCentresOut reads again, from the operators' keys, which data centres
// are out of service and get no new work.
func (o *Owner) UpdateDataCentresOut() {
	if d := o.current.Load(); d != nil {
		d.setDataCentresOut(o.dataCentresOut())
	}
}

func (o *Owner) dataCentresOut() map[fleet.DataCentre]bool {
	out := make(map[fleet.DataCentre]bool)
	o.deps.Operator.Each(func(e store.Entry) {
		if dc, ok := platform.DataCentreFromEvacuationKey(e.Key); ok {
			out[dc] = true
		}
	})
	return out
}

// HandleSharedChange handles a change of a key under intake.SharedPrefix.
func (o *Owner) HandleSharedChange(e store.Event) {
	if e.Key == intake.OwnerKey && !e.Deleted {
		o.recordClaim(e.Entry)
	}
	if d := o.current.Load(); d != nil {
		d.handleSharedChange(e)
	}
}

// maxTermsSeen bounds the remembered claims: those of the last seconds matter.
const maxTermsSeen = 16

// recordClaim records when the claim in an entry was seen first.
func (o *Owner) recordClaim(e store.Entry) {
	var c Claim
	if err := json.Unmarshal(e.Value, &c); err != nil {
		o.deps.Log("claim_unreadable", "revision", e.Revision, "err", err)
		return
	}
	o.noteClaim(c)
}

// noteClaim records that a claim was made by now, and what it says of earlier ones.
func (o *Owner) noteClaim(c Claim) {
	now := steady.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.isLarger(o.deps.Settings.Cores, o.deps.Settings.LinkMbps) {
		o.largerSeenAt = now
	}
	if _, ok := o.termsSeen[c.Term]; !ok {
		o.termsSeen[c.Term] = now
	}
	for term, age := range c.TermAgesMS {
		at := now - time.Duration(age)*time.Millisecond
		if seen, ok := o.termsSeen[term]; !ok || at < seen {
			o.termsSeen[term] = at
		}
	}
	for len(o.termsSeen) > maxTermsSeen {
		delete(o.termsSeen, slices.Min(slices.Collect(maps.Keys(o.termsSeen))))
	}
}

// claim returns this host's claim of a term.
func (o *Owner) claim(term int) Claim {
	s := o.deps.Settings
	return Claim{Host: s.Host, Nonce: o.nonce, Term: term, Peer: s.PeerAddress, Cores: s.Cores, LinkMbps: s.LinkMbps, TermAgesMS: o.termAges()}
}

// termAges returns for how long terms have been claimed at least, in ms.
func (o *Owner) termAges() map[int]int64 {
	now := steady.Now()
	ages := make(map[int]int64)
	for term, seen := range o.claimsSeen() {
		ages[term] = (now - seen).Milliseconds()
	}
	return ages
}

// claimsSeen returns when claims were seen first, by term.
func (o *Owner) claimsSeen() map[int]time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.termsSeen)
}

// Drain gives up ownership, if held, and makes no further claims.
func (o *Owner) Drain() {
	o.draining.Store(true)
	if d := o.current.Load(); d != nil {
		d.end(reasonDraining)
	}
}

// Serve claims ownership whenever there is no owner, until ctx ends. It returns
// ctx's error.
func (o *Owner) Serve(ctx context.Context) error {
	for wait.For(ctx, checkInterval) == nil {
		if o.draining.Load() || !o.vacant() {
			continue
		}
		if wait.For(ctx, o.claimDelay()) != nil {
			break
		}
		if !o.vacant() || o.draining.Load() {
			continue
		}
		if err := o.claimAndDispatch(ctx); err != nil {
			o.deps.Log("stand_failed", "err", err)
		}
	}
	return ctx.Err()
}

// vacant reports whether a recent view of the store shows no owner. It is false
// until a configuration is known.
func (o *Owner) vacant() bool {
	lastSync, loaded := o.deps.Shared.LastSync()
	if !loaded || steady.Now()-lastSync > maxViewAge || o.config.Load() == nil {
		return false
	}
	_, taken := o.deps.Shared.Get(intake.OwnerKey)
	return !taken
}

// LastClaim returns the owner's claim as last seen by this host, and whether
// there is one.
func (o *Owner) LastClaim() (Claim, bool) {
	e, ok := o.deps.Shared.Get(intake.OwnerKey)
	if !ok {
		return Claim{}, false
	}
	var c Claim
	if err := json.Unmarshal(e.Value, &c); err != nil {
		o.deps.Log("claim_unreadable", "revision", e.Revision, "err", err)
		return Claim{}, false
	}
	return c, true
}

// claimDelay returns this host's delay before a claim, with jitter below
// claimDelayPerCore.
func (o *Owner) claimDelay() time.Duration {
	now := steady.Now()
	if regained := o.deps.Shared.RegainedAt(); regained > 0 && now-regained <= regainedWindow {
		o.recordLastClaim()
	}
	o.mu.Lock()
	larger := o.largerSeenAt
	o.mu.Unlock()
	return baseClaimDelay(o.deps.Settings.Cores, now-o.started) + regainedClaimDelay(now, o.deps.Shared.RegainedAt(), larger) +
		time.Duration(o.nonce%int64(claimDelayPerCore))
}

// regainedClaimDelay returns the additional delay after an outage of the store, given when
// this host regained contact with it and saw a claim of a larger host (0: never): otherwise
// whichever host notices first that the store is back becomes the owner.
func regainedClaimDelay(now, regainedAt, largerSeenAt time.Duration) time.Duration {
	if regainedAt == 0 || largerSeenAt == 0 || now-regainedAt > regainedWindow || now-largerSeenAt > largerMemory {
		return 0
	}
	return regainedDelay
}

// baseClaimDelay returns how long a host with the given cores and process age
// waits for others to claim ownership. Hosts that have already been restarted
// claim first, so that ownership moves once or twice during a rolling restart
// rather than with every second host.
func baseClaimDelay(cores float64, age time.Duration) time.Duration {
	d := min(time.Duration(float64(claimDelayPerCore)/max(cores, 0.05)), maxClaimDelay)
	if age > recentRestartAge {
		d += notRestartedDelay
	}
	return d
}

// recordLastClaim records the newest claim, unless this process has seen one: a host that
// was restarted in an outage of the store has not.
func (o *Owner) recordLastClaim() {
	o.mu.Lock()
	seen := len(o.termsSeen) > 0
	o.mu.Unlock()
	if seen {
		return
	}
	last, _, err := o.lastClaim()
	if err != nil {
		o.deps.Log("last_claim_unread", "err", err)
		return
	}
	o.noteClaim(last)
}

// claimAndDispatch claims ownership and, if it succeeds, dispatches until
// ownership ends.
func (o *Owner) claimAndDispatch(ctx context.Context) error {
	last, termRevision, err := o.lastClaim()
	if err != nil {
		return err
	}
	o.noteClaim(last)
	sent := steady.Now()
	lease, err := o.deps.Store.Grant(max(ownerTTL, o.deps.Settings.LeaseTTL))
	if err != nil {
		return err
	}
	c := o.claim(last.Term + 1)
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	revision, err := o.deps.Store.Commit(store.Txn{
		Checks: []store.Check{{Key: intake.OwnerKey}, {Key: intake.TermKey, Revision: termRevision}},
		Puts:   []store.Put{{Key: intake.OwnerKey, Value: value, Lease: lease}, {Key: intake.TermKey, Value: value}},
	})
	if err != nil {
		if revision, err = o.resolveUnknownClaim(err, string(value)); err != nil {
			return err
		}
	}
	o.deps.Log("ownership_won", "term", c.Term, "revision", revision)
	d := newDispatcher(o, c.Term, revision, lease, sent)
	d.run(ctx)
	o.deps.Log("ownership_ended", "term", c.Term, "reason", d.reason.Load())
	if err := o.deps.Store.Revoke(lease); err != nil {
		o.deps.Log("revoke_failed", "err", err)
	}
	return nil
}

// lastClaim returns the claim of the newest term and the revision of its key; both are
// zero if there was none.
func (o *Owner) lastClaim() (Claim, store.Revision, error) {
	e, err := o.deps.Store.Get(intake.TermKey)
	if isNotFound(err) {
		return Claim{}, 0, nil
	}
	if err != nil {
		return Claim{}, 0, err
	}
	var c Claim
	if err := json.Unmarshal(e.Value, &c); err != nil {
		return Claim{}, 0, err
	}
	return c, e.Revision, nil
}

// isNotFound reports whether err says that a key does not exist.
func isNotFound(err error) bool {
	var missing *store.NotFoundError
	return errors.As(err, &missing)
}

// resolveUnknownClaim finds out whether a claim with an unknown outcome was
// written. If it was not, it returns the error of the claim.
func (o *Owner) resolveUnknownClaim(err error, value string) (store.Revision, error) {
	var unknown *store.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return 0, err
	}
	e, getErr := o.deps.Store.Get(intake.OwnerKey)
	if getErr != nil || string(e.Value) != value {
		return 0, err
	}
	return e.Revision, nil
}
