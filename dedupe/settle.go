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

// peersAsked is how many peers ConfirmFronts asks at most.
const peersAsked = 3

type frontsQuery struct {
	Fronts []shard.ID `json:"fronts"`
}

type frontsReply struct {
	Same  bool  `json:"same"`
	AgeMS int64 `json:"age_ms"` // since the peer has seen the same fronts
}

// ConfirmFronts asks peers how long they have seen the same fronts. A process that
// has just started can't tell, and would otherwise open its memories only
// after Margins.Propagation. Call it before Open.
func (c *Claimer) ConfirmFronts(ctx context.Context, peers []fleet.HostID) {
	for _, host := range peers[:min(peersAsked, len(peers))] {
		fronts, settled := c.settled(time.Now())
		if settled || ctx.Err() != nil {
			return
		}
		reply, err := c.askFronts(ctx, host, fronts)
		if err == nil && reply.Same {
			c.seenFor(fronts, time.Duration(reply.AgeMS)*time.Millisecond)
		}
	}
}

// settled returns the fronts, and whether all hosts have surely seen them.
func (c *Claimer) settled(now time.Time) ([]shard.ID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fronts, !now.Before(c.changed.Add(c.deps.Margins.Propagation))
}

func (c *Claimer) askFronts(ctx context.Context, host fleet.HostID, fronts []shard.ID) (frontsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply frontsReply
	err := c.deps.Caller.Call(ctx, host, methodFronts, frontsQuery{Fronts: fronts}, &reply)
	return reply, err
}

// seenFor notes that a peer has seen these fronts for that long: the time
// that the answer took makes it only longer. A process that has seen a change
// itself knows better than a peer that has not.
func (c *Claimer) seenFor(fronts []shard.ID, age time.Duration) {
	since := time.Now().Add(-age)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first && slices.Equal(fronts, c.fronts) && since.Before(c.changed) {
		c.changed = since
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
	return frontsReply{Same: true, AgeMS: time.Since(c.changed).Milliseconds()}, nil
}
