package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

func servingStep(image string, count int, millicores int64) workload.Step {
	s := cpuStep(count, millicores)
	s.Serving, s.Image, s.TargetMS = true, image, 100
	return s
}

func fillingStep(image string, count int, millicores int64) workload.Step {
	s := cpuStep(count, millicores)
	s.BestEffort, s.Image = true, image
	return s
}

// Replays the worst load of a site with standing services: serving tasks of
// five images ask for four fifths of the room, then a burst of filling work
// comes whose image presses on two of the five. Nine tenths of what three fifths
// of the workers could take has to start at once.
func TestFillingBurstBesideManyServices(t *testing.T) {
	const workers, images, pressed, jobs = 40, 5, 2, 140
	r := newRig(t)
	for i := range workers {
		r.worker(fleet.WorkerID(fmt.Sprintf("w%02d", i)), fleet.Resources{MilliCores: 16_000, MemoryMB: 64_000})
	}
	for i := range jobs {
		service := servingStep(fmt.Sprintf("s%d", i%images), 4, 400+int64(i*5%7)*200)
		service.MaxPerWorker = 1
		r.job(fleet.JobID(fmt.Sprintf("service-%03d", i)), service)
	}
	served := 0
	for range 20 {
		served += len(r.starts())
	}
	if served != jobs*4 {
		t.Fatalf("started %d serving tasks, want %d", served, jobs*4)
	}
	const offered, need = 400, 1_600
	in := r.m.interference
	for s := range images {
		pressure := 0.5
		if s < pressed {
			pressure = 20
		}
		*in.at(in.filling.number("f"), in.serving.number(fmt.Sprintf("s%d", s))) = pressure
	}
	left := int64(0)
	for _, w := range r.m.list {
		left += idle(w) / need
	}
	r.job("burst", fillingStep("f", offered, need))
	started := int64(0)
	for range 20 {
		started += int64(len(r.starts()))
	}
	fit := left * (images - pressed) / images
	t.Logf("%d filling tasks started, %d would fit", started, fit)
	if started < fit*9/10 {
		t.Errorf("%d filling tasks started, want nine tenths of %d", started, fit)
	}
}

// Two images whose tasks need the same are told apart: that one finds no worker
// says nothing of the other.
func TestFillingImagesAreTriedApart(t *testing.T) {
	r := newRig(t, "w1")
	r.job("service", servingStep("s", 1, 2_000))
	r.starts()
	in := r.m.interference
	*in.at(in.filling.number("pressing"), in.serving.number("s")) = 20
	*in.at(in.filling.number("calm"), in.serving.number("s")) = 0.5
	r.job("a", fillingStep("pressing", 1, 1_000))
	r.job("b", fillingStep("calm", 1, 1_000))
	if starts := r.starts(); len(starts) != 1 || starts[0].Task.Job != "b" {
		t.Errorf("started %v, want the task of the calm image", starts)
	}
}

// After a takeover that finds many serving tasks gone, the new owner waits for
// its workers' reports instead of giving all tasks to the first one.
func TestServingWaitsForReports(t *testing.T) {
	tests := map[string]struct {
		reporting []fleet.WorkerID
		after     time.Duration // of the owner's start
		want      int           // tasks started
	}{
		"one of three has reported": {reporting: []fleet.WorkerID{"w1"}, after: 500 * time.Millisecond},
		"all have reported":         {reporting: []fleet.WorkerID{"w1", "w2", "w3"}, after: 500 * time.Millisecond, want: 4},
		"one does not report":       {reporting: []fleet.WorkerID{"w1", "w2"}, after: settleMost, want: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.m.started = r.now
			for _, id := range []fleet.WorkerID{"w1", "w2", "w3"} {
				r.m.SetWorker(workload.Worker{ID: id, StartedMS: 1, Service: testService, Capacity: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}}, r.now)
			}
			r.job("a", servingStep("s1", 2, 1000))
			r.job("b", servingStep("s2", 2, 1000))
			for _, id := range tt.reporting {
				r.report(id, workload.Report{})
			}
			r.now = r.m.started + tt.after
			if got := len(r.starts()); got != tt.want {
				t.Errorf("%d serving tasks started, want %d", got, tt.want)
			}
		})
	}
}
