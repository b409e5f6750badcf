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

// failureDomain is a part of the site that fails as a whole.
type failureDomain struct {
	workers  []*standin.Worker
	backends []*standin.Backend
	hosts    []*entryHost
}

// outage records which workers a run has lost, and when.
type outage struct {
	from, until time.Time
	workers     []fleet.WorkerID
}

// firstRack returns the first rack of the first data centre: half of the data
// centre's workers and all of its backend servers.
func (r *run) firstRack() failureDomain {
	rack := r.site.Workers[0].Info().Rack
	return r.failureDomainOf(func(w inventory.Worker) bool { return w.Rack == rack })
}

// failureDomainOf returns the workers that match, with the backend servers on
// them.
func (r *run) failureDomainOf(match func(inventory.Worker) bool) failureDomain {
	var d failureDomain
	selected := make(map[fleet.WorkerID]bool)
	for _, w := range r.site.Workers {
		if match(w.Info()) {
			d.workers = append(d.workers, w)
			selected[w.Info().ID] = true
		}
	}
	for _, b := range r.site.Backends {
		if selected[b.Info().Worker] {
			d.backends = append(d.backends, b)
		}
	}
	return d
}

// failRackPower cuts the power of a rack: its machines stop and become
// unreachable at the same moment, and the platform's host list shows it after
// its lag.
func (r *run) failRackPower(ctx context.Context, _ *rand.Rand) func(context.Context) {
	d := r.firstRack()
	r.awaitTask(ctx, d)
	r.powerOff(d)
	return func(context.Context) { r.powerOn(d) }
}

// failRackSwitch disconnects a rack: its machines keep running but can't be
// reached. The platform's host list still shows them as live.
func (r *run) failRackSwitch(ctx context.Context, _ *rand.Rand) func(context.Context) {
	d := r.firstRack()
	r.awaitTask(ctx, d)
	r.recordOutage(d)
	d.partition()
	return func(context.Context) {
		d.reconnect()
		r.outage.until = time.Now()
	}
}

// failDataCentrePower cuts the power of the first data centre: two of three
// entry hosts, its workers and its backend servers. The repair restores it with
// as many new entry hosts.
func (r *run) failDataCentrePower(ctx context.Context, _ *rand.Rand) func(context.Context) {
	dc := dataCentres[0]
	d := r.failureDomainOf(func(w inventory.Worker) bool { return w.DataCentre == dc })
	for _, e := range r.hosts.list() {
		if e.cfg.DataCentre == dc {
			d.hosts = append(d.hosts, e)
		}
	}
	r.awaitTask(ctx, d)
	r.powerOff(d)
	return func(context.Context) {
		r.powerOn(d)
		for range d.hosts {
			id, _ := r.hosts.newID()
			_ = r.hosts.startIn(id, dc, region) // on failure the remaining hosts carry the load
		}
	}
}

func (r *run) powerOff(d failureDomain) {
	r.recordOutage(d)
	d.partition()
	for _, w := range d.workers {
		w.Kill()
	}
	r.setDomainState(d, inventory.StateGone)
	r.killHosts(d.hosts...)
}

func (r *run) powerOn(d failureDomain) {
	for _, w := range d.workers {
		w.Restart()
	}
	d.reconnect()
	r.setDomainState(d, inventory.StateLive)
	r.outage.until = time.Now()
}

// partition makes the machines unreachable for everyone.
func (d failureDomain) partition() {
	for _, w := range d.workers {
		w.SetFaults(standin.WorkerFaults{Unresponsive: true})
	}
	for _, b := range d.backends {
		b.SetFaults(standin.BackendFaults{Unresponsive: true})
	}
}

// reconnect undoes partition.
func (d failureDomain) reconnect() {
	for _, w := range d.workers {
		w.SetFaults(standin.WorkerFaults{})
	}
	for _, b := range d.backends {
		b.SetFaults(standin.BackendFaults{})
	}
}

// awaitTask waits until a task runs in a failure domain, or ctx ends.
func (r *run) awaitTask(ctx context.Context, d failureDomain) {
	ids := d.workerIDs()
	running := func(rec standin.Record) bool {
		return rec.Ended.IsZero() && slices.Contains(ids, rec.Worker)
	}
	for !slices.ContainsFunc(r.site.Records.Runs(), running) {
		if wait.For(ctx, conditionPollInterval) != nil {
			return
		}
	}
}

func (d failureDomain) workerIDs() []fleet.WorkerID {
	var ids []fleet.WorkerID
	for _, w := range d.workers {
		ids = append(ids, w.Info().ID)
	}
	return ids
}

// recordOutage records that the workers of a failure domain are lost from now
// on.
func (r *run) recordOutage(d failureDomain) {
	r.outage.from = time.Now()
	r.outage.workers = d.workerIDs()
}

// setDomainState sets the state of all machines of a failure domain in one
// update of the host list.
func (r *run) setDomainState(d failureDomain, state inventory.HostState) {
	r.site.HostList.Update(func(l *inventory.HostList) {
		for i := range l.Workers {
			if slices.ContainsFunc(d.workers, func(w *standin.Worker) bool { return w.Info().ID == l.Workers[i].ID }) {
				l.Workers[i].State = state
			}
		}
		for i := range l.Servers {
			if slices.ContainsFunc(d.backends, func(b *standin.Backend) bool { return b.Info().ID == l.Servers[i].ID }) {
				l.Servers[i].State = state
			}
		}
	})
}
