package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// BackendFaults are the faults that a Backend injects.
type BackendFaults struct {
	Delay                time.Duration // added before the response
	Status               int           // respond with this status instead of 200
	CutBody              bool          // declare the whole length, send half the body and close
	Chunked              bool          // declare no Content-Length
	DropBefore           bool          // close the connection before the response
	StallOpenConnections bool          // connections open now never respond again; new ones work
	Unresponsive         bool          // no connection responds; those used meanwhile never respond again
	RefuseDials          bool          // close new connections at once

	Garbage           bool // respond with bytes that are not HTTP
	WrongID           bool // the response names another request
	BodyTooLong       bool // more body than declared
	SecondResponse    bool // a second response follows the first
	StallAfterHeaders bool // declare the whole length, send half the body and stall
	CloseAfter        bool // close after the response without Connection: close
	Undelimited       bool // a body without a declared length that ends with the connection
}

// needsRawWrite reports whether the response is one that net/http would not
// write.
func (f BackendFaults) needsRawWrite() bool {
	return f.Garbage || f.BodyTooLong || f.SecondResponse || f.StallAfterHeaders || f.CloseAfter || f.Undelimited
}

// RequestRecord is one request that a Backend processed.
type RequestRecord struct {
	ID      string // X-Request-Id
	Started time.Time
	Ended   time.Time
}

// Backend is a stand-in for one backend server: HTTP/1.1 with a fixed number of
// slots. Its response holds its ID, the request ID and the request body, so that
// a caller can verify that a response is complete and belongs to its own request.
// It is safe for concurrent use.
type Backend struct {
	info        inventory.Server
	serviceTime func() time.Duration // processing time of a request

	mu           sync.Mutex
	faults       BackendFaults
	unresponsive map[net.Conn]bool
	conns        map[net.Conn]bool
	active       int
	maxActive    int
	maxConns     int
	records      []RequestRecord
	server       *http.Server
}

type connKey struct{}

// StartBackend listens on info.Address ("127.0.0.1:0" picks a port) and
// serves until Close. It returns an error if it can't listen.
func StartBackend(info inventory.Server, serviceTime func() time.Duration) (*Backend, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", info.Address)
	if err != nil {
		return nil, err
	}
	info.Address = ln.Addr().String()
	b := &Backend{
		info:         info,
		serviceTime:  serviceTime,
		unresponsive: make(map[net.Conn]bool),
		conns:        make(map[net.Conn]bool),
	}
	b.server = &http.Server{
		Handler:     http.HandlerFunc(b.serve),
		ConnState:   b.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go func() { _ = b.server.Serve(ln) }() // returns after Close
	return b, nil
}

// Info returns the server's entry in the host list.
func (b *Backend) Info() inventory.Server { return b.info }

// Close stops the server and closes its connections.
func (b *Backend) Close() error { return b.server.Close() }

// SetFaults replaces the faults in effect.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	if f.StallOpenConnections || f.Unresponsive {
		for c := range b.conns {
			b.unresponsive[c] = true
		}
	}
}

func (b *Backend) connState(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[c] = true
		b.maxConns = max(b.maxConns, len(b.conns))
		if b.faults.RefuseDials {
			c.Close()
		}
	case http.StateClosed:
		delete(b.conns, c)
	}
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	f, index, unresponsive := b.beginRequest(conn, r.Header.Get("X-Request-Id"))
	if unresponsive {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body is read
		<-r.Context().Done()
		return
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = wait.For(context.Background(), b.serviceTime()+f.Delay)
	}
	// The slot is freed before the response is written, so that the next request
	// of a fast caller is not counted as concurrent with this one.
	if b.endRequest(conn, index) {
		<-r.Context().Done()
		return
	}
	if err != nil || f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	b.writeResponse(w, r, f, body)
}

func (b *Backend) beginRequest(conn net.Conn, id string) (BackendFaults, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Unresponsive {
		b.unresponsive[conn] = true
	}
	if b.unresponsive[conn] {
		return b.faults, 0, true
	}
	b.active++
	b.maxActive = max(b.maxActive, b.active)
	b.records = append(b.records, RequestRecord{ID: id, Started: time.Now()})
	return b.faults, len(b.records) - 1, false
}

// endRequest ends a request and reports whether its connection has become
// unresponsive.
func (b *Backend) endRequest(conn net.Conn, index int) (unresponsive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active--
	b.records[index].Ended = time.Now()
	return b.unresponsive[conn]
}

func (b *Backend) writeResponse(w http.ResponseWriter, r *http.Request, f BackendFaults, body []byte) {
	text := ResponseBody(b.info, r.Header.Get("X-Request-Id"), body)
	if n, err := strconv.Atoi(r.Header.Get("X-Answer-Bytes")); err == nil && n > len(text) {
		text += fmt.Sprintf("%*s", n-len(text), "")
	}
	if f.needsRawWrite() {
		b.writeRawResponse(w, f, text)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if f.WrongID {
		text = strings.Replace(text, "request=", "request=other-", 1)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		r.Header.Set("X-Request-Id", "other")
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if f.Chunked {
		w.Header().Del("Content-Length")
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	if f.CutBody {
		io.WriteString(w, text[:len(text)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, text)
}

// writeRawResponse writes a faulty response to the hijacked connection and closes
// the connection.
func (b *Backend) writeRawResponse(w http.ResponseWriter, f BackendFaults, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer b.forget(conn)
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
	switch {
	case f.Garbage:
		io.WriteString(conn, "\x16\x03\x01 not an answer\r\n\r\n")
	case f.BodyTooLong:
		io.WriteString(conn, head+text+"and more")
	case f.SecondResponse:
		io.WriteString(conn, head+text+head+text)
	case f.StallAfterHeaders:
		io.WriteString(conn, head+text[:len(text)/2])
		_, _ = io.Copy(io.Discard, conn) // until the client closes
	case f.Undelimited:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+text)
	case f.CloseAfter:
		io.WriteString(conn, head+text)
	}
}

func (b *Backend) forget(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, conn)
}

// ResponseBody returns the body of a Backend's response to request id.
func ResponseBody(info inventory.Server, id string, body []byte) string {
	return fmt.Sprintf("server=%s request=%s body=%s\n", info.ID, id, body)
}

// Stats holds what a Backend observed.
type Stats struct {
	MaxRequests    int // concurrent
	MaxConnections int // concurrent
	Connections    int // open now
	Requests       []RequestRecord
}

// Stats returns what was observed so far.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		MaxRequests:    b.maxActive,
		MaxConnections: b.maxConns,
		Connections:    len(b.conns),
		Requests:       append([]RequestRecord(nil), b.records...),
	}
}
