package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

const testFront ID = "front/sofia-1/0"

// newTestRights returns rights with one front that may be sent for, for an
// hour. Beats are up to the test.
func newTestRights() *rights {
	r := newRights(time.Now(), DefaultPauseThreshold, func() {})
	r.extend(time.Now().Add(time.Hour))
	r.grant(testFront, time.Now(), r.pauses.Load())
	r.confirm(r.pauses.Load())
	return r
}

func TestMaySend(t *testing.T) {
	keepBeating := func(r *rights, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(r.pause / beatsPerPause) {
			r.check(time.Now())
		}
	}
	tests := map[string]struct {
		change func(r *rights)
		want   bool
	}{
		"granted":            {func(*rights) {}, true},
		"revoked":            {func(r *rights) { r.revoke(testFront) }, false},
		"short pause":        {func(*rights) { time.Sleep(DefaultPauseThreshold) }, true},
		"before any beat":    {func(*rights) { time.Sleep(DefaultPauseThreshold + 1) }, false},
		"after late beat":    {func(r *rights) { time.Sleep(DefaultPauseThreshold + 1); r.check(time.Now()) }, false},
		"beating":            {func(r *rights) { keepBeating(r, 50*time.Minute) }, true},
		"end passed":         {func(r *rights) { keepBeating(r, time.Hour) }, false},
		"extended":           {func(r *rights) { r.extend(time.Now().Add(3 * time.Hour)); keepBeating(r, 2*time.Hour) }, true},
		"granted from later": {func(r *rights) { r.grant(testFront, time.Now().Add(time.Second), 1) }, false},
		"granted before":     {func(r *rights) { r.grant(testFront, time.Now().Add(time.Second), 1); time.Sleep(time.Second) }, true},
		"paused in the grant": {func(r *rights) {
			pauses := r.pauses.Load()
			r.suspend()
			r.confirm(r.pauses.Load())
			r.grant(testFront, time.Now(), pauses)
		}, false},
		"confirmed": {func(r *rights) { r.suspend(); r.confirm(r.pauses.Load()) }, true},
		"paused while confirmed": {func(r *rights) {
			r.suspend()
			pauses := r.pauses.Load()
			r.suspend()
			r.confirm(pauses)
		}, false},
		"wall clock jumps": {func(r *rights) { r.beatWall.Add(-int64(time.Minute)) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRights()
				test.change(r)
				if got := r.maySend(testFront); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}

func BenchmarkMaySend(b *testing.B) {
	r := newTestRights()
	for range 10 {
		r.grant(NewID(KindFront, "dc", int(time.Now().UnixNano())), time.Now(), r.pauses.Load())
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			r.check(time.Now())
		}
		r.maySend(testFront)
	}
}

// idleRunner has nothing to do.
type idleRunner struct{}

// Run implements Runner.
func (idleRunner) Run(ctx context.Context, _ ID, _ Owner) error {
	<-ctx.Done()
	return ctx.Err()
}
