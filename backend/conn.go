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
	// MaxHeaderBytes is the maximum size of a response header.
	MaxHeaderBytes = 64 << 10

	connBufferBytes   = 4 << 10 // of the read and of the write buffer
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	userTimeout       = 10 * time.Second // closes a connection whose data stays unacknowledged
)

// conn is a connection to a backend server. It carries one exchange at a time
// and is used only by the goroutines of that exchange.
type conn struct {
	net.Conn
	br              *bufio.Reader
	bw              *bufio.Writer
	lastUsedAt      time.Time
	reused          bool
	bytesWritten    atomic.Int64 // bytes of the current request that the kernel accepted
	lastReadAt      atomic.Int64 // when the latest byte of the current response was read, in Unix nanoseconds; 0 for none
	headerBytesLeft int          // bytes that the response header may still have; negative for no limit
	sawEOF          bool         // the server closed the connection
	probe           prober
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, headerBytesLeft: -1}
	c.br = bufio.NewReaderSize(readerFunc(c.read), connBufferBytes)
	c.bw = bufio.NewWriterSize(writerFunc(c.write), connBufferBytes)
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
	if c.headerBytesLeft == 0 {
		return 0, &HeaderTooLargeError{}
	}
	if c.headerBytesLeft > 0 && len(b) > c.headerBytesLeft {
		b = b[:c.headerBytesLeft]
	}
	n, err := c.Read(b)
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
	}
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= n
	}
	if errors.Is(err, io.EOF) {
		c.sawEOF = true
	}
	return n, err
}

func (c *conn) write(b []byte) (int, error) {
	n, err := c.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// prepare resets the counters of the connection for an exchange that ends
// before deadline.
func (c *conn) prepare(deadline time.Time) error {
	c.bytesWritten.Store(0)
	c.lastReadAt.Store(0)
	c.headerBytesLeft = MaxHeaderBytes
	return c.SetDeadline(deadline)
}

// discard reads and drops data until the server closes the connection or the
// deadline passes.
func (c *conn) discard() error {
	c.headerBytesLeft = -1
	_, err := io.Copy(io.Discard, c.br)
	return err
}

// closeAndWait closes the connection and reports whether the server closed its
// side within wait.
func (c *conn) closeAndWait(wait time.Duration) bool {
	defer c.Close()
	if c.sawEOF {
		return true
	}
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return false
	}
	if c.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false
	}
	return c.discard() == nil
}

// DialTCP opens a TCP connection with keep-alive probes and a limit on the time
// that data may stay unacknowledged, so that a lost connection is detected. It
// is a DialFunc.
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
