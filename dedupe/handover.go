package dedupe

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	// maxPageIDs is the maximum number of IDs in one message of a handover:
	// 240 KB before it is encoded.
	maxPageIDs     = 10_000
	pageTimeout    = time.Second
	pageAttempts   = 3
	pageRetryDelay = 50 * time.Millisecond
	fetchTimeout   = 3 * time.Second        // for a complete history
	claimFetchWait = 400 * time.Millisecond // of a claim for the former owner's history; less than claimTimeout
	// retention is how long the history of a front that this host no longer
	// owns is retained for the next owner after the host's last send.
	retention = 2 * time.Minute
	// handoverPollInterval is the interval at which AwaitHandovers checks for
	// retained histories.
	handoverPollInterval = 5 * time.Millisecond
)

// ownedHistory is the history of a front that this host owns.
type ownedHistory struct {
	history *History
	owner   shard.Owner
	// fetched is closed once the history of the former owner was merged or
	// can't be fetched.
	fetched chan struct{}
}

// retainedHistory is the history of a front that this host used to own, complete as
// of the end of its ownership.
type retainedHistory struct {
	history  *History
	owner    shard.Owner
	snapshot *snapshot // nil until the first request for it, then immutable
}

// historyQuery requests a page of the history of a former owner.
type historyQuery struct {
	Front shard.ID    `json:"front"`
	Owner shard.Owner `json:"owner"`          // the former owner
	From  int         `json:"from"`           // number of the first ID
	Done  bool        `json:"done,omitempty"` // the complete history was received
}

type historyPage struct {
	FloorMS int64  `json:"floor_ms"` // Unix time; IDs created earlier can't be verified
	Total   int    `json:"total"`    // IDs in the history
	Records []byte `json:"records"`
}

// NotRetainedError reports that a host does not retain the requested history.
type NotRetainedError struct {
	Front shard.ID
	Owner shard.Owner
}

func (e *NotRetainedError) Error() string {
	return fmt.Sprintf("dedupe: no memory of %s as of host %s at epoch %d", e.Front, e.Owner.Host, e.Owner.Epoch)
}

// PageError reports a page of a history that is invalid after the previous ones, or
// a request for a page that does not exist.
type PageError struct {
	Front shard.ID
	From  int // number of the first ID that was requested
}

func (e *PageError) Error() string {
	return fmt.Sprintf("dedupe: page of %s from %d does not fit", e.Front, e.From)
}

// Open starts the history of a front that this host now owns, and merges that of
// the former owner if it can fetch it completely. Until then, the host can verify
// new IDs only. If the host owned the front before under the same claim, it
// continues its own history. former is zero if it is not known. Open returns when
// the former history was merged or can't be fetched, at the latest after 3 s. Call
// ConfirmFronts before Open.
func (c *Claimer) Open(ctx context.Context, front shard.ID, owner, former shard.Owner) {
	m, resumed := c.open(time.Now(), front, owner)
	defer close(m.fetched)
	if resumed || former.Host == "" || former.Epoch+1 != owner.Epoch {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	query := historyQuery{Front: front, Owner: former}
	received, err := c.fetchHistory(ctx, query)
	if err != nil {
		return
	}
	c.mergeFormer(time.Now(), m, received)
	query.Done = true
	_, _ = c.fetchPage(ctx, query) // best effort: the former owner discards it after retention anyway
}

func (c *Claimer) open(now time.Time, front shard.ID, owner shard.Owner) (m *ownedHistory, resumed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m = &ownedHistory{owner: owner, fetched: make(chan struct{})}
	if m.history = c.resume(front, owner); m.history != nil {
		resumed = true
	} else {
		m.history = NewHistory(c.historyStart(now), MaxIDs, c.deps.Margins)
	}
	c.owned[front] = m
	return m, resumed
}

// resume returns this host's earlier history under the same claim, or nil. No other
// host has owned the front since.
func (c *Claimer) resume(front shard.ID, owner shard.Owner) *History {
	if m, ok := c.owned[front]; ok && m.owner == owner {
		return m.history
	}
	k, ok := c.retained[front]
	if !ok || k.owner != owner {
		return nil
	}
	delete(c.retained, front)
	return k.history
}

// historyStart returns the time at which a history without IDs of other homes may
// start.
func (c *Claimer) historyStart(now time.Time) time.Time {
	if settled := c.frontsChanged.Add(c.deps.Margins.Propagation); settled.After(now) {
		return settled
	}
	return now
}

// mergeFormer merges the history of the former owner into m. Of the former history
// it trusts only IDs created after all hosts had seen the last change of fronts:
// those have had this home all the time.
func (c *Claimer) mergeFormer(now time.Time, m *ownedHistory, former *snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	settled := c.frontsChanged.Add(c.deps.Margins.Propagation + c.deps.Margins.StartMargin)
	if former.floor.Before(settled) {
		former.floor = settled
	}
	m.history.merge(now, former)
}

// Close ends the history of a front that this host no longer owns, and retains it
// for the next owner.
func (c *Claimer) Close(front shard.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.owned[front]
	if !ok {
		return
	}
	delete(c.owned, front)
	c.retained[front] = &retainedHistory{history: m.history, owner: m.owner}
}

// ScheduleExpiry discards the retained history of a front after 2 minutes, unless
// the next owner fetches it earlier. Call it when the last send of the front has
// ended.
func (c *Claimer) ScheduleExpiry(front shard.ID) {
	c.mu.Lock()
	k := c.retained[front]
	c.mu.Unlock()
	if k != nil {
		time.AfterFunc(retention, func() { c.discard(front, k) })
	}
}

func (c *Claimer) discard(front shard.ID, k *retainedHistory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retained[front] == k {
		delete(c.retained, front)
	}
}

// AwaitHandovers waits until the next owners have fetched every history that this
// host retains, or until ctx ends. The histories are lost when the process exits.
func (c *Claimer) AwaitHandovers(ctx context.Context) {
	for c.retainsAny() && ctx.Err() == nil {
		_ = wait.For(ctx, handoverPollInterval)
	}
}

func (c *Claimer) retainsAny() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.retained) > 0
}

