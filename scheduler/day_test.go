package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

// The day has two organisations on one cell: a is busy by day, b always has
// more work than there is room. Tasks take 2 to 30 min and 1 to 4 cores.
const (
	dayWorkers    = 10
	dayCores      = 16 // of a worker
	dayTick       = 10 * time.Second
	dayCheckpoint = 5 * time.Minute // between checkpoints; a stop makes none
	dayBusy       = 0.70            // of the cell, wanted by a in its busy hours
	dayQuiet      = 0.15            // and in the others
	dayTakeBack   = time.Minute
	dayWait       = 20 * time.Second // before lent capacity is taken back
	dayHold       = 4                // ticks for which room is kept for a
	dayBacklog    = 16               // tasks of an organisation that a plan looks at
)

var dayGuarantees = map[fleet.Organisation]settings.Guarantees{
	"a": {"05:00-17:00": 80, "17:00-05:00": 20},
	"b": {"05:00-17:00": 20, "17:00-05:00": 80},
}

type dayTask struct {
	Task
	submitted time.Duration // since midnight, as all
	started   time.Duration
	entitled  time.Duration // when it became so; 0: it is not
	left      time.Duration
	saved     time.Duration // left at the last checkpoint
	worker    int
	leaving   bool
}

func (t *dayTask) cores() float64 { return float64(t.Declared.MilliCores) / 1000 }
func (t *dayTask) lost() float64  { return t.cores() * (t.saved - t.left).Hours() }

type day struct {
	policy           string // static: half of the workers each; shared; guarantees
	rand             *rand.Rand
	now              time.Duration
	waiting, running []*dayTask
	shares           map[fleet.Organisation]Share

	kept            map[fleet.Organisation]float64 // core hours
	waits           map[fleet.Organisation][]time.Duration
	takeBacks       []time.Duration // from entitled to started
	evicted, orders int
	lost            float64           // core hours
	demands         []fleet.Resources // of a, covered by its guarantee
	misfits         map[uint64]bool   // entitled tasks that found no room on one worker for a time
}

func (d *day) at() time.Time { return time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC).Add(d.now) }

func (d *day) submit() {
	wanted := dayQuiet
	if dayGuarantees["a"].At(d.at()) > 50 {
		wanted = dayBusy
	}
	if d.rand.Float64() < wanted*dayWorkers*dayCores/2.5/(16*time.Minute).Seconds()*dayTick.Seconds() {
		d.add("a")
	}
	waiting := 0
	for _, t := range d.waiting {
		if t.Organisation == "b" {
			waiting++
		}
	}
	for ; waiting < dayBacklog; waiting++ {
		d.add("b")
	}
}

func (d *day) add(org fleet.Organisation) {
	d.orders++
	t := &dayTask{Task: taskOf(org, fmt.Sprint(d.orders), 1000*(1+d.rand.Int64N(4)), 50), submitted: d.now, started: -1}
	t.AcceptOrder, t.left = uint64(d.orders), 2*time.Minute+time.Duration(d.rand.Int64N(int64(28*time.Minute)))
	d.waiting = append(d.waiting, t)
}

func (d *day) work() {
	d.running = slices.DeleteFunc(d.running, func(t *dayTask) bool {
		if t.leaving {
			t.leaving, t.left = false, t.saved
			i, _ := slices.BinarySearchFunc(d.waiting, t, func(x, y *dayTask) int { return int(x.AcceptOrder) - int(y.AcceptOrder) })
			d.waiting = slices.Insert(d.waiting, i, t)
			return true
		}
		t.left -= dayTick
		d.kept[t.Organisation] += t.cores() * dayTick.Hours()
		if (d.now-t.started)%dayCheckpoint < dayTick {
			t.saved = t.left
		}
		return t.left <= 0
	})
}

// snapshot returns the cell as it is, and as it is when what leaves has left.
func (d *day) snapshot() (s, after Snapshot, victims []Victim) {
	s.Open, after.Open = true, true
	for i := range dayWorkers {
		s.Workers = append(s.Workers, live(fleet.WorkerID(fmt.Sprint(i)), "r", dayCores*1000, 0))
	}
	after.Workers = slices.Clone(s.Workers)
	d.shares = make(map[fleet.Organisation]Share)
	for org, g := range dayGuarantees {
		least, most := g.Between(d.at(), dayTakeBack)
		capacity := cores(dayWorkers * dayCores * 1000)
		d.shares[org] = Share{Entitled: Percent(capacity, least), Protected: Percent(capacity, most)}
	}
	for _, t := range d.running {
		w := &s.Workers[t.worker]
		w.Used = w.Used.Add(t.Declared)
		w.Reserved = w.Reserved || t.leaving
		if t.leaving {
			continue
		}
		after.Workers[t.worker].Used = after.Workers[t.worker].Used.Add(t.Declared)
		share := d.shares[t.Organisation]
		share.Used = share.Used.Add(t.Declared)
		d.shares[t.Organisation] = share
		victims = append(victims, lentTo(t.Organisation, string(t.Task.Task), w.ID, t.Declared.MilliCores, t.lost()))
	}
	count := make(map[fleet.Organisation]int)
	for _, t := range d.waiting {
		if count[t.Organisation]++; count[t.Organisation] <= dayBacklog {
			s.Tasks = append(s.Tasks, t.Task)
		}
	}
	return s, after, victims
}

