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

// The simulation covers one day of a cell that two organisations share. a has
// high load by day; b always has more work than capacity. Tasks take 2 to 30 min
// and 1 to 4 cores.
const (
	dayWorkers      = 10
	dayCores        = 16 // per worker
	dayTick         = 10 * time.Second
	dayCheckpoint   = 5 * time.Minute  // between checkpoints; an eviction makes none
	dayPeakLoad     = 0.70             // share of the cell that a wants in its peak hours
	dayOffPeakLoad  = 0.15             // share that a wants in the other hours
	dayReclaimLimit = time.Minute      // longest time until lent capacity is back
	dayReclaimDelay = 20 * time.Second // before lent capacity is reclaimed
	dayDemandWindow = 4                // ticks for which a's demand reserves capacity
	dayBacklog      = 16               // tasks of an organisation that a plan considers
)

var dayGuarantees = map[fleet.Organisation]settings.Guarantees{
	"a": {"05:00-17:00": 80, "17:00-05:00": 20},
	"b": {"05:00-17:00": 20, "17:00-05:00": 80},
}

type dayTask struct {
	Task
	submitted    time.Duration // since midnight, like the other times
	started      time.Duration
	entitledAt   time.Duration // since when it is entitled; 0: it is not
	remaining    time.Duration
	atCheckpoint time.Duration // remaining time at the last checkpoint
	worker       int
	stopping     bool
}

func (t *dayTask) cores() float64    { return float64(t.Declared.MilliCores) / 1000 }
func (t *dayTask) lostWork() float64 { return t.cores() * (t.atCheckpoint - t.remaining).Hours() }

type daySim struct {
	policy           string // "static" (half of the workers each), "shared" or "guarantees"
	rand             *rand.Rand
	now              time.Duration
	waiting, running []*dayTask
	shares           map[fleet.Organisation]Share

	usefulWork         map[fleet.Organisation]float64 // core hours
	waits              map[fleet.Organisation][]time.Duration
	reclaimTimes       []time.Duration // from becoming entitled to the start
	evicted, submitted int
	lostWork           float64           // core hours
	demands            []fleet.Resources // of a, as far as its guarantee covers them
	misfits            map[uint64]bool   // entitled tasks that fitted on no single worker at some time
}

func (d *daySim) at() time.Time { return time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC).Add(d.now) }

func (d *daySim) submitTasks() {
	wanted := dayOffPeakLoad
	if dayGuarantees["a"].At(d.at()) > 50 {
		wanted = dayPeakLoad
	}
	if d.rand.Float64() < wanted*dayWorkers*dayCores/2.5/(16*time.Minute).Seconds()*dayTick.Seconds() {
		d.submitTask("a")
	}
	waiting := 0
	for _, t := range d.waiting {
		if t.Organisation == "b" {
			waiting++
		}
	}
	for ; waiting < dayBacklog; waiting++ {
		d.submitTask("b")
	}
}

func (d *daySim) submitTask(org fleet.Organisation) {
	d.submitted++
	t := &dayTask{Task: taskOf(org, fmt.Sprint(d.submitted), 1000*(1+d.rand.Int64N(4)), 50), submitted: d.now, started: -1}
	t.AcceptOrder, t.remaining = uint64(d.submitted), 2*time.Minute+time.Duration(d.rand.Int64N(int64(28*time.Minute)))
	d.waiting = append(d.waiting, t)
}

func (d *daySim) advance() {
	d.running = slices.DeleteFunc(d.running, func(t *dayTask) bool {
		if t.stopping {
			t.stopping, t.remaining = false, t.atCheckpoint
			i, _ := slices.BinarySearchFunc(d.waiting, t, func(x, y *dayTask) int { return int(x.AcceptOrder) - int(y.AcceptOrder) })
			d.waiting = slices.Insert(d.waiting, i, t)
			return true
		}
		t.remaining -= dayTick
		d.usefulWork[t.Organisation] += t.cores() * dayTick.Hours()
		if (d.now-t.started)%dayCheckpoint < dayTick {
			t.atCheckpoint = t.remaining
		}
		return t.remaining <= 0
	})
}

// snapshot returns the cell as it is, as it is after the stopping tasks have
// ended, and the tasks that may be evicted.
func (d *daySim) snapshot() (s, after Snapshot, victims []Victim) {
	s.InService, after.InService = true, true
	for i := range dayWorkers {
		s.Workers = append(s.Workers, liveWorker(fleet.WorkerID(fmt.Sprint(i)), "r", dayCores*1000, 0))
	}
	after.Workers = slices.Clone(s.Workers)
	d.shares = make(map[fleet.Organisation]Share)
	for org, g := range dayGuarantees {
		least, most := g.Range(d.at(), dayReclaimLimit)
		capacity := cores(dayWorkers * dayCores * 1000)
		d.shares[org] = Share{Entitled: Percent(capacity, least), Protected: Percent(capacity, most)}
	}
	for _, t := range d.running {
		w := &s.Workers[t.worker]
		w.Used = w.Used.Add(t.Declared)
		w.Reserved = w.Reserved || t.stopping
		if t.stopping {
			continue
		}
		after.Workers[t.worker].Used = after.Workers[t.worker].Used.Add(t.Declared)
		share := d.shares[t.Organisation]
		share.Used = share.Used.Add(t.Declared)
		d.shares[t.Organisation] = share
		victims = append(victims, borrowedBy(t.Organisation, string(t.Task.Task), w.ID, t.Declared.MilliCores, t.lostWork()))
	}
	count := make(map[fleet.Organisation]int)
	for _, t := range d.waiting {
		if count[t.Organisation]++; count[t.Organisation] <= dayBacklog {
			s.Tasks = append(s.Tasks, t.Task)
		}
	}
	return s, after, victims
}

