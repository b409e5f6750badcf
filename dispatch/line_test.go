package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Load above room: of the jobs that can still be in time and have not begun, the
// one that takes the least work for its worth comes first.
func TestLineUnderOverload(t *testing.T) {
	r := newRig(t, "w1")
	r.job("large", cpuStep(20, 1000))
	r.job("small", cpuStep(2, 1000))
	starts := r.starts()
	if len(starts) != 4 {
		t.Fatalf("started %d tasks, want 4", len(starts))
	}
	small := 0
	for _, o := range starts {
		if o.Task.Job == "small" {
			small++
		}
	}
	if small != 2 {
		t.Fatalf("started %d tasks of the small job, want both", small)
	}
}

// A large job that has begun is not passed by smaller ones that come later.
func TestBegunJobIsPassed(t *testing.T) {
	r := newRig(t, "w1")
	r.job("large", cpuStep(12, 1000))
	first := r.starts()
	if len(first) != 4 {
		t.Fatalf("started %d tasks, want 4", len(first))
	}
	for round := range 2 {
		r.job(fleet.JobID(fmt.Sprintf("small-%d", round)), cpuStep(2, 1000))
		var ended []workload.EndedRun
		for _, o := range first {
			ended = append(ended, r.ended(o, workload.OutcomeDone))
		}
		r.report("w1", workload.Report{Ended: ended})
		first = r.starts()
		for _, o := range first {
			if o.Task.Job != "large" {
				t.Errorf("round %d: %s was started before the rest of the large job", round, o.Task)
			}
		}
	}
}

// A job that has begun and is late is finished before others begin, while it
// is worth something.
func TestLateJobIsFinished(t *testing.T) {
	r := newRig(t, "w1")
	r.job("large", cpuStep(6, 1000))
	first := r.starts()
	var ended []workload.EndedRun
	for _, o := range first {
		ended = append(ended, r.ended(o, workload.OutcomeDone))
	}
	r.now += time.Second
	r.report("w1", workload.Report{Ended: ended})
	r.now += 2500 * time.Millisecond // wanted in 3 s, worthless after 9 s
	r.report("w1", workload.Report{})
	r.job("small", cpuStep(3, 1000))
	large := 0
	for _, o := range r.starts() {
		if o.Task.Job == "large" {
			large++
		}
	}
	if got := r.m.jobs["large"].outlook; got != outlookLate {
		t.Fatalf("the large job is %q, want %q", got, outlookLate)
	}
	if large != 2 {
		t.Errorf("started %d tasks of the late job, want both that are left", large)
	}
}

// Lots are even, whatever the size of the job.
func TestLots(t *testing.T) {
	drawn := 0
	for i := range 1000 {
		small := workload.Job{ID: fleet.JobID(fmt.Sprintf("%016x", i)), AcceptedMS: int64(i) * 37, Steps: []workload.Step{cpuStep(1, 100)}}
		large := small
		large.Steps = []workload.Step{cpuStep(500, 3000)}
		if lotOf(&small) < drawnShare {
			drawn++
		}
		if lotOf(&small) != lotOf(&large) {
			t.Fatalf("the lot of job %s depends on its size", small.ID)
		}
	}
	if share := float64(drawn) / 1000; share < drawnShare-0.05 || share > drawnShare+0.05 {
		t.Errorf("%.2f of the jobs are drawn, want about %.2f", share, drawnShare)
	}
}

// A burst of one kind of job at about three times the room: the order of the
// line decides how many jobs are in time.
func TestLineReplaysBurst(t *testing.T) {
	chosen := replayBurst(t, DefaultRanking)
	t.Logf("%s: %d of 60 in time", DefaultRanking, chosen)
	for _, other := range []Ranking{RankFirstCome, RankLeastSlack} {
		inTime := replayBurst(t, other)
		t.Logf("%s: %d of 60 in time", other, inTime)
		if inTime >= chosen {
			t.Errorf("%s brings %d jobs in time, %s %d", other, inTime, DefaultRanking, chosen)
		}
	}
}

// replayBurst hands in 60 jobs of 2 to 24 tasks of one second within 3 s, on
// workers with room for 32 tasks, and counts the jobs that end within their
// wanted time.
func replayBurst(t *testing.T, ranking Ranking) int {
	t.Helper()
	r := newRig(t, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
	if err := r.m.SetRanking(ranking); err != nil {
		t.Fatal(err)
	}
	type live struct {
		order Order
		ends  time.Duration
	}
	var runs []live
	arrived := make(map[fleet.JobID]time.Duration)
	inTime := 0
	for tick := range 400 {
		if tick < 60 {
			id := fleet.JobID(string(rune('A'+tick/26)) + string(rune('a'+tick%26)))
			r.job(id, cpuStep(2+(tick*7)%23, 1000))
			arrived[id] = r.now
		}
		began := r.now
		ended := make(map[fleet.WorkerID][]workload.EndedRun)
		var left []live
		for _, l := range runs {
			if r.now >= l.ends {
				ended[l.order.Worker] = append(ended[l.order.Worker], r.ended(l.order, workload.OutcomeDone))
			} else {
				left = append(left, l)
			}
		}
		runs = left
		for _, w := range r.m.list {
			rep := workload.Report{Ended: ended[w.ID]}
			for _, l := range runs {
				if l.order.Worker == w.ID {
					rep.Running = append(rep.Running, workload.ActiveRun{Task: l.order.Task, Run: l.order.Run, PercentDone: tick % 100})
				}
			}
			r.now = began
			r.report(w.ID, rep)
		}
		for _, w := range r.m.TakeWrites(100*4, later) {
			if w.State == workload.StateCompleted && r.now-arrived[w.Job] <= 3*time.Second {
				inTime++
			}
			r.m.WritesDone([]Write{w}, 1)
		}
		for _, o := range r.starts() {
			runs = append(runs, live{o, r.now + time.Second})
		}
		r.now = began + 50*time.Millisecond
	}
	return inTime
}

// A job in time is held against the time at which it is due, not against its
// acceptance.
func TestTimedJobIsLostBeforeItIsDue(t *testing.T) {
	const ahead = time.Minute
	r := newRig(t)
	job := &workload.Job{ID: "timed", Queue: testQueue, Steps: []workload.Step{cpuStep(1, 1000)}, Repeats: 1, FirstMS: ahead.Milliseconds()}
	r.m.AddJob(job, workload.StateQueued, 1, workload.Progress{}, r.now, false)
	r.now += ahead
	r.m.Plan(r.now, ahead.Milliseconds())
	if got := r.m.jobs["timed"].outlook; got != outlookInTime {
		t.Errorf("a job that is due now is taken for %q, want %q", got, outlookInTime)
	}
}
