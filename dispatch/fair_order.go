package dispatch

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// When all capacity is in use, workspaces get it by weight: among the jobs of one priority
// and band, those of workspaces below the share that is owed to them come first, by rank. After
// them, the next is one of the workspace whose dominant share of the capacity, relative to
// its weight, is the smallest. A workspace's share is that of its runs, and grows with each of
// its jobs that is put in the order. Among the jobs of a workspace the rank decides. Were shares
// to decide below what is owed, jobs with less work left would wait for others without need.
//
// Jobs that have started stay before all others, as what is spent on them would be wasted;
// among them, shares decide too, or a workspace that has started many in idle room would keep
// all of it. Capacity that the workspaces before leave idle goes to those behind, up to their
// caps.

// band is a class of jobs of one priority within which the shares of workspaces decide.
type band int

const (
	bandServing band = iota
	bandStarted
	bandInTime
	bandLate
	bandExpired
)

// band returns the class of a job that setRank has ranked. It follows the rank alone, so that the
// jobs of a band are next to each other.
func (j *job) band() band {
	switch {
	case j.HasServingStep():
		return bandServing
	case j.rank < lotteryRank:
		return bandStarted
	case j.rank < lateRank:
		return bandInTime
	case j.rank < expiredRank:
		return bandLate
	default:
		return bandExpired
	}
}

// claim is what a waiting job asks for on behalf of its workspace.
type claim struct {
	workspace string
	share     float64 // of the capacity, for its waiting tasks
}

// fairOrder returns the order in which claims get capacity, as indexes. It keeps the order
// of the claims of one workspace. shares holds the present share of each workspace, relative
// to its weight, and is left as it is when all claims are granted. owed is the share, relative
// to the weight, below which the claims of all workspaces keep their order.
func fairOrder(claims []claim, shares map[string]float64, owed float64, weight func(workspace string) float64) []int {
	waiting := make(map[string]*claimant)
	claimants := claimantHeap{owed: owed}
	for i, c := range claims {
		w := waiting[c.workspace]
		if w == nil {
			w = &claimant{workspace: c.workspace, share: shares[c.workspace], weight: weight(c.workspace)}
			waiting[c.workspace] = w
			claimants.all = append(claimants.all, w)
		}
		w.claims = append(w.claims, i)
	}
	heap.Init(&claimants)
	order := make([]int, 0, len(claims))
	for len(claimants.all) > 0 {
		w := claimants.all[0]
		next := w.claims[0]
		order = append(order, next)
		w.share += claims[next].share / w.weight
		shares[w.workspace] = w.share
		if w.claims = w.claims[1:]; len(w.claims) == 0 {
			heap.Pop(&claimants)
		} else {
			heap.Fix(&claimants, 0)
		}
	}
	return order
}

// claimant is a workspace with claims left.
type claimant struct {
	workspace     string
	share, weight float64
	claims        []int
}

// claimantHeap orders claimants: those below the share owed by their next claims, the others by
// share, and those of equal shares by name.
type claimantHeap struct {
	all  []*claimant
	owed float64
}

func (h *claimantHeap) Len() int { return len(h.all) }
func (h *claimantHeap) Less(i, k int) bool {
	a, b := h.all[i], h.all[k]
	if a.share < h.owed && b.share < h.owed {
		return a.claims[0] < b.claims[0]
	}
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.workspace, b.workspace)) < 0
}
func (h *claimantHeap) Swap(i, k int) { h.all[i], h.all[k] = h.all[k], h.all[i] }
func (h *claimantHeap) Push(x any)    { h.all = append(h.all, x.(*claimant)) }
func (h *claimantHeap) Pop() any {
	last := h.all[len(h.all)-1]
	h.all = h.all[:len(h.all)-1]
	return last
}

// dominantShare returns the largest share of the capacity that an amount takes.
func dominantShare(amount, capacity fleet.Resources) float64 {
	share := 0.0
	for _, x := range [][2]int64{{amount.MilliCores, capacity.MilliCores}, {amount.MemoryMB, capacity.MemoryMB}, {amount.Accelerators, capacity.Accelerators}} {
		if x[1] > 0 {
			share = max(share, float64(x[0])/float64(x[1]))
		}
	}
	return share
}

// orderByShare orders jobs that are sorted by priority and rank by the shares of their
// workspaces, within each priority and band.
func (m *Machine) orderByShare(jobs []*job) {
	if len(m.config.Workspaces) == 0 {
		return
	}
	var capacity fleet.Resources
	for _, w := range m.workerList {
		if w.listed {
			capacity = capacity.Add(w.Capacity)
		}
	}
	weights := m.workspaceWeights()
	weight := func(workspace string) float64 { return weights[workspace] }
	for _, j := range jobs {
		if _, ok := weights[j.Workspace]; !ok {
			weights[j.Workspace] = weights[""]
		}
	}
	shares := make(map[string]float64)
	for name, used := range m.workspaceUsed {
		if weights[name] > 0 {
			shares[name] = dominantShare(used, capacity) / weights[name]
		}
	}
	owed := owedShare(jobs, shares, weights)
	for first := 0; first < len(jobs); {
		last := first + 1
		for last < len(jobs) && jobs[last].priority == jobs[first].priority && jobs[last].band() == jobs[first].band() {
			last++
		}
		m.orderBand(jobs[first:last], capacity, shares, owed, weight)
		first = last
	}
}

// orderBand orders jobs of one priority and band.
func (m *Machine) orderBand(jobs []*job, capacity fleet.Resources, shares map[string]float64, owed float64, weight func(string) float64) {
	claims := make([]claim, len(jobs))
	for i, j := range jobs {
		claims[i] = claim{j.Workspace, dominantShare(j.waitingNeed(), capacity)}
	}
	order := fairOrder(claims, shares, owed, weight)
	before := slices.Clone(jobs)
	for i, from := range order {
		jobs[i] = before[from]
		jobs[i].behindShares = i > from
	}
}

// owedShare returns the share of the capacity, relative to the weight, that is owed to each
// workspace with waiting jobs or runs.
func owedShare(waiting []*job, shares, weights map[string]float64) float64 {
	active := make(map[string]float64)
	for _, j := range waiting {
		active[j.Workspace] = weights[j.Workspace]
	}
	for name, share := range shares {
		if share > 0 {
			active[name] = weights[name]
		}
	}
	sum := 0.0 // the sums of floats depend on the order
	for _, name := range slices.Sorted(maps.Keys(active)) {
		sum += active[name]
	}
	return 1 / max(sum, minWorkspaceWeight)
}

// workspaceWeights returns the weights of the workspaces by name, and under "" that of jobs
// of none that is configured, which is the mean.
func (m *Machine) workspaceWeights() map[string]float64 {
	weights := make(map[string]float64, len(m.config.Workspaces)+1)
	sum := 0.0
	for i := range m.config.Workspaces {
		w := &m.config.Workspaces[i]
		weights[w.Name] = max(w.Weight, minWorkspaceWeight)
		sum += weights[w.Name]
	}
	weights[""] = sum / float64(max(len(m.config.Workspaces), 1))
	return weights
}

// minWorkspaceWeight stands for a weight of 0, so that its workspace comes last, but comes.
const minWorkspaceWeight = 1e-3

// waitingNeed returns the requests of the waiting tasks of the steps that are ready.
func (j *job) waitingNeed() fleet.Resources {
	var need fleet.Resources
	for _, o := range j.occurrences {
		if o == nil || o.stepsLeft == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waitingCount > 0 && o.ready(s) {
				need = need.Add(workload.Times(s.Need, int64(s.waitingCount)))
			}
		}
	}
	return need
}
