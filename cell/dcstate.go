package cell

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const (
	// refillTime is how long a data centre takes to fill up after it returns
	// to service.
	refillTime = time.Minute
	// refillStart is the share of the capacity that may be used immediately
	// after the return.
	refillStart = 0.1
	// evacuationShare is the part of the grace over which the stops are
	// spread; the rest is left for the last checkpoints.
	evacuationShare = 0.8
)

// dcState tracks whether the data centre is in or out of service according to
// the settings, and paces the evacuation and the refill that follow a change.
type dcState struct {
	known       bool
	in          bool
	since       time.Time // when the last change was seen; zero if neither this owner nor a predecessor saw one
	spreadUntil time.Time // evictions up to this time have been issued
	// overdueLogged is set once the tasks left after the grace were logged.
	overdueLogged bool
}

// update applies the state seen at now and reports whether it differs.
func (d *dcState) update(state settings.DataCentreState, now time.Time) (changed bool) {
	in := state == settings.DataCentreInService
	if d.known && in == d.in {
		return false
	}
	if d.known || !in {
		d.since = now
		d.spreadUntil = now
	}
	d.overdueLogged = false
	d.known = true
	d.in = in
	return true
}

// restore applies the change that a predecessor journaled, so that neither the
// grace nor the refill starts again. The remaining stops are spread over the
// rest of the grace.
func (d *dcState) restore(last dcStateRecord, now time.Time) {
	if last.SinceMS == 0 {
		return
	}
	since := time.UnixMilli(last.SinceMS)
	if since.After(now) {
		since = now // the predecessor's clock was ahead
	}
	*d = dcState{known: true, in: !last.Out, since: since, spreadUntil: now}
}

// usableShare returns the share of the cell's capacity that may be used at now.
func (d *dcState) usableShare(now time.Time) float64 {
	if d.since.IsZero() {
		return 1
	}
	progress := float64(now.Sub(d.since)) / float64(refillTime)
	return min(1, refillStart+(1-refillStart)*progress)
}

// budget returns how much more may be placed at now, or nil if there is no
// limit.
func (d *dcState) budget(now time.Time, workers []scheduler.Worker) *fleet.Resources {
	share := d.usableShare(now)
	if share >= 1 {
		return nil
	}
	var free fleet.Resources
	for _, w := range workers {
		free = free.Add(scale(w.Capacity, share)).Sub(w.Used)
	}
	return &free
}

// lastEvictionAt returns when the last task is to be stopped, given the grace
// that began when the data centre was taken out of service.
func (d *dcState) lastEvictionAt(grace time.Duration) time.Time {
	return d.since.Add(time.Duration(evacuationShare * float64(grace)))
}

// evictionsDue returns how many of the remaining tasks to stop at now, so that
// the stops are spread evenly until end.
func (d *dcState) evictionsDue(now, end time.Time, remaining int) int {
	interval := end.Sub(d.spreadUntil) / time.Duration(max(remaining, 1))
	if !now.Before(end) || interval <= 0 {
		return remaining
	}
	due := min(remaining, int(now.Sub(d.spreadUntil)/interval))
	d.spreadUntil = d.spreadUntil.Add(time.Duration(due) * interval)
	return due
}
