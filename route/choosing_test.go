package route_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/route"
)

// The calculation below compares ways of choosing a server on the same seeded
// arrivals: 65 servers with 8 slots, three of them three times slower, whose
// work takes longer the more of their slots are in use.
const (
	simServers  = 65
	simSlots    = 8
	simSlow     = 3
	simWork     = 10 * time.Millisecond // mean
	simRequests = 60_000
	simHosts    = 7
	simHop      = 3 * time.Millisecond // there and back between hosts
)

type simServer struct {
	index       int
	outstanding int
	slow        bool
}

func (s *simServer) full() bool { return s.outstanding >= simSlots }

// duration returns how long one more request takes.
func (s *simServer) duration(work float64) time.Duration {
	d := work * (1 + float64(s.outstanding)/simSlots)
	if s.slow {
		d *= 3
	}
	return time.Duration(d)
}

// way chooses among servers, -1 if none has room.
type way interface {
	choose(now time.Time, servers []*simServer) int
	done(now time.Time, index int, latency time.Duration)
}

type roundRobin struct{ next int }

func (w *roundRobin) choose(_ time.Time, servers []*simServer) int {
	for range servers {
		w.next = (w.next + 1) % len(servers)
		if !servers[w.next].full() {
			return w.next
		}
	}
	return -1
}
func (*roundRobin) done(time.Time, int, time.Duration) {}

type leastLoaded struct{ rng *rand.Rand }

func (w *leastLoaded) choose(_ time.Time, servers []*simServer) int {
	best := -1
	start := w.rng.IntN(len(servers))
	for k := range servers {
		i := (start + k) % len(servers)
		if !servers[i].full() && (best < 0 || servers[i].outstanding < servers[best].outstanding) {
			best = i
		}
	}
	return best
}
func (*leastLoaded) done(time.Time, int, time.Duration) {}

// twoChoices takes the one with fewer requests of two that have room.
type twoChoices struct{ rng *rand.Rand }

func (w *twoChoices) choose(_ time.Time, servers []*simServer) int {
	a, b := randomRoom(w.rng, servers), randomRoom(w.rng, servers)
	if a >= 0 && servers[b].outstanding < servers[a].outstanding {
		return b
	}
	return a
}
func (*twoChoices) done(time.Time, int, time.Duration) {}

func randomRoom(rng *rand.Rand, servers []*simServer) int {
	start := rng.IntN(len(servers))
	for k := range servers {
		if i := (start + k) % len(servers); !servers[i].full() {
			return i
		}
	}
	return -1
}

// latencyWeighted draws servers in inverse proportion to their latency.
type latencyWeighted struct {
	rng     *rand.Rand
	latency [simServers]float64
}

func (w *latencyWeighted) choose(_ time.Time, servers []*simServer) int {
	sum := 0.0
	for i, s := range servers {
		if !s.full() {
			sum += 1 / max(w.latency[i], 1e5)
		}
	}
	at := w.rng.Float64() * sum
	for i, s := range servers {
		if s.full() {
			continue
		}
		if at -= 1 / max(w.latency[i], 1e5); at <= 0 {
			return i
		}
	}
	return -1
}

func (w *latencyWeighted) done(_ time.Time, i int, latency time.Duration) {
	if w.latency[i] == 0 {
		w.latency[i] = float64(latency)
	}
	w.latency[i] = 0.9*w.latency[i] + 0.1*float64(latency)
}

// picked is the package's own way.
type picked struct {
	p     *route.Picker
	taken map[int][]*route.Server
	index map[string]int
}

func newPicked(rng *rand.Rand, servers int) *picked {
	w := &picked{p: route.NewPicker(rng), taken: make(map[int][]*route.Server), index: make(map[string]int)}
	all := allLocal(servers)
	w.p.Update(epoch.Add(-time.Hour), all)
	for i, c := range all {
		w.index[string(c.ID)] = i
	}
	return w
}

func (w *picked) choose(now time.Time, _ []*simServer) int {
	s, ok := w.p.Pick(now, "")
	if !ok {
		return -1
	}
	i := w.index[string(s.ID())]
	w.taken[i] = append(w.taken[i], s)
	return i
}

func (w *picked) done(now time.Time, i int, latency time.Duration) {
	s := w.taken[i][0]
	w.taken[i] = w.taken[i][1:]
	w.p.RecordResult(now, s, latency, false)
	w.p.Release(s)
}

// simHost is an entry host with its own servers.
type simHost struct {
	way     way
	servers []*simServer
	waiting []simRequest
}

type simRequest struct {
	at   time.Time
	work float64
	hop  bool
}

