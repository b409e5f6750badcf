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

// BackendFaults are the faults of a Backend.
type BackendFaults struct {
	Delay                time.Duration // added before the answer
	Status               int           // answer with this status instead of 200
	CutBody              bool          // announce the whole body, send half and close
	Chunked              bool          // announce no length
	DropBefore           bool          // close the connection before the answer
	StallOpenConnections bool          // connections open now never answer again; new ones work
	Unresponsive         bool          // no connection ever answers; those used meanwhile stay silent
	RefuseDials          bool          // close new connections at once

	Garbage           bool // answer with bytes that are not HTTP
	WrongID           bool // answer names another request
	BodyTooLong       bool // more body than announced
	SecondResponse    bool // a second answer follows the first
	StallAfterHeaders bool // announce the whole body, send half and nothing more
	CloseAfter        bool // close after the answer without saying so
	Undelimited       bool // body without length that ends with the connection
}

// raw reports whether the answer is not one that net/http would write.
func (f BackendFaults) raw() bool {
	return f.Garbage || f.BodyTooLong || f.SecondResponse || f.StallAfterHeaders || f.CloseAfter || f.Undelimited
}

// RequestRecord is one request that a Backend ran.
type RequestRecord struct {
	ID      string // X-Request-Id
	Started time.Time
	Ended   time.Time
}

// Backend is one backend server: HTTP/1.1 with a fixed number of slots. It
// answers with its ID, the request ID and the request body, so that a caller
// can tell a whole answer to its own request. Safe for concurrent use.
type Backend struct {
	info    inventory.Server
	service func() time.Duration // time to work on a request

	mu       sync.Mutex
	faults   BackendFaults
	silent   map[net.Conn]bool
	conns    map[net.Conn]bool
	running  int
	maxRun   int
	maxConns int
	records  []RequestRecord
	server   *http.Server
}

type connKey struct{}

// StartBackend listens on info.Address ("127.0.0.1:0" picks a port) and
// serves until Close.
func StartBackend(info inventory.Server, service func() time.Duration) (*Backend, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", info.Address)
	if err != nil {
		return nil, err
	}
	info.Address = ln.Addr().String()
	b := &Backend{
		info:    info,
		service: service,
		silent:  make(map[net.Conn]bool),
		conns:   make(map[net.Conn]bool),
	}
	b.server = &http.Server{
		Handler:     http.HandlerFunc(b.serve),
		ConnState:   b.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go func() { _ = b.server.Serve(ln) }() // ends with Close
	return b, nil
}

// Info returns the server's entry for the host list.
func (b *Backend) Info() inventory.Server { return b.info }

// Close ends the server and its connections.
func (b *Backend) Close() error { return b.server.Close() }

// SetFaults replaces the faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	if f.StallOpenConnections || f.Unresponsive {
		for c := range b.conns {
			b.silent[c] = true
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
	f, index, silent := b.begin(conn, r.Header.Get("X-Request-Id"))
	if silent {
		_, _ = io.Copy(io.Discard, r.Body) // else the end of the connection is not noticed
		<-r.Context().Done()
		return
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = wait.For(context.Background(), b.service()+f.Delay)
	}
	// The slot is free before the answer is written, so that the next request
	// of a fast caller is not counted together with this one.
	if b.finish(conn, index) {
		<-r.Context().Done()
		return
	}
	if err != nil || f.DropBefore {
		panic(http.ErrAbortHandler)
	}
	b.answer(w, r, f, body)
}

func (b *Backend) begin(conn net.Conn, id string) (BackendFaults, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Unresponsive {
		b.silent[conn] = true
	}
	if b.silent[conn] {
		return b.faults, 0, true
	}
	b.running++
	b.maxRun = max(b.maxRun, b.running)
	b.records = append(b.records, RequestRecord{ID: id, Started: time.Now()})
	return b.faults, len(b.records) - 1, false
}

// finish ends a request and reports whether its connection has gone silent.
func (b *Backend) finish(conn net.Conn, index int) (silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.records[index].Ended = time.Now()
	return b.silent[conn]
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, f BackendFaults, body []byte) {
	text := ResponseBody(b.info, r.Header.Get("X-Request-Id"), body)
	if n, err := strconv.Atoi(r.Header.Get("X-Answer-Bytes")); err == nil && n > len(text) {
		text += fmt.Sprintf("%*s", n-len(text), "")
	}
	if f.raw() {
		b.answerRaw(w, f, text)
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

// answerRaw writes a faulty answer past net/http and closes the connection.
func (b *Backend) answerRaw(w http.ResponseWriter, f BackendFaults, text string) {
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

// Answer is the body that a Backend answers with.
func ResponseBody(info inventory.Server, id string, body []byte) string {
	return fmt.Sprintf("server=%s request=%s body=%s\n", info.ID, id, body)
}

// Stats is what a Backend saw.
type Stats struct {
	MaxRequests    int // at once
	MaxConnections int // at once
	Connections    int // open now
	Requests       []RequestRecord
}

// Stats returns what was seen so far.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		MaxRequests:    b.maxRun,
		MaxConnections: b.maxConns,
		Connections:    len(b.conns),
		Requests:       append([]RequestRecord(nil), b.records...),
	}
}
