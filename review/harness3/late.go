package harness3

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Front passes the calls to a worker on. It can be dark, so that calls hang, and can keep one start back
// and carry it out later, without an answer.
type Front struct {
	worker  *Worker
	record  *Record
	keep    func(path string) bool // which start is kept back
	server  *http.Server
	address string
	client  *http.Client

	mu   sync.Mutex
	dark bool
	kept *http.Request // nil: none
	body []byte
}

// NewFront starts the front of a worker. keep tells for each call whether it is kept back.
func NewFront(w *Worker, record *Record, keep func(path string) bool) (*Front, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	f := &Front{worker: w, record: record, keep: keep, address: listener.Addr().String(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	f.server = &http.Server{Handler: http.HandlerFunc(f.pass), ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }() // returns after Close
	return f, nil
}

// Address returns the host:port at which the worker is called.
func (f *Front) Address() string { return f.address }

// Close stops the front.
func (f *Front) Close() { _ = f.server.Close() }

// SetDark sets whether calls hang.
func (f *Front) SetDark(dark bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dark = dark
}

// HasKept reports whether a start was kept back.
func (f *Front) HasKept() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kept != nil
}

func (f *Front) pass(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.mu.Lock()
	dark, kept := f.dark, f.keep(r.URL.Path)
	if kept {
		f.kept, f.body = r, body
		f.record.Line("%s: a start gets no answer: %s", f.worker.ID, body)
	}
	f.mu.Unlock()
	if dark || kept {
		<-r.Context().Done()
		return
	}
	resp, err := f.send(r.Context(), r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(rw, resp.Body) // fails only if the caller has disconnected
}

// Deliver carries out the start that was kept back.
func (f *Front) Deliver() error {
	f.mu.Lock()
	r, body := f.kept, f.body
	f.mu.Unlock()
	resp, err := f.send(context.Background(), r, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	f.record.Line("%s: the late start arrives: %d %s", f.worker.ID, resp.StatusCode, bytes.TrimSpace(answer))
	return err
}

func (f *Front) send(ctx context.Context, r *http.Request, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+f.worker.Address()+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	return f.client.Do(req)
}
