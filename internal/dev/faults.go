package dev

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const (
	slowStore    = 300 * time.Millisecond
	slowBackend  = 500 * time.Millisecond
	lostReplies  = 5
	defaultScale = 15 * time.Second // of the fault plan, for a run without an end
)

// fault is a failure of the site. bring causes it and returns what repairs
// it.
type fault struct {
	name  string
	bring func(r *run, ctx context.Context, random *rand.Rand) (repair func(ctx context.Context))
}

// faults are all failures that a run can bring about.
func faults() []fault {
	return []fault{
		{"store down", storeFault(standin.StoreFaults{Down: true})},
		{"store slow", storeFault(standin.StoreFaults{Delay: slowStore})},
		{"store replies lost", storeFault(standin.StoreFaults{LoseReply: lostReplies})},
		{"store leases lapsed", (*run).lapseLeases},
		{"host list down", (*run).hostListDown},
		{"host killed", (*run).killHost},
		{"host terminated", (*run).terminateHost},
		{"worker killed", (*run).killWorker},
		{"worker silent", workerFault(standin.WorkerFaults{Unresponsive: true})},
		{"worker fails starts", workerFault(standin.WorkerFaults{FailStarts: true})},
		{"worker replies lost", workerFault(standin.WorkerFaults{LoseReply: lostReplies})},
		{"backend cuts answers", backendFault(standin.BackendFaults{CutBody: true})},
		{"backend connections silent", backendFault(standin.BackendFaults{StallOpenConnections: true})},
		{"backend drops connections", backendFault(standin.BackendFaults{DropBefore: true})},
		{"backend slow", backendFault(standin.BackendFaults{Delay: slowBackend})},
		{"backend leaving", (*run).backendLeaving},
		{"data centre out", (*run).dataCentreOut},
		{"operators race", (*run).operatorsRace},
	}
}

// faultNamed returns one of them.
func faultNamed(name string) fault {
	all := faults()
	i := slices.IndexFunc(all, func(f fault) bool { return f.name == name })
	return all[i]
}

// episode is a fault between two moments of a run, as shares of its length.
type episode struct {
	fault       fault
	from, until float64
}

// plan is the order in which `dev --faults` brings faults.
func plan() []episode {
	return []episode{
		{faultNamed("store down"), 0.15, 0.28},
		{faultNamed("store replies lost"), 0.28, 0.32},
		{faultNamed("host killed"), 0.35, 0.40},
		{faultNamed("worker killed"), 0.50, 0.60},
		{faultNamed("data centre out"), 0.60, 0.85},
	}
}

// bringFaults plays the episodes over the length of the load, one after the
// other, and returns the names of those brought about.
func (r *run) bringFaults(ctx context.Context, episodes []episode) []string {
	scale := r.opts.For
	if scale == 0 {
		scale = defaultScale
	}
	random := rand.New(rand.NewPCG(r.opts.Seed, r.opts.Seed+1))
	began := time.Now()
	at := func(share float64) { _ = wait.For(ctx, time.Until(began.Add(time.Duration(share*float64(scale))))) }
	var brought []string
	for _, e := range episodes {
		at(e.from)
		if ctx.Err() != nil {
			return brought
		}
		repair := e.fault.bring(r, ctx, random)
		brought = append(brought, e.fault.name)
		at(e.until)
		repair(context.WithoutCancel(ctx))
	}
	return brought
}

func storeFault(f standin.StoreFaults) func(*run, context.Context, *rand.Rand) func(context.Context) {
	return func(r *run, _ context.Context, _ *rand.Rand) func(context.Context) {
		r.site.Store.SetFaults(f)
		return func(context.Context) { r.site.Store.SetFaults(standin.StoreFaults{}) }
	}
}

func (r *run) lapseLeases(context.Context, *rand.Rand) func(context.Context) {
	r.site.Store.ExpireAllLeases()
	return func(context.Context) {}
}

func (r *run) hostListDown(context.Context, *rand.Rand) func(context.Context) {
	r.site.HostList.SetDown(true)
	return func(context.Context) { r.site.HostList.SetDown(false) }
}

// killHost ends a host without a word; the platform's list shows the end
// after its lag. The repair starts another one.
func (r *run) killHost(_ context.Context, random *rand.Rand) func(context.Context) {
	up := r.hosts.list()
	r.killEntries(up[random.IntN(len(up))])
	return r.replaceHost
}

// killEntries ends hosts at the same moment.
func (r *run) killEntries(victims ...*entry) {
	for _, victim := range victims {
		r.hosts.kill(victim)
	}
	for _, victim := range victims {
		<-victim.done
	}
	r.site.HostList.Update(func(l *inventory.HostList) {
		for _, victim := range victims {
			l.EntryHosts = append(l.EntryHosts, inventory.EntryHost{
				ID:          victim.cfg.ID,
				Incarnation: victim.host.Self().Incarnation,
				State:       inventory.StateGone,
			})
		}
	})
}

