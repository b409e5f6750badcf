package wal

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// BenchmarkGroupCommit measures 64 concurrent callers that append records of 100
// bytes.
func BenchmarkGroupCommit(b *testing.B) {
	st := standin.NewStore()
	deps := testDeps(st)
	deps.Pace.MaxBytes = 1 // commits do not wait, to measure the journal itself
	s, err := Open(b.Context(), deps, "queue/a/0", testOwner(1), &countMachine{})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	record := fmt.Sprintf("%0100d", 0)
	b.ReportAllocs()
	b.ResetTimer()
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			for range b.N / 64 {
				if err := appendRecord(b.Context(), s, record); err != nil {
					b.Error(err)
				}
			}
		})
	}
	callers.Wait()
	b.StopTimer()
	cancel()
	if err := <-ended; err == nil {
		b.Fatal("Serve returned without an error")
	}
	b.ReportMetric(count(s, varCommits)/float64(b.N), "commits/record")
	b.ReportMetric(count(s, varBytes)/float64(b.N), "bytes/record")
}

func count(s *Shard, name string) float64 {
	if s.Vars().Get(name) == nil {
		return 0
	}
	var n float64
	_, _ = fmt.Sscan(s.Vars().Get(name).String(), &n)
	return n
}

// BenchmarkRecovery reads and replays a journal with a full ring of entries of 20
// records each.
func BenchmarkRecovery(b *testing.B) {
	st := standin.NewStore()
	c := testClient(st)
	for n := Sequence(1); n < RingSize; n++ {
		e := entry{Version: formatVersion, Sequence: n, Owner: testOwner(1)}
		for range 20 {
			e.Records = append(e.Records, make([]byte, 100))
		}
		value, err := Encode(e)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.write(b.Context(), slotKey("queue/a/0", int(n)), 0, value); err != nil {
			b.Fatal(err)
		}
	}
	before, _ := st.Calls()
	b.ResetTimer()
	for b.Loop() {
		r, err := c.readOnce(b.Context(), "queue/a/0", RingSize)
		if err != nil {
			b.Fatal(err)
		}
		if err := r.restore("queue/a/0", &countMachine{}); err != nil {
			b.Fatal(err)
		}
	}
	after, _ := st.Calls()
	b.ReportMetric(float64(after-before)/float64(b.N), "reads/op")
}
