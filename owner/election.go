// Package owner holds the right to dispatch and uses it: one host at a time
// owns the workers, renews their leases, sends them orders and makes what they
// report durable.
package owner

import (
	"context"
	"encoding/json"
	"errors"
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
	// ownerTTL is the lease of ownership in the store. Source: a killed owner
	// must be replaced, and all workers renewed, before their leases of 4.5 s
	// end; nothing new starts meanwhile.
	ownerTTL = 1600 * time.Millisecond
	// renewInterval leaves room for three lost renewals.
	renewInterval = 400 * time.Millisecond
	// checkInterval is how often a host looks whether there is an owner.
	checkInterval = 50 * time.Millisecond
	// standFactor is how long a host of one core waits before it stands, so
	// that larger hosts come first; smaller ones wait longer.
	standFactor = 30 * time.Millisecond
	standMax    = 600 * time.Millisecond
	// youngFor is how long a process counts as restarted lately, and oldDelay
	// how much later others stand. Source: a restart of seven hosts in turn
	// takes 20 s; a restarted host needs standFactor's jitter, and the store's
	// answer, to be first.
	youngFor = 20 * time.Second
	oldDelay = 60 * time.Millisecond
	// storeFresh is how old the view of the store may be in which no owner is
	// seen.
	storeFresh = 1500 * time.Millisecond
)

// Claim is the value of the owner's key.
type Claim struct {
	Host  fleet.HostID `json:"host"`
	Nonce int64        `json:"nonce"` // tells the processes of one host apart
	Term  int          `json:"term"`
	Peer  string       `json:"peer,omitempty"` // where the owner takes calls of other hosts
}

// Deps is what an Owner needs.
type Deps struct {
	Settings *platform.Settings
	Store    store.Transactional
	Shared   *mirror.Mirror // of intake.SharedPrefix
	Operator *mirror.Mirror // of the operators' keys
	Log      func(name string, keyvals ...any)
	Metrics  *Metrics
}

// Owner stands for ownership and dispatches while it has it.
type Owner struct {
	deps     Deps
	nonce    int64
	started  time.Duration // on the steady clock
	draining atomic.Bool
	current  atomic.Pointer[reign]
	config   atomic.Pointer[workload.Config]
}

// New returns an owner; Serve must run.
func New(deps Deps) *Owner {
	return &Owner{deps: deps, nonce: time.Now().UnixNano(), started: steady.Now()}
}

// SetConfig tells of a configuration in force.
func (o *Owner) SetConfig(cfg *workload.Config) {
	o.config.Store(cfg)
	if r := o.current.Load(); r != nil {
		r.setConfig(cfg)
	}
}

// UpdateEvacuations tells which data centres take no work.
func (o *Owner) UpdateEvacuations() {
	if r := o.current.Load(); r != nil {
		r.setOut(o.dataCentresOut())
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

// HandleSharedChange tells of a change under intake.SharedPrefix.
func (o *Owner) HandleSharedChange(e store.Event) {
	if r := o.current.Load(); r != nil {
		r.sharedChanged(e)
	}
}

// Drain gives ownership up and does not stand again.
func (o *Owner) Drain() {
	o.draining.Store(true)
	if r := o.current.Load(); r != nil {
		r.end("draining")
	}
}

// Serve stands for ownership whenever nobody has it.
func (o *Owner) Serve(ctx context.Context) error {
	for wait.For(ctx, checkInterval) == nil {
		if o.draining.Load() || !o.vacant() {
			continue
		}
		if wait.For(ctx, o.standDelay()) != nil {
			break
		}
		if !o.vacant() || o.draining.Load() {
			continue
		}
		if err := o.stand(ctx); err != nil {
			o.deps.Log("stand_failed", "err", err)
		}
	}
	return ctx.Err()
}

// vacant reports whether a fresh view of the store shows no owner.
func (o *Owner) vacant() bool {
	fresh, loaded := o.deps.Shared.LastSync()
	if !loaded || steady.Now()-fresh > storeFresh || o.config.Load() == nil {
		return false
	}
	_, taken := o.deps.Shared.Get(intake.OwnerKey)
	return !taken
}

// LastClaim tells who owned dispatching when this host heard last.
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

func (o *Owner) standDelay() time.Duration {
	return standDelay(o.deps.Settings.Cores, steady.Now()-o.started) + time.Duration(o.nonce%int64(standFactor))
}

// standDelay is how long a host of some processor, whose process has some age,
// leaves ownership to others. It answers rolling restarts: hosts that have been
// restarted already come first, so that ownership passes on once or twice and
// not with every second host.
func standDelay(cores float64, age time.Duration) time.Duration {
	d := min(time.Duration(float64(standFactor)/max(cores, 0.05)), standMax)
	if age > youngFor {
		d += oldDelay
	}
	return d
}

// stand claims ownership and dispatches until it ends.
func (o *Owner) stand(ctx context.Context) error {
	term, termRevision, err := o.lastTerm()
	if err != nil {
		return err
	}
	sent := steady.Now()
	lease, err := o.deps.Store.Grant(max(ownerTTL, o.deps.Settings.LeaseTTL))
	if err != nil {
		return err
	}
	c := Claim{Host: o.deps.Settings.Host, Nonce: o.nonce, Term: term + 1, Peer: o.deps.Settings.PeerAddress}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	revision, err := o.deps.Store.Commit(store.Txn{
		Checks: []store.Check{{Key: intake.OwnerKey}, {Key: intake.TermKey, Revision: termRevision}},
		Puts:   []store.Put{{Key: intake.OwnerKey, Value: value, Lease: lease}, {Key: intake.TermKey, Value: value}},
	})
	if err != nil {
		if revision, err = o.resolve(err, string(value)); err != nil {
			return err
		}
	}
	o.deps.Log("ownership_won", "term", c.Term, "revision", revision)
	r := newReign(o, c.Term, revision, lease, sent)
	r.run(ctx)
	o.deps.Log("ownership_ended", "term", c.Term, "reason", r.reason.Load())
	if err := o.deps.Store.Revoke(lease); err != nil {
		o.deps.Log("revoke_failed", "err", err)
	}
	return nil
}

func (o *Owner) lastTerm() (int, store.Revision, error) {
	e, err := o.deps.Store.Get(intake.TermKey)
	if isMissing(err) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	var c Claim
	if err := json.Unmarshal(e.Value, &c); err != nil {
		return 0, 0, err
	}
	return c.Term, e.Revision, nil
}

// isMissing reports whether an error tells that a key does not exist.
func isMissing(err error) bool {
	var missing *store.NotFoundError
	return errors.As(err, &missing)
}

// resolve finds out whether a claim without an answer was written.
func (o *Owner) resolve(err error, value string) (store.Revision, error) {
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