// limitLending marks the entitled tasks and sets Lendable, so that the capacity
// for them is not lent.
func (d *daySim) limitLending(s *Snapshot) {
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
			t.entitledAt = 0
			continue
		case t.Organisation == "a":
			demand = demand.Add(t.Declared)
		default:
			lendable = lendable.Sub(t.Declared)
		}
		t.entitledAt = cmp.Or(t.entitledAt, d.now)
	}
	d.demands = append(d.demands, demand)
	for _, before := range d.demands[max(0, len(d.demands)-dayDemandWindow):] {
		demand = elementwiseMax(demand, before)
	}
	demand = cores(min(demand.MilliCores, d.shares["a"].Entitled.MilliCores))
	lendable = lendable.Sub(elementwiseMax(demand.Sub(d.shares["a"].Used), fleet.Resources{}))
	s.Lendable = &lendable
}

func (d *daySim) find(tasks []*dayTask, task *Task) *dayTask {
	return tasks[slices.IndexFunc(tasks, func(t *dayTask) bool { return t.AcceptOrder == task.AcceptOrder })]
}

func (d *daySim) start(s *Snapshot, p Placement) {
	i := slices.IndexFunc(s.Tasks, func(t Task) bool { return t.AttemptRef == p.Task })
	t := d.find(d.waiting, &s.Tasks[i])
	if t.started < 0 {
		d.waits[t.Organisation] = append(d.waits[t.Organisation], d.now-t.submitted)
	}
	if t.entitledAt > 0 {
		d.reclaimTimes = append(d.reclaimTimes, d.now-t.entitledAt)
	}
	t.started, t.atCheckpoint, t.entitledAt = d.now, t.remaining, 0
	t.worker = slices.IndexFunc(s.Workers, func(w Worker) bool { return w.ID == p.Worker })
	d.running = append(d.running, t)
	d.waiting = slices.DeleteFunc(d.waiting, func(other *dayTask) bool { return other == t })
}

func (d *daySim) plan() {
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
		d.limitLending(&s)
		after.Tasks = s.Tasks
		reclamations := Reclaim(after, d.shares, victims)
		for _, t := range d.waiting {
			i := slices.IndexFunc(reclamations, func(r Reclamation) bool { return r.Task == t.AttemptRef })
			switch {
			case i < 0 && t.entitledAt > 0:
				t.entitledAt = d.now + dayTick // the time counts from when it fits
				d.misfits[t.AcceptOrder] = true
			case i >= 0 && d.now-t.entitledAt >= dayReclaimDelay:
				d.evict(&s, reclamations[i])
			}
		}
	}
	for _, p := range Plan(s).Placements {
		d.start(&s, p)
	}
}

func (d *daySim) evict(s *Snapshot, r Reclamation) {
	for _, ref := range r.Evict {
		t := d.running[slices.IndexFunc(d.running, func(t *dayTask) bool { return t.AttemptRef == ref })]
		t.stopping = true
		s.Workers[t.worker].Reserved = true
		d.evicted++
		d.lostWork += t.lostWork()
		d.usefulWork[t.Organisation] -= t.lostWork()
	}
}

func quantile(waits []time.Duration, q float64) time.Duration {
	slices.Sort(waits)
	return waits[int(q*float64(len(waits)-1))].Round(time.Second)
}

// TestDayOfTwoOrganisations simulates three ways of sharing a cell with fixed
// seeds and logs the results. With guarantees, lent capacity must be available to
// its owner again within dayReclaimLimit.
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
	d := &daySim{policy: policy, rand: rand.New(rand.NewPCG(seed, 2)), reclaimTimes: []time.Duration{0}, misfits: make(map[uint64]bool)}
	d.usefulWork = make(map[fleet.Organisation]float64)
	d.waits = make(map[fleet.Organisation][]time.Duration)
	for ; d.now < 24*time.Hour; d.now += dayTick {
		d.submitTasks()
		d.advance()
		d.plan()
	}
	t.Logf("%-10s core hours a %.0f b %.0f, a's tasks waited %v at p50, %v at p90, %v at p99", policy, d.usefulWork["a"], d.usefulWork["b"], quantile(d.waits["a"], 0.5), quantile(d.waits["a"], 0.9), quantile(d.waits["a"], 0.99))
	t.Logf("%-10s %d tasks, %d evictions, %.1f core hours lost, %d tasks delayed by fragmentation, reclaim p50 %v p99 %v longest %v", policy, d.submitted, d.evicted, d.lostWork, len(d.misfits),
		quantile(d.reclaimTimes, 0.5), quantile(d.reclaimTimes, 0.99), quantile(d.reclaimTimes, 1))
	if longest := quantile(d.reclaimTimes, 1); longest > dayReclaimLimit {
		t.Errorf("%s: lent capacity was reclaimed after %v", policy, longest)
	}
}
