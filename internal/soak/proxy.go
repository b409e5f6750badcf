// Package soak runs the real daemon as separate processes on one machine, with
// stand-ins for the platform, injects faults from outside the processes and
// checks the promises against what callers and workers observe.
package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// linkMode is how a proxy treats the connections through it.
type linkMode string

// Link modes.
const (
	linkHealthy   linkMode = "well"
	linkDelayed   linkMode = "delayed"
	linkReset     linkMode = "reset"   // existing connections are reset, new ones closed
	linkOneWay    linkMode = "one-way" // requests arrive, replies don't
	linkBlackhole linkMode = "silent"  // nothing arrives, connections stay open
)

const (
	linkDelay   = 120 * time.Millisecond // per chunk, well below the timeout of a call
	bufferBytes = 32 << 10
)

// proxy forwards TCP connections to one address.
type proxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	mode   linkMode
	conns  map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, mode: linkHealthy, conns: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) close() {
	_ = p.ln.Close()
	p.resetAll()
}

func (p *proxy) set(m linkMode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == linkReset {
		p.resetAll()
	}
}

func (p *proxy) current() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close reset the connection
		}
		_ = c.Close()
	}
	p.conns = make(map[net.Conn]bool)
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) serve() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return // closed
		}
		if p.current() == linkReset {
			_ = in.Close()
			continue
		}
		out, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp4", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.track(in)
		p.track(out)
		go p.copyBytes(out, in, linkBlackhole)
		go p.copyBytes(in, out, linkOneWay)
	}
}

// copyBytes copies from one side to the other. blocked is the mode that stops this
// direction; linkBlackhole stops both.
func (p *proxy) copyBytes(to, from net.Conn, blocked linkMode) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], blocked) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes a chunk according to the mode. While the mode blocks this
// direction, it waits and then reports false: the chunk and its connection are
// lost.
func (p *proxy) forward(to net.Conn, chunk []byte, blocked linkMode) bool {
	switch m := p.current(); m {
	case linkDelayed:
		time.Sleep(linkDelay)
	case linkBlackhole, blocked:
		for p.current() == m {
			time.Sleep(linkDelay)
		}
		return false
	}
	_, err := to.Write(chunk)
	return err == nil
}
