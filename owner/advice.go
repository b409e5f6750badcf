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
	// activeAdviceInterval is how often pending advice requests are sent while
	// a queue uses advice; plans, which create them, are at least 8 ms apart.
	activeAdviceInterval = 10 * time.Millisecond
	// idleAdviceInterval is how often the configuration is checked while no
	// queue uses advice.
	idleAdviceInterval = 500 * time.Millisecond
)

// adviceLoop asks the advice service which workers may run the steps of queues
// with advice. It sends one request at a time, as the service requires.
func (d *dispatcher) adviceLoop(ctx context.Context) {
	if d.deps.Settings.AdviceAddress == "" {
		return
	}
	advice := platform.NewAdviceClient(d.deps.Settings.AdviceAddress)
	for wait.For(ctx, d.adviceInterval()) == nil {
		d.mu.Lock()
		questions := d.machine.TakeAdviceRequests()
		d.mu.Unlock()
		for _, q := range questions {
			sent := steady.Now()
			tickets, valid, err := advice.Tickets(q.Step, q.Workers)
			if err != nil {
				tickets = nil
				d.deps.Log("advice_failed", "job", q.Step.Job, "step", q.Step.StepName(), "workers", len(q.Workers), "err", err)
			}
			d.mu.Lock()
			d.machine.AdviceAnswered(q, tickets, valid, sent)
			d.mu.Unlock()
			d.requestPlan()
		}
	}
}

// adviceInterval returns the time until the next check for advice requests.
func (d *dispatcher) adviceInterval() time.Duration {
	cfg := d.owner.config.Load()
	if cfg != nil && slices.ContainsFunc(cfg.Queues, func(q workload.Queue) bool { return q.Advice != nil }) {
		return activeAdviceInterval
	}
	return idleAdviceInterval
}
