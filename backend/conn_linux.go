package backend

import (
	"errors"
	"syscall"

	"github.com/rotisserie/eris"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// setUserTimeout lets the kernel end a connection whose data stays
// unacknowledged, so that one gone silent is noticed.
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

// quiet reports whether an idle connection is open with nothing to read. A
// byte or a close there means that the connection must not be used again.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(recvErr, syscall.EAGAIN)
		if n == 0 && recvErr == nil {
			c.sawEOF = true
		}
	})
	return err == nil && quiet
}
