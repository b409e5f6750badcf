//go:build !linux

package backend

import (
	"net"
	"syscall"
)

// setUserTimeout does nothing: the option exists on Linux only.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

// prober does nothing here.
type prober struct{}

func (prober) init(net.Conn) {}

// quiet reports whether nothing is buffered. A close by the server is then
// found by the next exchange.
func (c *conn) quiet() bool { return c.br.Buffered() == 0 }
