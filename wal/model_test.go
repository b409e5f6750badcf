package wal

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// ownerPlan describes one owner of a simulation. Owners overlap: unless one
// crashes, it is still running when the next one starts.
type ownerPlan struct {
	startAfter time.Duration // after the start of the previous owner
	crashAfter time.Duration // after its start; 0 means never
	records    int
	interval   time.Duration
	faults     []fault
}

var ownerGen = rapid.Custom(func(t *rapid.T) ownerPlan {
	return ownerPlan{
		startAfter: time.Duration(rapid.IntRange(0, 20_000).Draw(t, "start ms")) * time.Millisecond,
		crashAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 1500, 9000}).Draw(t, "crash ms")) * time.Millisecond,
		records:    rapid.IntRange(1, 25).Draw(t, "records"),
		interval:   time.Duration(rapid.SampledFrom([]int{1, 200, 1000, 3000}).Draw(t, "every ms")) * time.Millisecond,
		faults:     rapid.SliceOfN(faultGen, 0, 60).Draw(t, "faults"),
	}
})

// history records what was reported to the owners of a simulation.
type history struct {
	mu      sync.Mutex
	acked   [][]string // acknowledged records by owner
	effects []string
}

func (h *history) ack(owner int, record string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acked[owner] = append(h.acked[owner], record)
}

func (h *history) effect(record string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.effects = append(h.effects, record)
}

// run opens the shard as the plan's owner and appends its records, each with a
// unique name.
func (p ownerPlan) run(ctx context.Context, st *standin.Store, number, ring, limit int, h *history) {
	if p.crashAfter > 0 {
		crashCtx, cancel := context.WithTimeout(ctx, p.crashAfter)
		defer cancel()
		ctx = crashCtx
	}
	deps := Deps{Store: &faultyStore{Store: st, faults: p.faults}, Logger: log.NewNopLogger()}
	s, err := open(ctx, deps, "queue/a/0", testOwner(fleet.Epoch(number+1)), &listMachine{}, ring, limit)
	if err != nil {
		return
	}
	var appends sync.WaitGroup
	appends.Go(func() { _ = s.Serve(ctx) })
	for i := range p.records {
		name := fmt.Sprintf("%d-%d", number, i)
		appends.Go(func() { appendWithEffect(ctx, s, name, func() { h.ack(number, name) }, h) })
		time.Sleep(p.interval)
	}
	appends.Wait()
}

func appendWithEffect(ctx context.Context, s *Shard, name string, acked func(), h *history) {
	err := s.Do(ctx, func(tx Tx) error {
		tx.Append([]byte(name))
		tx.OnDurable(func() { h.effect(name) })
		return nil
	})
	if err == nil {
		acked()
	}
}

// simulate runs overlapping owners. It returns what was reported to them and the
// records that an owner without faults recovers afterwards.
func simulate(t *testing.T, plans []ownerPlan, ring, limit int) (h *history, recovered []string) {
	synctest.Test(t, func(t *testing.T) {
		h = &history{acked: make([][]string, len(plans))}
		st := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		var owners sync.WaitGroup
		for i, p := range plans {
			time.Sleep(p.startAfter)
			owners.Go(func() { p.run(ctx, st, i, ring, limit, h) })
		}
		time.Sleep(10 * time.Minute)
		cancel()
		owners.Wait()
		time.Sleep(time.Minute)
		m := &listMachine{}
		recoveryCtx, stop := context.WithTimeout(t.Context(), time.Hour)
		defer stop()
		if _, err := open(recoveryCtx, testDeps(st), "queue/a/0", testOwner(99), m, ring, limit); err != nil {
			t.Fatal(err)
		}
		recovered = m.Records
	})
	return h, recovered
}

// checkRun returns the first violated guarantee of a simulation, or "".
func checkRun(h *history, recovered []string) string {
	at := make(map[string]int)
	for i, r := range recovered {
		if _, duplicate := at[r]; duplicate {
			return "applied twice: " + r
		}
		at[r] = i
	}
	for _, acked := range h.acked {
		for _, r := range acked {
			if _, ok := at[r]; !ok {
				return "acknowledged and lost: " + r
			}
		}
	}
	for _, r := range h.effects {
		if _, ok := at[r]; !ok {
			return "effect of a lost record: " + r
		}
	}
	if !slices.IsSortedFunc(recovered, byOwner) {
		return fmt.Sprintf("records of an owner follow those of a later one: %v", recovered)
	}
	return ""
}

// byOwner orders records by the owner that wrote them.
func byOwner(a, b string) int {
	var ownerA, ownerB, n int
	_, _ = fmt.Sscanf(a, "%d-%d", &ownerA, &n)
	_, _ = fmt.Sscanf(b, "%d-%d", &ownerB, &n)
	return ownerA - ownerB
}

// TestOverlappingOwners guards against acknowledged records that are lost and
// records that are applied twice, while owners overlap under lost, late and failed
// calls, suspended processes, crashes and lists that are not read atomically.
func TestOverlappingOwners(t *testing.T) {
	tests := map[string]struct{ ring, limit int }{
		"inline snapshots":   {ring: 4, limit: partBytes},
		"snapshots in parts": {ring: 8, limit: 60},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				plans := rapid.SliceOfN(ownerGen, 1, 4).Draw(rt, "owners")
				h, recovered := simulate(t, plans, tt.ring, tt.limit)
				if violation := checkRun(h, recovered); violation != "" {
					rt.Fatal(violation)
				}
			})
		})
	}
}
