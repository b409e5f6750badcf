package dev

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// area is a part of the site that fails as a whole.
type area struct {
	workers  []*standin.Worker
	backends []*standin.Backend
	hosts    []*entry
}

// loss is what a run has lost of the site, and when.
type loss struct {
	from, until time.Time
	workers     []fleet.WorkerID
}

// rack returns the first rack of the first data centre: half of its workers
// and all of its backend servers.
func (r *run) rack() area {
	rack := r.site.Workers[0].Info().Rack
	return r.machines(func(w inventory.Worker) bool { return w.Rack == rack })
}

// machines returns the workers for which in answers true, with the backend
// servers on them.
func (r *run) machines(in func(inventory.Worker) bool) area {
	var a area
	on := make(map[fleet.WorkerID]bool)
	for _, w := range r.site.Workers {
		if in(w.Info()) {
			a.workers = append(a.workers, w)
			on[w.Info().ID] = true
		}
	}
	for _, b := range r.site.Backends {
		if on[b.Info().Worker] {
			a.backends = append(a.backends, b)
		}
	}
	return a
}

// loseRack takes the power from a rack: its machines end and go silent at the
// same moment, and the platform's list shows it after its lag.
func (r *run) loseRack(ctx context.Context, _ *rand.Rand) func(context.Context) {
	a := r.rack()
	r.awaitTask(ctx, a)
	r.losePower(a)
	return func(context.Context) { r.restorePower(a) }
}

// loseSwitch cuts a rack off: its machines run on and can't be reached. The
// platform's list shows them as live.
func (r *run) loseSwitch(ctx context.Context, _ *rand.Rand) func(context.Context) {
	a := r.rack()
	r.awaitTask(ctx, a)
	r.loses(a)
	a.silence()
	return func(context.Context) {
		a.hear()
		r.loss.until = time.Now()
	}
}

// loseDataCentre takes the power from the first data centre: two of three
// entry hosts, its workers and its backend servers. The repair brings it back
// with as many new entry hosts.
func (r *run) loseDataCentre(ctx context.Context, _ *rand.Rand) func(context.Context) {
	dc := dataCentres[0]
	a := r.machines(func(w inventory.Worker) bool { return w.DataCentre == dc })
	for _, e := range r.hosts.list() {
		if e.cfg.DataCentre == dc {
			a.hosts = append(a.hosts, e)
		}
	}
	r.awaitTask(ctx, a)
	r.losePower(a)
	return func(context.Context) {
		r.restorePower(a)
		for range a.hosts {
			id, _ := r.hosts.newID()
			_ = r.hosts.startIn(id, dc, region) // fewer hosts carry the load if it fails
		}
	}
}

func (r *run) losePower(a area) {
	r.loses(a)
	a.silence()
	for _, w := range a.workers {
		w.Kill()
	}
	r.setArea(a, inventory.StateGone)
	r.killEntries(a.hosts...)
}

func (r *run) restorePower(a area) {
	for _, w := range a.workers {
		w.Restart()
	}
	a.hear()
	r.setArea(a, inventory.StateLive)
	r.loss.until = time.Now()
}

// silence cuts the machines off from everyone.
func (a area) silence() {
	for _, w := range a.workers {
		w.SetFaults(standin.WorkerFaults{Unresponsive: true})
	}
	for _, b := range a.backends {
		b.SetFaults(standin.BackendFaults{Unresponsive: true})
	}
}

// hear ends silence.
func (a area) hear() {
	for _, w := range a.workers {
		w.SetFaults(standin.WorkerFaults{})
	}
	for _, b := range a.backends {
		b.SetFaults(standin.BackendFaults{})
	}
}

// awaitTask waits until a task runs in an area, or ctx ends.
func (r *run) awaitTask(ctx context.Context, a area) {
	ids := a.workerIDs()
	running := func(rec standin.Record) bool {
		return rec.Ended.IsZero() && slices.Contains(ids, rec.Worker)
	}
	for !slices.ContainsFunc(r.site.Records.Runs(), running) {
		if wait.For(ctx, momentPoll) != nil {
			return
		}
	}
}

func (a area) workerIDs() []fleet.WorkerID {
	var ids []fleet.WorkerID
	for _, w := range a.workers {
		ids = append(ids, w.Info().ID)
	}
	return ids
}

// loses notes that the workers of an area are lost from now on.
func (r *run) loses(a area) {
	r.loss.from = time.Now()
	r.loss.workers = a.workerIDs()
}

// setArea shows the machines of an area in another state, by one change of
// the list.
func (r *run) setArea(a area, state inventory.HostState) {
	r.site.HostList.Update(func(l *inventory.HostList) {
		for i := range l.Workers {
			if slices.ContainsFunc(a.workers, func(w *standin.Worker) bool { return w.Info().ID == l.Workers[i].ID }) {
				l.Workers[i].State = state
			}
		}
		for i := range l.Servers {
			if slices.ContainsFunc(a.backends, func(b *standin.Backend) bool { return b.Info().ID == l.Servers[i].ID }) {
				l.Servers[i].State = state
			}
		}
	})
}
