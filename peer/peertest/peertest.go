// Package peertest provides an in-process network of entry hosts for tests. It can
// block and delay calls and lose replies.
package peertest

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/peer"
)

// PartitionError is the cause of the error of a call that the network did not
// deliver.
type PartitionError struct{}

func (*PartitionError) Error() string { return "peertest: network partition" }

// ReplyLostError is the cause of the error of a call whose reply the network lost.
type ReplyLostError struct{}

func (*ReplyLostError) Error() string { return "peertest: reply lost" }

// route is one direction between two hosts.
type route struct{ from, to fleet.HostID }

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	hosts       map[fleet.HostID]*Host
	blocked     map[route]bool
	delay       time.Duration
	loseReplies map[route]int
	bytes       map[fleet.HostID]int // sent and received, by host
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		hosts:       make(map[fleet.HostID]*Host),
		blocked:     make(map[route]bool),
		loseReplies: make(map[route]int),
		bytes:       make(map[fleet.HostID]int),
	}
}

// Host returns the host with the given ID, which it adds if there is none.
func (n *Network) Host(id fleet.HostID) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.hosts[id]
	if !ok {
		h = &Host{network: n, id: id, handlers: make(map[string]peer.Handler)}
		n.hosts[id] = h
	}
	return h
}

// SetPartition blocks or unblocks calls in both directions between two hosts.
func (n *Network) SetPartition(a, b fleet.HostID, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[route{a, b}] = blocked
	n.blocked[route{b, a}] = blocked
}

// Isolate blocks or unblocks all calls from and to a host.
func (n *Network) Isolate(id fleet.HostID, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.hosts {
		n.blocked[route{id, other}] = blocked
		n.blocked[route{other, id}] = blocked
	}
}

// Delay delays the delivery of every call by d.
func (n *Network) Delay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// LoseReplies makes the network lose the replies to the next count calls from one
// host to another, after their handlers have run.
func (n *Network) LoseReplies(from, to fleet.HostID, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loseReplies[route{from, to}] = count
}

// envelopeBytes is approximately what JSON-RPC and framing add to each message.
const envelopeBytes = 90

// Bytes returns the number of bytes of requests and replies that a host has sent
// and received, including their envelopes.
func (n *Network) Bytes(id fleet.HostID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[id]
}

func (n *Network) countBytes(r route, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[r.from] += bytes + envelopeBytes
	n.bytes[r.to] += bytes + envelopeBytes
}

// Host is a host on a Network.
type Host struct {
	network  *Network
	id       fleet.HostID
	handlers map[string]peer.Handler // guarded by network.mu
}

var (
	_ peer.Caller   = (*Host)(nil)
	_ peer.Registry = (*Host)(nil)
)

// Handle implements peer.Registry.
func (h *Host) Handle(method string, handler peer.Handler) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.handlers[method] = handler
}

// Call implements peer.Caller.
func (h *Host) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	r := route{h.id, to}
	handler, delay, err := h.network.lookup(r, method)
	if err != nil {
		return err
	}
	params, err := json.Marshal(request)
	if err != nil {
		return &peer.UnreachableError{Host: to, Cause: err}
	}
	if err := wait.For(ctx, delay); err != nil {
		return &peer.UnreachableError{Host: to, Cause: err}
	}
	h.network.countBytes(r, len(params))
	result, err := handler(ctx, h.id, params)
	if h.network.consumeLostReply(r) {
		return &peer.UnknownOutcomeError{Host: to, Method: method, Cause: &ReplyLostError{}}
	}
	if err != nil {
		return remoteError(err)
	}
	data, err := json.Marshal(result)
	if err != nil {
		return remoteError(err)
	}
	h.network.countBytes(r, len(data))
	if response == nil {
		return nil
	}
	return json.Unmarshal(data, response)
}

func (n *Network) lookup(r route, method string) (peer.Handler, time.Duration, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, ok := n.hosts[r.to]
	if !ok || n.blocked[r] {
		return nil, 0, &peer.UnreachableError{Host: r.to, Cause: &PartitionError{}}
	}
	handler, ok := host.handlers[method]
	if !ok {
		return nil, 0, &peer.RemoteError{Kind: peer.KindBadRequest, Reason: "no_such_method", Message: method}
	}
	return handler, n.delay, nil
}

func (n *Network) consumeLostReply(r route) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loseReplies[r] == 0 {
		return false
	}
	n.loseReplies[r]--
	return true
}

func remoteError(err error) error {
	var r *peer.RemoteError
	if errors.As(err, &r) {
		return r
	}
	return &peer.RemoteError{Kind: peer.KindInternal, Message: err.Error()}
}
