package dev

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const (
	storeOutage  = 2 * time.Second
	hostBack     = time.Second
	workerBack   = 3 * time.Second
	lostReplies  = 2
	defaultScale = 15 * time.Second // of the fault plan, for a run without an end
)

// fault is one failure at a moment of the run, as a share of its length.
type fault struct {
	name  string
	at    float64
	bring func(r *run, ctx context.Context, random *rand.Rand)
}

// plan is the order in which faults come.
func plan() []fault {
	return []fault{
		{"store outage", 0.15, (*run).storeOutage},
		{"host death", 0.35, (*run).hostDeath},
		{"worker death", 0.50, (*run).workerDeath},
		{"data centre out", 0.60, (*run).dataCentreOut},
		{"data centre in", 0.85, (*run).dataCentreIn},
	}
}

// bringFaults brings the plan about and returns what it did.
func (r *run) bringFaults(ctx context.Context) []string {
	scale := r.opts.For
	if scale == 0 {
		scale = defaultScale
	}
	random := rand.New(rand.NewPCG(r.opts.Seed, r.opts.Seed+1))
	began := time.Now()
	var brought []string
	for _, f := range plan() {
		pause(ctx, time.Until(began.Add(time.Duration(f.at*float64(scale)))))
		if ctx.Err() != nil {
			return brought
		}
		f.bring(r, ctx, random)
		brought = append(brought, f.name)
	}
	return brought
}

// storeOutage takes the store down and loses replies when it returns.
func (r *run) storeOutage(ctx context.Context, _ *rand.Rand) {
	r.site.Store.SetFaults(standin.StoreFaults{Down: true})
	pause(ctx, storeOutage)
	r.site.Store.SetFaults(standin.StoreFaults{LoseReply: lostReplies})
}

// hostDeath kills a host and starts another one. The platform's list shows
// the end after its lag.
func (r *run) hostDeath(ctx context.Context, random *rand.Rand) {
	up := r.hosts.list()
	victim := up[random.IntN(len(up))]
	r.hosts.kill(victim)
	<-victim.done
	r.site.HostList.Update(func(l *platform.HostList) {
		l.EntryHosts = append(l.EntryHosts, platform.EntryHost{
			ID:          victim.cfg.ID,
			Incarnation: victim.host.Self().Incarnation,
			State:       platform.StateGone,
		})
	})
	pause(ctx, hostBack)
	_ = r.hosts.start() // fewer hosts carry the load if it fails
}

// workerDeath kills a worker without backend servers and brings it back.
func (r *run) workerDeath(ctx context.Context, random *rand.Rand) {
	victim := r.site.Workers[serversPerDataCentre+random.IntN(workersPerDataCentre-serversPerDataCentre)]
	victim.Kill()
	r.setWorker(victim.Info().ID, platform.StateGone)
	time.AfterFunc(workerBack, func() {
		victim.Restart()
		r.setWorker(victim.Info().ID, platform.StateLive)
	})
}

func (r *run) setWorker(id fleet.WorkerID, state platform.HostState) {
	r.site.HostList.Update(func(l *platform.HostList) {
		for i := range l.Workers {
			if l.Workers[i].ID == id {
				l.Workers[i].State = state
			}
		}
	})
}

func (r *run) dataCentreOut(ctx context.Context, _ *rand.Rand) {
	r.setDataCentre(ctx, settings.DataCentreOut)
}

func (r *run) dataCentreIn(ctx context.Context, _ *rand.Rand) {
	r.setDataCentre(ctx, settings.DataCentreIn)
}

// setDataCentre takes the last data centre out or in, repeating the call under
// one change ID until its outcome is known.
func (r *run) setDataCentre(ctx context.Context, state settings.DataCentreState) {
	dc := dataCentres[len(dataCentres)-1]
	req := api.StateRequest{ID: changeID(), State: state}
	if state == settings.DataCentreIn {
		r.site.Records.SetOut(dc, false)
	}
	for ctx.Err() == nil {
		if _, err := r.hosts.client().SetState(ctx, dc, req); err == nil {
			r.site.Records.SetOut(dc, state == settings.DataCentreOut)
			return
		}
		pause(ctx, pollInterval)
	}
}

// String names a fault in logs.
func (f fault) String() string { return fmt.Sprintf("%s at %.0f%%", f.name, f.at*100) }
