package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// message is a renewal on its way to the model's worker.
type message struct {
	arrive   time.Time
	deadline time.Time
	ttl      time.Duration
	token    fleet.Epoch
	answer   bool // the answer gets through
	owner    *modelOwner
	sentAt   time.Time
}

type modelOwner struct {
	record ownerRecord
	lease  lease
	ended  bool // its process has ended
	held   time.Time
	reach  bool // its calls get to the worker
	hears  bool // the answers get back
	ttl    time.Duration
}

// leaseModel is one worker with one task whose lease passes from owner to
// owner, over a network that delays and loses messages.
type leaseModel struct {
	now      time.Time
	skew     time.Duration // worker's clock less the owners'
	end      time.Time     // of the task's lease at the worker
	token    fleet.Epoch
	network  []message
	owners   []*modelOwner
	previous []ownerRecord
	random   *rand.Rand
	bad      bool // the network delays and loses
}

// modelTTLs are the leases that owners may use; the setting changes between
// them.
var modelTTLs = []time.Duration{6 * time.Second, MaxWorkerLease}

func newLeaseModel(t *rapid.T) *leaseModel {
	m := &leaseModel{now: time.Unix(1_000_000, 0)}
	skew := rapid.Int64Range(-ClockMargin.Milliseconds(), ClockMargin.Milliseconds()).Draw(t, "skew")
	m.skew = time.Duration(skew) * time.Millisecond
	m.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	m.take()
	return m
}

// take begins the term of a new owner.
func (m *leaseModel) take() {
	if n := len(m.owners); n > 0 {
		last := m.owners[n-1]
		last.record.EndMS = m.now.UnixMilli()
		if !last.record.Released {
			m.previous = append(m.previous, last.record)
		}
	}
	epoch := fleet.Epoch(len(m.owners) + 1)
	ended := func(o ownerRecord) bool { return m.owners[o.Epoch-1].ended }
	o := &modelOwner{record: ownerRecord{Epoch: epoch}, held: m.now, reach: true, hears: true}
	o.ttl = modelTTLs[m.random.IntN(len(modelTTLs))]
	o.lease = newLease(m.now, othersUntil(m.now, m.previous, ended))
	m.owners = append(m.owners, o)
}

// advance lets d pass: messages arrive in order and owners renew.
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
	var waiting []message
	for _, msg := range m.network {
		if msg.arrive.After(m.now) {
			waiting = append(waiting, msg)
			continue
		}
		m.arrive(msg)
	}
	m.network = waiting
}

func (m *leaseModel) arrive(msg message) {
	late := m.now.Add(m.skew).After(msg.deadline)
	if msg.token < m.token {
		return
	}
	m.token = msg.token
	if !late && m.now.Before(m.end) {
		m.end = later(m.end, m.now.Add(msg.ttl))
	}
	if msg.answer && !msg.owner.ended && m.now.Sub(msg.sentAt) <= callTimeout {
		msg.owner.lease.answer(msg.sentAt, m.now)
	}
}

func (m *leaseModel) renew(o *modelOwner) {
	l := &o.lease
	isCurrent := o == m.owners[len(m.owners)-1]
	if isCurrent && m.now.Sub(o.held) > holdInterval {
		o.held = m.now
	}
	may := !o.ended && !o.record.Released && m.now.Sub(o.held) < MaxUnconfirmedOwnership
	if !may || m.now.Before(l.nextRenewal) || !l.mayRenew(m.now, o.ttl, true) {
		return
	}
	msg := message{ttl: o.ttl, token: o.record.Epoch, owner: o, sentAt: m.now}
	msg.deadline = l.renewing(m.now, o.ttl)
	msg.arrive, msg.answer = m.now, o.hears
	if m.bad {
		delays := []time.Duration{0, 0, time.Second, 1900 * time.Millisecond, 2300 * time.Millisecond, 3500 * time.Millisecond, time.Minute}
		msg.arrive = m.now.Add(delays[m.random.IntN(len(delays))])
		msg.answer = o.hears && m.random.IntN(4) > 0
	}
	if o.reach {
		m.network = append(m.network, msg)
	}
}

// start lets the newest owner start the next task once it believes that the
// one before has ended.
func (m *leaseModel) start() {
	o := m.owners[len(m.owners)-1]
	if !o.reach || !o.hears || !m.now.After(o.lease.lapsed()) {
		return
	}
	m.token = o.record.Epoch
	o.lease.sent(m.now, o.ttl)
	o.lease.answer(m.now, m.now)
	o.lease.nextRenewal = m.now.Add(o.ttl / renewFraction)
	m.end = m.now.Add(o.ttl)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// check fails if the newest owner believes the lease to have run out while
// the task may run.
func (m *leaseModel) check(t *rapid.T) {
	o := m.owners[len(m.owners)-1]
	if m.now.After(o.lease.lapsed()) && m.now.Before(m.end.Add(MaxTerminationDelay)) {
		t.Fatalf("owner %d believes at %v that the lease has run out; it ends at %v", o.record.Epoch, m.now, m.end)
	}
}

// TestLeaseModel hands a lease over between owners that end, release, lose
// the store or the worker, over a network that delays and loses renewals.
func TestLeaseModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		last := func() *modelOwner { return m.owners[len(m.owners)-1] }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				m.advance(t, time.Duration(rapid.IntRange(1, 150).Draw(t, "seconds"))*time.Second, 500*time.Millisecond)
			},
			"owner is superseded": func(*rapid.T) { m.take() },
			"successor can't reach the worker": func(*rapid.T) {
				m.take()
				last().reach = false
			},
			"owner ends": func(*rapid.T) {
				last().ended = true
				m.take()
			},
			"owner releases": func(*rapid.T) {
				last().record.Released = true
				m.take()
			},
			"hours pass": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "seldom") == 0 {
					m.advance(t, MaxUnconfirmedOwnership+10*time.Minute, 2*time.Second)
				}
			},
			"worker can't be reached": func(t *rapid.T) {
				o := rapid.SampledFrom(m.owners).Draw(t, "owner")
				o.reach = !o.reach
			},
			"network changes":  func(*rapid.T) { m.bad = !m.bad },
			"answers are lost": func(*rapid.T) { last().hears = !last().hears },
		})
	})
}
