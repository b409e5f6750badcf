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

// The simulation below compares strategies for choosing a server on the same
// seeded arrivals. There are 65 servers with 8 slots, of which three are three
// times slower. Work takes longer the more slots of a server are in use.
const (
	simServers  = 65
	simSlots    = 8
	simSlow     = 3
	simWork     = 10 * time.Millisecond // mean
	simRequests = 60_000
	simHosts    = 7
	simHop      = 3 * time.Millisecond // round trip between hosts
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

// strategy chooses the index of a server, or -1 if none has a free slot. done
// records a result.
type strategy interface {
	choose(now time.Time, servers []*simServer) int
	done(now time.Time, index int, latency time.Duration)
}

type roundRobin struct{ next int }

func (st *roundRobin) choose(_ time.Time, servers []*simServer) int {
	for range servers {
		st.next = (st.next + 1) % len(servers)
		if !servers[st.next].full() {
			return st.next
		}
	}
	return -1
}
func (*roundRobin) done(time.Time, int, time.Duration) {}

type leastLoaded struct{ rng *rand.Rand }

func (st *leastLoaded) choose(_ time.Time, servers []*simServer) int {
	best := -1
	start := st.rng.IntN(len(servers))
	for k := range servers {
		i := (start + k) % len(servers)
		if !servers[i].full() && (best < 0 || servers[i].outstanding < servers[best].outstanding) {
			best = i
		}
	}
	return best
}
func (*leastLoaded) done(time.Time, int, time.Duration) {}

// twoChoices chooses the one with fewer requests of two servers with a free slot.
type twoChoices struct{ rng *rand.Rand }

func (st *twoChoices) choose(_ time.Time, servers []*simServer) int {
	a, b := randomFree(st.rng, servers), randomFree(st.rng, servers)
	if a >= 0 && servers[b].outstanding < servers[a].outstanding {
		return b
	}
	return a
}
func (*twoChoices) done(time.Time, int, time.Duration) {}

func randomFree(rng *rand.Rand, servers []*simServer) int {
	start := rng.IntN(len(servers))
	for k := range servers {
		if i := (start + k) % len(servers); !servers[i].full() {
			return i
		}
	}
	return -1
}

// latencyWeighted chooses servers with probabilities in inverse proportion to
// their latency.
type latencyWeighted struct {
	rng     *rand.Rand
	latency [simServers]float64
}

func (st *latencyWeighted) choose(_ time.Time, servers []*simServer) int {
	sum := 0.0
	for i, s := range servers {
		if !s.full() {
			sum += 1 / max(st.latency[i], 1e5)
		}
	}
	at := st.rng.Float64() * sum
	for i, s := range servers {
		if s.full() {
			continue
		}
		if at -= 1 / max(st.latency[i], 1e5); at <= 0 {
			return i
		}
	}
	return -1
}

func (st *latencyWeighted) done(_ time.Time, i int, latency time.Duration) {
	if st.latency[i] == 0 {
		st.latency[i] = float64(latency)
	}
	st.latency[i] = 0.9*st.latency[i] + 0.1*float64(latency)
}

// pickerStrategy uses the package's Picker.
type pickerStrategy struct {
	p     *route.Picker
	taken map[int][]*route.Server
	index map[string]int
}

func newPickerStrategy(rng *rand.Rand, servers int) *pickerStrategy {
	st := &pickerStrategy{p: route.NewPicker(rng), taken: make(map[int][]*route.Server), index: make(map[string]int)}
	all := allLocal(servers)
	st.p.Update(epoch.Add(-time.Hour), all)
	for i, c := range all {
		st.index[string(c.ID)] = i
	}
	return st
}

func (st *pickerStrategy) choose(now time.Time, _ []*simServer) int {
	s, ok := st.p.Pick(now, "")
	if !ok {
		return -1
	}
	i := st.index[string(s.ID())]
	st.taken[i] = append(st.taken[i], s)
	return i
}

func (st *pickerStrategy) done(now time.Time, i int, latency time.Duration) {
	s := st.taken[i][0]
	st.taken[i] = st.taken[i][1:]
	st.p.RecordResult(now, s, latency, false)
	st.p.Release(s)
}

// simHost is an entry host with its own servers.
type simHost struct {
	strategy strategy
	servers  []*simServer
	waiting  []simRequest
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
	latency time.Duration // of the request to the server
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

// begin starts a request at a host, or returns false if the host's servers are
// full.
func (s *sim) begin(now time.Time, h *simHost, r simRequest) bool {
	i := h.strategy.choose(now, h.servers)
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

// finish ends the requests that are due by now and starts waiting ones.
func (s *sim) finish(now time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(now) {
		e := heap.Pop(&s.events).(completion)
		e.host.servers[e.server].outstanding--
		e.host.strategy.done(e.at, e.server, e.latency)
		if len(e.host.waiting) > 0 && s.begin(e.at, e.host, e.host.waiting[0]) {
			e.host.waiting = e.host.waiting[1:]
		}
	}
}

// run simulates requests at the given load (a share of the capacity of the
// servers at full use) and returns the sorted latencies. The arrivals are the same
// for each strategy.
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

// forward sends a request to the one of two random hosts that has more free slots.
func (s *sim) forward(now time.Time, hosts []*simHost, r simRequest, rng *rand.Rand) bool {
	r.hop = true
	a, b := hosts[rng.IntN(len(hosts))], hosts[rng.IntN(len(hosts))]
	if freeSlots(b) > freeSlots(a) {
		a = b
	}
	return s.begin(now, a, r)
}

func freeSlots(h *simHost) int {
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

// newSimHosts divides the servers among hosts and spreads the slow ones.
func newSimHosts(hosts int, newStrategy func(servers int) strategy) []*simHost {
	out := make([]*simHost, hosts)
	for i := range out {
		out[i] = &simHost{}
	}
	for i := range simServers {
		h := out[i%hosts]
		h.servers = append(h.servers, &simServer{index: i, slow: i%(simServers/simSlow) == 0 && i/(simServers/simSlow) < simSlow})
	}
	for _, h := range out {
		h.strategy = newStrategy(len(h.servers))
	}
	return out
}

var strategies = []struct {
	name string
	make func(servers int) strategy
}{
	{"round-robin", func(int) strategy { return &roundRobin{} }},
	{"latency-weighted", func(int) strategy { return &latencyWeighted{rng: newRand(2)} }},
	{"two-choices", func(int) strategy { return &twoChoices{rng: newRand(2)} }},
	{"least-loaded", func(int) strategy { return &leastLoaded{rng: newRand(2)} }},
	{"picker", func(n int) strategy { return newPickerStrategy(newRand(2), n) }},
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// TestPickerBeatsSimplerStrategies checks that the tail latency with Picker is
// below that with strategies that use less information.
func TestPickerBeatsSimplerStrategies(t *testing.T) {
	tail := make(map[string]time.Duration)
	for _, st := range strategies {
		tail[st.name] = quantile(run(newSimHosts(1, st.make), simRequests/4, 0.7, false), 0.99)
	}
	for _, other := range []string{"round-robin", "latency-weighted", "two-choices"} {
		if tail["picker"] >= tail[other] {
			t.Errorf("p99 with picker is %v, with %s %v", tail["picker"], other, tail[other])
		}
	}
}

// BenchmarkChoosing reports the latency with each strategy, with one host for all
// servers.
func BenchmarkChoosing(b *testing.B) {
	for _, load := range []struct {
		name  string
		share float64
	}{{"load=50", 0.5}, {"load=70", 0.7}, {"load=85", 0.85}} {
		for _, st := range strategies {
			b.Run(load.name+"/"+st.name, func(b *testing.B) {
				for b.Loop() {
					report(b, run(newSimHosts(1, st.make), simRequests, load.share, false))
				}
			})
		}
	}
}

// BenchmarkSharing reports the latency with Picker when one host owns all servers,
// when seven hosts own a part each, and when those hosts also forward requests.
func BenchmarkSharing(b *testing.B) {
	own := strategies[len(strategies)-1].make
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
					report(b, run(newSimHosts(c.hosts, own), simRequests, load.share, c.forward))
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