// terminateHost shuts a host down gracefully. The repair starts another one.
func (r *run) terminateHost(_ context.Context, random *rand.Rand) func(context.Context) {
	up := r.hosts.list()
	victim := up[random.IntN(len(up))]
	r.hosts.remove(victim)
	victim.cancel()
	return func(ctx context.Context) {
		<-victim.done
		r.replaceHost(ctx)
	}
}

func (r *run) replaceHost(context.Context) {
	_ = r.hosts.start() // fewer hosts carry the load if it fails
}

// batchWorker returns a worker without backend servers, which is busiest with
// tasks.
func (r *run) batchWorker(random *rand.Rand) *standin.Worker {
	return r.site.Workers[serversPerDataCentre+random.IntN(workersPerDataCentre-serversPerDataCentre)]
}

func (r *run) killWorker(_ context.Context, random *rand.Rand) func(context.Context) {
	victim := r.batchWorker(random)
	victim.Kill()
	r.setWorkers(inventory.StateGone, victim.Info().ID)
	return func(context.Context) {
		victim.Restart()
		r.setWorkers(inventory.StateLive, victim.Info().ID)
	}
}

func (r *run) setWorkers(state inventory.HostState, ids ...fleet.WorkerID) {
	r.site.HostList.Update(func(l *inventory.HostList) {
		for i := range l.Workers {
			if slices.Contains(ids, l.Workers[i].ID) {
				l.Workers[i].State = state
			}
		}
	})
}

func workerFault(f standin.WorkerFaults) func(*run, context.Context, *rand.Rand) func(context.Context) {
	return func(r *run, _ context.Context, random *rand.Rand) func(context.Context) {
		victim := r.batchWorker(random)
		victim.SetFaults(f)
		return func(context.Context) { victim.SetFaults(standin.WorkerFaults{}) }
	}
}

func backendFault(f standin.BackendFaults) func(*run, context.Context, *rand.Rand) func(context.Context) {
	return func(r *run, _ context.Context, random *rand.Rand) func(context.Context) {
		victim := r.site.Backends[random.IntN(len(r.site.Backends))]
		victim.SetFaults(f)
		return func(context.Context) { victim.SetFaults(standin.BackendFaults{}) }
	}
}

func (r *run) backendLeaving(_ context.Context, random *rand.Rand) func(context.Context) {
	victim := r.site.Backends[random.IntN(len(r.site.Backends))].Info().ID
	r.setBackend(victim, inventory.StateLeaving)
	return func(context.Context) { r.setBackend(victim, inventory.StateLive) }
}

func (r *run) setBackend(id fleet.ServerID, state inventory.HostState) {
	r.site.HostList.Update(func(l *inventory.HostList) {
		for i := range l.Servers {
			if l.Servers[i].ID == id {
				l.Servers[i].State = state
			}
		}
	})
}

// dataCentreOut takes the last data centre out; the repair takes it in.
func (r *run) dataCentreOut(ctx context.Context, _ *rand.Rand) func(context.Context) {
	r.setDataCentre(ctx, settings.DataCentreOutOfService)
	return func(ctx context.Context) { r.setDataCentre(ctx, settings.DataCentreInService) }
}

// setDataCentre repeats the call under one change ID until its outcome is
// known or ctx ends.
func (r *run) setDataCentre(ctx context.Context, state settings.DataCentreState) {
	dc := dataCentres[len(dataCentres)-1]
	req := api.StateRequest{ID: changeID(), State: state}
	if state == settings.DataCentreInService {
		r.site.Records.SetOutOfService(dc, false)
	}
	for ctx.Err() == nil {
		if rec, err := r.hosts.client().SetState(ctx, dc, req); err == nil {
			r.site.Records.SetOutOfService(dc, state == settings.DataCentreOutOfService)
			r.force.accepted(rec.Revision)
			return
		}
		_ = wait.For(ctx, pollInterval)
	}
}

// operatorsRace makes two operators change settings at once, against the same
// revision, at different hosts.
func (r *run) operatorsRace(ctx context.Context, _ *rand.Rand) func(context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i, h := range r.hosts.list() {
			client := api.NewClient("http://"+h.host.OperatorsAddress(), "")
			value := []byte{'1', '0', byte('0' + i)}
			r.set(ctx, client, value)
		}
	}()
	r.set(ctx, r.hosts.client(), []byte("200"))
	return func(context.Context) { <-done }
}

// set makes one change, which may lose the race.
func (r *run) set(ctx context.Context, client *api.Client, value []byte) {
	req := api.SetRequest{ID: changeID(), Path: "values.queue_length", Value: value}
	if rec, err := client.Set(ctx, req); err == nil {
		r.force.accepted(rec.Revision)
	}
}
