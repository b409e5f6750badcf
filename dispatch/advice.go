package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// advisedWorkers is how many workers one question names. Source: the
	// users count one question on 30 workers as part of a step's time.
	advisedWorkers = 30
	// ticketMargin is kept of a ticket's validity for the start's way.
	ticketMargin = 200 * time.Millisecond
	// askPause is how long a question that failed waits.
	askPause = 300 * time.Millisecond
	// ticketFallback holds if neither answer nor queue says how long it is valid.
	ticketFallback = time.Second
)

// tickets are what the policy service has told of a step.
type tickets struct {
	valid map[fleet.WorkerID]ticket
	asked map[fleet.WorkerID]bool // in this round
	open  bool                    // a question is on its way
	after time.Duration           // the next question may go out
}

type ticket struct {
	text  string
	until time.Duration
}

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	Step    workload.TaskName // Index is 0
	Workers []fleet.WorkerID
}

// ticketFor returns the ticket of a step for a worker, if it is still valid.
func (s *step) ticketFor(id fleet.WorkerID, now time.Duration) (string, bool) {
	t, ok := s.tickets.valid[id]
	return t.text, ok && now < t.until
}

// ask gives out a question about a step if it has fewer valid tickets than
// waiting tasks: about the workers with the most room that were not asked yet.
func (m *Machine) ask(j *job, s *step, service fleet.Service, room *room, now time.Duration) {
	if s.tickets.open || now < s.tickets.after || m.validTickets(s, now) >= s.waiting {
		return
	}
	if s.tickets.asked == nil {
		s.tickets.asked, s.tickets.valid = make(map[fleet.WorkerID]bool), make(map[fleet.WorkerID]ticket)
	}
	var candidates []*worker
	for _, w := range room.open {
		if w.Service == service && !s.tickets.asked[w.ID] && s.Need.Fits(w.Capacity) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		clear(s.tickets.asked) // a new round
		s.tickets.after = now + askPause
		return
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(idle(b), idle(a)) })
	q := AdviceRequest{Step: workload.TaskName{Job: j.ID, Occurrence: s.tasks[0].name.Occurrence, Step: s.tasks[0].name.Step}}
	for _, w := range candidates[:min(len(candidates), advisedWorkers)] {
		q.Workers = append(q.Workers, w.ID)
		s.tickets.asked[w.ID] = true
	}
	s.tickets.open = true
	m.questions = append(m.questions, q)
}

func (m *Machine) validTickets(s *step, now time.Duration) int {
	n := 0
	for id := range s.tickets.valid {
		if _, ok := s.ticketFor(id, now); ok {
			n++
		}
	}
	return n
}

// TakeAdviceRequests returns the advice requests since the last call.
func (m *Machine) TakeAdviceRequests() []AdviceRequest {
	questions := m.questions
	m.questions = nil
	return questions
}

// AdviceAnswered takes in the answer to a question; good is nil if there was none.
func (m *Machine) AdviceAnswered(q AdviceRequest, good map[fleet.WorkerID]string, valid, now time.Duration) {
	j, ok := m.jobs[q.Step.Job]
	if !ok {
		return
	}
	t := j.find(q.Step)
	if t == nil {
		return
	}
	s := t.step
	s.tickets.open = false
	if good == nil {
		for _, id := range q.Workers {
			delete(s.tickets.asked, id)
		}
		s.tickets.after = now + askPause
		return
	}
	if valid <= 0 {
		valid = ticketFallback
		if c, ok := m.config.Queue(j.Queue); ok && c.Advice != nil && c.Advice.TicketTTL > 0 {
			valid = c.Advice.TicketTTL
		}
	}
	for id, text := range good {
		s.tickets.valid[id] = ticket{text, now + valid - ticketMargin}
	}
	m.event("advised", j.ID, "step", q.Step.StepName(), "asked", len(q.Workers), "good", len(good), "valid", valid)
}
