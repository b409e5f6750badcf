package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
)

// reservationTime is the minimum time for which capacity that an organisation
// used under its guarantee is reserved for its next task. Lent in the meantime,
// it would soon be reclaimed.
const reservationTime = 30 * time.Second

// peakDemand tracks the highest demand of an organisation over the last one to
// two reservation times.
type peakDemand struct {
	periodStart time.Time // start of the current period
	current     fleet.Resources
	previous    fleet.Resources // peak of the previous period
}

// observe records the demand at now.
func (p *peakDemand) observe(now time.Time, demand fleet.Resources) {
	if age := now.Sub(p.periodStart); age >= reservationTime {
		p.previous = p.current
		if age >= 2*reservationTime {
			p.previous = fleet.Resources{}
		}
		p.current = fleet.Resources{}
		p.periodStart = now
	}
	p.current = maxResources(p.current, demand)
}

// reservedForGuarantees returns the capacity that is not lent: what
// organisations recently demanded under their guarantees and do not use now. A
// new owner starts from the demand that the journal shows.
func (s *session) reservedForGuarantees(now time.Time, shares map[fleet.Organisation]scheduler.Share) fleet.Resources {
	var sum fleet.Resources
	if shares == nil {
		return sum
	}
	if s.lending.peaks == nil {
		s.lending.peaks = make(map[fleet.Organisation]*peakDemand)
	}
	waiting := s.waitingDemand()
	for _, org := range s.guaranteed() {
		share := shares[org]
		p := s.lending.peaks[org]
		if p == nil {
			p = &peakDemand{periodStart: now}
			s.lending.peaks[org] = p
		}
		p.observe(now, share.Used.Add(waiting[org]))
		demand := minResources(maxResources(p.current, p.previous), share.Entitled)
		sum = sum.Add(nonNegative(demand.Sub(share.Used)))
	}
	return sum
}

func maxResources(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
