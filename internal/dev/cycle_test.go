package dev

import (
	"testing"
	"time"
)

const (
	cycleLoad  = 30 * time.Second
	cycleTasks = 12 // per job: 90 of the site's 112 cores
)

// BenchmarkDataCentreCycle compares the work done while one of two data centres
// is taken out of service and put back with a run on the same seed in which both
// stay in service. Run it with -benchtime 1x.
func BenchmarkDataCentreCycle(b *testing.B) {
	cases := map[string][]scheduledFault{
		"stays":  nil,
		"leaves": {{faultNamed("data centre out"), 0.3, 0.65}},
	}
	for name, schedule := range cases {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				measureCycle(b, schedule)
			}
		})
	}
}

func measureCycle(b *testing.B, schedule []scheduledFault) {
	r, err := start(b.Context(), Options{For: cycleLoad, Seed: 1, Tasks: cycleTasks})
	if err != nil {
		b.Fatal(err)
	}
	defer r.site.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.injectFaults(b.Context(), schedule)
	}()
	report := r.load(b.Context())
	<-done
	if !report.OK() {
		b.Errorf("a promise was broken: %+v", report)
	}
	evictions := 0
	for _, run := range r.site.Records.Runs() {
		if run.Attempt > 1 {
			evictions++
		}
	}
	b.ReportMetric(float64(report.Tasks.FinishedUnderLoad), "tasks-under-load")
	b.ReportMetric(float64(report.Tasks.Submitted), "tasks-submitted")
	b.ReportMetric(float64(evictions), "moved")
	b.ReportMetric(float64(report.Requests.Answered), "answered")
	b.ReportMetric(float64(report.Requests.Refused), "refused")
	b.ReportMetric(report.LatencyMS.P50, "p50-ms")
	b.ReportMetric(report.LatencyMS.P99, "p99-ms")
	b.ReportMetric(float64(report.DrainMS)/1000, "drain-s")
	b.ReportMetric(0, "ns/op")
}
