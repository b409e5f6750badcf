package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// renewalMessage is a renewal in flight to the model's worker.
type renewalMessage struct {
	arrive   time.Time
	deadline time.Time
	ttl      time.Duration
	token    fleet.Epoch
	answer   bool // the answer is delivered
	owner    *modelOwner
	sentAt   time.Time
}

type modelOwner struct {
	record        ownerRecord
	lease         lease
	ended         bool // its process has ended
	durableAt     time.Time
	reachesWorker bool // its calls reach the worker
	getsAnswers   bool // the answers reach it
	ttl           time.Duration
}

// leaseModel models one worker with one task, whose lease successive owners
// renew over a network that delays and loses messages.
type leaseModel struct {
	now      time.Time
	skew     time.Duration // worker's clock minus the owners' clock
	leaseEnd time.Time     // of the task's lease at the worker
	token    fleet.Epoch
	network  []renewalMessage
	owners   []*modelOwner
	previous []ownerRecord
	random   *rand.Rand
	lossy    bool // the network delays and loses messages
}

// modelTTLs are the lease durations that owners may use; the setting changes
// between them.
var modelTTLs = []time.Duration{6 * time.Second, MaxWorkerLease}

func newLeaseModel(t *rapid.T) *leaseModel {
	m := &leaseModel{now: time.Unix(1_000_000, 0)}
	skew := rapid.Int64Range(-ClockMargin.Milliseconds(), ClockMargin.Milliseconds()).Draw(t, "skew")
	m.skew = time.Duration(skew) * time.Millisecond
	m.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	m.addOwner()
	return m
}

// addOwner starts the term of a new owner.
func (m *leaseModel) addOwner() {
	if n := len(m.owners); n > 0 {
		last := m.owners[n-1]
		last.record.EndMS = m.now.UnixMilli()
		if !last.record.Released {
			m.previous = append(m.previous, last.record)
		}
	}
	epoch := fleet.Epoch(len(m.owners) + 1)
	ended := func(o ownerRecord) bool { return m.owners[o.Epoch-1].ended }
	o := &modelOwner{record: ownerRecord{Epoch: epoch}, durableAt: m.now, reachesWorker: true, getsAnswers: true}
	o.ttl = modelTTLs[m.random.IntN(len(modelTTLs))]
	o.lease = newLease(m.now, latestPredecessorStop(m.now, m.previous, ended))
	m.owners = append(m.owners, o)
}

// advance lets d pass in steps of tick: messages arrive and owners renew.
func (m *leaseModel) advance(t *rapid.T, d, tick time.Duration) {
	for until := m.now.Add(d); m.now.Before(until); m.now = m.now.Add(tick) {
		m.deliver()
		for _, o := range m.owners {
			m.renew(o)
		}
		m.check(t)
		m.start()
	}
}

func (m *leaseModel) deliver() {
	var waiting []renewalMessage
	for _, msg := range m.network {
		if msg.arrive.After(m.now) {
			waiting = append(waiting, msg)
			continue
		}
		m.arrive(msg)
	}
	m.network = waiting
}

func (m *leaseModel) arrive(msg renewalMessage) {
	late := m.now.Add(m.skew).After(msg.deadline)
	if msg.token < m.token {
		return
	}
	m.token = msg.token
	if !late && m.now.Before(m.leaseEnd) {
		m.leaseEnd = later(m.leaseEnd, m.now.Add(msg.ttl))
	}
	if msg.answer && !msg.owner.ended && m.now.Sub(msg.sentAt) <= callTimeout {
		msg.owner.lease.recordAnswer(msg.sentAt, m.now)
	}
}

func (m *leaseModel) renew(o *modelOwner) {
	l := &o.lease
	isCurrent := o == m.owners[len(m.owners)-1]
	if isCurrent && m.now.Sub(o.durableAt) > confirmInterval {
		o.durableAt = m.now
	}
	may := !o.ended && !o.record.Released && m.now.Sub(o.durableAt) < MaxUnconfirmedOwnership
	if !may || m.now.Before(l.nextRenewal) || !l.mayRenew(m.now, o.ttl, true) {
		return
	}
	msg := renewalMessage{ttl: o.ttl, token: o.record.Epoch, owner: o, sentAt: m.now}
	msg.deadline = l.recordRenewal(m.now, o.ttl)
	msg.arrive, msg.answer = m.now, o.getsAnswers
	if m.lossy {
		delays := []time.Duration{0, 0, time.Second, 1900 * time.Millisecond, 2300 * time.Millisecond, 3500 * time.Millisecond, time.Minute}
		msg.arrive = m.now.Add(delays[m.random.IntN(len(delays))])
		msg.answer = o.getsAnswers && m.random.IntN(4) > 0
	}
	if o.reachesWorker {
		m.network = append(m.network, msg)
	}
}

// start lets the newest owner start the next task once it concludes that the
// previous one has ended.
func (m *leaseModel) start() {
	o := m.owners[len(m.owners)-1]
	if !o.reachesWorker || !o.getsAnswers || !m.now.After(o.lease.lapsedAt()) {
		return
	}
	m.token = o.record.Epoch
	o.lease.recordSent(m.now, o.ttl)
	o.lease.recordAnswer(m.now, m.now)
	o.lease.nextRenewal = m.now.Add(o.ttl / renewFraction)
	m.leaseEnd = m.now.Add(o.ttl)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// check fails if the newest owner concludes that the lease has expired while
// the task may still run.
func (m *leaseModel) check(t *rapid.T) {
	o := m.owners[len(m.owners)-1]
	if m.now.After(o.lease.lapsedAt()) && m.now.Before(m.leaseEnd.Add(MaxTerminationDelay)) {
		t.Fatalf("owner %d concludes at %v that the lease has expired; it ends at %v", o.record.Epoch, m.now, m.leaseEnd)
	}
}

// TestLeaseModel passes a lease between owners that end, release the cell, or
// lose the store or the worker, over a network that delays and loses renewals.
// No owner may conclude that the lease has expired while the task may run.
func TestLeaseModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		last := func() *modelOwner { return m.owners[len(m.owners)-1] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				m.advance(t, time.Duration(rapid.IntRange(1, 150).Draw(t, "seconds"))*time.Second, 500*time.Millisecond)
			},
			"owner is superseded": func(*rapid.T) { m.addOwner() },
			"successor can't reach the worker": func(*rapid.T) {
				m.addOwner()
				last().reachesWorker = false
			},
			"owner ends": func(*rapid.T) {
				last().ended = true
				m.addOwner()
			},
			"owner releases": func(*rapid.T) {
				last().record.Released = true
				m.addOwner()
			},
			"hours pass": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "seldom") == 0 {
					m.advance(t, MaxUnconfirmedOwnership+10*time.Minute, 2*time.Second)
				}
			},
			"worker can't be reached": func(t *rapid.T) {
				o := rapid.SampledFrom(m.owners).Draw(t, "owner")
				o.reachesWorker = !o.reachesWorker
			},
			"network changes":  func(*rapid.T) { m.lossy = !m.lossy },
			"answers are lost": func(*rapid.T) { last().getsAnswers = !last().getsAnswers },
		})
	})
}
