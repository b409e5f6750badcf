package intake

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
	"github.com/fuchsiahill/fuchsiahill/workload"
	"github.com/fuchsiahill/fuchsiahill/workspace"
)

// BenchmarkSubmit measures durable submission by concurrent callers to an
// in-memory store.
func BenchmarkSubmit(b *testing.B) {
	s := storetest.NewMemory()
	in := New(s, mirror.New(s, SharedPrefix, 0, func(store.Event) {}, func(string, ...any) {}), 0)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = in.Serve(ctx) }() // ends with ctx
	var n atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := fleet.JobID(fmt.Sprintf("%016x", n.Add(1)))
			if err := in.Submit(ctx, workspace.Caller{}, &workload.Job{ID: id, Queue: "q", Steps: []workload.Step{{Count: 8, EstimateMS: 1000}}}); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/float64(s.Commits()), "jobs/transaction")
}

// BenchmarkCachedState measures a question for a job that the host's copy of the store has.
func BenchmarkCachedState(b *testing.B) {
	s := storetest.NewMemory()
	shared := mirror.New(s, SharedPrefix, 0, func(store.Event) {}, func(string, ...any) {})
	in := New(s, shared, 0)
	const id = "00000000000000aa"
	shared.Preload(map[string]store.Entry{StatePrefix + id: {Key: StatePrefix + id, Revision: 1, Value: Record{Queue: "q", State: workload.StateRunning, AcceptedMS: 1}.Encode()}}, 1)
	for name, caller := range map[string]workspace.Caller{"workspace": {Workspace: "one"}, "none": {}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := in.CachedState(caller, id, "q"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
