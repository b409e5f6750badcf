package route_test

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"
)

// hedgeBudget is the share of requests that may be hedged.
const hedgeBudget = 0.1

// pendingHedge is a request that is hedged at due if it has not completed.
type pendingHedge struct {
	due   time.Time
	index int // of the request
	work  float64
}

// hedgingSim extends the simulation with hedging: a request without a response
// after delay is also sent to another server, and the first response counts. The
// slower attempt occupies its slot until its server is done.
type hedgingSim struct {
	sim
	host    *simHost
	delay   time.Duration
	arrived []time.Time
	pending []pendingHedge
	sent    int
}

// hedge sends the requests whose delay has passed a second time.
func (s *hedgingSim) hedge(now time.Time) {
	for len(s.pending) > 0 && !s.pending[0].due.After(now) {
		p := s.pending[0]
		s.pending = s.pending[1:]
		s.finish(p.due)
		waited := p.due.Sub(s.arrived[p.index])
		if s.took[p.index] <= waited || float64(s.sent) >= hedgeBudget*float64(len(s.took)) {
			continue
		}
		i := s.host.strategy.choose(p.due, s.host.servers)
		if i < 0 {
			continue
		}
		d := s.host.servers[i].duration(p.work)
		s.host.servers[i].outstanding++
		heap.Push(&s.events, completion{p.due.Add(d), s.host, i, d})
		s.took[p.index] = min(s.took[p.index], waited+d)
		s.sent++
	}
}

// runHedged simulates the arrivals of run on one host. redraw says whether the
// second attempt draws its amount of work anew, as if the first was slow because
// of its server and not because of the request.
func runHedged(load float64, delay time.Duration, redraw bool) (took []time.Duration, sent int) {
	rng, second := newRand(7), newRand(8)
	hosts := newSimHosts(1, func(n int) strategy { return newPickerStrategy(newRand(2), n) })
	s := &hedgingSim{delay: delay}
	rate := load * float64(simServers*simSlots) / (2 * float64(simWork))
	s.arrived = make([]time.Time, simRequests)
	now := epoch
	for range simRequests {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate))
		s.hedge(now)
		s.finish(now)
		s.host = hosts[rng.IntN(len(hosts))]
		r := simRequest{at: now, work: lognormal(rng)}
		if !s.begin(now, s.host, r) {
			s.host.waiting = append(s.host.waiting, r)
			continue
		}
		if redraw {
			r.work = lognormal(second)
		}
		s.arrived[len(s.took)-1] = now
		s.pending = append(s.pending, pendingHedge{now.Add(delay), len(s.took) - 1, r.work})
	}
	s.hedge(now.Add(time.Hour))
	s.finish(now.Add(time.Hour))
	slices.Sort(s.took)
	return s.took, s.sent
}

// BenchmarkHedging reports the latency with and without hedging after p95.
func BenchmarkHedging(b *testing.B) {
	for _, load := range []float64{0.5, 0.7, 0.85} {
		plain, _ := runHedged(load, time.Hour, false)
		p95 := quantile(plain, 0.95)
		for _, c := range []struct {
			name   string
			delay  time.Duration
			redraw bool
		}{{"none", time.Hour, false}, {"same-work", p95, false}, {"new-work", p95, true}} {
			b.Run(fmt.Sprintf("load=%.2f/%s", load, c.name), func(b *testing.B) {
				var took []time.Duration
				var sent int
				for b.Loop() {
					took, sent = runHedged(load, c.delay, c.redraw)
				}
				report(b, took)
				b.ReportMetric(100*float64(sent)/simRequests, "%hedged")
			})
		}
	}
}
