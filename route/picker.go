// Package route decides, without I/O and clocks, which backend server gets a
// request, which requests run, wait or are refused, and how many may be
// retried.
//
// Its types are not safe for concurrent use: the caller serialises access to
// them.
package route

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// SlowStart is how long a new or returned server takes to reach its full
	// share.
	SlowStart       = 10 * time.Second
	slowStartWeight = 0.1 // at its beginning

	latencyMemory = 5 * time.Second // time constant of the decayed latency
	latencyFloor  = 100 * time.Microsecond

	failureMemory  = 0.8  // share of the old failure rate kept at each report
	ejectionRate   = 0.67 // failure rate that ejects: 5 failures in a row from 0
	ejectionBase   = time.Second
	ejectionMax    = time.Minute
	ejectionForget = 2 * time.Minute // without ejection, after which times start again at the base

	// MaxEjected is the largest share of servers that may be ejected at once.
	// Failures beyond it are more likely to be the network's or the
	// requests', so they eject nobody.
	MaxEjected = 0.3
)

// Candidate is a server that may get requests.
type Candidate struct {
	ID    fleet.ServerID
	Local bool // in the chooser's own data centre
	Slots int
}

// Server is a picker's record of one candidate. Its methods are the picker's.
type Server struct {
	id          fleet.ServerID
	local       bool
	slots       int
	outstanding int
	room        int // index in its group of servers with room, -1 if not there
	gone        bool

	latency   time.Duration // decayed, 0 if none was seen
	latencyAt time.Time
	since     time.Time // start of its slow start

	failures   float64 // decayed rate
	ejections  int     // in a row
	ejectUntil time.Time
	ejected    bool
	heapIndex  int
}

// ID returns the server's ID.
func (s *Server) ID() fleet.ServerID { return s.id }

// Outstanding returns the number of requests that hold a slot of the server.
func (s *Server) Outstanding() int { return s.outstanding }

// Ejected reports whether the server is out of the choice for its failures.
func (s *Server) Ejected() bool { return s.ejected }

// Picker chooses the less loaded of two random servers that have room, in the
// own data centre as long as there is one. A choice costs the same whatever
// the number of servers.
//
// Invariants: a server is in one of the groups if and only if it is a
// candidate, not ejected and has a free slot; the ejected heap holds exactly
// the ejected candidates; capacity is the sum of the slots of the candidates
// that are not ejected; stranded is the sum of the slots taken of servers that
// are ejected or no longer candidates.
type Picker struct {
	rng      *rand.Rand
	servers  map[fleet.ServerID]*Server
	local    []*Server
	remote   []*Server
	ejected  ejectedHeap
	capacity int
	stranded int
	mean     time.Duration // latency over all servers, decayed by reports
}

// NewPicker returns a picker without candidates.
func NewPicker(rng *rand.Rand) *Picker {
	return &Picker{rng: rng, servers: make(map[fleet.ServerID]*Server)}
}

// Update replaces the candidates. Servers that stay keep their record.
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
	s := &Server{id: c.ID, local: c.Local, slots: c.Slots, room: -1, since: now}
	p.servers[c.ID] = s
	p.capacity += s.slots
	p.enter(s)
}

func (p *Picker) change(s *Server, c Candidate) {
	if s.slots == c.Slots && s.local == c.Local {
		return
	}
	p.leave(s)
	if !s.ejected {
		p.capacity += c.Slots - s.slots
	}
	s.slots = c.Slots
	s.local = c.Local
	p.enter(s)
}

func (p *Picker) remove(s *Server) {
	p.leave(s)
	if s.ejected {
		heap.Remove(&p.ejected, s.heapIndex)
		s.ejected = false
	} else {
		p.capacity -= s.slots
		p.stranded += s.outstanding
	}
	s.gone = true
	delete(p.servers, s.id)
}

// Get returns the record of a candidate.
func (p *Picker) Get(id fleet.ServerID) (*Server, bool) {
	s, ok := p.servers[id]
	return s, ok
}

// Capacity returns the sum of the slots of the servers in the choice.
func (p *Picker) Capacity() int { return p.capacity }

// EjectedCount returns how many servers are ejected.
func (p *Picker) EjectedCount() int { return len(p.ejected) }

// Pick chooses a server other than avoid ("" for none) and takes one of its
// slots. It returns false if no other server has room.
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
		p.leave(s)
	}
	return s, true
}

func (p *Picker) pickFrom(now time.Time, group []*Server, avoid fleet.ServerID) *Server {
	a := p.draw(group, avoid)
	b := p.draw(group, avoid)
	if a == nil || b == nil {
		return a
	}
	if p.cost(b, now) < p.cost(a, now) {
		return b
	}
	return a
}

