package scheduler

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

func cores(n int64) fleet.Resources { return fleet.Resources{MilliCores: n, MemoryMB: n} }

func liveWorker(id fleet.WorkerID, rack fleet.Rack, capacity, used int64) Worker {
	return Worker{ID: id, Rack: rack, Capacity: cores(capacity), Used: cores(used), Live: true}
}

func task(id string, need int64) Task {
	return Task{AttemptRef: inventory.AttemptRef{Task: fleet.TaskID(id), Attempt: 1}, Job: "j", Class: "c", Declared: cores(need)}
}

// costTable is a CostModel with the pressure that one core adds on each worker.
type costTable map[fleet.WorkerID]float64

func (c costTable) Pressure(w fleet.WorkerID, _ fleet.JobClass, milliCores int64) float64 {
	return c[w] * float64(milliCores) / 1000
}

func TestPlan(t *testing.T) {
	quarantined := func(probe bool, tasks int) Worker {
		w := liveWorker("w1", "r1", 4000, 0)
		w.Quarantined, w.Probe, w.Tasks = true, probe, tasks
		return w
	}
	dead := liveWorker("w1", "r1", 4000, 0)
	dead.Live = false
	loaded := liveWorker("w1", "r1", 4000, 2000)
	observed := task("a", 1000)
	observed.Observed = cores(3000)
	huge := task("a", 1000)
	huge.Observed = cores(9000)
	urgent := task("z", 1000)
	urgent.Priority = 90
	resumed := task("a", 1000)
	resumed.Checkpoint, resumed.LastWorker = true, "w2"
	budget := cores(1500)
	tests := map[string]struct {
		snapshot Snapshot
		want     map[fleet.TaskID]fleet.WorkerID
		reason   Reason // of the tasks that were not placed
	}{
		"data centre out": {
			snapshot: Snapshot{Workers: []Worker{liveWorker("w1", "r1", 4000, 0)}, Tasks: []Task{task("a", 1)}},
			reason:   ReasonDataCentreOut,
		},
		"no workers":          {snapshot: Snapshot{InService: true, Tasks: []Task{task("a", 1)}}, reason: ReasonNoWorkers},
		"worker not live":     {snapshot: Snapshot{InService: true, Workers: []Worker{dead}, Tasks: []Task{task("a", 1)}}, reason: ReasonNotLive},
		"worker full":         {snapshot: Snapshot{InService: true, Workers: []Worker{liveWorker("w1", "r1", 4000, 3500)}, Tasks: []Task{task("a", 1000)}}, reason: ReasonNoFit},
		"worker quarantined":  {snapshot: Snapshot{InService: true, Workers: []Worker{quarantined(false, 0)}, Tasks: []Task{task("a", 1)}}, reason: ReasonQuarantined},
		"probe under way":     {snapshot: Snapshot{InService: true, Workers: []Worker{quarantined(true, 1)}, Tasks: []Task{task("a", 1)}}, reason: ReasonQuarantined},
		"one probe at a time": {snapshot: Snapshot{InService: true, Workers: []Worker{quarantined(true, 0)}, Tasks: []Task{task("a", 1), task("b", 1)}}, want: map[fleet.TaskID]fleet.WorkerID{"a": "w1"}, reason: ReasonQuarantined},
		"urgent first":        {snapshot: Snapshot{InService: true, Workers: []Worker{liveWorker("w1", "r1", 1000, 0)}, Tasks: []Task{task("a", 1000), urgent}}, want: map[fleet.TaskID]fleet.WorkerID{"z": "w1"}, reason: ReasonNoFit},
		"fullest that fits":   {snapshot: Snapshot{InService: true, Workers: []Worker{liveWorker("w1", "r1", 4000, 0), liveWorker("w2", "r1", 4000, 2000)}, Tasks: []Task{task("a", 1000)}}, want: map[fleet.TaskID]fleet.WorkerID{"a": "w2"}},
		"spread over racks":   {snapshot: Snapshot{InService: true, Workers: []Worker{liveWorker("w1", "r1", 4000, 0), liveWorker("w2", "r2", 4000, 0)}, Tasks: []Task{task("a", 100), task("b", 100)}}, want: map[fleet.TaskID]fleet.WorkerID{"a": "w1", "b": "w2"}},
		"away from services":  {snapshot: Snapshot{InService: true, Cost: costTable{"w1": 0.5}, Workers: []Worker{loaded, liveWorker("w2", "r1", 4000, 0)}, Tasks: []Task{task("a", 1000)}}, want: map[fleet.TaskID]fleet.WorkerID{"a": "w2"}},
		"to the checkpoint":   {snapshot: Snapshot{InService: true, Workers: []Worker{liveWorker("w1", "r1", 4000, 0), liveWorker("w2", "r1", 4000, 0)}, Tasks: []Task{resumed}}, want: map[fleet.TaskID]fleet.WorkerID{"a": "w2"}},
		"size as observed":    {snapshot: Snapshot{InService: true, Workers: []Worker{liveWorker("w1", "r1", 4000, 2000)}, Tasks: []Task{observed}}, reason: ReasonNoFit},
		"size within worker":  {snapshot: Snapshot{InService: true, Workers: []Worker{liveWorker("w1", "r1", 4000, 0)}, Tasks: []Task{huge}}, want: map[fleet.TaskID]fleet.WorkerID{"a": "w1"}},
		"within the lendable": {snapshot: Snapshot{InService: true, Lendable: &budget, Workers: []Worker{liveWorker("w1", "r1", 4000, 0)}, Tasks: []Task{task("a", 1000), task("b", 1000), urgent}}, want: map[fleet.TaskID]fleet.WorkerID{"a": "w1", "z": "w1"}, reason: ReasonReserved},
		"within the budget":   {snapshot: Snapshot{InService: true, Budget: &budget, Workers: []Worker{liveWorker("w1", "r1", 4000, 0)}, Tasks: []Task{task("a", 1000), task("b", 1000)}}, want: map[fleet.TaskID]fleet.WorkerID{"a": "w1"}, reason: ReasonBudget},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			result := Plan(tt.snapshot)
			var got map[fleet.TaskID]fleet.WorkerID
			for _, p := range result.Placements {
				if got == nil {
					got = make(map[fleet.TaskID]fleet.WorkerID)
				}
				got[p.Task.Task] = p.Worker
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("placements (-want +got):\n%s", diff)
			}
			for _, u := range result.Unplaced {
				if u.Reason != tt.reason {
					t.Errorf("%s not placed: reason %s, want %s", u.Task.Task, u.Reason, tt.reason)
				}
			}
			if len(got)+len(result.Unplaced) != len(tt.snapshot.Tasks) {
				t.Errorf("%d of %d tasks are in the result", len(got)+len(result.Unplaced), len(tt.snapshot.Tasks))
			}
		})
	}
}

