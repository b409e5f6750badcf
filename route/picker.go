// Package route decides which backend server gets a request, which requests run,
// wait or are refused, and how many may be retried. It does no I/O and reads no
// clock.
//
// Its types are not safe for concurrent use.
package route

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// SlowStart is how long a server takes to reach its full share of requests
	// when it is new or returns from ejection.
	SlowStart       = 10 * time.Second
	slowStartWeight = 0.1 // initial weight

	latencyTimeConstant = 5 * time.Second // time constant of the decayed latency of a server
	latencyFloor        = 100 * time.Microsecond
)

// Candidate is a server that may get requests.
type Candidate struct {
	ID    fleet.ServerID
	Local bool // in the data centre of this entry host
	Slots int
}

// Server is a picker's record of one candidate.
type Server struct {
	id          fleet.ServerID
	local       bool
	slots       int
	outstanding int
	freeIndex   int // index in the group of servers with a free slot; -1 if not in it
	removed     bool

	latency   time.Duration // decayed; 0 if none is known
	latencyAt time.Time
	since     time.Time // start of its slow start

	failures   float64 // decayed failure rate
	ejections  int     // consecutive ejections
	ejectUntil time.Time
	ejected    bool
	heapIndex  int
}

// ID returns the server's ID.
func (s *Server) ID() fleet.ServerID { return s.id }

// Outstanding returns the number of requests that occupy a slot of the server.
func (s *Server) Outstanding() int { return s.outstanding }

// Utilisation returns the share of the server's slots that are in use, 0 to 1.
func (s *Server) Utilisation() float64 { return float64(s.outstanding) / float64(max(s.slots, 1)) }

// Ejected reports whether the server is excluded because of its failures.
func (s *Server) Ejected() bool { return s.ejected }

// Picker chooses the less loaded of two random servers that have a free slot. It
// uses servers of other data centres only if no local one has. The cost of a
// choice does not depend on the number of servers.
//
// Invariants:
//   - a server is in one of the groups local and remote if and only if it is a
//     candidate, is not ejected and has a free slot;
//   - ejected holds exactly the ejected candidates;
//   - draining holds exactly the servers that are no longer candidates and have
//     slots in use;
//   - capacity is the sum of the slots of the candidates that are not ejected;
//   - stranded is the number of slots in use of servers that are ejected or no
//     longer candidates.
type Picker struct {
	rng      *rand.Rand
	servers  map[fleet.ServerID]*Server
	draining map[fleet.ServerID]*Server // no longer candidates, with slots in use
	local    []*Server
	remote   []*Server
	ejected  ejectedHeap
	capacity int
	stranded int
	mean     time.Duration // latency over all servers, decayed per result
}

// NewPicker returns a picker without candidates.
func NewPicker(rng *rand.Rand) *Picker {
	return &Picker{
		rng:      rng,
		servers:  make(map[fleet.ServerID]*Server),
		draining: make(map[fleet.ServerID]*Server),
	}
}

// Update replaces the candidates. Servers that remain keep their record.
func (p *Picker) Update(now time.Time, candidates []Candidate) {
	keep := make(map[fleet.ServerID]bool, len(candidates))
	for _, c := range candidates {
		keep[c.ID] = true
		if s, ok := p.servers[c.ID]; ok {
			p.change(s, c)
			continue
		}
		p.add(now, c)
	}
	for id, s := range p.servers {
		if !keep[id] {
			p.remove(s)
		}
	}
	p.returnEjected(now)
}

func (p *Picker) add(now time.Time, c Candidate) {
	s, ok := p.draining[c.ID]
	if ok { // it returns while slots are still in use
		delete(p.draining, c.ID)
		p.stranded -= s.outstanding
		s.removed = false
	} else {
		s = &Server{id: c.ID, freeIndex: -1}
	}
	s.local = c.Local
	s.slots = c.Slots
	s.since = now
	p.servers[c.ID] = s
	p.capacity += s.slots
	p.addFree(s)
}

func (p *Picker) change(s *Server, c Candidate) {
	if s.slots == c.Slots && s.local == c.Local {
		return
	}
	p.removeFree(s)
	if !s.ejected {
		p.capacity += c.Slots - s.slots
	}
	s.slots = c.Slots
	s.local = c.Local
	p.addFree(s)
}

func (p *Picker) remove(s *Server) {
	p.removeFree(s)
	if s.ejected {
		heap.Remove(&p.ejected, s.heapIndex)
		s.ejected = false
	} else {
		p.capacity -= s.slots
		p.stranded += s.outstanding
	}
	s.removed = true
	delete(p.servers, s.id)
	if s.outstanding > 0 {
		p.draining[s.id] = s
	}
}

// Get returns the record of a candidate.
func (p *Picker) Get(id fleet.ServerID) (*Server, bool) {
	s, ok := p.servers[id]
	return s, ok
}

