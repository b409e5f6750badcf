package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// workersPerRequest is how many workers one advice request names. The users
	// count one request about 30 workers as part of the time of a step.
	workersPerRequest = 30
	// ticketMargin is subtracted from the validity of a ticket for the time in which
	// the start reaches the worker.
	ticketMargin = 200 * time.Millisecond
	// adviceRetryDelay is the delay before the next request after one that failed,
	// or once all workers have been asked about.
	adviceRetryDelay = 300 * time.Millisecond
	// defaultTicketValidity is used if neither the response nor the queue states the
	// validity.
	defaultTicketValidity = time.Second
)

// tickets holds the responses of the advice service about a step.
type tickets struct {
	valid     map[fleet.WorkerID]ticket
	asked     map[fleet.WorkerID]bool // asked about in this round
	inFlight  bool                    // a request is in flight
	notBefore time.Duration           // earliest time of the next request
}

type ticket struct {
	text       string
	validUntil time.Duration
}

// AdviceRequest asks the advice service which workers may run a step.
type AdviceRequest struct {
	Step    workload.TaskName // Index is 0
	Workers []fleet.WorkerID
}

// ticketFor returns the ticket of a step for a worker, if it is still valid.
func (s *step) ticketFor(id fleet.WorkerID, now time.Duration) (string, bool) {
	t, ok := s.tickets.valid[id]
	return t.text, ok && now < t.validUntil
}

// requestAdvice issues an advice request about a step that has fewer valid tickets
// than waiting tasks. It names the idlest workers not yet asked about.
func (m *Machine) requestAdvice(j *job, s *step, service fleet.Service, p *placer, now time.Duration) {
	if s.tickets.inFlight || now < s.tickets.notBefore || m.validTickets(s, now) >= s.waitingCount {
		return
	}
	if s.tickets.asked == nil {
		s.tickets.asked, s.tickets.valid = make(map[fleet.WorkerID]bool), make(map[fleet.WorkerID]ticket)
	}
	var candidates []*worker
	for _, w := range p.eligible {
		if w.Service == service && !s.tickets.asked[w.ID] && s.Need.Fits(w.Capacity) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		clear(s.tickets.asked) // start a new round
		s.tickets.notBefore = now + adviceRetryDelay
		return
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(idleMilliCores(b), idleMilliCores(a)) })
	q := AdviceRequest{Step: workload.TaskName{Job: j.ID, Occurrence: s.occurrence, Step: s.index}}
	for _, w := range candidates[:min(len(candidates), workersPerRequest)] {
		q.Workers = append(q.Workers, w.ID)
		s.tickets.asked[w.ID] = true
	}
	s.tickets.inFlight = true
	m.adviceRequests = append(m.adviceRequests, q)
}

// validTickets returns the number of valid tickets of a step.
func (m *Machine) validTickets(s *step, now time.Duration) int {
	n := 0
	for id := range s.tickets.valid {
		if _, ok := s.ticketFor(id, now); ok {
			n++
		}
	}
	return n
}

// TakeAdviceRequests returns the advice requests issued since the last call.
func (m *Machine) TakeAdviceRequests() []AdviceRequest {
	requests := m.adviceRequests
	m.adviceRequests = nil
	return requests
}

// AdviceAnswered processes the response to an advice request. issued holds the
// tickets of the workers that may run the step and is nil if the request failed.
// ticketTTL is how long the tickets are valid; if it is 0, the TTL in the queue's
// configuration applies.
func (m *Machine) AdviceAnswered(q AdviceRequest, issued map[fleet.WorkerID]string, ticketTTL, now time.Duration) {
	j, ok := m.jobs[q.Step.Job]
	if !ok {
		return
	}
	s := j.step(q.Step)
	if s == nil {
		return
	}
	s.tickets.inFlight = false
	if issued == nil {
		for _, id := range q.Workers {
			delete(s.tickets.asked, id)
		}
		s.tickets.notBefore = now + adviceRetryDelay
		return
	}
	if ticketTTL <= 0 {
		ticketTTL = defaultTicketValidity
		if c, ok := m.config.Queue(j.Queue); ok && c.Advice != nil && c.Advice.TicketTTL > 0 {
			ticketTTL = c.Advice.TicketTTL
		}
	}
	if s.tickets.valid == nil {
		return // its occurrence has ended
	}
	for id, text := range issued {
		s.tickets.valid[id] = ticket{text, now + ticketTTL - ticketMargin}
	}
	m.emit("advised", j.ID, "step", q.Step.StepName(), "asked", len(q.Workers), "good", len(issued), "valid", ticketTTL)
}
