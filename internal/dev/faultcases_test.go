package dev

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// faultCase is one run of the site with scheduled faults.
type faultCase struct {
	name     string
	opts     Options
	schedule []scheduledFault
	check    func(t *testing.T, r *run) // additional to the promises; may be nil
}

const (
	// fullLoadTasks per job request most of the site's cores.
	fullLoadTasks = 12
	// longTaskTime is longer than a lease and all renewals that may still have
	// reached an unresponsive worker.
	longTaskTime = 10 * time.Second
	// afterLeaseExpiry, as a share of suiteLoad, is a time at which the leases on
	// a worker that became unresponsive at faultFrom have certainly expired.
	afterLeaseExpiry = 3.2
	domainLoad       = 15 * time.Second
	domainTaskTime   = 3 * time.Second
	domainTasks      = 6 // per job
	longTaskCount    = 6
	domainFaultFrom  = 0.15
	domainFaultUntil = 0.75
)

// specialCases returns the compound faults, the failures of whole failure domains,
// and single faults that break promises only under a certain load or duration.
func specialCases() []faultCase {
	var cases []faultCase
	for i, f := range compoundFaults() {
		cases = append(cases, faultCase{
			name:     f.name,
			opts:     Options{For: suiteLoad, Seed: uint64(3000 + i)},
			schedule: []scheduledFault{{f, faultFrom, faultUntil}},
		})
	}
	repliesLost := fault{"", workerFault(standin.WorkerFaults{LoseReply: 1 << 30})}
	full := Options{For: suiteLoad, Seed: 3100, Tasks: fullLoadTasks}
	// Tasks are longer than the time for which starts are still allowed after
	// their data centre was taken out of service.
	backlog := Options{For: 4 * time.Second, Seed: 3103, Tasks: fullLoadTasks, TaskTime: 2 * standin.OutOfServiceDelay}
	// With one task at a time, all attempts of a task may be placed on the failing
	// worker.
	single := Options{For: suiteLoad, Seed: 3104, Tasks: 1}
	long := Options{For: suiteLoad, Seed: 3101, Tasks: longTaskCount, TaskTime: longTaskTime}
	domain := Options{For: domainLoad, Seed: 3102, Tasks: domainTasks, TaskTime: domainTaskTime}
	return append(cases,
		faultCase{
			name:     "answers of a worker lost past its leases",
			opts:     long,
			schedule: []scheduledFault{{repliesLost, faultFrom, afterLeaseExpiry}},
		},
		faultCase{
			name:     "worker killed under full load",
			opts:     full,
			schedule: []scheduledFault{{faultNamed("worker killed"), faultFrom, faultUntil}},
		},
		faultCase{
			name:     "data centre out under full load",
			opts:     backlog,
			schedule: []scheduledFault{{faultNamed("data centre out"), 0.5, 2.5}},
		},
		faultCase{
			name:     "worker fails starts of few tasks",
			opts:     single,
			schedule: []scheduledFault{{faultNamed("worker fails starts"), faultFrom, faultUntil}},
		},
		faultCase{
			name:     "rack lost",
			opts:     domain,
			schedule: []scheduledFault{{fault{"", (*run).failRackPower}, domainFaultFrom, domainFaultUntil}},
			check:    checkOutage,
		},
		faultCase{
			name:     "switch lost",
			opts:     long,
			schedule: []scheduledFault{{fault{"", (*run).failRackSwitch}, faultFrom, afterLeaseExpiry}},
			check:    checkOutage,
		},
		faultCase{
			name:     "data centre lost",
			opts:     domain,
			schedule: []scheduledFault{{fault{"", (*run).failDataCentrePower}, domainFaultFrom, domainFaultUntil}},
			check:    checkOutage,
		},
	)
}

// checkOutage checks that tasks lost with their workers ran again exactly once,
// and that work continued in the data centre that was not affected.
func checkOutage(t *testing.T, r *run) {
	t.Helper()
	runs := r.site.Records.Runs()
	lost := lostRuns(runs, r.outage)
	if len(lost) == 0 {
		t.Error("no task was lost")
	}
	for _, rec := range lost {
		if n := runsAfter(runs, rec); n != 1 {
			t.Errorf("lost task ran again %d times, want 1: %s", n, taskHistory(rec.Task, runs))
		}
	}
	other := dataCentres[1]
	if !tasksRan(runs, r.outage, other) {
		t.Errorf("no task was started and finished in %s during the outage", other)
	}
	if !requestsRan(r.site.Backends, r.outage, other) {
		t.Errorf("no request ran in %s in the second half of the outage", other)
	}
}

// lostRuns returns the runs that ended unfinished on the lost workers during an
// outage.
func lostRuns(runs []standin.Record, o outage) []standin.Record {
	var lost []standin.Record
	for _, rec := range runs {
		during := rec.Ended.After(o.from) && rec.Ended.Before(o.until)
		if during && rec.State == inventory.TaskStopped && slices.Contains(o.workers, rec.Worker) {
			lost = append(lost, rec)
		}
	}
	return lost
}

// runsAfter counts the runs of a task after the given run of it.
func runsAfter(runs []standin.Record, lost standin.Record) int {
	n := 0
	for _, rec := range runs {
		if rec.Task == lost.Task && rec.Started.After(lost.Started) {
			n++
		}
	}
	return n
}

// tasksRan reports whether a task was started during an outage and finished in a
// data centre.
func tasksRan(runs []standin.Record, o outage, dc fleet.DataCentre) bool {
	return slices.ContainsFunc(runs, func(rec standin.Record) bool {
		return rec.DataCentre == dc && rec.State == inventory.TaskFinished &&
			rec.Started.After(o.from) && rec.Started.Before(o.until)
	})
}

// requestsRan reports whether servers of a data centre ran requests in the second
// half of the time during which both the outage and the load lasted.
func requestsRan(backends []*standin.Backend, o outage, dc fleet.DataCentre) bool {
	var last, lastInDC time.Time
	for _, b := range backends {
		for _, req := range b.Stats().Requests {
			if req.Started.After(o.until) {
				continue
			}
			last = latest(last, req.Started)
			if b.Info().DataCentre == dc {
				lastInDC = latest(lastInDC, req.Started)
			}
		}
	}
	return last.After(o.from) && lastInDC.After(o.from.Add(last.Sub(o.from)/2))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
