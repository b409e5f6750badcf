package wire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// PauseLeases selects whether leases pause while the store is down, or else expire.
func (s *Store) PauseLeases(pause bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leasesPaused = pause
}

// expireLeases ends the leases that have expired.
func (s *Store) expireLeases(now time.Time) {
	s.mu.Lock()
	paused := s.leasesPaused && s.mode.isDown()
	var expired []store.LeaseID
	for id, l := range s.leases {
		if paused {
			l.expiresAt = l.expiresAt.Add(expiryInterval)
		}
		if now.After(l.expiresAt) {
			expired = append(expired, id)
			delete(s.leases, id)
		}
	}
	s.mu.Unlock()
	for _, id := range expired {
		s.ExpireLease(id)
	}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(body.TTLMS)*time.Millisecond, minLeaseTTL), maxLeaseTTL)
	id, err := s.Grant(ttl)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.leases[id] = &lease{ttl: ttl, expiresAt: arrivalOf(r).Add(ttl)}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

// leaseOf returns the lease of a call, or responds 404 if there is none.
func (s *Store) leaseOf(w http.ResponseWriter, r *http.Request) (store.LeaseID, bool) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[store.LeaseID(id)]
	s.mu.Unlock()
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return 0, false
	}
	return store.LeaseID(id), true
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, ok := s.leaseOf(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	if l := s.leases[id]; l != nil {
		if renewed := arrivalOf(r).Add(l.ttl); renewed.After(l.expiresAt) {
			l.expiresAt = renewed
		}
	}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	id, ok := s.leaseOf(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	delete(s.leases, id)
	s.mu.Unlock()
	s.ExpireLease(id)
	respond(w, http.StatusOK, map[string]any{})
}
