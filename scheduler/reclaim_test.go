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

func share(used, entitled, protected int64) Share {
	return Share{Used: cores(used), Entitled: cores(entitled), Protected: cores(protected)}
}

func taskOf(org fleet.Organisation, id string, need int64, priority int) Task {
	t := task(id, need)
	t.Organisation, t.Priority = org, priority
	return t
}

func borrowedBy(org fleet.Organisation, id string, w fleet.WorkerID, size int64, lost float64) Victim {
	v := victim(id, w, size, 50, lost)
	v.Organisation = org
	return v
}

func ids(refs []inventory.AttemptRef) string {
	text := ""
	for _, ref := range refs {
		text += string(ref.Task)
	}
	return text
}

// reclaimResult combines the reclamations of one Reclaim call.
type reclaimResult struct{ Evict, Served []inventory.AttemptRef }

func reclaim(s Snapshot, shares map[fleet.Organisation]Share, victims []Victim) (r reclaimResult) {
	for _, reclamation := range Reclaim(s, shares, victims) {
		r.Evict = append(r.Evict, reclamation.Evict...)
		r.Served = append(r.Served, reclamation.Task)
	}
	return r
}

func TestReclaim(t *testing.T) {
	full := []Worker{liveWorker("w1", "r1", 4000, 4000), liveWorker("w2", "r1", 4000, 4000)}
	below, lent, met := share(0, 4000, 4000), share(8000, 4000, 4000), share(4000, 4000, 4000)
	t1, u1 := taskOf("a", "t", 1000, 0), taskOf("a", "u", 1000, 0)
	x1, y1 := borrowedBy("b", "x", "w1", 1000, 0), borrowedBy("b", "y", "w1", 1000, 0)
	tests := map[string]struct {
		workers []Worker
		tasks   []Task
		a, b    Share
		victims []Victim
		evict   string
		served  string
	}{
		"no eviction if it fits":                     {[]Worker{liveWorker("w1", "r1", 4000, 3000)}, []Task{t1}, below, lent, []Victim{x1}, "", "t"},
		"least work lost":                            {full, []Task{taskOf("a", "t", 2000, 0)}, below, lent, []Victim{borrowedBy("b", "z", "w2", 2000, 9), x1, y1}, "xy", "t"},
		"fewest tasks at equal loss":                 {full, []Task{taskOf("a", "t", 2000, 0)}, below, lent, []Victim{x1, y1, borrowedBy("b", "z", "w2", 2000, 0)}, "z", "t"},
		"the lender is at its guarantee":             {full, []Task{t1}, met, lent, []Victim{x1}, "", ""},
		"the borrower is at its guarantee":           {full, []Task{t1}, below, met, []Victim{x1}, "", ""},
		"only down to the borrower's guarantee":      {full, []Task{t1, u1}, below, share(4500, 4000, 4000), []Victim{x1, y1}, "x", "t"},
		"the borrower's own guarantee begins soon":   {full, []Task{t1}, below, share(8000, 0, 8000), []Victim{x1}, "", ""},
		"the lender's guarantee ends soon":           {full, []Task{t1}, share(0, 0, 4000), lent, []Victim{x1}, "", ""},
		"only as far as the guarantee reaches":       {full, []Task{t1, u1}, share(2500, 4000, 4000), lent, []Victim{x1, y1}, "x", "t"},
		"an urgent task uses the guarantee first":    {full, []Task{t1, taskOf("a", "u", 1000, 95)}, share(3000, 4000, 4000), lent, []Victim{x1}, "", ""},
		"no eviction that does not suffice":          {full, []Task{taskOf("a", "t", 3000, 0)}, below, lent, []Victim{borrowedBy("b", "x", "w1", 2000, 0), borrowedBy("b", "y", "w2", 2000, 0)}, "", ""},
		"from another, as the first borrows nothing": {full, []Task{t1}, below, met, []Victim{x1, borrowedBy("c", "y", "w2", 1000, 7)}, "y", "t"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			shares := map[fleet.Organisation]Share{"a": tt.a, "b": tt.b, "c": share(4000, 0, 0)}
			Entitle(tt.tasks, tt.workers, shares)
			got := reclaim(Snapshot{InService: true, Workers: tt.workers, Tasks: tt.tasks}, shares, tt.victims)
			if ids(got.Evict) != tt.evict || ids(got.Served) != tt.served {
				t.Errorf("evicted %q for %q, want %q for %q", ids(got.Evict), ids(got.Served), tt.evict, tt.served)
			}
		})
	}
}

