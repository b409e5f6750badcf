package member_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer/peertest"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// faultyStore is a store that can be made to grant no leases, or to deliver no events
// on watches.
type faultyStore struct {
	*standin.Store
	denyGrants     atomic.Bool // Grant fails
	silenceWatches atomic.Bool // new watches deliver no events
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	if s.silenceWatches.Load() {
		prefix = "nothing/"
	}
	return s.Store.Watch(ctx, prefix, after)
}

func (s *faultyStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if s.denyGrants.Load() {
		return 0, &store.UnavailableError{Op: "grant", Cause: context.DeadlineExceeded}
	}
	return s.Store.Grant(ctx, ttl)
}

// runningRegistry is a registry whose Serve runs until stop is called. stop returns the
// error of Serve.
type runningRegistry struct {
	*member.Registry
	stop func() error
}

// cluster is a store and a network that registries share.
type cluster struct {
	t     *testing.T
	store *faultyStore
	net   *peertest.Network
}

// start runs the registry of a host. free returns the free slots in its summary.
func (cl cluster) start(id fleet.HostID, incarnation fleet.Incarnation, free func() int) runningRegistry {
	peers := cl.net.Host(id)
	r := member.NewRegistry(member.Deps{
		Self:  member.Host{ID: id, Incarnation: incarnation, Region: "sofia", PeerAddress: string(id) + ":1"},
		Store: cl.store, Peers: peers, Registry: peers, Logger: log.NewNopLogger(), PeerSeed: 1,
	})
	r.SetSummarySource(func() member.Summary {
		return member.Summary{StoreOK: true, Services: map[fleet.Service]member.ServiceLoad{"s": {Free: free()}}}
	})
	ctx, cancel := context.WithCancel(cl.t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Serve(ctx) }()
	return runningRegistry{Registry: r, stop: func() error { cancel(); return <-done }}
}

// withCluster runs a test on a cluster within a synctest bubble.
func withCluster(t *testing.T, test func(t *testing.T, cl cluster)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, cluster{t: t, store: &faultyStore{Store: standin.NewStore()}, net: peertest.NewNetwork()})
	})
}

// outage makes the store unavailable for d.
func (cl cluster) outage(d time.Duration) {
	cl.store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(d)
	cl.store.SetFaults(standin.StoreFaults{})
}

// ids returns the IDs of the hosts that r knows.
func ids(r runningRegistry) string {
	var list []fleet.HostID
	for _, h := range r.Hosts() {
		list = append(list, h.ID)
	}
	return fmt.Sprint(list)
}

func constant(n int) func() int { return func() int { return n } }

func TestHostsJoinAndLeave(t *testing.T) {
	withCluster(t, func(t *testing.T, cl cluster) {
		a, b := cl.start("a", 1, constant(1)), cl.start("b", 1, constant(2))
		time.Sleep(member.LeaseTTL + 5*time.Second)
		if got := ids(a) + ids(b); got != "[a b][a b]" {
			t.Errorf("a and b know the hosts %s, want [a b][a b]", got)
		}
		if address, ok := a.PeerAddress("b"); address != "b:1" || !ok {
			t.Errorf("address of b is %q, want b:1", address)
		}
		if s, ok := a.Summary("b"); !ok || s.Services["s"].Free != 2 {
			t.Errorf("summary of b is %+v, want 2 free slots", s)
		}
		_ = b.stop()
		time.Sleep(time.Second)
		if got := ids(a); got != "[a]" {
			t.Errorf("a knows the hosts %s after b's shutdown, want [a]", got)
		}
		if _, ok := a.Summary("b"); ok {
			t.Error("a still has the summary of b, which is gone")
		}
		_ = a.stop()
	})
}

func TestRestartReplacesTheIncarnation(t *testing.T) {
	withCluster(t, func(t *testing.T, cl cluster) {
		a, b := cl.start("a", 1, constant(1)), cl.start("b", 1, constant(2))
		time.Sleep(5 * time.Second)
		later := cl.start("b", 2, constant(3))
		time.Sleep(5 * time.Second)
		if h, _ := a.Host("b"); h.Incarnation != 2 {
			t.Errorf("host b is %+v, want incarnation 2", h)
		}
		if s, _ := a.Summary("b"); s.Incarnation != 2 || s.Services["s"].Free != 3 {
			t.Errorf("summary of b is %+v, want incarnation 2 with 3 free slots", s)
		}
		cl.store.ExpireAllLeases()
		time.Sleep(10 * time.Second)
		if h, _ := a.Host("b"); h.Incarnation != 2 {
			t.Errorf("host b is %+v after all leases expired, want incarnation 2", h)
		}
		var superseded *member.SupersededError
		if err := b.stop(); !errors.As(err, &superseded) {
			t.Errorf("the earlier process ended with %v, want a *SupersededError", err)
		}
		_, _ = a.stop(), later.stop()
	})
}

