package backend

import (
	"errors"
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// setUserTimeout makes the kernel close a connection whose data stays
// unacknowledged for userTimeout, so that a lost connection is detected.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return eris.Wrap(err, "control socket")
	}
	return eris.Wrap(optErr, "set TCP user timeout")
}

// prober checks an idle connection for input without consuming it. It runs
// before every exchange, so it keeps its buffer and callback between checks.
type prober struct {
	raw  syscall.RawConn // nil if the connection is not a socket
	peek func(fd uintptr)
	buf  [1]byte
	n    int
	err  error
}

func (p *prober) init(nc net.Conn) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	p.raw = raw
	p.peek = func(fd uintptr) {
		p.n, _, p.err = syscall.Recvfrom(int(fd), p.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
}

// isReusable reports whether an idle connection is open with nothing to read.
// After unexpected data or a close by the server it must not be used again.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	p := &c.probe
	if p.raw == nil {
		return true
	}
	if p.raw.Control(p.peek) != nil {
		return false
	}
	if p.n == 0 && p.err == nil {
		c.sawEOF = true
	}
	return errors.Is(p.err, syscall.EAGAIN)
}
