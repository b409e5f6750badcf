package store

import (
	"context"
	"expvar"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// Call names one kind of call in counters.
type Call string

// Kinds of calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallWrite  Call = "write"
	CallDelete Call = "delete"
	CallLease  Call = "lease"
	CallWatch  Call = "watch"
)

// Budget is the share of the service's allowance that this process may use.
type Budget struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Burst           int
}

// Metered is a Store that counts calls and holds them to a Budget. A call
// over the budget waits until it fits or its context ends; then it fails
// with *UnavailableError and was not made.
type Metered struct {
	next   Store
	reads  *rate.Limiter
	writes *rate.Limiter
	counts *expvar.Map
}

var _ Store = (*Metered)(nil)

// NewMetered wraps next.
func NewMetered(next Store, b Budget) *Metered {
	return &Metered{
		next:   next,
		reads:  rate.NewLimiter(rate.Limit(b.ReadsPerSecond), b.Burst),
		writes: rate.NewLimiter(rate.Limit(b.WritesPerSecond), b.Burst),
		counts: new(expvar.Map).Init(),
	}
}

// SetBudget replaces the budget. Calls that wait already keep their place.
func (m *Metered) SetBudget(b Budget) {
	m.reads.SetLimit(rate.Limit(b.ReadsPerSecond))
	m.reads.SetBurst(b.Burst)
	m.writes.SetLimit(rate.Limit(b.WritesPerSecond))
	m.writes.SetBurst(b.Burst)
}

// Share returns the budget divided among n processes. The burst stays, so that
// a process that starts or recovers a shard is not held up.
func (b Budget) Share(n int) Budget {
	n = max(n, 1)
	return Budget{
		ReadsPerSecond:  b.ReadsPerSecond / float64(n),
		WritesPerSecond: b.WritesPerSecond / float64(n),
		Burst:           b.Burst,
	}
}

// Counts returns the number of calls by kind.
func (m *Metered) Counts() *expvar.Map { return m.counts }

func (m *Metered) admit(ctx context.Context, l *rate.Limiter, call Call) error {
	if err := l.Wait(ctx); err != nil {
		return eris.Wrap(&UnavailableError{Op: string(call), Cause: err}, "budget")
	}
	m.counts.Add(string(call), 1)
	return nil
}

// Get implements Store.
func (m *Metered) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.admit(ctx, m.reads, CallGet); err != nil {
		return Entry{}, err
	}
	return m.next.Get(ctx, key)
}

// GetNewer implements Store.
func (m *Metered) GetNewer(ctx context.Context, key string, known Revision) (Entry, bool, error) {
	if err := m.admit(ctx, m.reads, CallGet); err != nil {
		return Entry{}, false, err
	}
	return m.next.GetNewer(ctx, key, known)
}

// List implements Store.
func (m *Metered) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	if err := m.admit(ctx, m.reads, CallList); err != nil {
		return nil, 0, err
	}
	return m.next.List(ctx, prefix)
}

// CompareAndSwap implements Store.
func (m *Metered) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error) {
	if err := m.admit(ctx, m.writes, CallWrite); err != nil {
		return 0, err
	}
	return m.next.CompareAndSwap(ctx, key, expect, value, lease)
}

// Delete implements Store.
func (m *Metered) Delete(ctx context.Context, key string, expect Revision) error {
	if err := m.admit(ctx, m.writes, CallDelete); err != nil {
		return err
	}
	return m.next.Delete(ctx, key, expect)
}

// Grant implements Store.
func (m *Metered) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := m.admit(ctx, m.writes, CallLease); err != nil {
		return 0, err
	}
	return m.next.Grant(ctx, ttl)
}

// Renew implements Store. Renewals are counted but never wait, since a lease
// that lapses costs more calls than its renewal.
func (m *Metered) Renew(ctx context.Context, lease LeaseID) error {
	m.counts.Add(string(CallLease), 1)
	return m.next.Renew(ctx, lease)
}

// Revoke implements Store. It never waits.
func (m *Metered) Revoke(ctx context.Context, lease LeaseID) error {
	m.counts.Add(string(CallLease), 1)
	return m.next.Revoke(ctx, lease)
}

// Watch implements Store. A watch counts as one call when it is opened.
func (m *Metered) Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error) {
	if err := m.admit(ctx, m.reads, CallWatch); err != nil {
		return nil, err
	}
	return m.next.Watch(ctx, prefix, after)
}
