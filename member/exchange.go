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
	// A host publishes changes of its load no more often than this, and less
	// often the more hosts there are, which keeps the bytes per host constant.
	publishInterval = time.Second
	publishPerHost  = 70 * time.Millisecond
)

// exchangeMessage carries changed summaries to a peer, as request and as
// reply.
type exchangeMessage struct {
	Incarnation fleet.Incarnation `json:"incarnation"` // of the sender
	ID          uint64            `json:"id,omitempty"`
	Ack         uint64            `json:"ack,omitempty"`       // of the last reply received
	Summaries   []byte            `json:"summaries,omitempty"` // compressed
}

// exchangeSummaries calls random peers of the region until ctx ends.
func (r *Registry) exchangeSummaries(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		r.refreshLocal(r.now())
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

// refreshLocal takes this host's summary and numbers it if it is to be
// published.
func (r *Registry) refreshLocal(now time.Time) {
	r.mu.Lock()
	source := r.local
	r.mu.Unlock()
	if source == nil {
		return
	}
	next := source()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.summary.newest[r.deps.Self.ID].Summary
	next.Host = r.deps.Self.ID
	next.Incarnation = r.deps.Self.Incarnation
	next.Sequence = old.Sequence
	due := now.Sub(r.published) >= r.publishAfter()
	if !urgent(old, next) && (!due || reflect.DeepEqual(old, next)) {
		return
	}
	next.Sequence++
	r.published = now
	r.summary.newest[r.deps.Self.ID] = entry{Summary: next, learned: now}
}

// publishAfter returns the time between two changes of load that a host
// publishes. The mutex is held.
func (r *Registry) publishAfter() time.Duration {
	return max(publishInterval, time.Duration(len(r.hosts))*publishPerHost)
}

// urgent reports whether a change is more than one of load.
func urgent(old, next Summary) bool {
	return old.Sequence == 0 || old.Settings != next.Settings || old.StoreOK != next.StoreOK || old.Draining != next.Draining
}

// pickPeers returns different random hosts of the region.
func (r *Registry) pickPeers() []fleet.HostID {
	ids := r.regionPeers()
	r.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(peersPerRound, len(ids))]
}

func (r *Registry) exchangeWith(ctx context.Context, id fleet.HostID) {
	now := r.now()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	batch, request, err := r.request(now, id)
	if err != nil {
		level.Error(r.logger).Log("event", "summaries_not_encoded", "err", err)
		return
	}
	var reply exchangeMessage
	if err := r.deps.Caller.Call(ctx, id, methodExchange, request, &reply); err != nil {
		level.Debug(r.logger).Log("event", "exchange_failed", "peer", id, "err", err)
		return
	}
	answer, err := decodeBatch(reply.Summaries)
	if err != nil {
		level.Warn(r.logger).Log("event", "exchange_failed", "peer", id, "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.summary.peer(id, reply.Incarnation)
	p.received(batch)
	r.summary.take(now, p, answer)
	p.lastReply = reply.ID
}

// request returns what to send to a peer.
func (r *Registry) request(now time.Time, id fleet.HostID) ([]Summary, exchangeMessage, error) {
	r.mu.Lock()
	p := r.summary.peer(id, r.hosts[id].host.Incarnation)
	batch := r.summary.changes(now, id, p, batchLimit)
	msg := exchangeMessage{Incarnation: r.deps.Self.Incarnation, Ack: p.lastReply}
	r.mu.Unlock()
	data, err := encodeBatch(batch)
	msg.Summaries = data
	return batch, msg, err
}

// handleExchange answers a peer's summaries with those that it lacks.
func (r *Registry) handleExchange(_ context.Context, from fleet.HostID, req exchangeMessage) (exchangeMessage, error) {
	news, err := decodeBatch(req.Summaries)
	if err != nil {
		return exchangeMessage{}, &peer.RemoteError{Kind: peer.KindBadRequest, Message: err.Error()}
	}
	batch, id, err := r.answer(r.now(), from, req, news)
	if err != nil {
		return exchangeMessage{}, err
	}
	data, err := encodeBatch(batch)
	return exchangeMessage{Incarnation: r.deps.Self.Incarnation, ID: id, Summaries: data}, err
}

// answer takes a peer's news and returns what it lacks, with the number of
// the reply.
func (r *Registry) answer(now time.Time, from fleet.HostID, req exchangeMessage, news []Summary) ([]Summary, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.hosts[from]; !known {
		return nil, 0, &peer.RemoteError{Kind: peer.KindUnavailable, Reason: "unknown_host", Message: "host record not seen yet"}
	}
	p := r.summary.peer(from, req.Incarnation)
	p.acknowledge(req.Ack)
	r.summary.take(now, p, news)
	batch := r.summary.changes(now, from, p, batchLimit)
	return batch, r.summary.replied(p, batch), nil
}
