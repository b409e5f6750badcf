package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
)

func newTestStore(t *testing.T) *Store {
	t.Helper()
	s, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// call sends a call to the store and returns the status and the body, or 0 if there is no
// response within timeout.
func call(t *testing.T, address, method, path string, body any, timeout time.Duration) (int, []byte) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// What a transaction may not contain must be refused as a whole.
func TestStoreAcceptsTransactionBeyondItsLimits(t *testing.T) {
	s := newTestStore(t)
	put := func(key string, size int) store.Put { return store.Put{Key: key, Value: make([]byte, size)} }
	var many, most []store.Put
	for i := range maxTxnEntries + 1 {
		many = append(many, put(fmt.Sprintf("many/%d", i), 1))
	}
	most = many[:maxTxnEntries]
	for name, c := range map[string]struct {
		txn      store.Txn
		accepted bool
	}{
		"largest value":        {store.Txn{Puts: []store.Put{put("k", 1_048_576)}}, true},
		"value too large":      {store.Txn{Puts: []store.Put{put("beside", 1), put("k2", 1_048_577)}}, false},
		"longest key":          {store.Txn{Puts: []store.Put{put(strings.Repeat("k", 200), 1)}}, true},
		"key too long":         {store.Txn{Puts: []store.Put{put(strings.Repeat("k", 201), 1)}}, false},
		"checked key too long": {store.Txn{Checks: []store.Check{{Key: strings.Repeat("k", 201)}}}, false},
		"deleted key too long": {store.Txn{Deletes: []string{strings.Repeat("k", 201)}}, false},
		"no key":               {store.Txn{Puts: []store.Put{put("", 1)}}, false},
		"most entries":         {store.Txn{Puts: most}, true},
		"too many entries":     {store.Txn{Puts: many}, false},
		"too many of any kind": {store.Txn{Puts: many[:16], Checks: []store.Check{{Key: "x"}}, Deletes: strings.Split(strings.Repeat("d,", 15)+"d", ",")}, false},
		"operators' key":       {store.Txn{Puts: []store.Put{put("op/config", 1)}}, false},
		"worker's key":         {store.Txn{Deletes: []string{"servers/w"}}, false},
	} {
		_, err := platform.NewStore(s.Address()).Commit(c.txn)
		var refused *store.BadRequestError
		if c.accepted && err != nil || !c.accepted && !errors.As(err, &refused) {
			t.Errorf("%s: %v, want accepted %v", name, err, c.accepted)
		}
	}
	if _, err := s.Get("beside"); err == nil {
		t.Error("an entry beside a refused one was stored")
	}
}

// Each page must be cut off by number and by size, and show the state of its own time.
func TestRangeReturnsAllItemsInOnePage(t *testing.T) {
	s := newTestStore(t)
	for i := range 120 {
		if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: fmt.Sprintf("n/%03d", i)}}}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 4 {
		if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: fmt.Sprintf("l/%d", i), Value: make([]byte, 400_000)}}}); err != nil {
			t.Fatal(err)
		}
	}
	client := platform.NewStore(s.Address())
	first, more, _, err := client.Page("n/", "")
	if err != nil || !more || len(first) > pageItems || len(first) == 120 {
		t.Fatalf("%d of 120 items, truncated %v, error %v", len(first), more, err)
	}
	if err := s.Remove("n/119"); err != nil {
		t.Fatal(err)
	}
	all := len(first)
	for more {
		var next []store.Entry
		if next, more, _, err = client.Page("n/", first[len(first)-1].Key); err != nil {
			t.Fatal(err)
		}
		first = append(first, next...)
		all += len(next)
	}
	if all != 119 {
		t.Errorf("%d items over all pages, want 119 without the one removed after the first page", all)
	}
	large, more, _, err := client.Page("l/", "")
	if err != nil || !more || len(large) != 1 {
		t.Errorf("%d large items, truncated %v, error %v, want one of over half a page", len(large), more, err)
	}
}

