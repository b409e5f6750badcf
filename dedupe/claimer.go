package dedupe

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	methodClaim   = "dedupe.claim"
	methodRelease = "dedupe.release"
	methodFronts  = "dedupe.fronts"
	methodMemory  = "dedupe.memory"

	claimTimeout = 500 * time.Millisecond
	claimTries   = 2 // the same token makes a second try harmless
)

// HomeUnavailableError reports that the home of an ID could not be asked:
// the request may have run under an earlier send.
type HomeUnavailableError struct {
	Front shard.ID
	Cause error // may be nil
}

func (e *HomeUnavailableError) Error() string {
	return fmt.Sprintf("dedupe: home %s unavailable: %v", e.Front, e.Cause)
}

// Unwrap returns the cause.
func (e *HomeUnavailableError) Unwrap() error { return e.Cause }

// NotHomeError reports that this host is not the home of an ID.
type NotHomeError struct{ Front shard.ID }

func (e *NotHomeError) Error() string { return fmt.Sprintf("dedupe: not the home %s", e.Front) }

// Deps is what a Claimer needs.
type Deps struct {
	Self      fleet.HostID
	Rights    shard.SendRights
	Directory shard.Directory
	Caller    peer.Caller
	Registry  peer.Registry
	Margins   Margins // DefaultMargins if zero
}

// Claimer claims IDs at their homes and is the home of those whose front this
// host owns. It is safe for concurrent use.
type Claimer struct {
	deps Deps

	mu       sync.Mutex
	fronts   []shard.ID // of the region, ordered
	hash     *rendezvous.Rendezvous
	changed  time.Time // of fronts
	first    bool      // no other fronts were seen before
	memories map[shard.ID]*memory
	kept     map[shard.ID]*kept // of fronts that this host no longer owns
}

type message struct {
	Front shard.ID  `json:"front"`
	ID    uuid.UUID `json:"id"`
	Token Token     `json:"token"`
}

type verdict struct {
	Duplicate bool               `json:"duplicate,omitempty"`
	Unvouched UnverifiableReason `json:"unvouched,omitempty"`
}

// NewClaimer returns a claimer and registers its peer methods.
func NewClaimer(d Deps) *Claimer {
	if d.Margins == (Margins{}) {
		d.Margins = DefaultMargins
	}
	c := &Claimer{deps: d, memories: make(map[shard.ID]*memory), kept: make(map[shard.ID]*kept)}
	d.Registry.Handle(methodClaim, c.handleClaim)
	d.Registry.Handle(methodRelease, c.handleRelease)
	d.Registry.Handle(methodFronts, c.handleFronts)
	d.Registry.Handle(methodMemory, c.handleMemory)
	return c
}

// SetFronts sets the fronts of the region. Call it whenever the settings
// change.
func (c *Claimer) SetFronts(now time.Time, fronts []shard.ID) {
	sorted := slices.Sorted(slices.Values(fronts))
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(sorted, c.fronts) {
		return
	}
	names := make([]string, len(sorted))
	for i, f := range sorted {
		names[i] = string(f)
	}
	c.restart(now.Add(c.deps.Margins.Propagation), sorted)
	c.first = len(c.fronts) == 0
	c.fronts = sorted
	c.hash = rendezvous.New(names, xxhash.Sum64String)
	c.changed = now
}

// restart lets memories begin again that get IDs from other homes: those of
// added fronts, and all if a front was removed.
func (c *Claimer) restart(start time.Time, next []shard.ID) {
	removed := slices.ContainsFunc(c.fronts, func(f shard.ID) bool { return !slices.Contains(next, f) })
	affected := func(f shard.ID) bool { return removed || !slices.Contains(c.fronts, f) }
	for f, m := range c.memories {
		if affected(f) {
			m.home.Restart(start)
		}
	}
	for f, k := range c.kept {
		if affected(f) {
			k.home.Restart(start)
		}
	}
}

// Claim is a successful claim of an ID.
type Claim struct {
	claimer *Claimer
	msg     message
}