// fetchHistory fetches the complete history of a former owner.
func (c *Claimer) fetchHistory(ctx context.Context, query historyQuery) (*snapshot, error) {
	received := &snapshot{}
	for {
		page, err := c.fetchPageWithRetry(ctx, query)
		if err != nil {
			return nil, err
		}
		if !received.append(page) {
			return nil, &PageError{Front: query.Front, From: query.From}
		}
		query.From = received.len()
		if query.From == page.Total {
			return received, nil
		}
	}
}

// fetchPageWithRetry fetches a page, and tries again if there is no reply.
func (c *Claimer) fetchPageWithRetry(ctx context.Context, query historyQuery) (historyPage, error) {
	var lastErr error
	for range pageAttempts {
		page, err := c.fetchPage(ctx, query)
		var remote *peer.RemoteError
		var notKept *NotRetainedError
		if err == nil || errors.As(err, &remote) || errors.As(err, &notKept) {
			return page, err
		}
		lastErr = err
		if err := wait.For(ctx, pageRetryDelay); err != nil {
			return historyPage{}, err
		}
	}
	return historyPage{}, lastErr
}

func (c *Claimer) fetchPage(ctx context.Context, query historyQuery) (historyPage, error) {
	if query.Owner.Host == c.deps.Self {
		return c.page(query)
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	var page historyPage
	err := c.deps.Caller.Call(ctx, query.Owner.Host, methodHistory, query, &page)
	return page, err
}

func (c *Claimer) handleHistory(_ context.Context, _ fleet.HostID, params []byte) (any, error) {
	var query historyQuery
	if err := json.Unmarshal(params, &query); err != nil {
		return nil, &peer.RemoteError{Kind: peer.KindBadRequest, Message: eris.Wrap(err, "decode memory query").Error()}
	}
	page, err := c.page(query)
	if err != nil {
		return nil, &peer.RemoteError{Kind: peer.KindNotFound, Message: err.Error()}
	}
	return page, nil
}

// page returns a page of a history that this host retains.
func (c *Claimer) page(query historyQuery) (historyPage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.retained[query.Front]
	if !ok || k.owner != query.Owner {
		return historyPage{}, &NotRetainedError{Front: query.Front, Owner: query.Owner}
	}
	if query.Done {
		delete(c.retained, query.Front)
		return historyPage{}, nil
	}
	if k.snapshot == nil {
		k.snapshot = k.history.snapshot()
	}
	return k.snapshot.page(query.From)
}

// awaitFormerHistory waits for the former owner's history if the claim of an ID
// depends on it.
func (c *Claimer) awaitFormerHistory(ctx context.Context, msg claimRequest) {
	c.mu.Lock()
	m, ok := c.owned[msg.Front]
	predates := ok && Created(msg.ID).Before(m.history.floor)
	c.mu.Unlock()
	if !predates {
		return
	}
	timer := time.NewTimer(claimFetchWait)
	defer timer.Stop()
	select {
	case <-m.fetched:
	case <-timer.C:
	case <-ctx.Done():
	}
}
