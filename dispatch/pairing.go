package dispatch

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Best-effort images differ in the workers whose serving tasks tolerate them. The load that this
// answers has images that fit nearly everywhere beside images that fit in few places: the former
// take the few places too, as they arrive, and the latter wait while processors idle elsewhere.
// A task therefore avoids the places that images with less room than its own wait for.

// pairing holds the demand and the room of the best-effort images of a service in one plan.
type pairing struct {
	scarcity []float64 // by image number, see scarceRoom
	sizes    []int64   // requested millicores of a waiting task
	service  fleet.Service
}

// scarcestImage is the scarcity of the scarcest image with room on a worker, 0 if there is none,
// as long as the pairing and the work on the worker are the same.
type scarcestImage struct {
	pairing          *pairing
	scarcity         float64
	used, bestEffort int64 // millicores
}

const (
	// easyPressure is the highest pressure that the placement of an image may lead to which
	// has room enough.
	easyPressure = 0.3
	// scarceRoom is the waiting demand of an image, as a share of the room where it is
	// tolerated, from which places are kept for it, up to maxPlacementPressure.
	scarceRoom = 0.5
)

// limit returns the highest pressure that a placement of an image may lead to.
func (q *pairing) limit(image int) float64 {
	if image < len(q.scarcity) && q.scarcity[image] > 0 {
		return maxPlacementPressure
	}
	return easyPressure
}

// tolerates reports whether the serving tasks on a worker tolerate a further best-effort task.
func (p *placer) tolerates(w *worker, image int, millicores int64) bool {
	return w.colocated.tolerates(p.m.interference, image, millicores, w.Capacity.MilliCores, p.pairing(w.Service).limit(image), p.now)
}

// newPairing returns the pairing of what waits with the workers of a service.
func (p *placer) newPairing(service fleet.Service) *pairing {
	in := p.m.interference
	q := &pairing{service: service}
	var waiting []int64
	for _, j := range p.m.jobs {
		if j.state.Final() || j.inherited || p.m.serviceOf(j) != service {
			continue
		}
		for _, o := range j.occurrences {
			if o == nil || o.stepsLeft == 0 {
				continue
			}
			for _, s := range o.steps {
				if !s.BestEffort || s.waitingCount == 0 || !o.ready(s) {
					continue
				}
				i := in.bestEffort.number(s.Image)
				for len(waiting) <= i {
					waiting, q.sizes = append(waiting, 0), append(q.sizes, 0)
				}
				waiting[i] += int64(s.waitingCount) * s.Need.MilliCores
				q.sizes[i] = max(q.sizes[i], s.Need.MilliCores)
			}
		}
	}
	q.scarcity = make([]float64, len(waiting))
	for i, demand := range waiting {
		if demand == 0 {
			continue
		}
		room := int64(0)
		for _, w := range p.eligible {
			if w.Service == service {
				room += p.roomOn(q, w, i)
			}
		}
		if scarcity := float64(demand) / float64(max(room, 1)); scarcity > scarceRoom {
			q.scarcity[i] = scarcity
			p.m.reportScarce(i, demand, room, p.now)
		}
	}
	return q
}

// roomOn returns the processor that an image may use on a worker, in millicores.
func (p *placer) roomOn(q *pairing, w *worker, image int) int64 {
	idle := idleMilliCores(w)
	if idle < q.sizes[image] || !w.colocated.tolerates(p.m.interference, image, q.sizes[image], w.Capacity.MilliCores, q.limit(image), p.now) {
		return 0
	}
	return idle
}

// isWanted reports whether an image waits for room on a worker, and has less of it than another.
func (p *placer) isWanted(q *pairing, w *worker, by int) bool {
	own := 0.0
	if by < len(q.scarcity) {
		own = q.scarcity[by]
	}
	return p.scarcestOn(q, w) > own
}

// scarcestOn returns the scarcity of the scarcest image with room on a worker.
func (p *placer) scarcestOn(q *pairing, w *worker) float64 {
	if known := w.scarcest; known.pairing == q && known.used == w.used.MilliCores && known.bestEffort == w.bestEffort {
		return known.scarcity
	}
	highest := 0.0
	for i, scarcity := range q.scarcity {
		if scarcity > highest && p.roomOn(q, w, i) > 0 {
			highest = scarcity
		}
	}
	w.scarcest = scarcestImage{q, highest, w.used.MilliCores, w.bestEffort}
	return highest
}

// imageNumber returns the number of a best-effort image, which is asked for each worker in turn.
func (p *placer) imageNumber(image string) int {
	if image == "" || image != p.latestImage {
		p.latestImage, p.latestNumber = image, p.m.interference.bestEffort.number(image)
	}
	return p.latestNumber
}

// pairing returns the pairing of a service in this plan.
func (p *placer) pairing(service fleet.Service) *pairing {
	if p.latestPairing != nil && p.latestPairing.service == service {
		return p.latestPairing
	}
	if p.pairings == nil {
		p.pairings = make(map[fleet.Service]*pairing)
	}
	q := p.pairings[service]
	if q == nil {
		q = p.newPairing(service)
		p.pairings[service] = q
	}
	p.latestPairing = q
	return q
}

// scarceLogInterval is the time between two log lines on the scarce room of an image.
const scarceLogInterval = time.Second

// reportScarce logs that places are kept for an image.
func (m *Machine) reportScarce(image int, waiting, room int64, now time.Duration) {
	for len(m.scarceLoggedAt) <= image {
		m.scarceLoggedAt = append(m.scarceLoggedAt, 0)
	}
	if last := m.scarceLoggedAt[image]; last > 0 && now-last < scarceLogInterval {
		return
	}
	m.scarceLoggedAt[image] = now
	m.emit("room_scarce", "", "image", m.interference.bestEffort.names()[image], "waiting_millicores", waiting, "room_millicores", room)
}
