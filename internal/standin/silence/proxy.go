// Package silence has a TCP proxy whose open connections can go silent for good, without a reset.
package silence

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	bufferBytes = 32 << 10
	dialTimeout = time.Second
)

// Proxy forwards connections to one address.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
}

type link struct {
	in, out net.Conn
	silent  bool // guarded by mu of the proxy
}

// NewProxy returns a Proxy that listens on a free port of the loopback.
func NewProxy(target string) (*Proxy, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, links: make(map[*link]bool)}
	go p.serve()
	return p, nil
}

// Address returns the host:port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence makes the open connections silent, and returns how many there are. New ones work.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent = true
	}
	return len(p.links)
}

// Open returns the number of connections that the client has not closed.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}

func (l *link) close() {
	_ = l.in.Close()
	_ = l.out.Close()
}

func (p *Proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		out, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp4", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		l := &link{in: in, out: out}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.forward(l, out, in)
		go p.forward(l, in, out)
	}
}

// forward passes on one direction of a link until either end closes it.
func (p *Proxy) forward(l *link, to, from net.Conn) {
	defer p.forget(l)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.isSilent(l) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) isSilent(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.silent
}

func (p *Proxy) forget(l *link) {
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	l.close()
}
