package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// StoreServer serves a Store over the key-value service's HTTP protocol.
type StoreServer struct{ store *Store }

// NewStoreServer returns the HTTP handler of s.
func NewStoreServer(s *Store) http.Handler {
	srv := &StoreServer{store: s}
	r := mux.NewRouter()
	r.HandleFunc("/v1/kv", srv.get).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv", srv.put).Methods(http.MethodPut)
	r.HandleFunc("/v1/kv", srv.delete).Methods(http.MethodDelete)
	r.HandleFunc("/v1/list", srv.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", srv.watch).Methods(http.MethodGet)
	r.HandleFunc("/v1/leases", srv.grant).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases/{id:[0-9]+}/renew", srv.renew).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases/{id:[0-9]+}", srv.revoke).Methods(http.MethodDelete)
	return r
}

func (s *StoreServer) get(w http.ResponseWriter, r *http.Request) {
	known := queryInt(r, "known")
	e, newer, err := s.store.GetNewer(r.Context(), r.FormValue("key"), store.Revision(known))
	if err == nil && !newer {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	respond(w, e, err)
}

func (s *StoreServer) put(w http.ResponseWriter, r *http.Request) {
	var body store.WireWrite
	if !decode(w, r, &body) {
		return
	}
	rev, err := s.store.CompareAndSwap(r.Context(), r.URL.Query().Get("key"), body.Expect, body.Value, body.Lease)
	respond(w, store.WireRevision{Revision: rev}, err)
}

func (s *StoreServer) delete(w http.ResponseWriter, r *http.Request) {
	err := s.store.Delete(r.Context(), r.URL.Query().Get("key"), store.Revision(queryInt(r, "expect")))
	respond(w, struct{}{}, err)
}

func (s *StoreServer) list(w http.ResponseWriter, r *http.Request) {
	entries, rev, err := s.store.List(r.Context(), r.FormValue("prefix"))
	respond(w, store.WireList{Revision: rev, Entries: entries}, err)
}

func (s *StoreServer) watch(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(queryInt(r, "wait_ms"))*time.Millisecond)
	defer cancel()
	if err := s.store.enter(ctx, "watch", false); err != nil {
		respond(w, nil, err)
		return
	}
	s.store.mu.Unlock()
	after := store.Revision(queryInt(r, "after"))
	for {
		list, changed := s.store.since(r.FormValue("prefix"), after)
		if s.store.isDown() {
			respond(w, nil, &store.UnavailableError{Op: "watch", Cause: errDown})
			return
		}
		if len(list.Events) > 0 || list.Compacted {
			respond(w, list, nil)
			return
		}
		after = max(after, list.Revision)
		select {
		case <-changed:
		case <-ctx.Done():
			respond(w, store.WireList{Revision: after}, nil)
			return
		}
	}
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

func (s *StoreServer) grant(w http.ResponseWriter, r *http.Request) {
	var body store.WireLease
	if !decode(w, r, &body) {
		return
	}
	id, err := s.store.Grant(r.Context(), time.Duration(body.TTLMS)*time.Millisecond)
	respond(w, store.WireLease{Lease: id, TTLMS: body.TTLMS}, err)
}

func (s *StoreServer) renew(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.store.Renew(r.Context(), leaseID(r)))
}

func (s *StoreServer) revoke(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.store.Revoke(r.Context(), leaseID(r)))
}

func leaseID(r *http.Request) store.LeaseID {
	id, _ := strconv.ParseInt(mux.Vars(r)["id"], 10, 64) // the route matches digits only
	return store.LeaseID(id)
}

func queryInt(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		respond(w, nil, &store.BadRequestError{Message: err.Error()})
		return false
	}
	return true
}

// respond writes a success or the wire form of err. For an unknown outcome it
// drops the connection, as a lost reply would.
func respond(w http.ResponseWriter, body any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		writeJSON(w, http.StatusOK, body)
		return
	}
	var (
		unknown  *store.UnknownOutcomeError
		notFound *store.NotFoundError
		conflict *store.ConflictError
		gone     *store.LeaseGoneError
		large    *store.TooLargeError
		bad      *store.BadRequestError
	)
	switch {
	case errors.As(err, &unknown):
		panic(http.ErrAbortHandler)
	case errors.As(err, &notFound):
		writeJSON(w, http.StatusNotFound, store.WireError{Code: store.CodeNotFound})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, store.WireError{Code: store.CodeConflict, Actual: conflict.Actual})
	case errors.As(err, &gone):
		writeJSON(w, http.StatusGone, store.WireError{Code: store.CodeLeaseGone})
	case errors.As(err, &large):
		writeJSON(w, http.StatusRequestEntityTooLarge, store.WireError{Code: store.CodeTooLarge})
	case errors.As(err, &bad):
		writeJSON(w, http.StatusBadRequest, store.WireError{Code: store.CodeBadRequest, Detail: bad.Message})
	default:
		writeJSON(w, http.StatusServiceUnavailable, store.WireError{Code: store.CodeUnavailable})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	w.Write(data)
}
