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
	defaultScale = 15 * time.Second // length that the fault schedule is scaled to in a run without an end
)

// fault is a failure of the site. inject causes it and returns the function that
// repairs it.
type fault struct {
	name   string
	inject func(r *run, ctx context.Context, random *rand.Rand) (repair func(ctx context.Context))
}

// faults returns all failures that a run can inject.
func faults() []fault {
	return []fault{
		{"store down", storeFault(standin.StoreFaults{Down: true})},
		{"store slow", storeFault(standin.StoreFaults{Delay: slowStore})},
		{"store replies lost", storeFault(standin.StoreFaults{LoseReply: lostReplies})},
		{"store leases lapsed", (*run).expireLeases},
		{"host list down", (*run).failHostList},
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
		{"backend leaving", (*run).announceBackendLeaving},
		{"data centre out", (*run).takeDataCentreOut},
		{"operators race", (*run).raceOperators},
	}
}

// faultNamed returns the fault of that name.
func faultNamed(name string) fault {
	all := faults()
	i := slices.IndexFunc(all, func(f fault) bool { return f.name == name })
	return all[i]
}

// scheduledFault is a fault with its start and end, as shares of the length of a
// run.
type scheduledFault struct {
	fault       fault
	from, until float64
}

// faultSchedule returns the faults that `dev --faults` injects, in order of time.
func faultSchedule() []scheduledFault {
	return []scheduledFault{
		{faultNamed("store down"), 0.15, 0.28},
		{faultNamed("store replies lost"), 0.28, 0.32},
		{faultNamed("host killed"), 0.35, 0.40},
		{faultNamed("worker killed"), 0.50, 0.60},
		{faultNamed("data centre out"), 0.60, 0.85},
	}
}

// injectFaults injects the scheduled faults over the length of the load, one
// after the other, and returns the names of those injected.
func (r *run) injectFaults(ctx context.Context, schedule []scheduledFault) []string {
	scale := r.opts.For
	if scale == 0 {
		scale = defaultScale
	}
	random := rand.New(rand.NewPCG(r.opts.Seed, r.opts.Seed+1))
	started := time.Now()
	waitUntil := func(share float64) { _ = wait.For(ctx, time.Until(started.Add(time.Duration(share*float64(scale))))) }
	var injected []string
	for _, f := range schedule {
		waitUntil(f.from)
		if ctx.Err() != nil {
			return injected
		}
		repair := f.fault.inject(r, ctx, random)
		injected = append(injected, f.fault.name)
		waitUntil(f.until)
		repair(context.WithoutCancel(ctx))
	}
	return injected
}

func storeFault(f standin.StoreFaults) func(*run, context.Context, *rand.Rand) func(context.Context) {
	return func(r *run, _ context.Context, _ *rand.Rand) func(context.Context) {
		r.site.Store.SetFaults(f)
		return func(context.Context) { r.site.Store.SetFaults(standin.StoreFaults{}) }
	}
}

func (r *run) expireLeases(context.Context, *rand.Rand) func(context.Context) {
	r.site.Store.ExpireAllLeases()
	return func(context.Context) {}
}

func (r *run) failHostList(context.Context, *rand.Rand) func(context.Context) {
	r.site.HostList.SetDown(true)
	return func(context.Context) { r.site.HostList.SetDown(false) }
}

// killHost kills a host without notice; the platform's host list shows it after
// its lag. The repair starts another one.
func (r *run) killHost(_ context.Context, random *rand.Rand) func(context.Context) {
	running := r.hosts.list()
	r.killHosts(running[random.IntN(len(running))])
	return r.replaceHost
}

// killHosts kills hosts at the same moment.
func (r *run) killHosts(victims ...*entryHost) {
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
	running := r.hosts.list()
	victim := running[random.IntN(len(running))]
	r.hosts.remove(victim)
	victim.cancel()
	return func(ctx context.Context) {
		<-victim.done
		r.replaceHost(ctx)
	}
}

func (r *run) replaceHost(context.Context) {
	_ = r.hosts.start() // on failure the remaining hosts carry the load
}

// batchWorker returns a worker without backend servers, since those run the most
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

func (r *run) announceBackendLeaving(_ context.Context, random *rand.Rand) func(context.Context) {
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

// takeDataCentreOut takes the last data centre out of service; the repair puts
// it back.
func (r *run) takeDataCentreOut(ctx context.Context, _ *rand.Rand) func(context.Context) {
	r.setDataCentre(ctx, settings.DataCentreOutOfService)
	return func(ctx context.Context) { r.setDataCentre(ctx, settings.DataCentreInService) }
}

// setDataCentre repeats the call under one change ID until it succeeds or ctx
// ends.
func (r *run) setDataCentre(ctx context.Context, state settings.DataCentreState) {
	dc := dataCentres[len(dataCentres)-1]
	req := api.StateRequest{ID: changeID(), State: state}
	if state == settings.DataCentreInService {
		r.site.Records.SetOutOfService(dc, false)
	}
	for ctx.Err() == nil {
		if rec, err := r.hosts.client().SetState(ctx, dc, req); err == nil {
			r.site.Records.SetOutOfService(dc, state == settings.DataCentreOutOfService)
			r.monitor.recordAccepted(rec.Revision)
			return
		}
		_ = wait.For(ctx, pollInterval)
	}
}

// raceOperators makes two operators change settings at the same time, against
// the same revision, through different hosts.
func (r *run) raceOperators(ctx context.Context, _ *rand.Rand) func(context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i, h := range r.hosts.list() {
			client := api.NewClient("http://"+h.host.OperatorsAddress(), "")
			value := []byte{'1', '0', byte('0' + i)}
			r.setQueueLength(ctx, client, value)
		}
	}()
	r.setQueueLength(ctx, r.hosts.client(), []byte("200"))
	return func(context.Context) { <-done }
}

// setQueueLength makes one change, which may be rejected as a conflict.
func (r *run) setQueueLength(ctx context.Context, client *api.Client, value []byte) {
	req := api.SetRequest{ID: changeID(), Path: "values.queue_length", Value: value}
	if rec, err := client.Set(ctx, req); err == nil {
		r.monitor.recordAccepted(rec.Revision)
	}
}
