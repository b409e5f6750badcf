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
	// backlogShare is the part of a cell's capacity that may wait in the cell
	// beyond what is free, so that room is used as soon as it comes: a task
	// that ends is heard of a renewal and two commits later.
	backlogShare = 8
	// maxWaiting is how many tasks may wait in a cell before it gets no more.
	maxWaiting = 64
	// sentMemory is how long a delegation that the cell has not answered is
	// counted against its load.
	sentMemory = 2 * time.Second
	// avoidInitial and avoidMaximum bound how long a cell that refused a task
	// gets none of that size or larger.
	avoidInitial = 500 * time.Millisecond
	avoidMaximum = 30 * time.Second
)

// cellView is what is known of one cell.
type cellView struct {
	id         shard.ID
	dataCentre fleet.DataCentre
	in         bool // operators let work in
	known      bool // a summary was seen
	load       member.CellLoad
}

// cellChooser picks cells by the power of two choices over load summaries.
// It is used by one goroutine.
type cellChooser struct {
	cells []cellView
	rand  *rand.Rand
	sent  *recentlySent
	now   time.Time
	// organisation is whose tasks are placed.
	organisation fleet.Organisation
}

var _ Chooser = (*cellChooser)(nil)

// viewCells joins the cells that the settings name with the newest load of
// each, from summaries or the cell's own answers.
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
				id:         id,
				dataCentre: name,
				in:         dc.State == settings.DataCentreIn,
				known:      known,
				load:       load,
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

// Choose implements Chooser: of two random cells that have room, the one with
// more of it; if there is none, of those where the organisation's guarantee
// covers the task, then of those where it may wait for room. An urgent task
// for which there is none of these goes to a cell that is large enough. There
// and for a guarantee the cell makes room.
func (c *cellChooser) Choose(need fleet.Resources, allowed []fleet.DataCentre, urgent bool) (shard.ID, string) {
	var fitting, owing, nearly, largeEnough []*cellView
	anyIn := false
	for i := range c.cells {
		cell := &c.cells[i]
		if len(allowed) > 0 && !slices.Contains(allowed, cell.dataCentre) || !cell.in {
			continue
		}
		anyIn = true
		if !cell.known || c.sent.avoids(cell.id, need, c.now) {
			continue
		}
		if c.hasRoom(cell, need) {
			fitting = append(fitting, cell)
		}
		if c.isOwed(cell, need) {
			owing = append(owing, cell)
		}
		if c.hasBacklogRoom(cell, need) {
			nearly = append(nearly, cell)
		}
		if urgent && need.Fits(cell.load.Capacity) {
			largeEnough = append(largeEnough, cell)
		}
	}
	if len(fitting) == 0 {
		fitting = owing
	}
	if len(fitting) == 0 {
		fitting = nearly
	}
	if len(fitting) == 0 {
		fitting = largeEnough
	}
	switch {
	case !anyIn:
		return "", waitOut
	case len(fitting) == 0:
		return "", waitRoom
	}
	best := c.better(fitting, need)
	c.sent.add(best.id, need, c.now)
	return best.id, ""
}

func (c *cellChooser) hasRoom(cell *cellView, need fleet.Resources) bool {
	return cell.load.Waiting < maxWaiting && need.Fits(cell.load.LargestFit) && need.Fits(c.free(cell))
}

// hasBacklogRoom reports whether a task may wait in a cell that is full.
func (c *cellChooser) hasBacklogRoom(cell *cellView, need fleet.Resources) bool {
	if cell.load.Waiting >= maxWaiting || !need.Fits(cell.load.LargestWorker) {
		return false
	}
	capacity := cell.load.Capacity
	backlog := fleet.Resources{
		MilliCores:   capacity.MilliCores / backlogShare,
		MemoryMB:     capacity.MemoryMB / backlogShare,
		Accelerators: capacity.Accelerators / backlogShare,
	}
	return need.Fits(c.free(cell).Add(backlog).Sub(cell.load.Queued))
}