// hold marks what is entitled and keeps its room from being lent.
func (d *day) hold(s *Snapshot) {
	Entitle(s.Tasks, s.Workers, d.shares)
	lendable := fleet.Resources{}
	demand := d.shares["a"].Used
	for _, w := range s.Workers {
		lendable = lendable.Add(w.Capacity).Sub(w.Used)
	}
	for i := range s.Tasks {
		t := d.find(d.waiting, &s.Tasks[i])
		switch {
		case !s.Tasks[i].Entitled:
			t.entitled = 0
			continue
		case t.Organisation == "a":
			demand = demand.Add(t.Declared)
		default:
			lendable = lendable.Sub(t.Declared)
		}
		t.entitled = cmp.Or(t.entitled, d.now)
	}
	d.demands = append(d.demands, demand)
	for _, before := range d.demands[max(0, len(d.demands)-dayHold):] {
		demand = atLeast(demand, before)
	}
	demand = cores(min(demand.MilliCores, d.shares["a"].Entitled.MilliCores))
	lendable = lendable.Sub(atLeast(demand.Sub(d.shares["a"].Used), fleet.Resources{}))
	s.Lendable = &lendable
}

func (d *day) find(tasks []*dayTask, task *Task) *dayTask {
	return tasks[slices.IndexFunc(tasks, func(t *dayTask) bool { return t.AcceptOrder == task.AcceptOrder })]
}

func (d *day) start(s *Snapshot, p Placement) {
	i := slices.IndexFunc(s.Tasks, func(t Task) bool { return t.AttemptRef == p.Task })
	t := d.find(d.waiting, &s.Tasks[i])
	if t.started < 0 {
		d.waits[t.Organisation] = append(d.waits[t.Organisation], d.now-t.submitted)
	}
	if t.entitled > 0 {
		d.takeBacks = append(d.takeBacks, d.now-t.entitled)
	}
	t.started, t.saved, t.entitled = d.now, t.left, 0
	t.worker = slices.IndexFunc(s.Workers, func(w Worker) bool { return w.ID == p.Worker })
	d.running = append(d.running, t)
	d.waiting = slices.DeleteFunc(d.waiting, func(other *dayTask) bool { return other == t })
}

func (d *day) plan() {
	s, after, victims := d.snapshot()
	if d.policy == "static" {
		for i, org := range []fleet.Organisation{"a", "b"} {
			half := s
			half.Workers = s.Workers[i*dayWorkers/2 : (i+1)*dayWorkers/2]
			half.Tasks = slices.DeleteFunc(slices.Clone(s.Tasks), func(t Task) bool { return t.Organisation != org })
			for _, p := range Plan(half).Placements {
				d.start(&s, p)
			}
		}
		return
	}
	if d.policy == "guarantees" {
		d.hold(&s)
		after.Tasks = s.Tasks
		rooms := Reclaim(after, d.shares, victims)
		for _, t := range d.waiting {
			i := slices.IndexFunc(rooms, func(r Reclamation) bool { return r.Task == t.AttemptRef })
			switch {
			case i < 0 && t.entitled > 0:
				t.entitled = d.now + dayTick // it counts from when it fits
				d.misfits[t.AcceptOrder] = true
			case i >= 0 && d.now-t.entitled >= dayWait:
				d.evict(&s, rooms[i])
			}
		}
	}
	for _, p := range Plan(s).Placements {
		d.start(&s, p)
	}
}

func (d *day) evict(s *Snapshot, room Reclamation) {
	for _, ref := range room.Evict {
		t := d.running[slices.IndexFunc(d.running, func(t *dayTask) bool { return t.AttemptRef == ref })]
		t.leaving = true
		s.Workers[t.worker].Reserved = true
		d.evicted++
		d.lost += t.lost()
		d.kept[t.Organisation] -= t.lost()
	}
}

func quantile(waits []time.Duration, q float64) time.Duration {
	slices.Sort(waits)
	return waits[int(q*float64(len(waits)-1))].Round(time.Second)
}

// TestDayOfTwoOrganisations measures three ways of sharing on seeded days. With
// guarantees lent capacity is back within the stated time.
func TestDayOfTwoOrganisations(t *testing.T) {
	tests := map[string]struct {
		seed     uint64
		policies []string
	}{
		"seed 1": {1, []string{"static", "shared", "guarantees"}},
		"seed 2": {2, []string{"guarantees"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, policy := range tt.policies {
				runDay(t, policy, tt.seed)
			}
		})
	}
}

func runDay(t *testing.T, policy string, seed uint64) {
	d := &day{policy: policy, rand: rand.New(rand.NewPCG(seed, 2)), takeBacks: []time.Duration{0}, misfits: make(map[uint64]bool)}
	d.kept = make(map[fleet.Organisation]float64)
	d.waits = make(map[fleet.Organisation][]time.Duration)
	for ; d.now < 24*time.Hour; d.now += dayTick {
		d.submit()
		d.work()
		d.plan()
	}
	t.Logf("%-10s core hours a %.0f b %.0f, a's tasks waited %v at p50, %v at p90, %v at p99", policy, d.kept["a"], d.kept["b"], quantile(d.waits["a"], 0.5), quantile(d.waits["a"], 0.9), quantile(d.waits["a"], 0.99))
	t.Logf("%-10s %d tasks, %d evictions, %.1f core hours lost, %d tasks in pieces too small, take-back p50 %v p99 %v longest %v", policy, d.orders, d.evicted, d.lost, len(d.misfits),
		quantile(d.takeBacks, 0.5), quantile(d.takeBacks, 0.99), quantile(d.takeBacks, 1))
	if longest := quantile(d.takeBacks, 1); longest > dayTakeBack {
		t.Errorf("%s: lent capacity was back after %v", policy, longest)
	}
}