type completion struct {
	at      time.Time
	host    *simHost
	server  int
	latency time.Duration // of the exchange
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

type sim struct {
	events completions
	took   []time.Duration
}

// begin starts a request at a host, or returns false if its servers are full.
func (s *sim) begin(now time.Time, h *simHost, r simRequest) bool {
	i := h.way.choose(now, h.servers)
	if i < 0 {
		return false
	}
	d := h.servers[i].duration(r.work)
	h.servers[i].outstanding++
	heap.Push(&s.events, completion{now.Add(d), h, i, d})
	total := now.Add(d).Sub(r.at)
	if r.hop {
		total += simHop
	}
	s.took = append(s.took, total)
	return true
}

// finish ends what is due by now and starts what waits.
func (s *sim) finish(now time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(now) {
		e := heap.Pop(&s.events).(completion)
		e.host.servers[e.server].outstanding--
		e.host.way.done(e.at, e.server, e.latency)
		if len(e.host.waiting) > 0 && s.begin(e.at, e.host, e.host.waiting[0]) {
			e.host.waiting = e.host.waiting[1:]
		}
	}
}

// run offers a number of the same arrivals at the given load (share of the capacity of
// servers at full use) to hosts and returns the sorted latencies.
func run(hosts []*simHost, requests int, load float64, forward bool) []time.Duration {
	rng := newRand(7)
	n := 0
	for _, h := range hosts {
		n += len(h.servers)
	}
	rate := load * float64(n*simSlots) / (2 * float64(simWork)) // work takes twice as long when all slots are in use
	s := &sim{}
	now := epoch
	for range requests {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate))
		s.finish(now)
		h := hosts[rng.IntN(len(hosts))]
		r := simRequest{at: now, work: lognormal(rng)}
		if s.begin(now, h, r) || forward && s.forward(now, hosts, r, rng) {
			continue
		}
		h.waiting = append(h.waiting, r)
	}
	s.finish(now.Add(time.Hour))
	slices.Sort(s.took)
	return s.took
}

// forward sends a request to the host with more room of two.
func (s *sim) forward(now time.Time, hosts []*simHost, r simRequest, rng *rand.Rand) bool {
	r.hop = true
	a, b := hosts[rng.IntN(len(hosts))], hosts[rng.IntN(len(hosts))]
	if room(b) > room(a) {
		a = b
	}
	return s.begin(now, a, r)
}

func room(h *simHost) int {
	n := 0
	for _, s := range h.servers {
		n += simSlots - s.outstanding
	}
	return n
}

func lognormal(rng *rand.Rand) float64 {
	const sigma = 0.8
	return float64(simWork) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// simSite divides the servers among hosts; slow ones are spread.
func simSite(hosts int, newWay func(servers int) way) []*simHost {
	out := make([]*simHost, hosts)
	for i := range out {
		out[i] = &simHost{}
	}
	for i := range simServers {
		h := out[i%hosts]
		h.servers = append(h.servers, &simServer{index: i, slow: i%(simServers/simSlow) == 0 && i/(simServers/simSlow) < simSlow})
	}
	for _, h := range out {
		h.way = newWay(len(h.servers))
	}
	return out
}

var ways = []struct {
	name string
	make func(servers int) way
}{
	{"round-robin", func(int) way { return &roundRobin{} }},
	{"latency-weighted", func(int) way { return &latencyWeighted{rng: newRand(2)} }},
	{"two-choices", func(int) way { return &twoChoices{rng: newRand(2)} }},
	{"least-loaded", func(int) way { return &leastLoaded{rng: newRand(2)} }},
	{"picker", func(n int) way { return newPicked(newRand(2), n) }},
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// TestChoosingBeatsSimplerWays checks that the picker's tail is below that of
// the ways that look at less.
func TestChoosingBeatsSimplerWays(t *testing.T) {
	tail := make(map[string]time.Duration)
	for _, w := range ways {
		tail[w.name] = quantile(run(simSite(1, w.make), simRequests/4, 0.7, false), 0.99)
	}
	for _, other := range []string{"round-robin", "latency-weighted", "two-choices"} {
		if tail["picker"] >= tail[other] {
			t.Errorf("p99 %v, %s has %v", tail["picker"], other, tail[other])
		}
	}
}

// BenchmarkChoosing reports the latency that each way leads to, with one host
// for all servers.
func BenchmarkChoosing(b *testing.B) {
	for _, load := range []struct {
		name  string
		share float64
	}{{"load=50", 0.5}, {"load=70", 0.7}, {"load=85", 0.85}} {
		for _, w := range ways {
			b.Run(load.name+"/"+w.name, func(b *testing.B) {
				for b.Loop() {
					report(b, run(simSite(1, w.make), simRequests, load.share, false))
				}
			})
		}
	}
}

// BenchmarkSharing reports the latency with the picker when one host owns all
// servers, when seven hosts own a part each, and when those forward.
func BenchmarkSharing(b *testing.B) {
	own := ways[len(ways)-1].make
	for _, load := range []struct {
		name  string
		share float64
	}{{"load=85", 0.85}, {"load=95", 0.95}} {
		for _, c := range []struct {
			name    string
			hosts   int
			forward bool
		}{{"one-host", 1, false}, {"parts", simHosts, false}, {"parts-forwarding", simHosts, true}} {
			b.Run(load.name+"/"+c.name, func(b *testing.B) {
				for b.Loop() {
					report(b, run(simSite(c.hosts, own), simRequests, load.share, c.forward))
				}
			})
		}
	}
}

func report(b *testing.B, took []time.Duration) {
	ms := func(q float64) float64 { return float64(quantile(took, q)) / float64(time.Millisecond) }
	b.ReportMetric(ms(0.5), "p50-ms")
	b.ReportMetric(ms(0.99), "p99-ms")
	b.ReportMetric(ms(0.999), "p99.9-ms")
}