func drawResources(t *rapid.T, label string, most int64) fleet.Resources {
	return fleet.Resources{
		MilliCores:   rapid.Int64Range(0, most).Draw(t, label+" cores"),
		MemoryMB:     rapid.Int64Range(0, most).Draw(t, label+" memory"),
		Accelerators: rapid.Int64Range(0, 2).Draw(t, label+" accelerators"),
	}
}

func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{InService: true}
	for i := range rapid.IntRange(0, 6).Draw(t, "workers") {
		w := Worker{ID: fleet.WorkerID(fmt.Sprint("w", i)), Live: rapid.Bool().Draw(t, "live")}
		w.Rack = fleet.Rack(fmt.Sprint("r", i%2))
		w.Capacity = drawResources(t, "capacity", 8000)
		w.Used = drawResources(t, "used", 9000) // may exceed the capacity, as reservations can grow
		s.Workers = append(s.Workers, w)
	}
	for i := range rapid.IntRange(0, 20).Draw(t, "tasks") {
		a := task(fmt.Sprint("t", i), 0)
		a.Declared = drawResources(t, "declared", 4000)
		a.Observed = drawResources(t, "observed", 12000)
		a.Priority = rapid.IntRange(0, 100).Draw(t, "priority")
		s.Tasks = append(s.Tasks, a)
	}
	return s
}

func TestPlanNeverOverfills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		result := Plan(s)
		workers := make(map[fleet.WorkerID]Worker)
		for _, w := range s.Workers {
			workers[w.ID] = w
		}
		declared := make(map[fleet.TaskID]fleet.Resources)
		for _, a := range s.Tasks {
			declared[a.Task] = a.Declared
		}
		for _, p := range result.Placements {
			w := workers[p.Worker]
			w.Used = w.Used.Add(p.Size)
			workers[p.Worker] = w
			if !w.Used.Fits(w.Capacity) || !w.Live {
				t.Fatalf("worker %+v is overfilled or not live after %+v", w, p)
			}
			if !declared[p.Task.Task].Fits(p.Size) {
				t.Fatalf("placement %+v is smaller than the declared resources", p)
			}
		}
		if diff := cmp.Diff(result, Plan(s)); diff != "" {
			t.Fatalf("second plan differs:\n%s", diff)
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{20, 200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := Snapshot{InService: true, Cost: costTable{"w001": 0.1}}
			for i := range workers {
				w := liveWorker(fleet.WorkerID(fmt.Sprintf("w%03d", i)), fleet.Rack(fmt.Sprint("r", i/6)), 16000, int64(i%8)*1000)
				s.Workers = append(s.Workers, w)
			}
			for i := range 20 {
				s.Tasks = append(s.Tasks, task(fmt.Sprintf("t%02d", i), 1000))
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(Plan(s).Placements) != 20 {
					b.Fatal("not all placed")
				}
			}
		})
	}
}
