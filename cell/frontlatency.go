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
	// methodLatencies asks a host for what it measured of a cell's backend servers.
	methodLatencies = "cell.latencies"
	// latencyTimeout is the longest that one such call takes.
	latencyTimeout = time.Second
	// latencyFresh is how long after its call was sent an answer counts.
	latencyFresh = 3 * time.Second
	// maxLatencies bounds the servers in one answer.
	maxLatencies = 512
)

// latencyRequest names the cell.
type latencyRequest struct {
	Cell shard.ID `json:"cell"`
}

// latencyReply is what the host measured lately.
type latencyReply struct {
	Servers []serverLatency `json:"servers"`
}

type serverLatency struct {
	ID    fleet.ServerID `json:"id"`
	P99US int64          `json:"p99_us"`
	Load  float64        `json:"load"`
}

// frontLatencies are the measurements of the owner of the cell's front, while
// that is another host.
type frontLatencies struct {
	asking  bool      // a call is under way
	askedAt time.Time // when the call was sent that was answered last
	servers map[fleet.ServerID]Latency
}

// handleLatencies answers with what this host's own gateway measured.
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
	members.update(s.deps.Hosts.Hosts(), dc, n, s.deps.Settings.Current().DataCentres()[dc].Cells)
	for _, servers := range members.servers {
		for _, server := range servers {
			measured, ok := s.deps.Latencies.Latency(server)
			if !ok || len(reply.Servers) == maxLatencies {
				continue
			}
			reply.Servers = append(reply.Servers, serverLatency{
				ID: server.ID, P99US: measured.P99.Microseconds(), Load: measured.Load,
			})
		}
	}
	return reply, nil
}

// latency returns what was measured of a backend server lately: by this host,
// or else by the owner of the cell's front.
func (s *session) latency(server inventory.Server, now time.Time) (Latency, bool) {
	if measured, ok := s.deps.Latencies.Latency(server); ok {
		return measured, true
	}
	if now.Sub(s.fronts.askedAt) > latencyFresh {
		return Latency{}, false
	}
	measured, ok := s.fronts.servers[server.ID]
	return measured, ok
}

// askFront asks the owner of the cell's front, if that is another host, for
// what this host has not measured. One call is under way at a time. The mutex
// is held.
func (s *session) askFront(ctx context.Context, now time.Time) {
	if s.fronts.asking || !s.lacksLatencies() {
		return
	}
	front := shard.NewID(shard.KindFront, string(s.dc), s.number)
	owner, ok := s.deps.Directory.Owner(front)
	if !ok || owner.Host == s.owner.Host {
		return
	}
	s.fronts.asking = true
	s.vars.Add(varLatencyCalls, 1)
	s.calls.Go(func() { s.fetchLatencies(ctx, owner.Host, now) })
}

// lacksLatencies reports whether this host does not measure all of the cell's
// backend servers.
func (s *session) lacksLatencies() bool {
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
	s.fronts.asking = false
	if err != nil {
		s.vars.Add(varLatencyFailed, 1)
		return
	}
	s.fronts.askedAt = sentAt
	s.fronts.servers = make(map[fleet.ServerID]Latency, len(reply.Servers))
	for _, l := range reply.Servers {
		s.fronts.servers[l.ID] = Latency{P99: time.Duration(l.P99US) * time.Microsecond, Load: l.Load}
	}
}