// draw returns a random server of the group other than avoid, or nil.
func (p *Picker) draw(group []*Server, avoid fleet.ServerID) *Server {
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

// cost is the load of a server as seen by one more request.
func (p *Picker) cost(s *Server, now time.Time) float64 {
	latency := p.mean
	if s.latency > 0 {
		// A latency that was not confirmed for long counts less, so that the
		// server is tried again.
		age := float64(now.Sub(s.latencyAt)) / float64(4*latencyMemory)
		latency = time.Duration(float64(s.latency) * math.Exp(-max(age, 0)))
	}
	load := float64(s.outstanding+1) / float64(s.slots)
	return load * float64(max(latency, latencyFloor)) / s.weight(now)
}

// weight is the share that slow start allows.
func (s *Server) weight(now time.Time) float64 {
	age := now.Sub(s.since)
	if age >= SlowStart {
		return 1
	}
	return slowStartWeight + (1-slowStartWeight)*float64(max(age, 0))/float64(SlowStart)
}

// Stranded returns how many slots are taken of servers that are not in the
// choice.
func (p *Picker) Stranded() int { return p.stranded }

// Release gives back the slot that Pick took.
func (p *Picker) Release(s *Server) {
	s.outstanding--
	if s.ejected || s.gone {
		p.stranded--
	}
	p.enter(s)
}

// Report tells how an exchange with the server went. latency counts only for
// one that succeeded.
func (p *Picker) Report(now time.Time, s *Server, latency time.Duration, failed bool) {
	s.failures *= failureMemory
	if failed {
		s.failures += 1 - failureMemory
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
	// Each report has some weight even when reports follow at once.
	age := max(float64(now.Sub(s.latencyAt))/float64(latencyMemory), 0.05)
	w := math.Exp(-age)
	s.latency = time.Duration(float64(s.latency)*w + float64(latency)*(1-w))
	s.latencyAt = now
}

func (p *Picker) maybeEject(now time.Time, s *Server) {
	if s.ejected || s.gone || s.failures < ejectionRate {
		return
	}
	if len(p.ejected)+1 > p.ejectionCap() {
		return
	}
	if now.Sub(s.ejectUntil) > ejectionForget {
		s.ejections = 0
	}
	span := min(ejectionBase<<min(s.ejections, 6), ejectionMax)
	s.ejections++
	s.ejectUntil = now.Add(span)
	s.ejected = true
	p.leave(s)
	p.capacity -= s.slots
	p.stranded += s.outstanding
	heap.Push(&p.ejected, s)
}

// ejectionCap is how many servers may be ejected. Two servers or more can
// spare one.
func (p *Picker) ejectionCap() int {
	n := len(p.servers)
	if n < 2 {
		return 0
	}
	return max(1, int(MaxEjected*float64(n)))
}

// returnEjected takes servers back whose time is over, or which the cap no
// longer allows to be ejected.
func (p *Picker) returnEjected(now time.Time) {
	for len(p.ejected) > 0 {
		s := p.ejected[0]
		if now.Before(s.ejectUntil) && len(p.ejected) <= p.ejectionCap() {
			return
		}
		heap.Pop(&p.ejected)
		s.ejected = false
		s.failures = 0
		s.since = now
		p.capacity += s.slots
		p.stranded -= s.outstanding
		p.enter(s)
	}
}

func (p *Picker) group(s *Server) *[]*Server {
	if s.local {
		return &p.local
	}
	return &p.remote
}

// enter puts a server among those with room, if it belongs there.
func (p *Picker) enter(s *Server) {
	if s.room >= 0 || s.gone || s.ejected || s.outstanding >= s.slots {
		return
	}
	g := p.group(s)
	s.room = len(*g)
	*g = append(*g, s)
}

// leave takes a server out of those with room.
func (p *Picker) leave(s *Server) {
	if s.room < 0 {
		return
	}
	g := p.group(s)
	last := len(*g) - 1
	(*g)[s.room] = (*g)[last]
	(*g)[s.room].room = s.room
	(*g)[last] = nil
	*g = (*g)[:last]
	s.room = -1
}

// ejectedHeap orders ejected servers by the end of their time.
type ejectedHeap []*Server

func (h ejectedHeap) Len() int           { return len(h) }
func (h ejectedHeap) Less(i, j int) bool { return h[i].ejectUntil.Before(h[j].ejectUntil) }
func (h ejectedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *ejectedHeap) Push(x any) {
	s := x.(*Server)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *ejectedHeap) Pop() any {
	old := *h
	last := len(old) - 1
	s := old[last]
	old[last] = nil
	*h = old[:last]
	return s
}