// TestShutdownIsNotLeaseExpiry guards against keeping a host that shut down as if its
// lease had expired in an outage: the others must remove it, whatever faults the store
// has had before.
func TestShutdownIsNotLeaseExpiry(t *testing.T) {
	tests := map[string]struct {
		before func(cl cluster)
		delay  time.Duration // within which a change of the records is noticed
	}{
		"just started":    {func(cluster) { time.Sleep(2 * time.Second) }, time.Second},
		"after expiry":    {func(cl cluster) { time.Sleep(time.Minute); cl.store.ExpireAllLeases(); time.Sleep(6 * time.Second) }, time.Second},
		"after an outage": {func(cl cluster) { time.Sleep(time.Minute); cl.outage(time.Minute); time.Sleep(8 * time.Second) }, time.Second},
		"no watch events": {
			func(cl cluster) {
				cl.store.silenceWatches.Store(true)
				time.Sleep(time.Minute)
				cl.outage(time.Minute)
				time.Sleep(3 * time.Second)
			},
			8500 * time.Millisecond, // the next listing
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, cl cluster) {
				a, b := cl.start("a", 1, constant(1)), cl.start("b", 1, constant(2))
				tt.before(cl)
				if got := ids(a); got != "[a b]" {
					t.Errorf("a knows the hosts %s before b's shutdown, want [a b]", got)
				}
				_ = b.stop()
				time.Sleep(tt.delay)
				if got := ids(a); got != "[a]" {
					t.Errorf("a knows the hosts %s after b's shutdown, want [a]", got)
				}
				later := cl.start("b", 2, constant(3))
				time.Sleep(tt.delay + time.Second)
				if h, _ := a.Host("b"); h.Incarnation != 2 {
					t.Errorf("host b is %+v after its restart, want incarnation 2", h)
				}
				_, _ = a.stop(), later.stop()
			})
		})
	}
}

// TestRecordOfEarlierProcessIsReplaced guards against a write of an earlier process
// that takes effect after the later process has registered.
func TestRecordOfEarlierProcessIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, cl cluster) {
		a, b := cl.start("a", 1, constant(1)), cl.start("b", 2, constant(2))
		time.Sleep(2 * time.Second)
		entry, err := cl.store.Get(t.Context(), "hosts/b")
		if err != nil {
			t.Fatal(err)
		}
		late := strings.Replace(string(entry.Value), `"incarnation":2`, `"incarnation":1`, 1)
		if _, err := cl.store.CompareAndSwap(t.Context(), entry.Key, entry.Revision, []byte(late), 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * time.Second)
		if h, _ := a.Host("b"); h.Incarnation != 2 {
			t.Errorf("host b is %+v, want incarnation 2", h)
		}
		_, _ = a.stop(), b.stop()
	})
}

func TestExpiredLeaseIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, cl cluster) {
		a, b := cl.start("a", 1, constant(1)), cl.start("b", 1, constant(2))
		time.Sleep(2 * member.LeaseTTL)
		cl.store.ExpireAllLeases()
		if _, ok := a.StoreSteadySince(); !ok {
			t.Error("store does not count as steady before the expiry was noticed")
		}
		time.Sleep(6 * time.Second)
		if got := ids(a) + ids(b); got != "[a b][a b]" {
			t.Errorf("a and b know the hosts %s after the expiry, want [a b][a b]", got)
		}
		if since, ok := a.StoreSteadySince(); !ok || time.Since(since) > 6*time.Second {
			t.Errorf("store counts as steady since %v, %v; want a new steady period after the expiry", since, ok)
		}
		_, _ = a.stop(), b.stop()
	})
}

func TestOutageKeepsTheHosts(t *testing.T) {
	withCluster(t, func(t *testing.T, cl cluster) {
		a, b, c := cl.start("a", 1, constant(1)), cl.start("b", 1, constant(2)), cl.start("c", 1, constant(3))
		time.Sleep(2 * member.LeaseTTL)
		cl.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(time.Hour)
		if _, ok := a.StoreSteadySince(); ok {
			t.Error("store counts as steady during an outage")
		}
		cl.store.denyGrants.Store(true)
		cl.store.SetFaults(standin.StoreFaults{})
		for s := range 12 {
			time.Sleep(time.Second)
			cl.store.denyGrants.Store(s < 8)
			if got := ids(a); got != "[a b c]" {
				t.Fatalf("a knows the hosts %s %d s after the outage, want [a b c]", got, s)
			}
		}
		// c's lease expires, and c can't register again.
		cl.store.denyGrants.Store(true)
		entry, err := cl.store.Get(t.Context(), "hosts/c")
		if err != nil {
			t.Fatal(err)
		}
		if err := cl.store.Revoke(t.Context(), entry.Lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := ids(a); got != "[a b c]" {
			t.Errorf("a knows the hosts %s, want [a b c] as the store has not been steady for LeaseTTL", got)
		}
		time.Sleep(member.LeaseTTL + 5*time.Second)
		if got := ids(a); got != "[a b]" {
			t.Errorf("a knows the hosts %s, want [a b]", got)
		}
		_, _, _ = a.stop(), b.stop(), c.stop()
	})
}

func TestSummariesSurviveLostReplies(t *testing.T) {
	withCluster(t, func(t *testing.T, cl cluster) {
		var free atomic.Int64
		a, b := cl.start("a", 1, constant(1)), cl.start("b", 1, func() int { return int(free.Load()) })
		time.Sleep(5 * time.Second)
		cl.net.LoseReplies("a", "b", 5)
		cl.net.LoseReplies("b", "a", 5)
		free.Store(7)
		time.Sleep(10 * time.Second)
		if s, _ := a.Summary("b"); s.Services["s"].Free != 7 {
			t.Errorf("summary of b is %+v, want 7 free slots", s)
		}
		_, _ = a.stop(), b.stop()
	})
}
