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

// tellInterval is how often the load is told. Source: a burst comes within
// seconds; each telling is a priced call.
const tellInterval = time.Second

// lessonsInterval is how often what was learned is stored, if it has changed.
// Source: images are learned within seconds; each storing is a priced call.
const lessonsInterval = 3 * time.Second

// tellLoop tells all hosts the load while work waits, and once when it ends.
func (r *reign) tellLoop(ctx context.Context) {
	told := false
	for wait.For(ctx, tellInterval) == nil {
		r.mu.Lock()
		waiting := r.machine.Backlogs(steady.Now())
		r.mu.Unlock()
		if len(waiting) == 0 && !told {
			continue
		}
		if err := r.tellLoad(waiting); err != nil {
			r.deps.Log("load_not_told", "term", r.term, "err", err)
			continue
		}
		told = len(waiting) > 0
	}
}

// LoadFromBacklogs returns what all hosts are told of the waiting work.
func LoadFromBacklogs(waiting map[string]dispatch.QueueBacklog, unixMS int64) intake.Load {
	load := intake.Load{AtMS: unixMS, Queues: make(map[string]intake.QueueLoad, len(waiting))}
	for queue, b := range waiting {
		ql := intake.QueueLoad{Rate: b.Throughput, EstimateRatio: b.RunTimeRatio, MeanWork: b.MeanWork}
		for _, p := range b.Ranks {
			ql.Backlog = append(ql.Backlog, intake.BacklogPoint{Rank: p.Rank, Work: p.Work})
		}
		load.Queues[queue] = ql
	}
	return load
}

func (r *reign) tellLoad(waiting map[string]dispatch.QueueBacklog) error {
	value, err := json.Marshal(LoadFromBacklogs(waiting, time.Now().UnixMilli()))
	if err != nil {
		return err
	}
	_, err = r.deps.Store.Commit(store.Txn{
		Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}},
		Puts:   []store.Put{{Key: intake.LoadKey, Value: value}},
	})
	return err
}

// lessonsLoop stores what the machine has learned.
func (r *reign) lessonsLoop(ctx context.Context) {
	var stored []byte
	for wait.For(ctx, lessonsInterval) == nil {
		r.mu.Lock()
		lessons := r.machine.Estimates()
		r.mu.Unlock()
		value, err := json.Marshal(lessons)
		if err == nil && bytes.Equal(value, stored) {
			continue
		}
		if err == nil {
			_, err = r.deps.Store.Commit(store.Txn{
				Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}},
				Puts:   []store.Put{{Key: intake.EstimatesKey, Value: value}},
			})
		}
		if err != nil {
			r.deps.Log("lessons_not_stored", "term", r.term, "err", err)
			continue
		}
		stored = value
	}
}

// recall takes in what the former owner has learned. Work goes on without it.
func (r *reign) recall() {
	e, err := r.deps.Store.Get(intake.EstimatesKey)
	if isMissing(err) {
		return
	}
	var lessons dispatch.Estimates
	if err == nil {
		err = json.Unmarshal(e.Value, &lessons)
	}
	if err != nil {
		r.deps.Log("lessons_not_recalled", "term", r.term, "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.RestoreEstimates(lessons)
	r.deps.Log("lessons_recalled", "term", r.term, "revision", e.Revision, "queues", len(lessons.RunTimes), "pairs", len(lessons.Pressures))
}
