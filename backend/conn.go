package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// MaxHeaderBytes is the largest header of an answer.
	MaxHeaderBytes = 64 << 10

	connBuffer        = 4 << 10 // bytes, each way
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	userTimeout       = 10 * time.Second // unacknowledged data ends the connection
)

// conn is one connection to a server. It carries one exchange at a time and
// is used by that exchange's goroutines only.
type conn struct {
	net.Conn
	br       *bufio.Reader
	bw       *bufio.Writer
	usedAt   time.Time
	reused   bool
	written  atomic.Int64 // bytes of the present request that the kernel took
	readAt   atomic.Int64 // Unix nanoseconds of the last byte of the present answer, 0 for none
	headLeft int          // bytes the head may still have; negative: no limit
	sawEOF   bool         // the server closed the connection
	probe    prober
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, headLeft: -1}
	c.br = bufio.NewReaderSize(readerFunc(c.read), connBuffer)
	c.bw = bufio.NewWriterSize(writerFunc(c.write), connBuffer)
	c.probe.init(nc)
	return c
}

type (
	readerFunc func([]byte) (int, error)
	writerFunc func([]byte) (int, error)
)

func (f readerFunc) Read(b []byte) (int, error)  { return f(b) }
func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

func (c *conn) read(b []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, &HeaderTooLargeError{}
	}
	if c.headLeft > 0 && len(b) > c.headLeft {
		b = b[:c.headLeft]
	}
	n, err := c.Read(b)
	if n > 0 {
		c.readAt.Store(time.Now().UnixNano())
	}
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	if errors.Is(err, io.EOF) {
		c.sawEOF = true
	}
	return n, err
}

func (c *conn) write(b []byte) (int, error) {
	n, err := c.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// begin prepares the connection for an exchange that ends before deadline.
func (c *conn) begin(deadline time.Time) error {
	c.written.Store(0)
	c.readAt.Store(0)
	c.headLeft = MaxHeaderBytes
	return c.SetDeadline(deadline)
}

// discard reads until the server closes or the deadline passes.
func (c *conn) discard() error {
	c.headLeft = -1
	_, err := io.Copy(io.Discard, c.br)
	return err
}

// closeAndWait closes the connection and reports whether the server closed
// it too within wait.
func (c *conn) closeAndWait(wait time.Duration) bool {
	defer c.Close()
	if c.sawEOF {
		return true
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	if c.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false
	}
	return c.discard() == nil
}

// DialTCP opens a TCP connection that is found out when it goes silent. It is a
// DialFunc.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}