// Calls beyond the quota of all hosts together must be refused with 429, and count.
func TestStoreServesCallsBeyondItsRates(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		method, path string
		served       int
	}{
		"transactions":   {http.MethodPost, "/v1/kv-txn", writesPerSecond},
		"new leases":     {http.MethodPost, "/v1/kv-lease", writesPerSecond},
		"reads":          {http.MethodGet, "/v1/kv-key?key=k", readsPerSecond},
		"watches":        {http.MethodGet, "/v1/kv-watch?prefix=k", readsPerSecond},
		"lease renewals": {http.MethodPost, "/v1/kv-keep/7", 10 * readsPerSecond},
	} {
		s := &Store{writes: quota{perSecond: writesPerSecond}, reads: quota{perSecond: readsPerSecond}}
		r, err := http.NewRequestWithContext(t.Context(), c.method, c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		served := 0
		for range 2 * c.served {
			if s.accept(r, now) {
				served++
			}
		}
		if served < c.served-1 || served > c.served { // a tenth is not exact
			t.Errorf("%s: %d served in a second, want %d", name, served, c.served)
		}
		if s.accept(r, now.Add(time.Second)) {
			t.Errorf("%s: served while refused calls of the last second fill the quota", name)
		}
		if !s.accept(r, now.Add(2*time.Second+time.Millisecond)) {
			t.Errorf("%s: refused although the last second was quiet", name)
		}
	}
	s := newTestStore(t)
	s.mu.Lock()
	s.writes.perSecond = 0
	s.mu.Unlock()
	_, err := platform.NewStore(s.Address()).Commit(store.Txn{Puts: []store.Put{{Key: "k"}}})
	var unavailable *store.UnavailableError
	if _, missing := s.Get("k"); !errors.As(err, &unavailable) || missing == nil {
		t.Errorf("error %v, want the write refused and not applied", err)
	}
}

// A watch must be refused for a wait beyond 30 s or one that is no whole number, and its
// history must be gone after a while.
func TestWatchWaitsOrLooksBackWithoutBound(t *testing.T) {
	s := newTestStore(t)
	for path, want := range map[string]int{
		"/v1/kv-watch?prefix=k&after=0&wait_ms=30001": http.StatusBadRequest, "/v1/kv-watch?prefix=k&after=0&wait_ms=1.5": http.StatusBadRequest,
		"/v1/kv-watch?prefix=k&after=0&wait_ms=-1": http.StatusBadRequest, "/v1/kv-watch?prefix=k&after=1&wait_ms=0": http.StatusOK,
		"/v1/kv-watch?prefix=k&wait_ms=0": http.StatusBadRequest,
	} {
		if status, _ := call(t, s.Address(), http.MethodGet, path, nil, testTimeout); status != want {
			t.Errorf("%s: status %d, want %d", path, status, want)
		}
	}
	if err := s.Put("k", 1); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	s.dropHistory(now)
	path := "/v1/kv-watch?prefix=k&after=1&wait_ms=0"
	if status, _ := call(t, s.Address(), http.MethodGet, path, nil, testTimeout); status != http.StatusOK {
		t.Errorf("status %d for recent history", status)
	}
	s.dropHistory(now.Add(historyKept + time.Second))
	if status, _ := call(t, s.Address(), http.MethodGet, path, nil, testTimeout); status != http.StatusGone {
		t.Errorf("status %d for history of over %v, want %d", status, historyKept, http.StatusGone)
	}
}

func TestWaitingWatchIsNeverCut(t *testing.T) {
	s := newTestStore(t)
	time.AfterFunc(shortOutage, s.CutWatches)
	began := time.Now()
	if status, _ := call(t, s.Address(), http.MethodGet, "/v1/kv-watch?prefix=k&after=1&wait_ms=5000", nil, testTimeout); status != 0 || time.Since(began) > time.Second {
		t.Errorf("status %d after %v, want a cut connection", status, time.Since(began))
	}
}

