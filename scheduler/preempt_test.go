package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

func victim(id string, w fleet.WorkerID, size int64, priority int, lost float64) Victim {
	ref := inventory.AttemptRef{Task: fleet.TaskID(id), Attempt: 1}
	return Victim{AttemptRef: ref, Worker: w, Size: cores(size), Priority: priority, LostWork: lost}
}

func TestPreempt(t *testing.T) {
	full := []Worker{liveWorker("w1", "r1", 4000, 4000), liveWorker("w2", "r1", 4000, 4000)}
	tests := map[string]struct {
		workers []Worker
		tasks   []Task
		victims []Victim
		want    []fleet.TaskID
	}{
		"no eviction if it fits":            {workers: []Worker{liveWorker("w1", "r1", 4000, 0)}, tasks: []Task{task("u", 1000)}, victims: []Victim{victim("a", "w1", 1000, 0, 0)}},
		"lowest priority":                   {workers: full, tasks: []Task{task("u", 1000)}, victims: []Victim{victim("a", "w1", 1000, 50, 0), victim("b", "w2", 1000, 10, 0.9)}, want: []fleet.TaskID{"b"}},
		"least work lost":                   {workers: full, tasks: []Task{task("u", 1000)}, victims: []Victim{victim("a", "w1", 1000, 50, 0.5), victim("b", "w2", 1000, 50, 0.1)}, want: []fleet.TaskID{"b"}},
		"fewest tasks":                      {workers: full, tasks: []Task{task("u", 2000)}, victims: []Victim{victim("a", "w1", 1000, 50, 0), victim("b", "w1", 1000, 50, 0), victim("c", "w2", 2000, 50, 0.9)}, want: []fleet.TaskID{"c"}},
		"no needless eviction":              {workers: full[:1], tasks: []Task{task("u", 2000)}, victims: []Victim{victim("a", "w1", 500, 10, 0), victim("b", "w1", 2000, 20, 0)}, want: []fleet.TaskID{"b"}},
		"no eviction that does not suffice": {workers: full, tasks: []Task{task("u", 2000)}, victims: []Victim{victim("a", "w1", 1000, 50, 0)}},
		"capacity for two":                  {workers: full[:1], tasks: []Task{task("u", 1000), task("v", 1000)}, victims: []Victim{victim("a", "w1", 1000, 10, 0), victim("b", "w1", 1000, 20, 0), victim("c", "w1", 1000, 30, 0)}, want: []fleet.TaskID{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []fleet.TaskID
			for _, ref := range Preempt(Snapshot{InService: true, Workers: tt.workers, Tasks: tt.tasks}, tt.victims) {
				got = append(got, ref.Task)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("evicted (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPreemptMakesRoom checks that Plan places a task after the evictions made
// for it. It uses one task, since of several Plan may place others than Preempt
// assumed: it chooses workers by score.
func TestPreemptMakesRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		s.Tasks = s.Tasks[:min(1, len(s.Tasks))]
		var victims []Victim
		for i := range s.Workers {
			w := &s.Workers[i]
			w.Used = fleet.Resources{}
			for k := range rapid.IntRange(0, 3).Draw(t, "victims") {
				v := victim(fmt.Sprint("v", i, k), w.ID, 0, rapid.IntRange(0, 89).Draw(t, "priority"), 0)
				v.Size = drawResources(t, "victim", 3000)
				w.Used = w.Used.Add(v.Size)
				victims = append(victims, v)
			}
		}
		fits := len(Plan(s).Placements) == len(s.Tasks)
		evicted := Preempt(s, victims)
		if fits && len(evicted) > 0 {
			t.Fatalf("%d evictions for a task that fits", len(evicted))
		}
		for _, v := range victims {
			for i := range s.Workers {
				if s.Workers[i].ID == v.Worker && slices.Contains(evicted, v.AttemptRef) {
					s.Workers[i].Used = s.Workers[i].Used.Sub(v.Size)
				}
			}
		}
		if len(evicted) > 0 && len(Plan(s).Placements) == 0 {
			t.Fatalf("%d evictions, but the task still does not fit", len(evicted))
		}
	})
}
