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
	// pageIDs bounds one message of a hand-over: 240 KB before its encoding.
	pageIDs       = 10_000
	pageTimeout   = time.Second
	pageTries     = 3
	pageRetry     = 50 * time.Millisecond
	fetchTimeout  = 3 * time.Second        // of a whole memory
	fetchPatience = 400 * time.Millisecond // of a claim; less than claimTimeout
	// keepFor is how long the memory of a front that this host no longer owns
	// is kept for the next owner, from the end of its own sends on.
	keepFor = 2 * time.Minute
	// collectInterval is the time between two looks at what was collected.
	collectInterval = 5 * time.Millisecond
)

// memory is what the owner of a front knows of its IDs.
type memory struct {
	home  *History
	owner shard.Owner
	// fetched is closed once the memory of the former owner was added or
	// given up.
	fetched chan struct{}
}

// kept is the memory of a front that this host has owned, complete as of the
// end of that ownership.
type kept struct {
	home  *History
	owner shard.Owner
	image *image // nil until it is first asked for; frozen from then on
}

// memoryQuery asks for a page of the memory of a former owner.
type memoryQuery struct {
	Front shard.ID    `json:"front"`
	Owner shard.Owner `json:"owner"`          // the former owner
	From  int         `json:"from"`           // number of the first ID
	Done  bool        `json:"done,omitempty"` // the memory has arrived whole
}

type memoryPage struct {
	FloorMS int64  `json:"floor_ms"` // Unix time; IDs created earlier can't be vouched for
	Total   int    `json:"total"`    // IDs in the memory
	Records []byte `json:"records"`
}

// NotRetainedError reports that a host does not keep the memory it is asked for.
type NotRetainedError struct {
	Front shard.ID
	Owner shard.Owner
}

func (e *NotRetainedError) Error() string {
	return fmt.Sprintf("dedupe: no memory of %s as of host %s at epoch %d", e.Front, e.Owner.Host, e.Owner.Epoch)
}

// PageError reports a page of a memory that does not follow the ones before.
type PageError struct {
	Front shard.ID
	From  int // number of the first ID that was asked for
}

func (e *PageError) Error() string {
	return fmt.Sprintf("dedupe: page of %s from %d does not fit", e.Front, e.From)
}

// Open begins the memory of a front that this host has come to own, and adds
// the memory of the former owner if it arrives whole. Meanwhile the host
// vouches for new IDs only. A host that goes on under the same claim goes on
// with its memory. former is zero if it is not known. Open returns when the
// memory was added or given up; call ConfirmFronts before.
func (c *Claimer) Open(ctx context.Context, front shard.ID, owner, former shard.Owner) {
	m, resumed := c.open(time.Now(), front, owner)
	defer close(m.fetched)
	if resumed || former.Host == "" || former.Epoch+1 != owner.Epoch {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	query := memoryQuery{Front: front, Owner: former}
	whole, err := c.fetch(ctx, query)
	if err != nil {
		return
	}
	c.add(time.Now(), m, whole)
	query.Done = true
	_, _ = c.askPage(ctx, query) // best effort: the former owner forgets in time
}

func (c *Claimer) open(now time.Time, front shard.ID, owner shard.Owner) (m *memory, resumed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m = &memory{owner: owner, fetched: make(chan struct{})}
	if m.home = c.resume(front, owner); m.home != nil {
		resumed = true
	} else {
		m.home = NewHistory(c.start(now), MaxIDs, c.deps.Margins)
	}
	c.memories[front] = m
	return m, resumed
}

// resume returns the memory of an earlier run under the same claim, or nil.
// No other host has owned the front since.
func (c *Claimer) resume(front shard.ID, owner shard.Owner) *History {
	if m, ok := c.memories[front]; ok && m.owner == owner {
		return m.home
	}
	k, ok := c.kept[front]
	if !ok || k.owner != owner {
		return nil
	}
	delete(c.kept, front)
	return k.home
}

// start returns when a memory may begin that knows nothing of other homes.
func (c *Claimer) start(now time.Time) time.Time {
	if settled := c.changed.Add(c.deps.Margins.Propagation); settled.After(now) {
		return settled
	}
	return now
}

// add adds the memory of a former owner to one that is still in use. The IDs
// that it vouches for had this home all the time since the fronts last changed.
func (c *Claimer) add(now time.Time, m *memory, former *image) {
	c.mu.Lock()
	defer c.mu.Unlock()
	settled := c.changed.Add(c.deps.Margins.Propagation + c.deps.Margins.ClockSkew)
	if former.floor.Before(settled) {
		former.floor = settled
	}
	m.home.merge(now, former)
}

// Close ends the memory of a front that this host no longer owns, and keeps
// it for the next owner.
func (c *Claimer) Close(front shard.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.memories[front]
	if !ok {
		return
	}
	delete(c.memories, front)
	c.kept[front] = &kept{home: m.home, owner: m.owner}
}

// ScheduleExpiry forgets a memory that was kept, unless the next owner collects it
// soon. Call it when the last send of the front has ended.
func (c *Claimer) ScheduleExpiry(front shard.ID) {
	c.mu.Lock()
	k := c.kept[front]
	c.mu.Unlock()
	if k != nil {
		time.AfterFunc(keepFor, func() { c.forget(front, k) })
	}
}

func (c *Claimer) forget(front shard.ID, k *kept) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept[front] == k {
		delete(c.kept, front)
	}
}

