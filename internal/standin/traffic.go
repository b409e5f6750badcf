package standin

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Traffic counts the bytes of HTTP exchanges by kind, headers included. An
// answer is counted with the next request of its connection. Safe for
// concurrent use.
type Traffic struct {
	mu     sync.Mutex
	counts map[string]TrafficCount
}

// TrafficCount is the traffic of one kind of exchange.
type TrafficCount struct {
	Calls         int64
	RequestBytes  int64 // bytes of requests
	ResponseBytes int64 // bytes of answers
}

// NewTraffic returns a Traffic that has counted nothing.
func NewTraffic() *Traffic { return &Traffic{counts: make(map[string]TrafficCount)} }

// Counts returns what was counted so far by kind: method and path, for writes
// of the store with the first part of the key.
func (t *Traffic) Counts() map[string]TrafficCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]TrafficCount, len(t.counts))
	for kind, c := range t.counts {
		counts[kind] = c
	}
	return counts
}

// Handler counts the exchanges of h. Its server needs a listener that counts
// the bytes of its connections.
func (t *Traffic) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(trafficKey{}).(*countingConn); ok {
			t.count(conn, kindOf(r))
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

func kindOf(r *http.Request) string {
	kind := r.Method + " " + withoutLease(r.URL.Path)
	key := r.URL.Query().Get("key")
	if key == "" {
		key = r.URL.Query().Get("prefix")
	}
	name, _, _ := strings.Cut(key, "/")
	return strings.TrimSpace(kind + " " + name)
}

// withoutLease takes the ID out of the path of a lease.
func withoutLease(path string) string {
	const leases = "/v1/leases/"
	rest, ok := strings.CutPrefix(path, leases)
	if !ok {
		return path
	}
	_, op, _ := strings.Cut(rest, "/")
	return leases + "ID/" + op
}

type trafficKey struct{}

func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, trafficKey{}, conn)
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
