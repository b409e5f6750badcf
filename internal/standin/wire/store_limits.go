package wire

import (
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/store"
)

// Limits of the store.
const (
	maxKeyBytes     = 200
	maxValueBytes   = 1 << 20
	maxTxnEntries   = 32
	pageItems       = 500
	pageBytes       = 1_000_000 // of a page as sent
	maxWatchMS      = 30_000
	minLeaseTTL     = time.Second
	maxLeaseTTL     = 10 * time.Minute
	writesPerSecond = 400
	readsPerSecond  = 2000
	renewalPrice    = 0.1 // of a read
	historyKept     = 20 * time.Second
)

// quota bounds the calls within any second. Calls beyond it count as well.
type quota struct {
	perSecond float64
	spent     []expense
	total     float64
}

type expense struct {
	at    time.Time
	price float64
}

// take counts a call and reports whether the quota has room for it.
func (q *quota) take(price float64, now time.Time) bool {
	for len(q.spent) > 0 && now.Sub(q.spent[0].at) > time.Second {
		q.total -= q.spent[0].price
		q.spent = q.spent[1:]
	}
	q.spent = append(q.spent, expense{now, price})
	q.total += price
	return q.total <= q.perSecond
}

// accept counts a call against the quotas of all hosts together.
func (s *Store) accept(r *http.Request, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("stale_ok") == "1":
		return true
	case r.Method == http.MethodGet:
		return s.reads.take(1, now)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		return s.reads.take(renewalPrice, now)
	default:
		return s.writes.take(1, now)
	}
}

// refusal returns the status with which the store refuses the contents of a
// transaction, or 0.
func (b *txnBody) refusal() int {
	if len(b.Precondition)+len(b.Writes)+len(b.Remove) > maxTxnEntries {
		return http.StatusBadRequest
	}
	for _, c := range b.Precondition {
		if !isKey(c.Key) {
			return http.StatusBadRequest
		}
	}
	for _, p := range b.Writes {
		if !isKey(p.Key) || len(p.Value) > maxValueBytes {
			return http.StatusBadRequest
		}
		if isReserved(p.Key) {
			return http.StatusForbidden
		}
	}
	for _, key := range b.Remove {
		if !isKey(key) {
			return http.StatusBadRequest
		}
		if isReserved(key) {
			return http.StatusForbidden
		}
	}
	return 0
}

func isKey(key string) bool { return key != "" && len(key) <= maxKeyBytes }

// isReserved reports whether only operators and workers may write a key.
func isReserved(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// datedRevision is a revision that the store had at a time.
type datedRevision struct {
	at       time.Time
	revision store.Revision
}

// dropHistory drops the changes that are older than historyKept.
func (s *Store) dropHistory(now time.Time) {
	_, _, revision, err := s.Page("none/", "")
	if err != nil {
		return // a test has taken the memory down
	}
	s.mu.Lock()
	s.revisions = append(s.revisions, datedRevision{now, revision})
	dropped := store.Revision(0)
	for len(s.revisions) > 0 && now.Sub(s.revisions[0].at) > historyKept {
		dropped = s.revisions[0].revision
		s.revisions = s.revisions[1:]
	}
	s.mu.Unlock()
	if dropped > 0 {
		s.CompactTo(dropped)
	}
}
