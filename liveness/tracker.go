// Package liveness decides which open connections may carry a call. Connections can go silent for
// good without being closed, all at one moment, while new ones work: a call on the next idle one
// would be lost like the last.
package liveness

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/steady"
)

// ProofWindow is how long before the time-out of a call an answer on another connection must
// have arrived to show that this one is sound. The answer to the call was due before that, so
// whatever has taken it had happened by then.
const ProofWindow = 300 * time.Millisecond

// Tracker tracks the connections to one address. It is safe for concurrent use.
//
// Invariant: a connection on which nothing has arrived since doubtBefore carries no new call.
type Tracker struct {
	doubtBefore atomic.Int64 // on the steady clock
	provenAt    atomic.Int64 // when the last of the connections was shown to work
}

// DoubtedError reports a request, or the rest of one, that was not written as the connection is in doubt. It
// was not carried out.
type DoubtedError struct{}

func (*DoubtedError) Error() string { return "liveness: the connection may be silent" }

// TimedOut records that a call has got no answer in time. It reports whether all connections are in doubt.
func (t *Tracker) TimedOut(now time.Duration) bool { return t.doubt(now - ProofWindow) }

// Broken records that a connection was closed or reset instead of an answer: others that were open then
// have probably ended as well. It reports whether all connections are in doubt.
func (t *Tracker) Broken(now time.Duration) bool { return t.doubt(now) }

func (t *Tracker) doubt(before time.Duration) bool {
	raise(&t.doubtBefore, before)
	return t.provenAt.Load() < int64(before)
}

// raise sets a time to a later one.
func raise(a *atomic.Int64, to time.Duration) {
	for old := a.Load(); old < int64(to) && !a.CompareAndSwap(old, int64(to)); old = a.Load() {
	}
}

// Track returns a connection that was just opened as one of the tracker's.
func (t *Tracker) Track(c net.Conn) net.Conn {
	tracked := &conn{Conn: c, tracker: t}
	tracked.prove()
	return tracked
}

// conn is a connection that carries calls while it is not in doubt.
type conn struct {
	net.Conn
	tracker  *Tracker
	provenAt atomic.Int64
}

func (c *conn) prove() {
	now := steady.Now()
	raise(&c.provenAt, now)
	raise(&c.tracker.provenAt, now)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.prove()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.provenAt.Load() < c.tracker.doubtBefore.Load() {
		return 0, &DoubtedError{}
	}
	return c.Conn.Write(b)
}
