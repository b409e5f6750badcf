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
// owner at one of them, before or after it took effect.
type crashPoint struct {
	mu     sync.Mutex
	points map[int]bool // number of the event -> after it took effect
	count  int
	crash  func()
}

// event reports whether the owner crashes before, or after, the event.
func (c *crashPoint) event() (before, after bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	late, hit := c.points[c.count]
	return hit && !late, hit && late
}

// process is the owner of a queue shard as the store and its peers meet it.
// Once dead, nothing that it does takes effect.
type process struct {
	*standin.Store
	net    *network
	points *crashPoint
	dead   atomic.Bool
}

func (p *process) die() {
	if p.dead.CompareAndSwap(false, true) {
		p.points.crash()
	}
}

// act makes one journal write or message, unless the process dies before.
func (p *process) act(do func() error, failed error) error {
	if p.dead.Load() {
		return failed
	}
	before, after := p.points.event()
	if before {
		p.die()
		return failed
	}
	err := do()
	if after {
		p.die()
	}
	if p.dead.Load() {
		return failed
	}
	return err
}

func (p *process) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (rev store.Revision, err error) {
	err = p.act(func() (err error) {
		rev, err = p.Store.CompareAndSwap(ctx, key, expect, value, lease)
		return err
	}, &store.UnknownOutcomeError{Op: "write", Key: key, Cause: &lostError{}})
	return rev, err
}

// Call implements peer.Caller. The message with which the process dies is sent
// late, as if it had been paused and then went on.
func (p *process) Call(ctx context.Context, host fleet.HostID, method string, request, response any) error {
	alive := !p.dead.Load()
	sent := false
	err := p.act(func() error {
		sent = true
		return p.net.Call(ctx, host, method, request, response)
	}, &peer.UnknownError{Host: host, Method: method, Cause: &lostError{}})
	if alive && !sent {
		p.net.sendLate(host, method, request)
	}
	return err
}

// Handle implements peer.Registry: messages to the process are events too.
func (p *process) Handle(method string, h peer.Handler) {
	p.net.Handle(method, func(ctx context.Context, from fleet.HostID, params []byte) (any, error) {
		var reply any
		err := p.act(func() (err error) {
			reply, err = h(ctx, from, params)
			return err
		}, &lostError{})
		return reply, err
	})
}

// lost reports whether an error of a handler means that no reply comes.
func lost(err error) bool {
	return err != nil && strings.HasSuffix(err.Error(), (&lostError{}).Error())
}

// seen returns the number of events so far.
func (c *crashPoint) seen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}