// TestPlanOrder offers one worker that fits one task, and checks which task of
// different ranks gets it.
func TestPlanOrder(t *testing.T) {
	entitled, other, urgent := taskOf("a", "entitled", 1000, 1), taskOf("b", "other", 1000, 89), taskOf("b", "urgent", 1000, 90)
	entitled.Entitled = true
	tests := map[string]struct {
		reserved bool
		tasks    []Task
		want     []fleet.TaskID
	}{
		"urgent first":           {false, []Task{entitled, other, urgent}, []fleet.TaskID{"urgent"}},
		"entitled next":          {false, []Task{other, entitled}, []fleet.TaskID{"entitled"}},
		"reserved, not entitled": {true, []Task{other}, nil},
		"reserved, entitled":     {true, []Task{other, entitled}, []fleet.TaskID{"entitled"}},
		"reserved, urgent":       {true, []Task{urgent}, []fleet.TaskID{"urgent"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := liveWorker("w1", "r1", 1000, 0)
			w.Reserved = tt.reserved
			var got []fleet.TaskID
			for _, p := range Plan(Snapshot{InService: true, Workers: []Worker{w}, Tasks: tt.tasks}).Placements {
				got = append(got, p.Task.Task)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("placed (-want +got):\n%s", diff)
			}
		})
	}
}

// drawLending draws a cell in which three organisations use and request
// capacity.
func drawLending(t *rapid.T) (s Snapshot, shares map[fleet.Organisation]Share, victims []Victim) {
	s.InService = true
	used := make(map[fleet.Organisation]fleet.Resources)
	org := rapid.SampledFrom([]fleet.Organisation{"a", "b", "c"})
	size := rapid.Custom(func(t *rapid.T) int64 { return rapid.Int64Range(1, 4).Draw(t, "cores") * 1000 })
	for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
		w := liveWorker(fleet.WorkerID(fmt.Sprint("w", i)), "r", 8000, 0)
		for k := range rapid.IntRange(0, 8).Draw(t, "running") {
			v := borrowedBy(org.Draw(t, "of"), fmt.Sprint("v", i, k), w.ID, size.Draw(t, "size"), float64(rapid.IntRange(0, 5).Draw(t, "lost")))
			if after := w.Used.Add(v.Size); after.Fits(w.Capacity) {
				w.Used = after
				used[v.Organisation] = used[v.Organisation].Add(v.Size)
				victims = append(victims, v)
			}
		}
		s.Workers = append(s.Workers, w)
	}
	shares = make(map[fleet.Organisation]Share)
	left := 100
	for _, org := range []fleet.Organisation{"a", "b", "c"} {
		percent := rapid.IntRange(0, left).Draw(t, "percent")
		left -= percent
		guaranteed := Percent(cores(8000*int64(len(s.Workers))), float64(percent))
		shares[org] = Share{Used: used[org], Entitled: guaranteed, Protected: guaranteed}
	}
	for i := range rapid.IntRange(0, 12).Draw(t, "tasks") {
		s.Tasks = append(s.Tasks, taskOf(org.Draw(t, "of"), fmt.Sprint("t", i), size.Draw(t, "need"), rapid.IntRange(0, 89).Draw(t, "priority")))
	}
	Entitle(s.Tasks, s.Workers, shares)
	return s, shares, victims
}

func TestReclaimKeepsGuarantees(t *testing.T) {
	evicted := 0
	rapid.Check(t, func(t *rapid.T) {
		s, shares, victims := drawLending(t)
		got := reclaim(s, shares, victims)
		evicted += len(got.Evict)
		need := int64(0)
		for _, task := range s.Tasks {
			if slices.Contains(got.Served, task.AttemptRef) {
				need += task.Declared.MilliCores
			}
		}
		freed, excess := int64(0), int64(0)
		for i := range s.Workers {
			largest := int64(0)
			for _, v := range victims {
				if v.Worker == s.Workers[i].ID && slices.Contains(got.Evict, v.AttemptRef) {
					s.Workers[i].Used = s.Workers[i].Used.Sub(v.Size)
					freed += v.Size.MilliCores
					largest = max(largest, v.Size.MilliCores)
				}
			}
			excess += max(0, largest-1)
		}
		if freed > need+excess {
			t.Fatalf("%d millicores are freed for %d: more than one needless eviction on a worker", freed, need)
		}
		for org, share := range shares {
			left, largest := share.Used.MilliCores, int64(0)
			for _, v := range victims {
				if v.Organisation == org && slices.Contains(got.Evict, v.AttemptRef) {
					left -= v.Size.MilliCores
					largest = max(largest, v.Size.MilliCores)
				}
			}
			if largest > 0 && left+largest <= share.Protected.MilliCores {
				t.Fatalf("%s is left with %d millicores, its guarantee is %d", org, left, share.Protected.MilliCores)
			}
		}
		checkServed(t, s, shares, victims, got)
	})
	if evicted == 0 {
		t.Error("no capacity was reclaimed in any run, so the test checked nothing")
	}
}

// checkServed fails the test if no task is served although one of them would fit
// on a worker without the tasks of organisations that have no guarantee.
func checkServed(t *rapid.T, s Snapshot, shares map[fleet.Organisation]Share, victims []Victim, got reclaimResult) {
	for _, task := range s.Tasks {
		for _, w := range s.Workers {
			free := w.Capacity.MilliCores - w.Used.MilliCores
			for _, v := range victims {
				if v.Worker == w.ID && shares[v.Organisation].Protected.IsZero() {
					free += v.Size.MilliCores
				}
			}
			if task.Entitled && len(got.Served) == 0 && free >= task.Declared.MilliCores {
				t.Fatalf("%v is not served, but %s could free %d millicores", task.AttemptRef, w.ID, free)
			}
		}
	}
}
