package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// QuotaLimits bound the submissions of a workspace beyond its weight, which is in jobs a
// second.
type QuotaLimits struct {
	Window  time.Duration // over which submissions are counted
	Overage float64       // share of the weight that may come on top
	Slack   int           // jobs in a window that may come on top
}

// allowed returns how many jobs a workspace may submit in a window.
func (q QuotaLimits) allowed(w *workload.Workspace) float64 {
	return w.Weight*(1+q.Overage)*q.Window.Seconds() + float64(q.Slack)
}

const (
	// crowdedAfter is the time that the waiting work would take at the present throughput
	// from which there is too little room: the shortest objective is below it, so that work
	// is late for want of capacity.
	crowdedAfter = 1.0 // s
	// maxPublishedWorkspaces bounds the workspaces that are published, the longest backlogs
	// first, and maxWorkspaceRanks the ranks of each.
	maxPublishedWorkspaces = 64
	maxWorkspaceRanks      = 4
	// minAdmitShare keeps some submissions of each workspace admitted, so that its rate is
	// known; admitRecovery is by what factor the share grows when it need not fall.
	minAdmitShare = 0.02
	admitRecovery = 1.5
)

// submissions counts the accepted submissions of a workspace.
type submissions struct {
	recent     []time.Duration // within the quota window, ascending
	admitShare float64         // share of its submissions to admit while there is too little room
	reviewedAt time.Duration
}

// WorkspaceBacklog is what a workspace has waiting and what it gets of the capacity.
type WorkspaceBacklog struct {
	// AdmitShare is the share of its submissions to admit; 1 is all.
	AdmitShare float64
	// Throughput is the work, in core-seconds per second, that its share of the capacity
	// lets it do at least, or its cap at most.
	Throughput float64
	CapHolds   bool // its cap holds back some of its work
	Backlog    []RankBacklog
	Running    fleet.Resources // by its runs
	work       float64
}

// recordSubmission counts an accepted job.
func (m *Machine) recordSubmission(workspace string, now time.Duration) {
	if workspace == "" {
		return
	}
	s := m.submissions[workspace]
	if s == nil {
		s = &submissions{admitShare: 1, reviewedAt: now}
		m.submissions[workspace] = s
	}
	s.recent = append(s.recent, now)
}

// review sets the share of submissions to admit of a workspace that is over its quota.
func (s *submissions) review(w *workload.Workspace, limits QuotaLimits, crowded bool, now time.Duration) {
	since := now - s.reviewedAt
	s.recent = slices.DeleteFunc(s.recent, func(at time.Duration) bool { return at < now-limits.Window })
	latest := 0
	for _, at := range s.recent {
		if at >= s.reviewedAt {
			latest++
		}
	}
	s.reviewedAt = now
	owed := w.Weight * (1 + limits.Overage) * since.Seconds()
	switch {
	case !crowded:
		s.admitShare = 1
	case float64(len(s.recent)) > limits.allowed(w) && float64(latest) > owed:
		s.admitShare = max(s.admitShare*owed/float64(latest), minAdmitShare)
	case s.admitShare < 1:
		s.admitShare = min(s.admitShare*admitRecovery, 1)
	}
}

// WorkspaceBacklogs returns the load of the workspaces that have work waiting or are over
// their quota while there is too little room. It is to be called once a second.
func (m *Machine) WorkspaceBacklogs(now time.Duration) map[string]WorkspaceBacklog {
	if len(m.config.Workspaces) == 0 {
		return nil
	}
	waiting := make(map[string][]RankBacklog)
	held := make(map[string]bool)
	var unheld []RankBacklog
	for _, j := range m.jobs {
		if j.state.Final() || j.HasServingStep() || !j.hasWaiting() || j.rank >= expiredRank {
			continue
		}
		work := m.remainingWork(j)
		waiting[j.Workspace] = append(waiting[j.Workspace], RankBacklog{Rank: j.rank, Work: work})
		switch {
		case j.overCap:
			held[j.Workspace] = true
		case !j.heldByCap: // what is not known yet holds back work for a moment only
			unheld = append(unheld, RankBacklog{Rank: j.rank, Work: work})
		}
	}
	caps := m.newCapacityShares(now)
	throughput := 0.0 // the sums of floats depend on the order
	for _, name := range slices.Sorted(maps.Keys(m.queues)) {
		m.queues[name].decayThroughput(now)
		throughput += m.queues[name].throughput
	}
	weights, sum := m.workspaceWeights(), 0.0
	for _, name := range slices.Sorted(maps.Keys(waiting)) {
		if !held[name] {
			sum += cmp.Or(weights[name], weights[""])
		}
	}
	total := cumulateWork(unheld, 1)
	crowded := throughput > 0 && len(total) > 0 && total[0].Work/throughput > crowdedAfter
	loads := make(map[string]WorkspaceBacklog)
	for i := range m.config.Workspaces {
		w := &m.config.Workspaces[i]
		b := WorkspaceBacklog{AdmitShare: 1, CapHolds: held[w.Name], Throughput: throughput * weights[w.Name] / max(sum, weights[w.Name])}
		if b.CapHolds {
			b.Throughput = float64(m.workspaceUsed[w.Name].Add(caps.limits[w.Name].stored).MilliCores) / 1000
		}
		if s := m.submissions[w.Name]; s != nil {
			s.review(w, m.limits.Quota, crowded, now)
			b.AdmitShare = s.admitShare
		}
		b.Running = m.workspaceUsed[w.Name]
		b.Backlog = cumulateWork(waiting[w.Name], maxWorkspaceRanks)
		if n := len(b.Backlog); n > 0 {
			b.work = b.Backlog[n-1].Work
		}
		if b.work > 0 || b.AdmitShare < 1 {
			loads[w.Name] = b
		}
	}
	for name := range m.submissions {
		if _, ok := weights[name]; !ok {
			delete(m.submissions, name) // no longer configured
		}
	}
	return longestBacklogs(loads)
}

// longestBacklogs drops all but maxPublishedWorkspaces, first those that are over their quota.
func longestBacklogs(loads map[string]WorkspaceBacklog) map[string]WorkspaceBacklog {
	if len(loads) <= maxPublishedWorkspaces {
		return loads
	}
	urgency := func(name string) float64 {
		if loads[name].AdmitShare < 1 {
			return math.Inf(1)
		}
		return loads[name].work / max(loads[name].Throughput, 1e-9)
	}
	names := make([]string, 0, len(loads))
	for name := range loads {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(urgency(b), urgency(a)), cmp.Compare(a, b)) })
	for _, name := range names[maxPublishedWorkspaces:] {
		delete(loads, name)
	}
	return loads
}

// cumulateWork returns the cumulative work of jobs at up to limit of their ranks.
func cumulateWork(jobs []RankBacklog, limit int) []RankBacklog {
	slices.SortFunc(jobs, func(a, b RankBacklog) int { return cmp.Compare(a.Rank, b.Rank) })
	var points []RankBacklog
	sum := 0.0
	for i, j := range jobs {
		sum += j.Work
		if (i+1)*limit/len(jobs) > i*limit/len(jobs) {
			points = append(points, RankBacklog{Rank: j.Rank, Work: sum})
		}
	}
	return points
}
