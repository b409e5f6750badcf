package dev

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// Report is the verdict of a run.
type Report struct {
	Requests                Requests `json:"requests"`
	LatencyMS               Latency  `json:"latency_ms"`
	Tasks                   Tasks    `json:"tasks"`
	Settings                Settings `json:"settings"`
	OverCapacity            int      `json:"over_capacity"`
	StartsWhileOutOfService int      `json:"starts_in_data_centre_out"`
	Violations              []string `json:"violations,omitempty"` // the first few of each kind, with the runs of their tasks
	Faults                  []string `json:"faults,omitempty"`
	Drained                 bool     `json:"drained"`  // every job ended within drainTimeout
	DrainMS                 int64    `json:"drain_ms"` // from the end of the load
}

// Requests counts requests by their outcome for the callers. Wrong counts answers
// that were not the complete answer to the caller's own request, requests that a
// server ran although they were refused as "not run", and requests marked
// non-idempotent that ran more than once.
type Requests struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Wrong    int `json:"wrong"`
	// Resent counts those of Sent that repeated an earlier request under its ID.
	Resent int `json:"resent"`
	// Cut counts the unknown ones that ended without a complete answer.
	Cut int `json:"cut"`
	// Reasons counts the reasons reported for refused and unknown requests.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// Latency holds latency quantiles of answered requests in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Tasks counts tasks. Lost tasks belonged to acknowledged jobs and had not finished
// by the end of the drain. Doubled tasks started or finished again after they had
// finished; overlapping tasks ran in two places at once.
type Tasks struct {
	Submitted int `json:"submitted"`
	Finished  int `json:"finished"`
	// FinishedUnderLoad counts tasks that had finished when the load ended.
	FinishedUnderLoad int `json:"finished_under_load"`
	Lost              int `json:"lost"`
	Doubled           int `json:"doubled"`
	Overlapping       int `json:"overlapping"`
	// Unknowable counts runs that finished on a worker which died before it
	// reported the end to any host; their tasks have to run again.
	Unknowable int `json:"unknowable"`
}

// OK reports whether every promise was kept.
func (r Report) OK() bool {
	return r.Requests.Wrong == 0 &&
		r.Tasks.Lost == 0 &&
		r.Tasks.Doubled == 0 &&
		r.Tasks.Overlapping == 0 &&
		r.OverCapacity == 0 &&
		r.StartsWhileOutOfService == 0 &&
		r.Settings.Late == 0 &&
		r.Settings.Reverted == 0
}

// BrokenPromiseError reports a run in which a promise was broken.
type BrokenPromiseError struct{ Report Report }

func (e *BrokenPromiseError) Error() string { return "dev: a promise was broken during the run" }

// judge builds the verdict from the callers' tally and the stand-ins'
// records.
func judge(site *standin.Site, calls *tally, jobs *submissions) Report {
	violations := site.Records.Violations()
	requests, latency := calls.result(runsByRequest(site.Backends))
	return Report{
		Requests:                requests,
		LatencyMS:               latency,
		Tasks:                   countTasks(site.Records.Runs(), violations, jobs.tasks()),
		OverCapacity:            len(violations.OverCapacity) + overloadedBackends(site.Backends),
		StartsWhileOutOfService: len(violations.StartedOutOfService),
		Violations:              append(describeViolations(violations, site.Records.Runs()), describeLost(site.Records.Runs(), jobs.tasks())...),
	}
}

// describeLost lists the runs of tasks of which none is known to have finished.
func describeLost(runs []standin.Record, submitted []fleet.TaskID) []string {
	finished := make(map[fleet.TaskID]bool)
	for _, r := range runs {
		if r.State == inventory.TaskFinished && !r.OutcomeUnknowable() {
			finished[r.Task] = true
		}
	}
	var lines []string
	for _, id := range submitted {
		if !finished[id] && len(lines) < maxDescribedPerKind {
			lines = append(lines, "not finished: "+taskHistory(id, runs))
		}
	}
	return lines
}

// maxDescribedPerKind limits the violations of one kind that a report describes.
const maxDescribedPerKind = 5

// describeViolations lists violations with all runs of the tasks concerned.
func describeViolations(v standin.Violations, runs []standin.Record) []string {
	var lines []string
	kinds := []struct {
		name    string
		records []standin.Record
	}{
		{"overlapping", v.Overlapping},
		{"doubled", v.RepeatedRuns},
		{"over capacity", v.OverCapacity},
		{"started in a data centre out", v.StartedOutOfService},
	}
	for _, kind := range kinds {
		for _, rec := range kind.records[:min(len(kind.records), maxDescribedPerKind)] {
			lines = append(lines, kind.name+": "+taskHistory(rec.Task, runs))
		}
	}
	return lines
}

// taskHistory describes the runs of one task.
func taskHistory(id fleet.TaskID, runs []standin.Record) string {
	text := string(id)
	for _, r := range runs {
		if r.Task == id {
			text += fmt.Sprintf("; attempt %d on %s %s from %q, %s to %s", r.Attempt, r.Worker, r.State, r.Checkpoint,
				r.Started.Format(time.StampMilli), r.Ended.Format(time.StampMilli))
		}
	}
	return text
}

func countTasks(runs []standin.Record, v standin.Violations, submitted []fleet.TaskID) Tasks {
	finished := make(map[fleet.TaskID]int)
	t := Tasks{Submitted: len(submitted), Doubled: len(v.RepeatedRuns), Overlapping: len(v.Overlapping)}
	for _, r := range runs {
		switch {
		case r.State != inventory.TaskFinished:
		case r.OutcomeUnknowable():
			t.Unknowable++
		default:
			finished[r.Task]++
		}
	}
	for _, id := range submitted {
		switch n := finished[id]; {
		case n == 0:
			t.Lost++
		case n > 1:
			t.Doubled++
			t.Finished++
		default:
			t.Finished++
		}
	}
	return t
}

func overloadedBackends(backends []*standin.Backend) int {
	over := 0
	for _, b := range backends {
		stats := b.Stats()
		if stats.MaxRequests > b.Info().Slots || stats.MaxConnections > b.Info().Connections {
			over++
		}
	}
	return over
}

func runsByRequest(backends []*standin.Backend) map[string]int {
	runs := make(map[string]int)
	for _, b := range backends {
		for _, r := range b.Stats().Requests {
			runs[r.ID]++
		}
	}
	return runs
}

func quantiles(latencies []time.Duration) Latency {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for _, d := range latencies {
		_ = h.RecordValue(min(d, time.Minute).Microseconds()) // always within the histogram's range
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P99: ms(99)}
}

// sortedFaults returns a sorted copy, for stable output.
func sortedFaults(faults []string) []string {
	sorted := slices.Clone(faults)
	slices.Sort(sorted)
	return sorted
}
