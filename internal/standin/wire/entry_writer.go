package wire

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// EntryWriter is another writer of workers' entries, all of them odd. It listens at the
// address of those that have a valid one, and records a call as a violation.
type EntryWriter struct {
	store   *Store
	server  *http.Server
	entries []OddEntry
}

// NewEntryWriter returns an EntryWriter. It returns an error if it can't listen.
func NewEntryWriter(s *Store, checker *Checker) (*EntryWriter, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	called := func(rw http.ResponseWriter, r *http.Request) {
		checker.recordOddCall(fleet.WorkerID(r.Header.Get("Fuchsiahill-Expect-Instance")), r.URL.Path)
		rw.WriteHeader(http.StatusNotFound)
	}
	w := &EntryWriter{store: s, entries: OddEntries(ln.Addr().String()), server: &http.Server{Handler: http.HandlerFunc(called), ReadHeaderTimeout: time.Second}}
	go func() { _ = w.server.Serve(ln) }() // returns after Close
	return w, nil
}

// Count returns the number of kinds of odd entries.
func (w *EntryWriter) Count() int { return len(w.entries) }

// Leave writes an odd entry of a kind, a number below Count, under a worker's ID. It
// returns the name of the kind.
func (w *EntryWriter) Leave(id fleet.WorkerID, kind int) (name string, err error) {
	e := w.entries[kind]
	_, err = w.store.Commit(store.Txn{Puts: []store.Put{{Key: "servers/" + string(id), Value: e.Value}}})
	return e.Name, err
}

// Close stops listening.
func (w *EntryWriter) Close() { _ = w.server.Close() }
