package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
)

const (
	peerSlots = 256 // requests at once that are forwarded to one peer
	// hopTime is kept from the deadline for the way back.
	hopTime = 5 * time.Millisecond
	// peersTried is how many peers a request may be offered to.
	peersTried = 2
	// deadPeerRest is how long a peer that could not be reached gets no
	// requests. Its last summary may be as old as its lease.
	deadPeerRest = 2 * time.Second
	// fullPeerRest is the same for one that refused a request: its summary was
	// older than the use of its slots.
	fullPeerRest = 200 * time.Millisecond
)

// peerKey names one process of a peer.
type peerKey struct {
	host        fleet.HostID
	incarnation fleet.Incarnation
	address     string
}

type peerPool struct {
	pool      *backend.Pool
	restUntil time.Time // guarded by Gateway.mu
}

// sendElsewhere forwards a request that finds the own servers full, at most
// one hop. It returns false if there is no peer to ask. A peer that did not
// run the request rests, and another one is asked.
func (g *Gateway) sendElsewhere(ctx context.Context, q *request) (*backend.Response, error, bool) {
	if q.forwarded {
		// The first host chose this one for its free slots. They are gone, and
		// it can queue the request best.
		return nil, q.service.refusal(), true
	}
	var last error
	for range peersTried {
		host, ok := g.choosePeer(q.service.name, time.Now())
		if !ok {
			break
		}
		resp, err, asked := g.sendTo(ctx, q, host)
		if !asked {
			break
		}
		if err == nil {
			return resp, nil, true
		}
		last = err
		if describe(err).outcome != backend.NotRun || ctx.Err() != nil || q.streamed() {
			break
		}
		g.rest(host, time.Now(), err)
	}
	return nil, last, last != nil
}

// sendTo forwards a request to one peer. It returns false if too many are on
// their way there.
func (g *Gateway) sendTo(ctx context.Context, q *request, host member.Host) (*backend.Response, error, bool) {
	slot, ok := g.peer(host).pool.TryAcquire(nil)
	if !ok {
		return nil, nil, false
	}
	g.metrics.forwarded.Add(1)
	resp, err := slot.Do(ctx, g.forwarded(q, host))
	if err != nil {
		return nil, err, true
	}
	if err := peerFailure(resp); err != nil {
		resp.Close()
		return nil, err, true
	}
	return resp, nil, true
}

// forwarded builds the request to a peer.
func (g *Gateway) forwarded(q *request, host member.Host) backend.Request {
	left := time.Until(q.deadline) - hopTime
	out := q.outgoing(host.HTTPAddress)
	out.URL = &url.URL{
		Scheme:   "http",
		Host:     host.HTTPAddress,
		Path:     q.in.URL.Path,
		RawPath:  q.in.URL.RawPath,
		RawQuery: q.in.URL.RawQuery,
	}
	out.Header = q.header.Clone()
	out.Header.Set(HeaderHop, "1")
	if token, ok := q.in.Header[headerAuthorization]; ok {
		out.Header[headerAuthorization] = token
	}
	out.Header.Set(HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	out.Header.Set(HeaderIdempotent, strconv.FormatBool(q.idempotent))
	t := timeouts(&q.values)
	t.FirstByte = max(left, t.FirstByte) // the peer's own limits apply to its server
	return backend.Request{
		HTTP:        out,
		Streamed:    q.streamed(),
		BufferBytes: q.values.BufferBytes,
		Timeouts:    t,
		Deadline:    q.deadline,
	}
}

// peerFailure returns a peer's answer as an error unless it is an answer of a
// backend server.
func peerFailure(resp *backend.Response) error {
	outcome := backend.Outcome(resp.Header.Get(HeaderOutcome))
	switch outcome {
	case backend.Answered:
		return nil
	case backend.NotRun, backend.Unknown:
		ms, _ := strconv.ParseInt(resp.Header.Get(HeaderRetryAfterMS), 10, 64) // 0 if absent
		return &PeerError{
			Status:     resp.Status,
			Outcome:    outcome,
			Reason:     resp.Header.Get(HeaderReason),
			RetryAfter: time.Duration(ms) * time.Millisecond,
		}
	default:
		return &PeerError{Status: http.StatusBadGateway, Outcome: backend.Unknown, Reason: reasonPeer}
	}
}

// choosePeer returns the one with more free slots of two random members of
// the region that have some and do not rest. If none has, it returns one that
// has claimed servers a moment ago.
func (g *Gateway) choosePeer(name fleet.Service, now time.Time) (member.Host, bool) {
	hosts := g.deps.Members.Hosts()
	var best member.Host
	most := 0
	for range 2 {
		host, free := g.randomPeer(hosts, name, now)
		if free > most {
			most = free
			best = host
		}
	}
	if most > 0 {
		return best, true
	}
	return g.claimedPeer(name, now)
}

// randomPeer returns the first host with free slots from a random place on.
func (g *Gateway) randomPeer(hosts []member.Host, name fleet.Service, now time.Time) (member.Host, int) {
	if len(hosts) == 0 {
		return member.Host{}, 0
	}
	start := randomIndex(len(hosts))
	for i := range hosts {
		host := hosts[(start+i)%len(hosts)]
		if host.ID == g.deps.Self.ID || host.Region != g.deps.Self.Region || g.rests(host, now) {
			continue
		}
		sum, ok := g.deps.Members.Summary(host.ID)
		if ok && !sum.Draining && sum.Incarnation == host.Incarnation && sum.Services[name].Free > 0 {
			return host, sum.Services[name].Free
		}
	}
	return member.Host{}, 0
}

// rest keeps requests from a peer that did not run one for a while.
func (g *Gateway) rest(host member.Host, now time.Time, err error) {
	span := deadPeerRest
	var refused *PeerError
	if errors.As(err, &refused) {
		span = fullPeerRest
	}
	p := g.peer(host)
	g.mu.Lock()
	defer g.mu.Unlock()
	p.restUntil = now.Add(span)
}

func (g *Gateway) rests(host member.Host, now time.Time) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	p, ok := g.peers[keyOf(host)]
	return ok && now.Before(p.restUntil)
}

func keyOf(host member.Host) peerKey {
	return peerKey{host.ID, host.Incarnation, host.HTTPAddress}
}

func (g *Gateway) peer(host member.Host) *peerPool {
	key := keyOf(host)
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[key]
	if !ok {
		limits := backend.Limits{Slots: peerSlots, Connections: 2 * peerSlots}
		p = &peerPool{pool: backend.NewPool(host.HTTPAddress, limits, g.peerDial(host.ID))}
		g.peers[key] = p
	}
	return p
}

// peerDial returns how connections to a peer are opened. With TLS its
// certificate must name its host ID.
func (g *Gateway) peerDial(id fleet.HostID) backend.DialFunc {
	if g.deps.PeerTLS == nil {
		return g.deps.Dial
	}
	config := g.deps.PeerTLS.Clone()
	config.ServerName = string(id)
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := backend.DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(conn, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, err
		}
		return secured, nil
	}
}

// sweepPeers closes unused connections to peers and forgets peers without
// any.
func (g *Gateway) sweepPeers(now time.Time) {
	for key, p := range g.peers {
		p.pool.CloseIdle(now.Add(-backend.MaxIdle))
		if u := p.pool.Usage(); u.Slots == 0 && u.Connections == 0 && now.After(p.restUntil) {
			p.pool.Close()
			delete(g.peers, key)
		}
	}
}
