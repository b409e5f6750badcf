package owner

import (
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

// tellLoop tells all hosts the load while work waits, and once when it ends.
func (r *reign) tellLoop(ctx context.Context) {
	told := false
	for wait.For(ctx, tellInterval) == nil {
		r.mu.Lock()
		waiting := r.machine.Waiting(steady.Now())
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

func (r *reign) tellLoad(waiting map[string]dispatch.QueueBacklog) error {
	load := intake.Load{AtMS: time.Now().UnixMilli(), Queues: make(map[string]intake.QueueLoad, len(waiting))}
	for queue, b := range waiting {
		ql := intake.QueueLoad{Rate: b.Rate, Ratio: b.Ratio}
		for _, s := range b.Sizes {
			ql.Ahead = append(ql.Ahead, intake.Backlog{Size: s.Size, Work: s.Work})
		}
		load.Queues[queue] = ql
	}
	value, err := json.Marshal(load)
	if err != nil {
		return err
	}
	_, err = r.deps.Store.Commit(store.Txn{
		Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}},
		Puts:   []store.Put{{Key: intake.LoadKey, Value: value}},
	})
	return err
}