// isOwed reports whether the cell takes back lent capacity for the task.
func (c *cellChooser) isOwed(cell *cellView, need fleet.Resources) bool {
	owed, guaranteed := cell.load.Owed[c.organisation]
	if !guaranteed || !need.Fits(cell.load.LargestWorker) {
		return false
	}
	return need.Fits(owed.Sub(c.sent.since(cell.id, c.now)))
}

// free returns what the cell's summary shows as free, less what was sent
// since.
func (c *cellChooser) free(cell *cellView) fleet.Resources {
	return cell.load.Free.Sub(c.sent.since(cell.id, c.now))
}

func (c *cellChooser) better(fitting []*cellView, need fleet.Resources) *cellView {
	a := fitting[c.rand.IntN(len(fitting))]
	b := fitting[c.rand.IntN(len(fitting))]
	if c.tightness(b, need) < c.tightness(a, need) {
		return b
	}
	return a
}

// tightness is the largest share of its capacity that the cell would use.
func (c *cellChooser) tightness(cell *cellView, need fleet.Resources) float64 {
	left := c.free(cell).Sub(need)
	var most float64
	for _, d := range dimensions {
		if capacity := d.of(cell.load.Capacity); capacity > 0 && d.of(need) > 0 {
			most = max(most, 1-float64(d.of(left))/float64(capacity))
		}
	}
	return most
}

// recentlySent remembers what was delegated to each cell and not answered yet,
// what load the cell last answered with, and which sizes it refused. It is
// used by one goroutine.
type recentlySent struct {
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

type refusal struct {
	size  fleet.Resources
	until time.Time
	pause time.Duration
}

func newRecentlySent() *recentlySent {
	return &recentlySent{
		sent:    make(map[shard.ID]*sentTasks),
		loads:   make(map[shard.ID]member.CellLoad),
		refused: make(map[shard.ID]refusal),
	}
}

func (r *recentlySent) add(cell shard.ID, size fleet.Resources, now time.Time) {
	s := r.sent[cell]
	if s == nil {
		s = &sentTasks{}
		r.sent[cell] = s
	}
	s.tasks = append(s.tasks, sentTask{at: now, size: size})
	s.sum = s.sum.Add(size)
}

// answered notes a cell's load after it has decided about tasks of these
// sizes, which that load includes.
func (r *recentlySent) answered(cell shard.ID, sizes []fleet.Resources, load member.CellLoad) {
	if load.Epoch == 0 {
		return // the owner does not tell
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

// since returns the sum of what was sent within sentMemory and is not
// answered.
func (r *recentlySent) since(cell shard.ID, now time.Time) fleet.Resources {
	s := r.sent[cell]
	if s == nil {
		return fleet.Resources{}
	}
	for len(s.tasks) > 0 && now.Sub(s.tasks[0].at) > sentMemory {
		s.sum = s.sum.Sub(s.tasks[0].size)
		s.tasks = s.tasks[1:]
	}
	return s.sum
}

// refuse notes that a cell has refused a task of a size.
func (r *recentlySent) refuse(cell shard.ID, size fleet.Resources, now time.Time) {
	old := r.refused[cell]
	if now.Before(old.until) && !old.size.Fits(size) {
		r.refused[cell] = refusal{size: size, until: old.until, pause: old.pause}
		return
	}
	pause := avoidInitial
	if now.Sub(old.until) < avoidMaximum && old.pause > 0 {
		pause = min(2*old.pause, avoidMaximum)
	}
	r.refused[cell] = refusal{size: size, until: now.Add(pause), pause: pause}
}

// accept forgets the refusals of a cell that has accepted a task.
func (r *recentlySent) accept(cell shard.ID) { delete(r.refused, cell) }

// avoids reports whether the cell lately refused a task that needs no more.
func (r *recentlySent) avoids(cell shard.ID, size fleet.Resources, now time.Time) bool {
	last, ok := r.refused[cell]
	return ok && now.Before(last.until) && last.size.Fits(size)
}