// AwaitHandovers waits until the next owners have collected every memory that
// this host keeps, or until ctx ends. A process that ends forgets them.
func (c *Claimer) AwaitHandovers(ctx context.Context) {
	for c.keeps() && ctx.Err() == nil {
		_ = wait.For(ctx, collectInterval)
	}
}

func (c *Claimer) keeps() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.kept) > 0
}

// fetch collects the memory of a former owner. It returns all of it or an
// error.
func (c *Claimer) fetch(ctx context.Context, query memoryQuery) (*image, error) {
	whole := &image{}
	for {
		page, err := c.retryPage(ctx, query)
		if err != nil {
			return nil, err
		}
		if !whole.append(page) {
			return nil, &PageError{Front: query.Front, From: query.From}
		}
		query.From = whole.len()
		if query.From == page.Total {
			return whole, nil
		}
	}
}

// retryPage asks for a page again after a lost answer.
func (c *Claimer) retryPage(ctx context.Context, query memoryQuery) (memoryPage, error) {
	var last error
	for range pageTries {
		page, err := c.askPage(ctx, query)
		var remote *peer.RemoteError
		var notKept *NotRetainedError
		if err == nil || errors.As(err, &remote) || errors.As(err, &notKept) {
			return page, err
		}
		last = err
		if err := wait.For(ctx, pageRetry); err != nil {
			return memoryPage{}, err
		}
	}
	return memoryPage{}, last
}

func (c *Claimer) askPage(ctx context.Context, query memoryQuery) (memoryPage, error) {
	if query.Owner.Host == c.deps.Self {
		return c.page(query)
	}
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	var page memoryPage
	err := c.deps.Caller.Call(ctx, query.Owner.Host, methodMemory, query, &page)
	return page, err
}

func (c *Claimer) handleMemory(_ context.Context, _ fleet.HostID, params []byte) (any, error) {
	var query memoryQuery
	if err := json.Unmarshal(params, &query); err != nil {
		return nil, &peer.RemoteError{Kind: peer.KindBadRequest, Message: eris.Wrap(err, "decode memory query").Error()}
	}
	page, err := c.page(query)
	if err != nil {
		return nil, &peer.RemoteError{Kind: peer.KindNotFound, Message: err.Error()}
	}
	return page, nil
}

// page returns a page of a memory that this host keeps.
func (c *Claimer) page(query memoryQuery) (memoryPage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.kept[query.Front]
	if !ok || k.owner != query.Owner {
		return memoryPage{}, &NotRetainedError{Front: query.Front, Owner: query.Owner}
	}
	if query.Done {
		delete(c.kept, query.Front)
		return memoryPage{}, nil
	}
	if k.image == nil {
		k.image = k.home.image()
	}
	return k.image.page(query.From)
}

// awaitFetched waits for the memory of a former owner if the claim of an ID
// depends on it.
func (c *Claimer) awaitFetched(ctx context.Context, msg message) {
	c.mu.Lock()
	m, ok := c.memories[msg.Front]
	older := ok && Created(msg.ID).Before(m.home.floor)
	c.mu.Unlock()
	if !older {
		return
	}
	timer := time.NewTimer(fetchPatience)
	defer timer.Stop()
	select {
	case <-m.fetched:
	case <-timer.C:
	case <-ctx.Done():
	}
}
