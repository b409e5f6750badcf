package route

import (
	"container/heap"
	"time"
)

const (
	failureDecay       = 0.8  // weight of the previous failure rate at each result
	ejectionRate       = 0.67 // failure rate that ejects: 5 failures in a row from 0
	ejectionBase       = time.Second
	ejectionMax        = time.Minute
	ejectionResetAfter = 2 * time.Minute // without ejection, after which durations start at ejectionBase again

	// MaxEjected is the largest share of servers that may be ejected at once.
	// If more fail, the cause is more likely the network or the requests, so
	// no further server is ejected.
	MaxEjected = 0.3
)

// maybeEject ejects a server that keeps failing: it gets no requests for a time
// that doubles with each ejection, up to ejectionMax.
func (p *Picker) maybeEject(now time.Time, s *Server) {
	if s.ejected || s.removed || s.failures < ejectionRate {
		return
	}
	if len(p.ejected)+1 > p.ejectionCap() {
		return
	}
	if now.Sub(s.ejectUntil) > ejectionResetAfter {
		s.ejections = 0
	}
	duration := min(ejectionBase<<min(s.ejections, 6), ejectionMax)
	s.ejections++
	s.ejectUntil = now.Add(duration)
	s.ejected = true
	p.removeFree(s)
	p.capacity -= s.slots
	p.stranded += s.outstanding
	heap.Push(&p.ejected, s)
}

// ejectionCap returns how many servers may be ejected at once: one of two or
// more, and none of a single server.
func (p *Picker) ejectionCap() int {
	n := len(p.servers)
	if n < 2 {
		return 0
	}
	return max(1, int(MaxEjected*float64(n)))
}

// returnEjected makes ejected servers eligible again when their time is over, or
// when ejectionCap no longer allows as many.
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
		p.addFree(s)
	}
}

// ejectedHeap is a min-heap of servers by the end of their ejection.
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
