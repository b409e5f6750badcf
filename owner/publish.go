package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// loadInterval is how often the load is published. Bursts build up within
// seconds, and each publication is a billed store call.
const loadInterval = time.Second

// estimatesInterval is how often learned estimates are stored if they have
// changed. Estimates for images are learned within seconds, and each write is a
// billed store call.
const estimatesInterval = 3 * time.Second

// publishLoadLoop publishes the load to all hosts while work is waiting or services
// have most of their share of the capacity, and once more when neither holds.
func (d *dispatcher) publishLoadLoop(ctx context.Context) {
	published := false
	for wait.For(ctx, loadInterval) == nil {
		d.mu.Lock()
		now := steady.Now()
		ordinary, bestEffort := d.machine.Backlogs(now)
		serving, workspaces := d.machine.ServingRoom(now), d.machine.WorkspaceBacklogs(now)
		full := d.machine.CountHeldBack() > 0
		d.mu.Unlock()
		d.reportWorkspaces(workspaces)
		relevant := len(ordinary)+len(bestEffort)+len(workspaces) > 0 || serving.Scarce || full
		if !relevant && !published {
			continue
		}
		load := LoadFromBacklogs(ordinary, bestEffort, time.Now().UnixMilli())
		load.Workspaces, load.Full = WorkspaceLoads(workspaces), full
		if err := d.publishLoad(load, serving); err != nil {
			d.deps.Log("load_not_told", "term", d.term, "err", err)
			continue
		}
		published = relevant
	}
}

// LoadFromBacklogs returns the load to publish for the waiting work of each queue
// at a Unix time in ms.
func LoadFromBacklogs(ordinary, bestEffort map[string]dispatch.QueueBacklog, unixMS int64) intake.Load {
	return intake.Load{AtMS: unixMS, Queues: queueLoads(ordinary), BestEffort: queueLoads(bestEffort)}
}

func queueLoads(backlogs map[string]dispatch.QueueBacklog) map[string]intake.QueueLoad {
	loads := make(map[string]intake.QueueLoad, len(backlogs))
	for queue, b := range backlogs {
		ql := intake.QueueLoad{Throughput: b.Throughput, RunTimeRatio: b.RunTimeRatio, MeanWork: b.MeanWork}
		for _, p := range b.Backlog {
			ql.Backlog = append(ql.Backlog, intake.RankBacklog{Rank: p.Rank, Work: p.Work, ArrivalRate: p.ArrivalRate})
		}
		loads[queue] = ql
	}
	return loads
}

// publishLoad writes the load to the store.
func (d *dispatcher) publishLoad(load intake.Load, serving dispatch.ServingRoom) error {
	if serving.Scarce {
		load.Serving = &intake.ServingLoad{RoomMilliCores: serving.MilliCores, ReleaseRate: serving.ReleaseRate}
	}
	value, err := json.Marshal(load)
	if err != nil {
		return err
	}
	_, err = d.commitAlone(intake.LoadKey, store.Txn{Puts: []store.Put{{Key: intake.LoadKey, Value: value}}})
	return err
}

// storeEstimatesLoop stores the machine's learned estimates.
func (d *dispatcher) storeEstimatesLoop(ctx context.Context) {
	var stored []byte
	for wait.For(ctx, estimatesInterval) == nil {
		value, err := d.storeEstimates(stored)
		if err != nil {
			d.deps.Log("lessons_not_stored", "term", d.term, "err", err)
			continue
		}
		stored = value
	}
}

// storeEstimates stores the machine's learned estimates unless they are as stored before,
// and returns the stored value.
func (d *dispatcher) storeEstimates(stored []byte) ([]byte, error) {
	d.mu.Lock()
	estimates := d.machine.Estimates(steady.Now())
	d.mu.Unlock()
	value, err := json.Marshal(estimates)
	if err != nil || bytes.Equal(value, stored) {
		return stored, err
	}
	_, err = d.commitAlone(intake.EstimatesKey, store.Txn{Puts: []store.Put{{Key: intake.EstimatesKey, Value: value}}})
	return value, err
}

// restoreEstimates passes the former owner's learned estimates to the machine.
// They are optional: dispatching continues if they can't be read.
func (d *dispatcher) restoreEstimates() {
	e, err := d.deps.Store.Get(intake.EstimatesKey)
	if isNotFound(err) {
		return
	}
	var estimates dispatch.Estimates
	if err == nil {
		err = json.Unmarshal(e.Value, &estimates)
	}
	if err != nil {
		d.deps.Log("lessons_not_recalled", "term", d.term, "err", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.RestoreEstimates(estimates)
	d.deps.Log("lessons_recalled", "term", d.term, "revision", e.Revision, "queues", len(estimates.RunTimes), "pairs", len(estimates.Pressures))
}