// A store that has gone down must not answer the watches that waited.
func TestStoreThatIsDownAnswersWatch(t *testing.T) {
	s := newTestStore(t)
	time.AfterFunc(shortOutage, func() {
		s.SetMode(StoreUnresponsive)
		if err := s.Put("k", 1); err != nil {
			t.Error(err)
		}
	})
	if status, _ := call(t, s.Address(), http.MethodGet, "/v1/kv-watch?prefix=k&after=1&wait_ms=5000", nil, 4*shortOutage); status != 0 {
		t.Errorf("status %d from a store that is down", status)
	}
}

func TestStoreRejectsAllHostsAlike(t *testing.T) {
	s := newTestStore(t)
	front, err := s.AddFront()
	if err != nil {
		t.Fatal(err)
	}
	for mode, want := range map[StoreMode]int{
		StoreUnavailable: http.StatusServiceUnavailable, StoreOverloaded: http.StatusTooManyRequests, StoreUnresponsive: 0, StoreHealthy: http.StatusNotFound,
	} {
		front.SetMode(mode)
		if status, _ := call(t, front.Address(), http.MethodGet, "/v1/kv-key?key=k", nil, noReplyTimeout); status != want {
			t.Errorf("%s: status %d to the rejected host, want %d", mode, status, want)
		}
		if status, _ := call(t, s.Address(), http.MethodGet, "/v1/kv-key?key=k", nil, testTimeout); status != http.StatusNotFound {
			t.Errorf("%s: status %d to another host, want %d", mode, status, http.StatusNotFound)
		}
	}
}

// A connection on which a response was lost must return nothing later.
func TestLostResponseArrivesLater(t *testing.T) {
	s := newTestStore(t)
	s.SetMode(StoreUnresponsive)
	time.AfterFunc(shortOutage, func() { s.SetMode(StoreHealthy) })
	if status, _ := call(t, s.Address(), http.MethodGet, "/v1/kv-key?key=k", nil, 4*shortOutage); status != 0 {
		t.Errorf("status %d on a connection whose response was lost", status)
	}
}

// grantLease grants a lease with a key and returns its path for renewals.
func grantLease(t *testing.T, s *Store, ttl time.Duration, key string) string {
	t.Helper()
	id, err := platform.NewStore(s.Address()).Grant(ttl)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: key, Lease: id}}}); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("/v1/kv-keep/%d", id)
}

// While the store is down, leases must either pause or expire, as selected.
func TestLeasesOutliveOutage(t *testing.T) {
	for name, paused := range map[string]bool{"pause": true, "expire": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestStore(t)
			path := grantLease(t, s, minLeaseTTL, "k")
			s.PauseLeases(paused)
			s.SetMode(StoreUnresponsive)
			time.Sleep(2 * minLeaseTTL)
			_, err := s.Get("k")
			s.SetMode(StoreHealthy)
			status, _ := call(t, s.Address(), http.MethodPost, path, nil, testTimeout)
			if kept := err == nil && status == http.StatusOK; kept != paused {
				t.Errorf("key: %v, renewal: %d, want paused %v", err, status, paused)
			}
		})
	}
}

// A lease must run from the arrival of the call that grants it.
func TestLeaseRunsFromItsAnswer(t *testing.T) {
	s := newTestStore(t)
	s.SetMode(StoreSlow)
	id, err := platform.NewStore(s.Address()).Grant(maxLeaseTTL)
	answered := time.Now()
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if latest := answered.Add(maxLeaseTTL - slowDelay); s.leases[id].expiresAt.After(latest) {
		t.Errorf("the lease ends %v after it was answered, want at most %v", s.leases[id].expiresAt.Sub(answered), maxLeaseTTL-slowDelay)
	}
}

func TestLeaseOfAnyLengthIsGranted(t *testing.T) {
	s := newTestStore(t)
	for asked, want := range map[int]int{1: 1000, 5000: 5000, 3_600_000: 600_000} {
		_, body := call(t, s.Address(), http.MethodPost, "/v1/kv-lease", map[string]int{"ttl_ms": asked}, testTimeout)
		var answer struct {
			TTL int `json:"ttl_ms"`
		}
		if err := json.Unmarshal(body, &answer); err != nil || answer.TTL != want {
			t.Errorf("lease of %d ms for %d ms, error %v, want %d", answer.TTL, asked, err, want)
		}
	}
}
