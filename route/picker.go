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

// Utilisation returns the share of the server's slots that is in use, 0 to 1.
func (s *Server) Utilisation() float64 { return float64(s.outstanding) / float64(max(s.slots, 1)) }

// Ejected reports whether the server is out of the choice for its failures.
func (s *Server) Ejected() bool { return s.ejected }

// Picker chooses the less loaded of two random servers that have room, in the
// own data centre as long as there is one. A choice costs the same whatever
// the number of servers.
//
// Invariants: a server is in one of the groups if and only if it is a
// candidate, not ejected and has a free slot; the ejected heap holds exactly
// the ejected candidates; leaving holds exactly the servers that are no
// candidates and have slots taken; capacity is the sum of the slots of the candidates
// that are not ejected; stranded is the sum of the slots taken of servers that
// are ejected or no longer candidates.
type Picker struct {
	rng      *rand.Rand
	servers  map[fleet.ServerID]*Server
	leaving  map[fleet.ServerID]*Server // no candidates, with slots taken
	local    []*Server
	remote   []*Server
	ejected  ejectedHeap
	capacity int
	stranded int
	mean     time.Duration // latency over all servers, decayed by reports
}

// NewPicker returns a picker without candidates.
func NewPicker(rng *rand.Rand) *Picker {
	return &Picker{
		rng:     rng,
		servers: make(map[fleet.ServerID]*Server),
		leaving: make(map[fleet.ServerID]*Server),
	}
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
	s, ok := p.leaving[c.ID]
	if ok { // it is back before its slots are free
		delete(p.leaving, c.ID)
		p.stranded -= s.outstanding
		s.gone = false
	} else {
		s = &Server{id: c.ID, room: -1}
	}
	s.local = c.Local
	s.slots = c.Slots
	s.since = now
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
	if s.outstanding > 0 {
		p.leaving[s.id] = s
	}
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
	if s.gone && s.outstanding == 0 {
		delete(p.leaving, s.id)
	}
	p.enter(s)
}

// RecordResult tells how an exchange with the server went. latency counts only for
// one that succeeded.
func (p *Picker) RecordResult(now time.Time, s *Server, latency time.Duration, failed bool) {
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
