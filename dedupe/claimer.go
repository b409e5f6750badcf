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
	methodHistory = "dedupe.memory"

	claimTimeout  = 500 * time.Millisecond
	claimAttempts = 2 // a second attempt is safe, since it has the same token
)

// HomeUnavailableError reports that the home of an ID is unknown or did not decide
// the claim: the request may have run under an earlier send.
type HomeUnavailableError struct {
	Front shard.ID
	Cause error // may be nil
}

func (e *HomeUnavailableError) Error() string {
	return fmt.Sprintf("dedupe: home %s unavailable: %v", e.Front, e.Cause)
}

// Unwrap returns the cause.
func (e *HomeUnavailableError) Unwrap() error { return e.Cause }

// NotHomeError reports that a host does not own the front that is the home of an
// ID.
type NotHomeError struct{ Front shard.ID }

func (e *NotHomeError) Error() string { return fmt.Sprintf("dedupe: not the home %s", e.Front) }

// Deps are the dependencies of a Claimer.
type Deps struct {
	Self      fleet.HostID
	Rights    shard.SendRights
	Directory shard.Directory
	Caller    peer.Caller
	Registry  peer.Registry
	Margins   Margins // DefaultMargins if zero
}

// Claimer claims IDs at their homes, and keeps the histories of the fronts that this
// host owns. It is safe for concurrent use.
type Claimer struct {
	deps Deps

	mu            sync.Mutex
	fronts        []shard.ID // of the region, sorted
	hash          *rendezvous.Rendezvous
	frontsChanged time.Time // when fronts last changed
	firstFronts   bool      // fronts is the first set since the process started
	owned         map[shard.ID]*ownedHistory
	retained      map[shard.ID]*retainedHistory // of fronts that this host no longer owns
}

type claimRequest struct {
	Front shard.ID  `json:"front"`
	ID    uuid.UUID `json:"id"`
	Token Token     `json:"token"`
}

type claimReply struct {
	Duplicate    bool               `json:"duplicate,omitempty"`
	Unverifiable UnverifiableReason `json:"unvouched,omitempty"`
}

// NewClaimer returns a claimer and registers its peer methods.
func NewClaimer(d Deps) *Claimer {
	if d.Margins == (Margins{}) {
		d.Margins = DefaultMargins
	}
	c := &Claimer{deps: d, owned: make(map[shard.ID]*ownedHistory), retained: make(map[shard.ID]*retainedHistory)}
	d.Registry.Handle(methodClaim, c.handleClaim)
	d.Registry.Handle(methodRelease, c.handleRelease)
	d.Registry.Handle(methodFronts, c.handleFronts)
	d.Registry.Handle(methodHistory, c.handleHistory)
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
	c.restartHistories(now.Add(c.deps.Margins.Propagation), sorted)
	c.firstFronts = len(c.fronts) == 0
	c.fronts = sorted
	c.hash = rendezvous.New(names, xxhash.Sum64String)
	c.frontsChanged = now
}

// restartHistories restarts the histories of fronts that take over IDs from other
// homes: those of added fronts, and all if a front was removed.
func (c *Claimer) restartHistories(start time.Time, next []shard.ID) {
	removed := slices.ContainsFunc(c.fronts, func(f shard.ID) bool { return !slices.Contains(next, f) })
	affected := func(f shard.ID) bool { return removed || !slices.Contains(c.fronts, f) }
	for f, m := range c.owned {
		if affected(f) {
			m.history.Restart(start)
		}
	}
	for f, k := range c.retained {
		if affected(f) {
			k.history.Restart(start)
		}
	}
}

// Claim is a successful claim of an ID.
type Claim struct {
	claimer *Claimer
	msg     claimRequest
}

// Claim claims an ID for one send. Errors are *DuplicateError, *UnverifiableError
// and *HomeUnavailableError; after any of them the request must not be run.
func (c *Claimer) Claim(ctx context.Context, id uuid.UUID) (*Claim, error) {
	front := c.Home(id)
	if front == "" {
		return nil, &HomeUnavailableError{}
	}
	msg := claimRequest{Front: front, ID: id, Token: Token(rand.Uint64())}
	v, err := c.requestClaim(ctx, msg)
	switch {
	case err != nil:
		return nil, &HomeUnavailableError{Front: front, Cause: err}
	case v.Duplicate:
		return nil, &DuplicateError{ID: id}
	case v.Unverifiable != "":
		return nil, &UnverifiableError{ID: id, Reason: v.Unverifiable}
	}
	return &Claim{claimer: c, msg: msg}, nil
}

// Release releases a claim whose request was certainly not run. It is best effort:
// if it fails, the ID stays claimed.
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

// Home returns the front that is the home of an ID, or "" if the region has none.
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

// requestClaim sends the claim to its home. If there is no reply, it sends the claim
// again with the same token.
func (c *Claimer) requestClaim(ctx context.Context, msg claimRequest) (claimReply, error) {
	var lastErr error
	for range claimAttempts {
		owner, ok := c.deps.Directory.Owner(msg.Front)
		if !ok {
			return claimReply{}, &NotHomeError{Front: msg.Front}
		}
		if owner.Host == c.deps.Self {
			return c.claim(ctx, msg)
		}
		v, err := c.callPeer(ctx, owner.Host, msg)
		if err == nil {
			return v, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return claimReply{}, lastErr
}

func (c *Claimer) callPeer(ctx context.Context, host fleet.HostID, msg claimRequest) (claimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var v claimReply
	err := c.deps.Caller.Call(ctx, host, methodClaim, msg, &v)
	return v, err
}

func (c *Claimer) handleClaim(ctx context.Context, _ fleet.HostID, params []byte) (any, error) {
	var msg claimRequest
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
	var msg claimRequest
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, &peer.RemoteError{Kind: peer.KindBadRequest, Message: eris.Wrap(err, "decode release").Error()}
	}
	c.release(msg)
	return struct{}{}, nil
}

// claim decides a claim at its home. It checks the rights after it has recorded the
// claim, so an accepted claim was recorded while no other host could be the home.
// Without the rights it removes a claim that it has just recorded, so that the next
// owner can accept it.
func (c *Claimer) claim(ctx context.Context, msg claimRequest) (claimReply, error) {
	c.awaitFormerHistory(ctx, msg)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.owned[msg.Front]
	if !ok || c.home(msg.ID) != msg.Front {
		return claimReply{}, &NotHomeError{Front: msg.Front}
	}
	known := m.history.contains(msg.ID)
	err := m.history.Claim(now, msg.ID, msg.Token)
	if !c.deps.Rights.MaySend(msg.Front) {
		if !known {
			m.history.Release(msg.ID, msg.Token)
		}
		return claimReply{}, &NotHomeError{Front: msg.Front}
	}
	var duplicate *DuplicateError
	var unverifiable *UnverifiableError
	switch {
	case errors.As(err, &duplicate):
		return claimReply{Duplicate: true}, nil
	case errors.As(err, &unverifiable):
		return claimReply{Unverifiable: unverifiable.Reason}, nil
	}
	return claimReply{}, err
}

func (c *Claimer) release(msg claimRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.owned[msg.Front]; ok {
		m.history.Release(msg.ID, msg.Token)
	}
	if k, ok := c.retained[msg.Front]; ok {
		k.history.Release(msg.ID, msg.Token)
	}
}
