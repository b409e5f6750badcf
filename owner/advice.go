package owner

import (
	"context"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// askInterval is how often questions for advice are looked for. Source: a
	// plan comes each 8 ms.
	askInterval = 10 * time.Millisecond
	// noAdviceInterval is how often while no queue has advice.
	noAdviceInterval = 500 * time.Millisecond
)

// adviceLoop asks which workers may run the steps of queues with advice, one
// question after the other, as the service has it.
func (r *reign) adviceLoop(ctx context.Context) {
	if r.deps.Settings.AdviceAddress == "" {
		return
	}
	advice := platform.NewAdviceClient(r.deps.Settings.AdviceAddress)
	for wait.For(ctx, r.askPause()) == nil {
		r.mu.Lock()
		questions := r.machine.TakeAdviceRequests()
		r.mu.Unlock()
		for _, q := range questions {
			sent := steady.Now()
			good, valid, err := advice.Tickets(q.Step, q.Workers)
			if err != nil {
				good = nil
				r.deps.Log("advice_failed", "job", q.Step.Job, "step", q.Step.StepName(), "workers", len(q.Workers), "err", err)
			}
			r.mu.Lock()
			r.machine.AdviceAnswered(q, good, valid, sent)
			r.mu.Unlock()
			r.wake()
		}
	}
}

func (r *reign) askPause() time.Duration {
	cfg := r.owner.config.Load()
	if cfg != nil && slices.ContainsFunc(cfg.Queues, func(q workload.Queue) bool { return q.Advice != nil }) {
		return askInterval
	}
	return noAdviceInterval
}
