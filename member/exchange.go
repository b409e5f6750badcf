package member

import (
	"context"
	"reflect"
	"time"

	"github.com/go-kit/log/level"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/peer"
)

const (
	methodExchange = "member.exchange"
	// exchangeInterval is the time between two rounds of exchanges, each with
	// peersPerRound peers.
	exchangeInterval = time.Second
	exchangeTimeout  = time.Second
	peersPerRound    = 2
	// batchLimit is the maximum number of summaries in one message.
	batchLimit = 32
	// A host publishes changes of its load at intervals of at least
	// publishInterval and of publishPerHost for each known host, which keeps the
	// traffic per host constant as their number grows.
	publishInterval = time.Second
	publishPerHost  = 70 * time.Millisecond
)

// exchangeMessage carries changed summaries to a peer, in requests and in replies.
type exchangeMessage struct {
	Incarnation fleet.Incarnation `json:"incarnation"`         // of the sender
	ID          uint64            `json:"id,omitempty"`        // of a reply
	Ack         uint64            `json:"ack,omitempty"`       // in a request: ID of the last reply received
	Summaries   []byte            `json:"summaries,omitempty"` // compressed
}

// exchangeSummaries exchanges summaries with random peers of the region until ctx
// is done.
func (r *Registry) exchangeSummaries(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		r.refreshOwnSummary(r.now())
		for _, id := range r.pickPeers() {
			go r.exchangeWith(ctx, id)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// refreshOwnSummary reads this host's summary from its source, and gives it a new
// sequence number if it is to be published now.
func (r *Registry) refreshOwnSummary(now time.Time) {
	r.mu.Lock()
	source := r.summarySource
	r.mu.Unlock()
	if source == nil {
		return
	}
	next := source()
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.summaries.newest[r.deps.Self.ID].Summary
	next.Host = r.deps.Self.ID
	next.Incarnation = r.deps.Self.Incarnation
	next.Sequence = previous.Sequence
	due := now.Sub(r.lastPublished) >= r.currentPublishInterval()
	if !needsImmediatePublish(previous, next) && (!due || reflect.DeepEqual(previous, next)) {
		return
	}
	next.Sequence++
	r.lastPublished = now
	r.summaries.newest[r.deps.Self.ID] = entry{Summary: next, receivedAt: now}
}

// currentPublishInterval returns the minimum time between two published changes of
// load. The caller holds the mutex.
func (r *Registry) currentPublishInterval() time.Duration {
	return max(publishInterval, time.Duration(len(r.hosts))*publishPerHost)
}

// needsImmediatePublish reports whether next is the first summary or differs from
// previous in more than load.
func needsImmediatePublish(previous, next Summary) bool {
	return previous.Sequence == 0 || previous.Settings != next.Settings || previous.StoreOK != next.StoreOK || previous.Draining != next.Draining
}

// pickPeers returns up to peersPerRound distinct random hosts of the region.
func (r *Registry) pickPeers() []fleet.HostID {
	ids := r.regionPeers()
	r.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(peersPerRound, len(ids))]
}

// exchangeWith sends a peer the summaries that it may lack and merges those of its
// reply.
func (r *Registry) exchangeWith(ctx context.Context, id fleet.HostID) {
	now := r.now()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	batch, request, err := r.buildRequest(now, id)
	if err != nil {
		level.Error(r.logger).Log("event", "summaries_not_encoded", "err", err)
		return
	}
	var reply exchangeMessage
	if err := r.deps.Peers.Call(ctx, id, methodExchange, request, &reply); err != nil {
		level.Debug(r.logger).Log("event", "exchange_failed", "peer", id, "err", err)
		return
	}
	replyBatch, err := decodeBatch(reply.Summaries)
	if err != nil {
		level.Warn(r.logger).Log("event", "exchange_failed", "peer", id, "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.summaries.peer(id, reply.Incarnation)
	p.markHeldBatch(batch)
	r.summaries.mergeBatch(now, p, replyBatch)
	p.receivedReplyID = reply.ID
}

// buildRequest returns the request to send to a peer, and the batch of summaries
// that it carries.
func (r *Registry) buildRequest(now time.Time, id fleet.HostID) ([]Summary, exchangeMessage, error) {
	r.mu.Lock()
	p := r.summaries.peer(id, r.hosts[id].host.Incarnation)
	batch := r.summaries.changesFor(now, id, p, batchLimit)
	msg := exchangeMessage{Incarnation: r.deps.Self.Incarnation, Ack: p.receivedReplyID}
	r.mu.Unlock()
	data, err := encodeBatch(batch)
	msg.Summaries = data
	return batch, msg, err
}

// handleExchange merges a peer's summaries and replies with those that the peer
// may lack.
func (r *Registry) handleExchange(_ context.Context, from fleet.HostID, req exchangeMessage) (exchangeMessage, error) {
	received, err := decodeBatch(req.Summaries)
	if err != nil {
		return exchangeMessage{}, &peer.RemoteError{Kind: peer.KindBadRequest, Message: err.Error()}
	}
	batch, id, err := r.reply(r.now(), from, req, received)
	if err != nil {
		return exchangeMessage{}, err
	}
	data, err := encodeBatch(batch)
	return exchangeMessage{Incarnation: r.deps.Self.Incarnation, ID: id, Summaries: data}, err
}

// reply merges the summaries received from a peer and returns those that the peer
// may lack, with the ID of the reply.
func (r *Registry) reply(now time.Time, from fleet.HostID, req exchangeMessage, received []Summary) ([]Summary, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.hosts[from]; !known {
		return nil, 0, &peer.RemoteError{Kind: peer.KindUnavailable, Reason: "unknown_host", Message: "host record not seen yet"}
	}
	p := r.summaries.peer(from, req.Incarnation)
	p.acknowledge(req.Ack)
	r.summaries.mergeBatch(now, p, received)
	batch := r.summaries.changesFor(now, from, p, batchLimit)
	return batch, r.summaries.recordReply(p, batch), nil
}
