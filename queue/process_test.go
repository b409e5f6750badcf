package queue

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// crashPoint counts the journal writes and messages of a run and crashes the
// owner at some of them, before or after they take effect.
type crashPoint struct {
	mu     sync.Mutex
	points map[int]bool // number of the event -> whether after it takes effect
	count  int
	crash  func()
}

// event counts an event and reports whether the owner crashes before or after
// it.
func (c *crashPoint) event() (before, after bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	late, hit := c.points[c.count]
	return hit && !late, hit && late
}

// ownerProcess is the process that owns a queue shard, between the shard and its
// store and peers. Nothing that it does after a crash takes effect.
type ownerProcess struct {
	*standin.Store
	net     *network
	points  *crashPoint
	crashed atomic.Bool
}

func (p *ownerProcess) crash() {
	if p.crashed.CompareAndSwap(false, true) {
		p.points.crash()
	}
}

// perform carries out one journal write or message. It returns failure if the
// process has crashed or crashes at this event.
func (p *ownerProcess) perform(do func() error, failure error) error {
	if p.crashed.Load() {
		return failure
	}
	before, after := p.points.event()
	if before {
		p.crash()
		return failure
	}
	err := do()
	if after {
		p.crash()
	}
	if p.crashed.Load() {
		return failure
	}
	return err
}

func (p *ownerProcess) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (rev store.Revision, err error) {
	err = p.perform(func() (err error) {
		rev, err = p.Store.CompareAndSwap(ctx, key, expect, value, lease)
		return err
	}, &store.UnknownOutcomeError{Op: "write", Key: key, Cause: &lostError{}})
	return rev, err
}

// Call implements peer.Caller. A message before which the process crashes is
// delivered late, as if the process had been paused and then resumed.
func (p *ownerProcess) Call(ctx context.Context, host fleet.HostID, method string, request, response any) error {
	alive := !p.crashed.Load()
	sent := false
	err := p.perform(func() error {
		sent = true
		return p.net.Call(ctx, host, method, request, response)
	}, &peer.UnknownOutcomeError{Host: host, Method: method, Cause: &lostError{}})
	if alive && !sent {
		p.net.sendLate(host, method, request)
	}
	return err
}

// Handle implements peer.Registry. Messages to the process count as events.
func (p *ownerProcess) Handle(method string, h peer.Handler) {
	p.net.Handle(method, func(ctx context.Context, from fleet.HostID, params []byte) (any, error) {
		var reply any
		err := p.perform(func() (err error) {
			reply, err = h(ctx, from, params)
			return err
		}, &lostError{})
		return reply, err
	})
}

// isLost reports whether an error of a handler means that its reply is lost.
func isLost(err error) bool {
	return err != nil && strings.HasSuffix(err.Error(), (&lostError{}).Error())
}

// seen returns the number of events so far.
func (c *crashPoint) seen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}
