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
	peerSlots = 256 // concurrent requests that are forwarded to one peer
	// hopMargin is subtracted from the time left to the deadline of a forwarded
	// request, so that its response can still travel back.
	hopMargin = 5 * time.Millisecond
	// maxPeerAttempts is the maximum number of peers to which a request is
	// forwarded.
	maxPeerAttempts = 2
	// unreachablePeerBackoff is how long no requests are forwarded to a peer that
	// could not be reached. Its last summary may be as old as its lease.
	unreachablePeerBackoff = 2 * time.Second
	// fullPeerBackoff is the same for a peer that refused a request: its slots
	// were taken after its last summary.
	fullPeerBackoff = 200 * time.Millisecond
)

// peerKey identifies one process of a peer.
type peerKey struct {
	host        fleet.HostID
	incarnation fleet.Incarnation
	address     string
}

// peerPool holds the connections to one process of a peer.
type peerPool struct {
	pool         *backend.Pool
	backOffUntil time.Time // guarded by Gateway.mu
}

// sendToPeers forwards a request for which the servers of this host have no free
// slot, by at most one hop. It returns false if there was no peer to send it to.
// If a peer did not run the request, no requests are sent to that peer for a
// while, and the next peer is tried.
func (g *Gateway) sendToPeers(ctx context.Context, q *request) (*backend.Response, error, bool) {
	if q.forwarded {
		// The first host chose this one for its free slots. They have been taken
		// since, and the request is queued best at the first host.
		return nil, q.service.queueFullError(), true
	}
	var lastErr error
	for range maxPeerAttempts {
		host, ok := g.choosePeer(q.service.name, time.Now())
		if !ok {
			break
		}
		resp, err, sent := g.sendToPeer(ctx, q, host)
		if !sent {
			break
		}
		if err == nil {
			return resp, nil, true
		}
		lastErr = err
		if failureOf(err).outcome != backend.NotRun || ctx.Err() != nil || q.streamed() {
			break
		}
		g.backOff(host, time.Now(), err)
	}
	return nil, lastErr, lastErr != nil
}

// sendToPeer forwards a request to one peer. It returns false if peerSlots
// requests to it are already in progress.
func (g *Gateway) sendToPeer(ctx context.Context, q *request, host member.Host) (*backend.Response, error, bool) {
	slot, ok := g.peerPoolOf(host).pool.TryAcquire(nil)
	if !ok {
		return nil, nil, false
	}
	g.metrics.forwarded.Add(1)
	resp, err := slot.Do(ctx, g.forwardedRequest(q, host))
	if err != nil {
		return nil, err, true
	}
	if err := peerFailure(resp); err != nil {
		resp.Close()
		return nil, err, true
	}
	return resp, nil, true
}

// forwardedRequest builds the request to a peer.
func (g *Gateway) forwardedRequest(q *request, host member.Host) backend.Request {
	remaining := time.Until(q.deadline) - hopMargin
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
	out.Header.Set(HeaderTimeout, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	out.Header.Set(HeaderIdempotent, strconv.FormatBool(q.idempotent))
	t := timeouts(&q.values)
	t.FirstByte = max(remaining, t.FirstByte) // the peer applies its own timeouts to its server
	return backend.Request{
		HTTP:        out,
		Streamed:    q.streamed(),
		BufferBytes: q.values.BufferBytes,
		Timeouts:    t,
		Deadline:    q.deadline,
	}
}

// peerFailure returns a peer's response as an error, or nil if the response is
// that of a backend server.
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
		return &PeerError{Status: http.StatusBadGateway, Outcome: backend.Unknown, Reason: reasonPeerFailed}
	}
}

// choosePeer picks two random hosts of the region that have free slots and are
// not backed off, and returns the one with more free slots. If there is none, it
// returns a host that has claimed servers recently.
func (g *Gateway) choosePeer(name fleet.Service, now time.Time) (member.Host, bool) {
	hosts := g.deps.Members.Hosts()
	var best member.Host
	mostFree := 0
	for range 2 {
		host, free := g.randomPeer(hosts, name, now)
		if free > mostFree {
			mostFree = free
			best = host
		}
	}
	if mostFree > 0 {
		return best, true
	}
	return g.claimedPeer(name, now)
}

// randomPeer returns the first host with free slots after a random position in
// hosts, and the number of its free slots.
func (g *Gateway) randomPeer(hosts []member.Host, name fleet.Service, now time.Time) (member.Host, int) {
	if len(hosts) == 0 {
		return member.Host{}, 0
	}
	start := randomIndex(len(hosts))
	for i := range hosts {
		host := hosts[(start+i)%len(hosts)]
		if host.ID == g.deps.Self.ID || host.Region != g.deps.Self.Region || g.isBackedOff(host, now) {
			continue
		}
		summary, ok := g.deps.Members.Summary(host.ID)
		if ok && !summary.Draining && summary.Incarnation == host.Incarnation && summary.Services[name].Free > 0 {
			return host, summary.Services[name].Free
		}
	}
	return member.Host{}, 0
}

// backOff stops sending requests to a peer that did not run one, for a time that
// depends on err.
func (g *Gateway) backOff(host member.Host, now time.Time, err error) {
	backoff := unreachablePeerBackoff
	var refused *PeerError
	if errors.As(err, &refused) {
		backoff = fullPeerBackoff
	}
	p := g.peerPoolOf(host)
	g.mu.Lock()
	defer g.mu.Unlock()
	p.backOffUntil = now.Add(backoff)
}

// isBackedOff reports whether no requests are sent to a peer for now.
func (g *Gateway) isBackedOff(host member.Host, now time.Time) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	p, ok := g.peers[peerKeyOf(host)]
	return ok && now.Before(p.backOffUntil)
}

func peerKeyOf(host member.Host) peerKey {
	return peerKey{host.ID, host.Incarnation, host.HTTPAddress}
}

// peerPoolOf returns the pool for a peer, and creates it if necessary.
func (g *Gateway) peerPoolOf(host member.Host) *peerPool {
	key := peerKeyOf(host)
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

// peerDial returns the function that opens connections to a peer. With TLS, the
// certificate of the peer must name its host ID.
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
		tlsConn := tls.Client(conn, config)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, err
		}
		return tlsConn, nil
	}
}

// sweepPeers closes unused connections to peers and removes the pools without
// any connection. The caller holds g.mu.
func (g *Gateway) sweepPeers(now time.Time) {
	for key, p := range g.peers {
		p.pool.CloseIdle(now.Add(-backend.MaxIdle))
		if u := p.pool.Usage(); u.Slots == 0 && u.Connections == 0 && now.After(p.backOffUntil) {
			p.pool.Close()
			delete(g.peers, key)
		}
	}
}
