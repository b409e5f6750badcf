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
	// exchangeInterval is the time between two rounds of calls to peersPerRound
	// peers.
	exchangeInterval = time.Second
	exchangeTimeout  = time.Second
	peersPerRound    = 2
	// batchLimit bounds the summaries in one message.
	batchLimit = 32
)

// exchangeMessage carries changed summaries to a peer, as request and as
// reply.
type exchangeMessage struct {
	Incarnation fleet.Incarnation `json:"incarnation"` // of the sender
	ID          uint64            `json:"id,omitempty"`
	Ack         uint64            `json:"ack,omitempty"` // of the last reply received
	Summaries   []Summary         `json:"summaries,omitempty"`
}

// exchangeSummaries calls random peers of the region until ctx ends.
func (r *Registry) exchangeSummaries(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		r.refreshLocal()
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

// refreshLocal takes this host's summary and numbers it if it has changed.
func (r *Registry) refreshLocal() {
	r.mu.Lock()
	source := r.local
	r.mu.Unlock()
	if source == nil {
		return
	}
	next := source()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.summary.newest[r.deps.Self.ID]
	next.Host = r.deps.Self.ID
	next.Incarnation = r.deps.Self.Incarnation
	next.Sequence = old.Sequence
	if old.Sequence > 0 && reflect.DeepEqual(old, next) {
		return
	}
	next.Sequence++
	r.summary.newest[r.deps.Self.ID] = next
}

// pickPeers returns different random hosts of the region.
func (r *Registry) pickPeers() []fleet.HostID {
	var ids []fleet.HostID
	for _, h := range r.Hosts() {
		if h.ID != r.deps.Self.ID && h.Region == r.deps.Self.Region {
			ids = append(ids, h.ID)
		}
	}
	r.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(peersPerRound, len(ids))]
}

func (r *Registry) exchangeWith(ctx context.Context, id fleet.HostID) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := r.request(id)
	var reply exchangeMessage
	if err := r.deps.Caller.Call(ctx, id, methodExchange, request, &reply); err != nil {
		level.Debug(r.logger).Log("event", "exchange_failed", "peer", id, "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.summary.peer(id, reply.Incarnation)
	p.received(request.Summaries)
	r.take(p, reply)
	p.lastReply = reply.ID
}

func (r *Registry) request(id fleet.HostID) exchangeMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.summary.peer(id, r.hosts[id].host.Incarnation)
	return exchangeMessage{
		Incarnation: r.deps.Self.Incarnation,
		Ack:         p.lastReply,
		Summaries:   r.summary.changes(id, p, batchLimit),
	}
}

// handleExchange answers a peer's summaries with those that it lacks.
func (r *Registry) handleExchange(_ context.Context, from fleet.HostID, req exchangeMessage) (exchangeMessage, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.hosts[from]; !known {
		return exchangeMessage{}, &peer.RemoteError{Kind: peer.KindUnavailable, Reason: "unknown_host", Message: "host record not seen yet"}
	}
	p := r.summary.peer(from, req.Incarnation)
	p.acknowledge(req.Ack)
	r.take(p, req)
	batch := r.summary.changes(from, p, batchLimit)
	r.summary.replies++
	p.replyID = r.summary.replies
	p.reply = versionsOf(batch)
	return exchangeMessage{Incarnation: r.deps.Self.Incarnation, ID: p.replyID, Summaries: batch}, nil
}

// take merges a peer's message. The mutex is held.
func (r *Registry) take(p *peerState, msg exchangeMessage) {
	p.received(msg.Summaries)
	for _, sum := range msg.Summaries {
		r.summary.merge(sum)
	}
}
