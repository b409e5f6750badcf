package wire

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func itemOf(e store.Entry) item {
	return item{Key: e.Key, Value: e.Value, Revision: int64(e.Revision), Lease: int64(e.Lease)}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	e, err := s.Get(r.URL.Query().Get("key"))
	if err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, itemOf(e))
}

func (s *Store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	entries, more, revision, err := s.Page(q.Get("prefix"), q.Get("after"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items, size := []item{}, 0
	for _, e := range entries {
		size += len(e.Key) + base64.StdEncoding.EncodedLen(len(e.Value))
		if len(items) == pageItems || size > pageBytes && len(items) > 0 {
			more = true
			break
		}
		items = append(items, itemOf(e))
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "truncated": more, "store_revision": revision})
}

// watchAnswer is the answer to a watch.
type watchAnswer struct {
	events   []store.Event
	revision store.Revision
	err      error
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil || wait < 0 || wait > maxWatchMS {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cut := s.watchesCut
	s.mu.Unlock()
	answers := make(chan watchAnswer, 1)
	go func() {
		events, revision, err := s.Changes(q.Get("prefix"), store.Revision(after), time.Duration(wait)*time.Millisecond)
		answers <- watchAnswer{events, revision, err}
	}()
	var answer watchAnswer
	select {
	case answer = <-answers:
	case <-cut:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	var compacted *store.CompactedError
	switch {
	case errors.As(answer.err, &compacted):
		w.WriteHeader(http.StatusGone)
		return
	case answer.err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := []item{}
	for _, e := range answer.events {
		i := itemOf(e.Entry)
		i.Deleted = e.Deleted
		items = append(items, i)
	}
	respond(w, http.StatusOK, map[string]any{"events": items, "store_revision": answer.revision})
}

type txnBody struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := body.refusal(); status != 0 {
		w.WriteHeader(status)
		return
	}
	txn := store.Txn{Deletes: body.Remove}
	for _, c := range body.Precondition {
		txn.Checks = append(txn.Checks, store.Check{Key: c.Key, Revision: store.Revision(c.Revision)})
	}
	for _, p := range body.Writes {
		txn.Puts = append(txn.Puts, store.Put{Key: p.Key, Value: p.Value, Lease: store.LeaseID(p.Lease)})
	}
	revision, err := s.Commit(txn)
	var conflict *store.TxnConflictError
	var leaseGone *store.LeaseGoneError
	switch {
	case err == nil:
		respond(w, http.StatusOK, map[string]any{"revision": revision})
	case errors.As(err, &conflict):
		items := []item{}
		for _, e := range conflict.Current {
			items = append(items, itemOf(e))
		}
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": items})
	case errors.As(err, &leaseGone):
		w.WriteHeader(http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}
