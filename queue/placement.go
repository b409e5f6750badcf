package queue

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	// backlogDivisor bounds the tasks that may wait in a cell beyond its free
	// capacity to an eighth of its total capacity. The backlog lets a cell reuse
	// capacity at once: the queue learns of the end of a task only one renewal
	// and two commits later.
	backlogDivisor = 8
	// maxWaitingTasks is how many tasks may wait in a cell before it gets no
	// more.
	maxWaitingTasks = 64
	// unansweredTTL is how long a task that was sent to a cell and not answered
	// counts against the cell's free capacity.
	unansweredTTL = 2 * time.Second
	// refusalBackoffInitial and refusalBackoffMax bound how long a cell that
	// refused a task gets none of that size or larger. The backoff doubles with
	// each further refusal.
	refusalBackoffInitial = 500 * time.Millisecond
	refusalBackoffMax     = 30 * time.Second
)

// cellView is the state of one cell as the settings and its newest load report
// show it.
type cellView struct {
	id           shard.ID
	dataCentre   fleet.DataCentre
	dataCentreIn bool // the settings have the data centre in service
	hasLoad      bool // a load report was received
	load         member.CellLoad
}

// cellChooser implements Chooser by the power of two choices over load reports.
// It is not safe for concurrent use.
type cellChooser struct {
	cells []cellView
	rand  *rand.Rand
	sent  *sentTracker
	now   time.Time
	// organisation is the one to which the tasks belong.
	organisation fleet.Organisation
}

var _ Chooser = (*cellChooser)(nil)

// viewCells returns the cells of a region that the settings define, sorted by
// ID, each with its newest load from the summaries and the cell's own answers.
func viewCells(region fleet.Region, snapshot settings.Snapshot, summaries []member.Summary, answers map[shard.ID]member.CellLoad) []cellView {
	loads := make(map[string]member.CellLoad)
	for id, load := range answers {
		loads[string(id)] = load
	}
	for _, s := range summaries {
		for id, load := range s.Cells {
			if old, ok := loads[id]; !ok || load.NewerThan(old) {
				loads[id] = load
			}
		}
	}
	var cells []cellView
	for name, dc := range snapshot.DataCentres() {
		if dc.Region != region {
			continue
		}
		for n := range dc.Cells {
			id := shard.NewID(shard.KindCell, string(name), n)
			load, known := loads[string(id)]
			cells = append(cells, cellView{
				id:           id,
				dataCentre:   name,
				dataCentreIn: dc.State == settings.DataCentreInService,
				hasLoad:      known,
				load:         load,
			})
		}
	}
	slices.SortFunc(cells, func(a, b cellView) int { return compareIDs(a.id, b.id) })
	return cells
}

