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

// faulty is a store that grants no leases, or whose watches are silent, for
// a while.
type faulty struct {
	*standin.Store
	deny atomic.Bool
	deaf atomic.Bool // new watches hear nothing
}

func (s *faulty) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	if s.deaf.Load() {
		prefix = "nothing/"
	}
	return s.Store.Watch(ctx, prefix, after)
}

func (s *faulty) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if s.deny.Load() {
		return 0, &store.UnavailableError{Op: "grant", Cause: context.DeadlineExceeded}
	}
	return s.Store.Grant(ctx, ttl)
}

type running struct {
	*member.Registry
	stop func() error
}

// world is a store and a network.
type world struct {
	t     *testing.T
	store *faulty
	net   *peertest.Network
}

// start runs the registry of a host; free is what its summary says.
func (w world) start(id fleet.HostID, incarnation fleet.Incarnation, free func() int) running {
	peers := w.net.Host(id)
	r := member.NewRegistry(member.Deps{
		Self:  member.Host{ID: id, Incarnation: incarnation, Region: "sofia", PeerAddress: string(id) + ":1"},
		Store: w.store, Caller: peers, Peers: peers, Logger: log.NewNopLogger(), PeerSeed: 1,
	})
	r.SetSummarySource(func() member.Summary {
		return member.Summary{StoreOK: true, Services: map[fleet.Service]member.ServiceLoad{"s": {Free: free()}}}
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Serve(ctx) }()
	return running{Registry: r, stop: func() error { cancel(); return <-done }}
}

func inWorld(t *testing.T, test func(t *testing.T, w world)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, world{t: t, store: &faulty{Store: standin.NewStore()}, net: peertest.NewNetwork()})
	})
}

func (w world) outage(d time.Duration) {
	w.store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(d)
	w.store.SetFaults(standin.StoreFaults{})
}

func ids(r running) string {
	var list []fleet.HostID
	for _, h := range r.Hosts() {
		list = append(list, h.ID)
	}
	return fmt.Sprint(list)
}

func constant(n int) func() int { return func() int { return n } }

func TestHostsComeAndGo(t *testing.T) {
	inWorld(t, func(t *testing.T, w world) {
		a, b := w.start("a", 1, constant(1)), w.start("b", 1, constant(2))
		time.Sleep(member.LeaseTTL + 5*time.Second)
		if got := ids(a) + ids(b); got != "[a b][a b]" {
			t.Errorf("hosts %s", got)
		}
		if address, ok := a.PeerAddress("b"); address != "b:1" || !ok {
			t.Errorf("address %q", address)
		}
		if s, ok := a.Summary("b"); !ok || s.Services["s"].Free != 2 {
			t.Errorf("summary %+v", s)
		}
		_ = b.stop()
		time.Sleep(time.Second)
		if got := ids(a); got != "[a]" {
			t.Errorf("hosts %s after b's goodbye", got)
		}
		if _, ok := a.Summary("b"); ok {
			t.Error("summary of a host that is gone")
		}
		_ = a.stop()
	})
}

func TestRestartReplacesTheIncarnation(t *testing.T) {
	inWorld(t, func(t *testing.T, w world) {
		a, b := w.start("a", 1, constant(1)), w.start("b", 1, constant(2))
		time.Sleep(5 * time.Second)
		later := w.start("b", 2, constant(3))
		time.Sleep(5 * time.Second)
		if h, _ := a.Host("b"); h.Incarnation != 2 {
			t.Errorf("host %+v", h)
		}
		if s, _ := a.Summary("b"); s.Incarnation != 2 || s.Services["s"].Free != 3 {
			t.Errorf("summary %+v", s)
		}
		w.store.ExpireAllLeases()
		time.Sleep(10 * time.Second)
		if h, _ := a.Host("b"); h.Incarnation != 2 {
			t.Errorf("host %+v after every lease has lapsed", h)
		}
		var superseded *member.SupersededError
		if err := b.stop(); !errors.As(err, &superseded) {
			t.Errorf("the earlier process ended with %v", err)
		}
		_, _ = a.stop(), later.stop()
	})
}

