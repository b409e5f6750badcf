package dedupe

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// maxPeersQueried is the maximum number of peers that ConfirmFronts queries.
const maxPeersQueried = 3

type frontsQuery struct {
	Fronts []shard.ID `json:"fronts"`
}

type frontsReply struct {
	Same  bool  `json:"same"`
	AgeMS int64 `json:"age_ms"` // time since the peer first saw the same fronts
}

// ConfirmFronts asks peers how long they have seen the same fronts. A process that
// has just started does not know it, and would otherwise start its histories only
// after Margins.Propagation. Call ConfirmFronts before Open.
func (c *Claimer) ConfirmFronts(ctx context.Context, peers []fleet.HostID) {
	for _, host := range peers[:min(maxPeersQueried, len(peers))] {
		fronts, settled := c.frontsSettled(time.Now())
		if settled || ctx.Err() != nil {
			return
		}
		reply, err := c.queryFronts(ctx, host, fronts)
		if err == nil && reply.Same {
			c.recordFrontsAge(fronts, time.Duration(reply.AgeMS)*time.Millisecond)
		}
	}
}

// frontsSettled returns the fronts, and whether all hosts are certain to see them.
func (c *Claimer) frontsSettled(now time.Time) ([]shard.ID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fronts, !now.Before(c.frontsChanged.Add(c.deps.Margins.Propagation))
}

func (c *Claimer) queryFronts(ctx context.Context, host fleet.HostID, fronts []shard.ID) (frontsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply frontsReply
	err := c.deps.Caller.Call(ctx, host, methodFronts, frontsQuery{Fronts: fronts}, &reply)
	return reply, err
}

// recordFrontsAge records that a peer has seen these fronts for age. The actual age
// is longer by the delay of the reply, which is on the safe side. It is ignored if
// this process has seen a change itself, which the peer may not have seen.
func (c *Claimer) recordFrontsAge(fronts []shard.ID, age time.Duration) {
	since := time.Now().Add(-age)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstFronts && slices.Equal(fronts, c.fronts) && since.Before(c.frontsChanged) {
		c.frontsChanged = since
	}
}

func (c *Claimer) handleFronts(_ context.Context, _ fleet.HostID, params []byte) (any, error) {
	var query frontsQuery
	if err := json.Unmarshal(params, &query); err != nil {
		return nil, &peer.RemoteError{Kind: peer.KindBadRequest, Message: eris.Wrap(err, "decode fronts").Error()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.fronts) == 0 || !slices.Equal(query.Fronts, c.fronts) {
		return frontsReply{}, nil
	}
	return frontsReply{Same: true, AgeMS: time.Since(c.frontsChanged).Milliseconds()}, nil
}