func compareIDs(a, b shard.ID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Choose implements Chooser. A task leaves the cell in which it has failed if
// another can take it: where all workers of a small cell fail what they start, it
// would use up its attempts there.
func (c *cellChooser) Choose(need fleet.Resources, allowed []fleet.DataCentre, urgent bool, avoid shard.ID) (shard.ID, string) {
	cell, wait := c.choose(need, allowed, urgent, avoid)
	if cell == "" && avoid != "" {
		return c.choose(need, allowed, urgent, "")
	}
	return cell, wait
}

// choose returns the less utilised of two random candidates other than avoid.
// Candidates are the cells with enough free capacity; if there are none, those
// where the organisation's guarantee covers the task; then those where the task
// may wait for capacity. For an urgent task the last resort is any cell whose
// total capacity is large enough. Under a guarantee and in the last resort the
// cell frees capacity for the task.
func (c *cellChooser) choose(need fleet.Resources, allowed []fleet.DataCentre, urgent bool, avoid shard.ID) (shard.ID, string) {
	var candidates, guaranteed, withBacklog, largeEnough []*cellView
	anyIn := false
	for i := range c.cells {
		cell := &c.cells[i]
		if len(allowed) > 0 && !slices.Contains(allowed, cell.dataCentre) || !cell.dataCentreIn {
			continue
		}
		anyIn = true
		if cell.id == avoid || !cell.hasLoad || c.sent.recentlyRefused(cell.id, need, c.now) {
			continue
		}
		if c.hasCapacity(cell, need) {
			candidates = append(candidates, cell)
		}
		if c.guaranteeCovers(cell, need) {
			guaranteed = append(guaranteed, cell)
		}
		if c.hasBacklogCapacity(cell, need) {
			withBacklog = append(withBacklog, cell)
		}
		if urgent && need.Fits(cell.load.Capacity) {
			largeEnough = append(largeEnough, cell)
		}
	}
	if len(candidates) == 0 {
		candidates = guaranteed
	}
	if len(candidates) == 0 {
		candidates = withBacklog
	}
	if len(candidates) == 0 {
		candidates = largeEnough
	}
	switch {
	case !anyIn:
		return "", waitDataCentresOut
	case len(candidates) == 0:
		return "", waitCapacity
	}
	best := c.betterOfTwo(candidates, need)
	c.sent.add(best.id, need, c.now)
	return best.id, ""
}

// hasCapacity reports whether a cell has enough free capacity for a task, both
// in total and on one worker, and fewer than maxWaitingTasks tasks waiting.
func (c *cellChooser) hasCapacity(cell *cellView, need fleet.Resources) bool {
	return cell.load.Waiting < maxWaitingTasks && need.Fits(cell.load.LargestFit) && need.Fits(c.free(cell))
}

// hasBacklogCapacity reports whether a task may wait in a cell that has no free
// capacity for it.
func (c *cellChooser) hasBacklogCapacity(cell *cellView, need fleet.Resources) bool {
	if cell.load.Waiting >= maxWaitingTasks || !need.Fits(cell.load.LargestWorker) {
		return false
	}
	capacity := cell.load.Capacity
	backlog := fleet.Resources{
		MilliCores:   capacity.MilliCores / backlogDivisor,
		MemoryMB:     capacity.MemoryMB / backlogDivisor,
		Accelerators: capacity.Accelerators / backlogDivisor,
	}
	return need.Fits(c.free(cell).Add(backlog).Sub(cell.load.Queued))
}

// guaranteeCovers reports whether the organisation's guarantee in a cell covers
// the task, so that the cell reclaims capacity that it has lent to others.
func (c *cellChooser) guaranteeCovers(cell *cellView, need fleet.Resources) bool {
	unused, guaranteed := cell.load.UnusedGuarantees[c.organisation]
	if !guaranteed || !need.Fits(cell.load.LargestWorker) {
		return false
	}
	return need.Fits(unused.Sub(c.sent.unanswered(cell.id, c.now)))
}

// free returns the free capacity in the cell's newest load report, less the
// tasks sent to it and not answered.
func (c *cellChooser) free(cell *cellView) fleet.Resources {
	return cell.load.Free.Sub(c.sent.unanswered(cell.id, c.now))
}

// betterOfTwo draws two random candidates and returns the one that the task
// would leave less utilised.
func (c *cellChooser) betterOfTwo(candidates []*cellView, need fleet.Resources) *cellView {
	a := candidates[c.rand.IntN(len(candidates))]
	b := candidates[c.rand.IntN(len(candidates))]
	if c.utilisationAfter(b, need) < c.utilisationAfter(a, need) {
		return b
	}
	return a
}

// utilisationAfter returns the utilisation of the cell with the task, as a
// fraction of its capacity, for the most utilised resource that the task needs.
func (c *cellChooser) utilisationAfter(cell *cellView, need fleet.Resources) float64 {
	remaining := c.free(cell).Sub(need)
	var highest float64
	for _, d := range dimensions {
		if capacity := d.amount(cell.load.Capacity); capacity > 0 && d.amount(need) > 0 {
			highest = max(highest, 1-float64(d.amount(remaining))/float64(capacity))
		}
	}
	return highest
}

// sentTracker holds for each cell the tasks that were sent and not answered yet,
// the load in its newest answer, and the task size that it refused. It is not
// safe for concurrent use.
type sentTracker struct {
	sent    map[shard.ID]*sentTasks
	loads   map[shard.ID]member.CellLoad
	refused map[shard.ID]refusal
}

// sentTasks are the tasks sent to one cell, oldest first, and their sum.
type sentTasks struct {
	tasks []sentTask
	sum   fleet.Resources
}

type sentTask struct {
	at   time.Time
	size fleet.Resources
}

// refusal keeps tasks of a size or larger from a cell for a while.
type refusal struct {
	size    fleet.Resources
	until   time.Time
	backoff time.Duration
}

func newSentTracker() *sentTracker {
	return &sentTracker{
		sent:    make(map[shard.ID]*sentTasks),
		loads:   make(map[shard.ID]member.CellLoad),
		refused: make(map[shard.ID]refusal),
	}
}

// add records that a task of a size is sent to a cell.
func (r *sentTracker) add(cell shard.ID, size fleet.Resources, now time.Time) {
	s := r.sent[cell]
	if s == nil {
		s = &sentTasks{}
		r.sent[cell] = s
	}
	s.tasks = append(s.tasks, sentTask{at: now, size: size})
	s.sum = s.sum.Add(size)
}

// recordAnswer records a cell's answer on tasks of these sizes, which then no
// longer count as unanswered: the load in the answer includes them. It does
// nothing if the answer has no load report.
func (r *sentTracker) recordAnswer(cell shard.ID, sizes []fleet.Resources, load member.CellLoad) {
	if load.Epoch == 0 {
		return // no load report
	}
	if old, ok := r.loads[cell]; !ok || load.NewerThan(old) {
		r.loads[cell] = load
	}
	s := r.sent[cell]
	if s == nil {
		return
	}
	for _, size := range sizes {
		i := slices.IndexFunc(s.tasks, func(t sentTask) bool { return t.size == size })
		if i < 0 {
			continue
		}
		s.tasks = slices.Delete(s.tasks, i, i+1)
		s.sum = s.sum.Sub(size)
	}
}

// unanswered returns the sum of the tasks that were sent to a cell within
// unansweredTTL and not answered.
func (r *sentTracker) unanswered(cell shard.ID, now time.Time) fleet.Resources {
	s := r.sent[cell]
	if s == nil {
		return fleet.Resources{}
	}
	for len(s.tasks) > 0 && now.Sub(s.tasks[0].at) > unansweredTTL {
		s.sum = s.sum.Sub(s.tasks[0].size)
		s.tasks = s.tasks[1:]
	}
	return s.sum
}

// recordRefusal records that a cell refused a task of a size. During a backoff
// that does not cover this size, the size replaces the one refused before and
// the backoff goes on. Otherwise a new backoff begins, twice as long as the last
// one unless that ended refusalBackoffMax ago or earlier.
func (r *sentTracker) recordRefusal(cell shard.ID, size fleet.Resources, now time.Time) {
	old := r.refused[cell]
	if now.Before(old.until) && !old.size.Fits(size) {
		r.refused[cell] = refusal{size: size, until: old.until, backoff: old.backoff}
		return
	}
	pause := refusalBackoffInitial
	if now.Sub(old.until) < refusalBackoffMax && old.backoff > 0 {
		pause = min(2*old.backoff, refusalBackoffMax)
	}
	r.refused[cell] = refusal{size: size, until: now.Add(pause), backoff: pause}
}

// clearRefusal removes the refusal of a cell that has accepted a task.
func (r *sentTracker) clearRefusal(cell shard.ID) { delete(r.refused, cell) }

// recentlyRefused reports whether a backoff is in force after the cell refused
// a task of this size or a smaller one.
func (r *sentTracker) recentlyRefused(cell shard.ID, size fleet.Resources, now time.Time) bool {
	last, ok := r.refused[cell]
	return ok && now.Before(last.until) && last.size.Fits(size)
}
