//go:build !linux

package backend

import (
	"net"
	"syscall"
)

// setUserTimeout does nothing: TCP_USER_TIMEOUT exists on Linux only.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

// prober does nothing on this platform.
type prober struct{}

func (prober) init(net.Conn) {}

// isReusable reports whether no input is buffered. A close by the server is
// detected only by the next exchange.
func (c *conn) isReusable() bool { return c.br.Buffered() == 0 }
