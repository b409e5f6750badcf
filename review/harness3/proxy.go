package harness3

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

// Proxy forwards TCP connections to one address.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*pipe]bool
}

// pipe is a forwarded connection.
type pipe struct {
	in, out net.Conn
	mu      sync.Mutex
	silent  bool
}

// NewProxy listens on a free port of the loopback and forwards to target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, links: make(map[*pipe]bool)}
	go p.serve()
	return p, nil
}

// Address returns the host:port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence makes the open connections silent for good, without closing them. It returns how many
// there are. New connections work.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.links)
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		_ = l.in.Close()
		_ = l.out.Close()
	}
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
		l := &pipe{in: in, out: out}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.copyBytes(l, out, in)
		go p.copyBytes(l, in, out)
	}
}

// copyBytes forwards one direction. What arrives on a silent connection is dropped; its end is not
// passed on.
func (p *Proxy) copyBytes(l *pipe, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if l.isSilent() {
			if err != nil {
				p.forget(l, from)
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			p.forget(l, from)
			return
		}
	}
}

func (l *pipe) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (p *Proxy) forget(l *pipe, closed net.Conn) {
	_ = closed.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// listen listens on a free port of the loopback.
func listen() (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
}

// freeAddress returns a free address of the loopback.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
