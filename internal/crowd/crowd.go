// Package crowd plays clients that keep to no limits against a host: bodies that
// stop short of their end, headers without an end, answers that nobody reads. Its
// tests start the real daemon. They need the machine for themselves, and run with
// the build tag crowd.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
)

// returnPause is how long a client whose connection has ended waits before it
// connects again.
const returnPause = 500 * time.Millisecond

// Client is what one client does with a connection. It calls arrived when it has
// sent what it sends, and returns when the connection has ended.
type Client func(conn net.Conn, arrived func())

// Crowd is a number of clients, each with a connection of its own. A client whose
// connection ends connects again until the crowd is closed.
type Crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	arrived sync.WaitGroup
}

// Start starts a client for each index below size.
func Start(address string, size int, client func(index int) Client) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	c.arrived.Add(size)
	for i := range size {
		arrived := sync.OnceFunc(c.arrived.Done)
		c.clients.Go(func() {
			for ctx.Err() == nil {
				visit(ctx, address, client(i), arrived)
				arrived()
				_ = wait.For(ctx, returnPause) // the loop checks ctx
			}
		})
	}
	return c
}

// AwaitArrival waits until each client has sent what it sends, or was refused, once.
func (c *Crowd) AwaitArrival() { c.arrived.Wait() }

// Close ends all clients.
func (c *Crowd) Close() {
	c.cancel()
	c.clients.Wait()
}

func visit(ctx context.Context, address string, client Client, arrived func()) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	client(conn, arrived)
}

// awaitClose reads and drops what the host sends until the connection ends.
func awaitClose(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn) // how the connection ends doesn't matter
}