// Capacity returns the number of slots of the candidates that are not ejected.
func (p *Picker) Capacity() int { return p.capacity }

// EjectedCount returns the number of ejected servers.
func (p *Picker) EjectedCount() int { return len(p.ejected) }

// Pick chooses a server other than avoid ("" for none) and occupies one of its
// slots until Release. It returns false if no other server has a free slot.
func (p *Picker) Pick(now time.Time, avoid fleet.ServerID) (*Server, bool) {
	p.returnEjected(now)
	s := p.pickFrom(now, p.local, avoid)
	if s == nil {
		s = p.pickFrom(now, p.remote, avoid)
	}
	if s == nil {
		return nil, false
	}
	s.outstanding++
	if s.outstanding >= s.slots {
		p.removeFree(s)
	}
	return s, true
}

func (p *Picker) pickFrom(now time.Time, group []*Server, avoid fleet.ServerID) *Server {
	a := p.sample(group, avoid)
	b := p.sample(group, avoid)
	if a == nil || b == nil {
		return a
	}
	if p.cost(b, now) < p.cost(a, now) {
		return b
	}
	return a
}

// sample returns a random server of the group other than avoid, or nil.
func (p *Picker) sample(group []*Server, avoid fleet.ServerID) *Server {
	if len(group) == 0 {
		return nil
	}
	i := p.rng.IntN(len(group))
	if group[i].id != avoid {
		return group[i]
	}
	if len(group) == 1 {
		return nil
	}
	return group[(i+1)%len(group)]
}

// cost estimates how long one more request would take on the server: its latency
// scaled by the load and by the inverse of the slow start weight.
func (p *Picker) cost(s *Server, now time.Time) float64 {
	latency := p.mean
	if s.latency > 0 {
		// An old latency counts less, so that a slow server is tried again.
		age := float64(now.Sub(s.latencyAt)) / float64(4*latencyTimeConstant)
		latency = time.Duration(float64(s.latency) * math.Exp(-max(age, 0)))
	}
	load := float64(s.outstanding+1) / float64(s.slots)
	return load * float64(max(latency, latencyFloor)) / s.weight(now)
}

// weight returns the share of requests that slow start allows, up to 1.
func (s *Server) weight(now time.Time) float64 {
	age := now.Sub(s.since)
	if age >= SlowStart {
		return 1
	}
	return slowStartWeight + (1-slowStartWeight)*float64(max(age, 0))/float64(SlowStart)
}

// Stranded returns the number of slots in use of servers that are ejected or no
// longer candidates.
func (p *Picker) Stranded() int { return p.stranded }

// Release frees the slot that Pick occupied.
func (p *Picker) Release(s *Server) {
	s.outstanding--
	if s.ejected || s.removed {
		p.stranded--
	}
	if s.removed && s.outstanding == 0 {
		delete(p.draining, s.id)
	}
	p.addFree(s)
}

// RecordResult records the result of a request to the server. latency is ignored
// if it failed.
func (p *Picker) RecordResult(now time.Time, s *Server, latency time.Duration, failed bool) {
	s.failures *= failureDecay
	if failed {
		s.failures += 1 - failureDecay
		p.maybeEject(now, s)
		return
	}
	p.observe(now, s, latency)
}

func (p *Picker) observe(now time.Time, s *Server, latency time.Duration) {
	const meanMemory = 0.98
	if p.mean == 0 {
		p.mean = latency
	}
	p.mean = time.Duration(float64(p.mean)*meanMemory + float64(latency)*(1-meanMemory))
	if s.latency == 0 {
		s.latency = latency
		s.latencyAt = now
		return
	}
	// Each result has some weight, even right after another.
	age := max(float64(now.Sub(s.latencyAt))/float64(latencyTimeConstant), 0.05)
	w := math.Exp(-age)
	s.latency = time.Duration(float64(s.latency)*w + float64(latency)*(1-w))
	s.latencyAt = now
}

func (p *Picker) group(s *Server) *[]*Server {
	if s.local {
		return &p.local
	}
	return &p.remote
}

// addFree adds a server to its group if it is eligible and has a free slot.
func (p *Picker) addFree(s *Server) {
	if s.freeIndex >= 0 || s.removed || s.ejected || s.outstanding >= s.slots {
		return
	}
	g := p.group(s)
	s.freeIndex = len(*g)
	*g = append(*g, s)
}

// removeFree removes a server from its group, if it is in it.
func (p *Picker) removeFree(s *Server) {
	if s.freeIndex < 0 {
		return
	}
	g := p.group(s)
	last := len(*g) - 1
	(*g)[s.freeIndex] = (*g)[last]
	(*g)[s.freeIndex].freeIndex = s.freeIndex
	(*g)[last] = nil
	*g = (*g)[:last]
	s.freeIndex = -1
}
