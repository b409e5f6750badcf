package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const (
	// refillTime is how long a data centre that was let in again takes to
	// fill up.
	refillTime = time.Minute
	// refillStart is the share of the capacity that may be used at once.
	refillStart = 0.1
	// evacuationShare is the part of the grace over which tasks are stopped;
	// the rest is left for the last checkpoints.
	evacuationShare = 0.8
)

// gate follows the data centre's state as the settings give it.
type gate struct {
	known bool
	in    bool
	since time.Time // of the change seen; zero if none was, now or by a predecessor
	paced time.Time // up to here evictions were spread
	// overdue says that tasks left after the grace were reported.
	overdue bool
}

// update takes the state seen at now.
func (g *gate) update(state settings.DataCentreState, now time.Time) (changed bool) {
	in := state == settings.DataCentreIn
	if g.known && in == g.in {
		return false
	}
	if g.known || !in {
		g.since = now
		g.paced = now
	}
	g.overdue = false
	g.known = true
	g.in = in
	return true
}

// restore takes the change that a predecessor journaled, so that neither the
// grace nor the refill that it began starts anew. What is left to stop is
// spread over what is left of the grace.
func (g *gate) restore(last gateRecord, now time.Time) {
	if last.SinceMS == 0 {
		return
	}
	since := time.UnixMilli(last.SinceMS)
	if since.After(now) {
		since = now // the predecessor's clock was ahead
	}
	*g = gate{known: true, in: !last.Out, since: since, paced: now}
}

// refill returns the share of the cell's capacity that may be used at now.
func (g *gate) refill(now time.Time) float64 {
	if g.since.IsZero() {
		return 1
	}
	progress := float64(now.Sub(g.since)) / float64(refillTime)
	return min(1, refillStart+(1-refillStart)*progress)
}

// budget returns what may be placed besides what is used, or nil for no
// limit.
func (g *gate) budget(now time.Time, workers []scheduler.Worker) *fleet.Resources {
	share := g.refill(now)
	if share >= 1 {
		return nil
	}
	var free fleet.Resources
	for _, w := range workers {
		free = free.Add(scale(w.Capacity, share)).Sub(w.Used)
	}
	return &free
}

// lastEviction returns when the last task is to be stopped within the grace
// that began when the data centre was taken out.
func (g *gate) lastEviction(grace time.Duration) time.Time {
	return g.since.Add(time.Duration(evacuationShare * float64(grace)))
}

// evictionsDue returns how many of the tasks left are to be stopped at now, so
// that all are stopped evenly until end.
func (g *gate) evictionsDue(now, end time.Time, left int) int {
	interval := end.Sub(g.paced) / time.Duration(max(left, 1))
	if !now.Before(end) || interval <= 0 {
		return left
	}
	due := min(left, int(now.Sub(g.paced)/interval))
	g.paced = g.paced.Add(time.Duration(due) * interval)
	return due
}
