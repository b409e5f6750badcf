package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/route"
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

func candidates(n, slots int) []route.Candidate {
	out := make([]route.Candidate, n)
	for i := range out {
		out[i] = route.Candidate{ID: fleet.ServerID(fmt.Sprintf("s%d", i)), Local: i%2 == 0, Slots: slots}
	}
	return out
}

// TestPickerModel checks under random use that no server gets more requests
// than slots, that the cap on ejections holds, that a server with room is
// found, and the counts of capacity and stranded slots.
func TestPickerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := route.NewPicker(newRand(rapid.Uint64().Draw(t, "seed")))
		now := epoch
		all := candidates(6, 2)
		var taken []*route.Server
		listed := map[fleet.ServerID]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				var some []route.Candidate
				listed = map[fleet.ServerID]bool{}
				for _, c := range all {
					if rapid.Bool().Draw(t, string(c.ID)) {
						some = append(some, c)
						listed[c.ID] = true
					}
				}
				p.Update(now, some)
			},
			"pick": func(t *rapid.T) {
				avoid := rapid.SampledFrom(all).Draw(t, "avoid").ID
				s, ok := p.Pick(now, avoid)
				if ok && (s.ID() == avoid || !listed[s.ID()] || s.Ejected()) {
					t.Fatalf("picked %s, avoiding %s", s.ID(), avoid)
				}
				if ok {
					taken = append(taken, s)
					return
				}
				for id := range listed {
					if s, _ := p.Get(id); id != avoid && !s.Ejected() && s.Outstanding() < 2 {
						t.Fatalf("%s has room", id)
					}
				}
			},
			"release": func(t *rapid.T) {
				if len(taken) == 0 {
					return
				}
				i := rapid.IntRange(0, len(taken)-1).Draw(t, "i")
				p.Release(taken[i])
				taken = append(taken[:i], taken[i+1:]...)
			},
			"report": func(t *rapid.T) {
				if len(taken) == 0 {
					return
				}
				s := rapid.SampledFrom(taken).Draw(t, "server")
				for range rapid.IntRange(1, 6).Draw(t, "times") {
					p.RecordResult(now, s, time.Millisecond, rapid.Bool().Draw(t, "failed"))
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				count := map[fleet.ServerID]int{}
				for _, s := range taken {
					count[s.ID()]++
				}
				for id, n := range count {
					if n > 2 {
						t.Fatalf("%d slots of %s are taken", n, id)
					}
				}
				capacity, ejected, inChoice := 0, 0, 0
				for id := range listed {
					s, ok := p.Get(id)
					if !ok || s.Outstanding() > 2 {
						t.Fatalf("server %s: %v, %d taken", id, ok, s.Outstanding())
					}
					if s.Ejected() {
						ejected++
						continue
					}
					capacity += 2
					inChoice += s.Outstanding()
				}
				if capacity != p.Capacity() || ejected != p.EjectedCount() || len(taken)-inChoice != p.Stranded() {
					t.Fatalf("capacity %d, ejected %d, stranded %d: want %d, %d, %d",
						p.Capacity(), p.EjectedCount(), p.Stranded(), capacity, ejected, len(taken)-inChoice)
				}
				if n := len(listed); ejected > 0 && (n < 2 || ejected > max(1, n*3/10)) {
					t.Fatalf("%d of %d ejected", ejected, n)
				}
			},
		})
	})
}

func TestPickerPrefersOwnDataCentre(t *testing.T) {
	p := route.NewPicker(newRand(1))
	p.Update(epoch, candidates(4, 1))
	for i, local := range []bool{true, true, false, false} {
		s, ok := p.Pick(epoch, "")
		if !ok || (s.ID() == "s0" || s.ID() == "s2") != local {
			t.Errorf("choice %d: %v", i, s)
		}
	}
	if _, ok := p.Pick(epoch, ""); ok {
		t.Error("a choice without room")
	}
}

// share returns the share of choices that go to s0 while nothing is
// outstanding.
func share(p *route.Picker, now time.Time) float64 {
	const n = 4000
	hits := 0
	for range n {
		s, _ := p.Pick(now, "")
		if s.ID() == "s0" {
			hits++
		}
		p.Release(s)
	}
	return float64(hits) / n
}

func allLocal(n int) []route.Candidate {
	c := candidates(n, 8)
	for i := range c {
		c[i].Local = true
	}
	return c
}

func TestPickerSlowStart(t *testing.T) {
	p := route.NewPicker(newRand(1))
	c := allLocal(10)
	p.Update(epoch, c[1:])
	now := epoch.Add(time.Minute)
	p.Update(now, c)
	early, full := share(p, now), share(p, now.Add(route.SlowStart))
	if early > 0.02 || full < 0.08 {
		t.Errorf("share of a new server: %.3f at once, %.3f after the slow start", early, full)
	}
}

func TestPickerAvoidsSlowServer(t *testing.T) {
	p := route.NewPicker(newRand(1))
	p.Update(epoch, allLocal(10))
	now := epoch.Add(time.Minute)
	for _, c := range allLocal(10) {
		s, _ := p.Get(c.ID)
		latency := 5 * time.Millisecond
		if c.ID == "s0" {
			latency = 50 * time.Millisecond
		}
		p.RecordResult(now, s, latency, false)
	}
	if got := share(p, now); got > 0.02 {
		t.Errorf("share of a slow server: %.3f", got)
	}
	if got := share(p, now.Add(5*time.Minute)); got < 0.05 {
		t.Errorf("share of a server that was slow long ago: %.3f", got)
	}
}

func TestPickerEjection(t *testing.T) {
	p := route.NewPicker(newRand(1))
	p.Update(epoch, allLocal(10))
	now := epoch.Add(time.Minute)
	fail := func(id fleet.ServerID) {
		s, _ := p.Get(id)
		for range 5 {
			p.RecordResult(now, s, 0, true)
		}
	}
	s0, _ := p.Get("s0")
	var spans []time.Duration
	for range 8 {
		fail("s0")
		from := now
		for s0.Ejected() {
			now = now.Add(100 * time.Millisecond)
			s, _ := p.Pick(now, "")
			p.Release(s)
		}
		spans = append(spans, now.Sub(from).Round(time.Second))
	}
	for i, want := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
		if spans[i] != want*time.Second {
			t.Errorf("ejection %d took %v, want %ds", i, spans[i], want)
		}
	}
	for _, c := range allLocal(10) {
		fail(c.ID)
	}
	if n := p.EjectedCount(); n != 3 {
		t.Errorf("%d of 10 ejected", n)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{65, 3100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := route.NewPicker(newRand(1))
			p.Update(epoch, allLocal(n))
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				s, _ := p.Pick(now, "")
				p.RecordResult(now, s, time.Millisecond, false)
				p.Release(s)
			}
		})
	}
}

func BenchmarkLimiterFullQueue(b *testing.B) {
	l := route.NewLimiter(epoch, route.Limits{Concurrency: 1, Queue: 100})
	l.TryAdmit(epoch, class("a"))
	for range 100 {
		l.Admit(epoch, class("a"), epoch.Add(time.Hour))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Admit(epoch, class("a"), epoch.Add(time.Hour))
	}
}
