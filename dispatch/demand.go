package dispatch

import (
	"math"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// demandWindow is the time over which arriving work is averaged. Bursts last 4 s
	// and more.
	demandWindow = 8 * time.Second
	// minBatchShare and maxBatchShare bound the share of the capacity that services
	// leave to batch work. With less than the lower bound, the free capacity is
	// scattered in pieces that are smaller than a task.
	minBatchShare = 0.08
	maxBatchShare = 0.4
	// ordinaryHeadroom is the capacity kept for ordinary batch work as a multiple of
	// its mean demand, which varies by a factor of about two.
	ordinaryHeadroom = 2.0
	// bestEffortHeadroom is the share of the demand of best-effort work for which
	// capacity is kept. The rest runs beside services, on what these leave idle.
	bestEffortHeadroom = 0.8
	// scarceShare is the share of their capacity above which services are limited at
	// admission.
	scarceShare = 0.75
)

// decayingRate is an exponentially weighted rate of arriving amounts per second.
type decayingRate struct {
	rate float64
	at   time.Duration
}

// add counts an amount at now.
func (r *decayingRate) add(amount float64, now time.Duration) {
	r.rate = r.perSecond(now) + amount/demandWindow.Seconds()
	r.at = max(r.at, now)
}

// perSecond returns the rate at now.
func (r *decayingRate) perSecond(now time.Duration) float64 {
	return r.rate * math.Exp(-float64(max(now-r.at, 0))/float64(demandWindow))
}

// demand holds the rates, in core-seconds per second, at which batch work arrives, and
// the rate in millicores per second at which services end.
type demand struct {
	ordinary, bestEffort, released decayingRate
}

// estimate returns the demand at now, for the next owner.
func (d *demand) estimate(now time.Duration) DemandEstimate {
	return DemandEstimate{
		Ordinary: int64(d.ordinary.perSecond(now)), BestEffort: int64(d.bestEffort.perSecond(now)), Released: int64(d.released.perSecond(now) / 1000),
	}
}

// restore sets the demand to a former owner's estimate.
func (d *demand) restore(e DemandEstimate, now time.Duration) {
	d.ordinary = decayingRate{rate: float64(max(e.Ordinary, 0)), at: now}
	d.bestEffort = decayingRate{rate: float64(max(e.BestEffort, 0)), at: now}
	d.released = decayingRate{rate: 1000 * float64(max(e.Released, 0)), at: now}
}

// recordArrival adds the work of a new job to the demand.
func (m *Machine) recordArrival(j *job, now time.Duration) {
	for k := range j.Occurrences() {
		for i := range j.Steps {
			s := &j.Steps[i]
			work := m.remainingStepWork(j, k, i)
			switch {
			case s.Serving:
			case s.BestEffort:
				m.demand.bestEffort.add(work, now)
			default:
				m.demand.ordinary.add(work, now)
			}
		}
	}
}

// servingRequest returns the millicores that a job requests for services.
func servingRequest(j *workload.Job) int64 {
	total := int64(0)
	for i := range j.Steps {
		if s := &j.Steps[i]; s.Serving {
			total += int64(s.Count) * s.Need.MilliCores
		}
	}
	return total
}

// ServingRoom is the capacity that services may still take.
type ServingRoom struct {
	// MilliCores is negative if they have more than their share.
	MilliCores int64
	// ReleaseRate is the rate at which services end, in millicores per second.
	ReleaseRate float64
	// Scarce reports whether services have more than scarceShare of their share.
	Scarce bool
}

// ServingRoom returns the capacity that services may still take next to the demand of
// batch work. Services last for a minute and more and reserve what they request, so
// that without a limit they take all capacity and ordinary batch tasks find no worker.
// Workers that take no new work count neither as capacity nor with their services.
func (m *Machine) ServingRoom(now time.Duration) ServingRoom {
	var capacity, serving int64
	for _, w := range m.workerList {
		if !m.mayStart(w, now) {
			continue
		}
		capacity += w.Capacity.MilliCores
		serving += w.serving
	}
	for _, j := range m.jobs {
		if !j.state.Final() && j.HasServingStep() && !j.heldByCap {
			serving += j.waitingServing()
		}
	}
	d := &m.demand
	batch := 1000 * (ordinaryHeadroom*d.ordinary.perSecond(now) + bestEffortHeadroom*d.bestEffort.perSecond(now))
	batch = min(max(batch, minBatchShare*float64(capacity)), maxBatchShare*float64(capacity))
	share := int64(float64(capacity) - batch)
	return ServingRoom{MilliCores: share - serving, ReleaseRate: d.released.perSecond(now), Scarce: capacity > 0 && float64(serving) > scarceShare*float64(share)}
}

// waitingServing returns the millicores of a job's waiting serving tasks.
func (j *job) waitingServing() int64 {
	if !j.isPlanned() {
		return servingRequest(&j.Job) // not planned yet
	}
	total := int64(0)
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			if s.Serving {
				total += int64(s.waitingCount) * s.Need.MilliCores
			}
		}
	}
	return total
}
