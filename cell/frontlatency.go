package cell

import (
	"context"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	// methodLatencies requests the latencies of a cell's backend servers as
	// measured by the called host.
	methodLatencies = "cell.latencies"
	// latencyTimeout is the timeout of such a call.
	latencyTimeout = time.Second
	// latencyMaxAge is how long a reply is used, from when its call was sent.
	latencyMaxAge = 3 * time.Second
	// maxLatencies is the maximum number of servers in a reply.
	maxLatencies = 512
)

// latencyRequest names the cell.
type latencyRequest struct {
	Cell shard.ID `json:"cell"`
}

// latencyReply lists the recent measurements of the called host.
type latencyReply struct {
	Servers []serverLatency `json:"servers"`
}

type serverLatency struct {
	ID          fleet.ServerID `json:"id"`
	P99US       int64          `json:"p99_us"`
	Utilisation float64        `json:"load"`
}

// frontLatencies holds the measurements of the owner of the cell's front, if
// that is another host.
type frontLatencies struct {
	inFlight bool      // a call is in flight
	sentAt   time.Time // when the last answered call was sent
	servers  map[fleet.ServerID]Latency
}

// handleLatencies replies with the measurements of this host's own gateway.
func (s *Server) handleLatencies(_ context.Context, _ fleet.HostID, req latencyRequest) (latencyReply, error) {
	var reply latencyReply
	dc, n, err := parseID(req.Cell)
	if err != nil {
		return reply, &peer.RemoteError{Kind: peer.KindBadRequest, Message: err.Error()}
	}
	if s.deps.Latencies == nil {
		return reply, nil
	}
	var members membership
	members.update(s.deps.Inventory.Hosts(), dc, n, s.deps.Settings.Current().DataCentres()[dc].Cells)
	for _, servers := range members.servers {
		for _, server := range servers {
			measured, ok := s.deps.Latencies.Latency(server)
			if !ok || len(reply.Servers) == maxLatencies {
				continue
			}
			reply.Servers = append(reply.Servers, serverLatency{
				ID: server.ID, P99US: measured.P99.Microseconds(), Utilisation: measured.Utilisation,
			})
		}
	}
	return reply, nil
}

// latency returns the recent latency of a backend server as measured by this
// host, or else by the owner of the cell's front.
func (s *session) latency(server inventory.Server, now time.Time) (Latency, bool) {
	if measured, ok := s.deps.Latencies.Latency(server); ok {
		return measured, true
	}
	if now.Sub(s.frontLatencies.sentAt) > latencyMaxAge {
		return Latency{}, false
	}
	measured, ok := s.frontLatencies.servers[server.ID]
	return measured, ok
}

// requestFrontLatencies requests the measurements of the owner of the cell's
// front, if that is another host and this host lacks some. At most one call is
// in flight. The caller holds the mutex.
func (s *session) requestFrontLatencies(ctx context.Context, now time.Time) {
	if s.frontLatencies.inFlight || !s.hasUnmeasuredServers() {
		return
	}
	front := shard.NewID(shard.KindFront, string(s.dc), s.number)
	owner, ok := s.deps.Shards.Owner(front)
	if !ok || owner.Host == s.owner.Host {
		return
	}
	s.frontLatencies.inFlight = true
	s.vars.Add(varLatencyCalls, 1)
	s.calls.Go(func() { s.fetchLatencies(ctx, owner.Host, now) })
}

// hasUnmeasuredServers reports whether this host lacks a measurement of any of
// the cell's backend servers.
func (s *session) hasUnmeasuredServers() bool {
	for _, servers := range s.members.servers {
		for _, server := range servers {
			if _, ok := s.deps.Latencies.Latency(server); !ok {
				return true
			}
		}
	}
	return false
}

func (s *session) fetchLatencies(ctx context.Context, host fleet.HostID, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, latencyTimeout)
	defer cancel()
	var reply latencyReply
	err := s.deps.Peers.Call(ctx, host, methodLatencies, latencyRequest{Cell: s.id}, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frontLatencies.inFlight = false
	if err != nil {
		s.vars.Add(varLatencyCallsFailed, 1)
		return
	}
	s.frontLatencies.sentAt = sentAt
	s.frontLatencies.servers = make(map[fleet.ServerID]Latency, len(reply.Servers))
	for _, l := range reply.Servers {
		s.frontLatencies.servers[l.ID] = Latency{P99: time.Duration(l.P99US) * time.Microsecond, Utilisation: l.Utilisation}
	}
}
