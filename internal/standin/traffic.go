package standin

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Traffic counts the bytes of HTTP exchanges by kind, including headers. A
// response is counted when the next request arrives on its connection. It is safe
// for concurrent use.
type Traffic struct {
	mu     sync.Mutex
	counts map[string]TrafficCount
}

// TrafficCount is the traffic of one kind of exchange.
type TrafficCount struct {
	Calls         int64
	RequestBytes  int64
	ResponseBytes int64
}

// NewTraffic returns a Traffic with empty counts.
func NewTraffic() *Traffic { return &Traffic{counts: make(map[string]TrafficCount)} }

// Counts returns the counts so far by kind of exchange: the method and path, for
// calls with a key or prefix also its first segment.
func (t *Traffic) Counts() map[string]TrafficCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]TrafficCount, len(t.counts))
	for kind, c := range t.counts {
		counts[kind] = c
	}
	return counts
}

// Handler returns h with its exchanges counted. The server needs a
// countingListener, and connContext as its ConnContext.
func (t *Traffic) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connContextKey{}).(*countingConn); ok {
			t.count(conn, exchangeKind(r))
		}
		h.ServeHTTP(w, r)
	})
}

func (t *Traffic) count(conn *countingConn, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request := t.counts[kind]
	request.Calls++
	request.RequestBytes += conn.read.Swap(0)
	t.counts[kind] = request
	answer := t.counts[conn.kind]
	answer.ResponseBytes += conn.written.Swap(0)
	t.counts[conn.kind] = answer
	conn.kind = kind
}

func exchangeKind(r *http.Request) string {
	kind := r.Method + " " + withoutLeaseID(r.URL.Path)
	key := r.URL.Query().Get("key")
	if key == "" {
		key = r.URL.Query().Get("prefix")
	}
	name, _, _ := strings.Cut(key, "/")
	return strings.TrimSpace(kind + " " + name)
}

// withoutLeaseID replaces the ID in the path of a lease.
func withoutLeaseID(path string) string {
	const leases = "/v1/leases/"
	rest, ok := strings.CutPrefix(path, leases)
	if !ok {
		return path
	}
	_, op, _ := strings.Cut(rest, "/")
	return leases + "ID/" + op
}

type connContextKey struct{}

func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

type countingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// countingConn counts the bytes since the last exchange began.
type countingConn struct {
	net.Conn
	read    atomic.Int64
	written atomic.Int64
	kind    string // of the last exchange
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}
