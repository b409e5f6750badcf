package store

import (
	"context"
	"expvar"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// Call is a kind of call, as named in the counters.
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

// Budget limits the calls of this process to the service. Burst is the maximum
// number of reads, and of writes, that may exceed the rate at once.
type Budget struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Burst           int
}

// Metered is a Store that counts calls and limits their rate to a Budget. A call
// that exceeds the budget waits. If its context ends first, or would end before
// the budget allows the call, the call is not made and fails with an
// *UnavailableError.
type Metered struct {
	next   Store
	reads  *rate.Limiter
	writes *rate.Limiter
	counts *expvar.Map
}

var _ Store = (*Metered)(nil)

// NewMetered returns a Metered that forwards calls to next within budget b.
func NewMetered(next Store, b Budget) *Metered {
	return &Metered{
		next:   next,
		reads:  rate.NewLimiter(rate.Limit(b.ReadsPerSecond), b.Burst),
		writes: rate.NewLimiter(rate.Limit(b.WritesPerSecond), b.Burst),
		counts: new(expvar.Map).Init(),
	}
}

// SetBudget replaces the budget. Calls that are already waiting keep the time at
// which they may go ahead.
func (m *Metered) SetBudget(b Budget) {
	m.reads.SetLimit(rate.Limit(b.ReadsPerSecond))
	m.reads.SetBurst(b.Burst)
	m.writes.SetLimit(rate.Limit(b.WritesPerSecond))
	m.writes.SetBurst(b.Burst)
}

// Share returns the budget of one of n processes. The rates are divided by n, but
// the burst is not, so that a process that starts or recovers a shard is not
// delayed.
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

// admit waits until the limiter allows the call and counts it.
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

// Renew implements Store. Renewals are counted but not limited, since an expired
// lease costs more calls than its renewal.
func (m *Metered) Renew(ctx context.Context, lease LeaseID) error {
	m.counts.Add(string(CallLease), 1)
	return m.next.Renew(ctx, lease)
}

// Revoke implements Store. Revocations are counted but not limited.
func (m *Metered) Revoke(ctx context.Context, lease LeaseID) error {
	m.counts.Add(string(CallLease), 1)
	return m.next.Revoke(ctx, lease)
}

// Watch implements Store. A watch counts as one call, made when it is opened.
func (m *Metered) Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error) {
	if err := m.admit(ctx, m.reads, CallWatch); err != nil {
		return nil, err
	}
	return m.next.Watch(ctx, prefix, after)
}