// A host that ends in order says so: the others must not take the end for a
// lapsed lease, whatever the store has been like.
func TestEndIsNoLapse(t *testing.T) {
	tests := map[string]struct {
		before func(w world)
		heard  time.Duration // within which a change of the records is heard
	}{
		"just started":    {func(world) { time.Sleep(2 * time.Second) }, time.Second},
		"after a lapse":   {func(w world) { time.Sleep(time.Minute); w.store.ExpireAllLeases(); time.Sleep(6 * time.Second) }, time.Second},
		"after an outage": {func(w world) { time.Sleep(time.Minute); w.outage(time.Minute); time.Sleep(8 * time.Second) }, time.Second},
		"watch is silent": {
			func(w world) {
				w.store.deaf.Store(true)
				time.Sleep(time.Minute)
				w.outage(time.Minute)
				time.Sleep(3 * time.Second)
			},
			8500 * time.Millisecond, // the next listing
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w world) {
				a, b := w.start("a", 1, constant(1)), w.start("b", 1, constant(2))
				tt.before(w)
				if got := ids(a); got != "[a b]" {
					t.Errorf("hosts %s", got)
				}
				_ = b.stop()
				time.Sleep(tt.heard)
				if got := ids(a); got != "[a]" {
					t.Errorf("hosts %s after b's end", got)
				}
				later := w.start("b", 2, constant(3))
				time.Sleep(tt.heard + time.Second)
				if h, _ := a.Host("b"); h.Incarnation != 2 {
					t.Errorf("host %+v after b's return", h)
				}
				_, _ = a.stop(), later.stop()
			})
		})
	}
}

// A write of an earlier process may take effect after the later process has
// registered.
func TestLateRecordIsReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, w world) {
		a, b := w.start("a", 1, constant(1)), w.start("b", 2, constant(2))
		time.Sleep(2 * time.Second)
		entry, err := w.store.Get(t.Context(), "hosts/b")
		if err != nil {
			t.Fatal(err)
		}
		late := strings.Replace(string(entry.Value), `"incarnation":2`, `"incarnation":1`, 1)
		if _, err := w.store.CompareAndSwap(t.Context(), entry.Key, entry.Revision, []byte(late), 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * time.Second)
		if h, _ := a.Host("b"); h.Incarnation != 2 {
			t.Errorf("host %+v", h)
		}
		_, _ = a.stop(), b.stop()
	})
}

func TestLapsedLeaseIsGrantedAnew(t *testing.T) {
	inWorld(t, func(t *testing.T, w world) {
		a, b := w.start("a", 1, constant(1)), w.start("b", 1, constant(2))
		time.Sleep(2 * member.LeaseTTL)
		w.store.ExpireAllLeases()
		if _, ok := a.StoreSteadySince(); !ok {
			t.Error("store not steady before the lapse was noticed")
		}
		time.Sleep(6 * time.Second)
		if got := ids(a) + ids(b); got != "[a b][a b]" {
			t.Errorf("hosts %s", got)
		}
		if since, ok := a.StoreSteadySince(); !ok || time.Since(since) > 6*time.Second {
			t.Errorf("steady since %v, %v: a lapse must start it anew", since, ok)
		}
		_, _ = a.stop(), b.stop()
	})
}

func TestOutageKeepsTheHosts(t *testing.T) {
	inWorld(t, func(t *testing.T, w world) {
		a, b, c := w.start("a", 1, constant(1)), w.start("b", 1, constant(2)), w.start("c", 1, constant(3))
		time.Sleep(2 * member.LeaseTTL)
		w.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(time.Hour)
		if _, ok := a.StoreSteadySince(); ok {
			t.Error("store counts as steady in an outage")
		}
		w.store.deny.Store(true)
		w.store.SetFaults(standin.StoreFaults{})
		for s := range 12 {
			time.Sleep(time.Second)
			w.store.deny.Store(s < 8)
			if got := ids(a); got != "[a b c]" {
				t.Fatalf("hosts %s, %d s after the outage", got, s)
			}
		}
		// c's lease lapses, and c can't register again.
		w.store.deny.Store(true)
		entry, err := w.store.Get(t.Context(), "hosts/c")
		if err != nil {
			t.Fatal(err)
		}
		if err := w.store.Revoke(t.Context(), entry.Lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := ids(a); got != "[a b c]" {
			t.Errorf("hosts %s, though the store has not been steady for long", got)
		}
		time.Sleep(member.LeaseTTL + 5*time.Second)
		if got := ids(a); got != "[a b]" {
			t.Errorf("hosts %s", got)
		}
		_, _, _ = a.stop(), b.stop(), c.stop()
	})
}

func TestSummariesSurviveLostReplies(t *testing.T) {
	inWorld(t, func(t *testing.T, w world) {
		var free atomic.Int64
		a, b := w.start("a", 1, constant(1)), w.start("b", 1, func() int { return int(free.Load()) })
		time.Sleep(5 * time.Second)
		w.net.LoseReplies("a", "b", 5)
		w.net.LoseReplies("b", "a", 5)
		free.Store(7)
		time.Sleep(10 * time.Second)
		if s, _ := a.Summary("b"); s.Services["s"].Free != 7 {
			t.Errorf("summary %+v", s)
		}
		_, _ = a.stop(), b.stop()
	})
}
