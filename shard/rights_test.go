package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

const testFront ID = "front/sofia-1/0"

// newTestSendRights returns rights that allow sending for testFront for an hour.
// The test itself has to call checkPause.
func newTestSendRights() *sendRights {
	r := newSendRights(time.Now(), DefaultPauseThreshold, func() {})
	r.extend(time.Now().Add(time.Hour))
	r.grant(testFront, time.Now(), r.pauseCount.Load())
	r.confirm(r.pauseCount.Load(), nil)
	return r
}

// TestMaySend checks that sending is allowed only for a granted front, before the
// rights expire, and without an unconfirmed pause.
func TestMaySend(t *testing.T) {
	keepBeating := func(r *sendRights, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(r.pauseThreshold / beatsPerThreshold) {
			r.checkPause(time.Now())
		}
	}
	tests := map[string]struct {
		change func(r *sendRights)
		want   bool
	}{
		"granted":            {func(*sendRights) {}, true},
		"revoked":            {func(r *sendRights) { r.revoke(testFront) }, false},
		"short pause":        {func(*sendRights) { time.Sleep(DefaultPauseThreshold) }, true},
		"before any beat":    {func(*sendRights) { time.Sleep(DefaultPauseThreshold + 1) }, false},
		"after late beat":    {func(r *sendRights) { time.Sleep(DefaultPauseThreshold + 1); r.checkPause(time.Now()) }, false},
		"beating":            {func(r *sendRights) { keepBeating(r, 50*time.Minute) }, true},
		"end passed":         {func(r *sendRights) { keepBeating(r, time.Hour) }, false},
		"extended":           {func(r *sendRights) { r.extend(time.Now().Add(3 * time.Hour)); keepBeating(r, 2*time.Hour) }, true},
		"granted from later": {func(r *sendRights) { r.grant(testFront, time.Now().Add(time.Second), 1) }, false},
		"granted before":     {func(r *sendRights) { r.grant(testFront, time.Now().Add(time.Second), 1); time.Sleep(time.Second) }, true},
		"paused in the grant": {func(r *sendRights) {
			pauses := r.pauseCount.Load()
			r.suspend()
			r.confirm(r.pauseCount.Load(), []ID{testFront})
			r.grant(testFront, time.Now(), pauses)
		}, false},
		"confirmed":         {func(r *sendRights) { r.suspend(); r.confirm(r.pauseCount.Load(), []ID{testFront}) }, true},
		"others confirmed":  {func(r *sendRights) { r.suspend(); r.confirm(r.pauseCount.Load(), []ID{"front/sofia-1/1"}) }, false},
		"revoked confirmed": {func(r *sendRights) { r.revoke(testFront); r.confirm(r.pauseCount.Load(), []ID{testFront}) }, false},
		"granted anew, confirmed before": {func(r *sendRights) {
			pauses := r.pauseCount.Load()
			r.suspend()
			r.revoke(testFront)
			r.grant(testFront, time.Now(), r.pauseCount.Load())
			r.confirm(pauses, []ID{testFront})
		}, true},
		"paused while confirmed": {func(r *sendRights) {
			r.suspend()
			pauses := r.pauseCount.Load()
			r.suspend()
			r.confirm(pauses, []ID{testFront})
		}, false},
		"wall clock jumps": {func(r *sendRights) { r.beatWall.Add(-int64(time.Minute)) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestSendRights()
				test.change(r)
				if got := r.maySend(testFront); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}

func BenchmarkMaySend(b *testing.B) {
	r := newTestSendRights()
	for range 10 {
		r.grant(NewID(KindFront, "dc", int(time.Now().UnixNano())), time.Now(), r.pauseCount.Load())
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			r.checkPause(time.Now())
		}
		r.maySend(testFront)
	}
}

// idleRunner is a Runner that does nothing until ctx ends.
type idleRunner struct{}

// Run implements Runner.
func (idleRunner) Run(ctx context.Context, _ ID, _ Owner) error {
	<-ctx.Done()
	return ctx.Err()
}
