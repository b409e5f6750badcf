package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
)

// holdTime is how long at least room that an organisation had by its
// guarantee is kept for its next task: lent meanwhile, it would soon be taken
// back.
const holdTime = 30 * time.Second

// peak is the greatest demand of an organisation in the last one to two hold
// times.
type peak struct {
	began  time.Time // of the present period
	now    fleet.Resources
	before fleet.Resources // in the period before
}

// note takes the demand at now.
func (p *peak) note(now time.Time, demand fleet.Resources) {
	if age := now.Sub(p.began); age >= holdTime {
		p.before = p.now
		if age >= 2*holdTime {
			p.before = fleet.Resources{}
		}
		p.now = fleet.Resources{}
		p.began = now
	}
	p.now = atLeast(p.now, demand)
}

// held returns the room that is kept from lending: what organisations lately
// wanted of their guarantees and do not use now. A new owner knows what the
// journal shows.
func (s *session) held(now time.Time, shares map[fleet.Organisation]scheduler.Share) fleet.Resources {
	var sum fleet.Resources
	if shares == nil {
		return sum
	}
	if s.lending.peaks == nil {
		s.lending.peaks = make(map[fleet.Organisation]*peak)
	}
	waiting := s.waitingOf()
	for _, org := range s.guaranteed() {
		share := shares[org]
		p := s.lending.peaks[org]
		if p == nil {
			p = &peak{began: now}
			s.lending.peaks[org] = p
		}
		p.note(now, share.Used.Add(waiting[org]))
		wanted := least(atLeast(p.now, p.before), share.Entitled)
		sum = sum.Add(positive(wanted.Sub(share.Used)))
	}
	return sum
}

func atLeast(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