// Claim claims an ID for one send. Errors are *DuplicateError,
// *UnverifiableError and *HomeUnavailableError; with each the request must not
// be run.
func (c *Claimer) Claim(ctx context.Context, id uuid.UUID) (*Claim, error) {
	front := c.Home(id)
	if front == "" {
		return nil, &HomeUnavailableError{}
	}
	msg := message{Front: front, ID: id, Token: Token(rand.Uint64())}
	v, err := c.ask(ctx, msg)
	switch {
	case err != nil:
		return nil, &HomeUnavailableError{Front: front, Cause: err}
	case v.Duplicate:
		return nil, &DuplicateError{ID: id}
	case v.Unvouched != "":
		return nil, &UnverifiableError{ID: id, Reason: v.Unvouched}
	}
	return &Claim{claimer: c, msg: msg}, nil
}

// Release gives up a claim whose request was surely not run. It is best
// effort: if it fails the ID stays claimed.
func (k *Claim) Release(ctx context.Context) {
	c := k.claimer
	owner, ok := c.deps.Directory.Owner(k.msg.Front)
	if !ok {
		return
	}
	if owner.Host == c.deps.Self {
		c.release(k.msg)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var done struct{}
	_ = c.deps.Caller.Call(ctx, owner.Host, methodRelease, k.msg, &done) // best effort
}

// Home returns the front that is the home of an ID, "" if there is no front.
func (c *Claimer) Home(id uuid.UUID) shard.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home(id)
}

func (c *Claimer) home(id uuid.UUID) shard.ID {
	if len(c.fronts) == 0 {
		return ""
	}
	return shard.ID(c.hash.Lookup(string(id[:])))
}

// ask brings the claim to its home. An answer that was lost is asked for
// again with the same token.
func (c *Claimer) ask(ctx context.Context, msg message) (verdict, error) {
	var last error
	for range claimTries {
		owner, ok := c.deps.Directory.Owner(msg.Front)
		if !ok {
			return verdict{}, &NotHomeError{Front: msg.Front}
		}
		if owner.Host == c.deps.Self {
			return c.claim(ctx, msg)
		}
		v, err := c.askPeer(ctx, owner.Host, msg)
		if err == nil {
			return v, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return verdict{}, last
}

func (c *Claimer) askPeer(ctx context.Context, host fleet.HostID, msg message) (verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var v verdict
	err := c.deps.Caller.Call(ctx, host, methodClaim, msg, &v)
	return v, err
}

func (c *Claimer) handleClaim(ctx context.Context, _ fleet.HostID, params []byte) (any, error) {
	var msg message
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, &peer.RemoteError{Kind: peer.KindBadRequest, Message: eris.Wrap(err, "decode claim").Error()}
	}
	v, err := c.claim(ctx, msg)
	var notHome *NotHomeError
	if errors.As(err, &notHome) {
		return nil, &peer.RemoteError{Kind: peer.KindNotOwner, Message: err.Error()}
	}
	return v, err
}

func (c *Claimer) handleRelease(_ context.Context, _ fleet.HostID, params []byte) (any, error) {
	var msg message
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, &peer.RemoteError{Kind: peer.KindBadRequest, Message: eris.Wrap(err, "decode release").Error()}
	}
	c.release(msg)
	return struct{}{}, nil
}

// claim decides a claim as its home. The rights are asked after the claim was
// recorded: a claim that is accepted was recorded while no other host could
// be the home. A claim that was recorded in vain is taken back, so that the
// next owner can accept it.
func (c *Claimer) claim(ctx context.Context, msg message) (verdict, error) {
	c.awaitFetched(ctx, msg)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.memories[msg.Front]
	if !ok || c.home(msg.ID) != msg.Front {
		return verdict{}, &NotHomeError{Front: msg.Front}
	}
	known := m.home.holds(msg.ID)
	err := m.home.Claim(now, msg.ID, msg.Token)
	if !c.deps.Rights.MaySend(msg.Front) {
		if !known {
			m.home.Release(msg.ID, msg.Token)
		}
		return verdict{}, &NotHomeError{Front: msg.Front}
	}
	var duplicate *DuplicateError
	var unvouched *UnverifiableError
	switch {
	case errors.As(err, &duplicate):
		return verdict{Duplicate: true}, nil
	case errors.As(err, &unvouched):
		return verdict{Unvouched: unvouched.Reason}, nil
	}
	return verdict{}, err
}

func (c *Claimer) release(msg message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.memories[msg.Front]; ok {
		m.home.Release(msg.ID, msg.Token)
	}
	if k, ok := c.kept[msg.Front]; ok {
		k.home.Release(msg.ID, msg.Token)
	}
}
