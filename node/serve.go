package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/relay"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// storeRetry is what callers are told to wait while the store turns this host
// away. Source: the shortest Retry-After there is.
const storeRetry = time.Second

// Config implements platform.Jobs.
func (n *Node) Config() *workload.Config {
	c := n.config.Load()
	if c == nil {
		return nil
	}
	return c.Config
}

// Submit implements platform.Jobs.
func (n *Node) Submit(ctx context.Context, job *workload.Job) error {
	return n.serve(http.MethodPost, job.ID,
		func() error { return here{n}.Submit(ctx, job) },
		func() error { return n.relay.Submit(ctx, job) })
}

// State implements platform.Jobs.
func (n *Node) State(ctx context.Context, id fleet.JobID, queue string) (state workload.State, err error) {
	if state, ok := n.intake.CachedState(id, queue); ok {
		return state, nil
	}
	err = n.serve(http.MethodGet, id,
		func() error { state, err = here{n}.State(id, queue); return err },
		func() error { state, err = n.relay.State(ctx, id, queue); return err })
	return state, err
}

// Cancel implements platform.Jobs.
func (n *Node) Cancel(ctx context.Context, id fleet.JobID, queue string) error {
	return n.serve(http.MethodDelete, id,
		func() error { return here{n}.Cancel(id, queue) },
		func() error { return n.relay.Cancel(ctx, id, queue) })
}

// Pending implements platform.Jobs.
func (n *Node) Pending(queue string) (int, error) {
	if n.intake.StoreUnavailable() {
		return 0, &intake.RefusedError{Reason: "no contact with the store", RetryAfter: storeRetry, StoreUnavailable: true}
	}
	return n.intake.Pending(queue), nil
}

// RequestServed implements platform.Jobs.
func (n *Node) RequestServed(a platform.ServedRequest) {
	method := strings.ToLower(a.Method)
	n.metrics.Observe("answer_"+method, a.Elapsed)
	n.metrics.Count(fmt.Sprintf("answers_%s_%d", method, a.Status), 1)
	if a.Method == http.MethodGet && a.Status == http.StatusOK {
		return
	}
	fresh, _ := n.shared.LastSync()
	n.logger.Event("answer", "method", a.Method, "job", a.JobID, "queue", a.Queue, "status", a.Status, "took", a.Elapsed,
		"reason", a.Reason, "retry_after", a.RetryAfter, "view_age", steady.Now()-fresh)
}

// here carries out requests on this host alone, as relay.Service.
type here struct{ n *Node }

// Submit makes a job durable, unless it can't be served.
func (h here) Submit(ctx context.Context, job *workload.Job) error {
	n := h.n
	if n.intake.StoreUnavailable() {
		return &intake.RefusedError{Reason: "no contact with the store", RetryAfter: storeRetry, StoreUnavailable: true}
	}
	cfg := n.Config()
	if cfg == nil {
		return &intake.RefusedError{Reason: "no configuration yet", RetryAfter: storeRetry}
	}
	q, ok := cfg.Queue(job.Queue)
	if !ok {
		return &intake.RefusedError{Reason: "the queue is not in the configuration", RetryAfter: storeRetry}
	}
	if load := n.load.Load(); load != nil {
		if refused := intake.Admit(q, job, *load, time.Now()); refused != nil && !n.intake.MayExist(job.ID) {
			return refused
		}
	}
	return n.intake.Submit(ctx, job)
}

// Cancel implements relay.Service.
func (h here) Cancel(id fleet.JobID, queue string) error { return h.n.intake.Cancel(id, queue) }

// State implements relay.Service.
func (h here) State(id fleet.JobID, queue string) (workload.State, error) {
	return h.n.intake.State(id, queue)
}

// relayTarget names the host to which requests are relayed.
func (n *Node) relayTarget() (fleet.HostID, bool) {
	claim, ok := n.owner.LastClaim()
	return claim.Host, ok && claim.Peer != "" && claim.Host != n.settings.Host
}

// peerAddress finds the owner's host.
func (n *Node) peerAddress(id fleet.HostID) (string, bool) {
	claim, ok := n.owner.LastClaim()
	return claim.Peer, ok && claim.Host == id
}

// serve carries a request out on this host or on the owner's.
func (n *Node) serve(method string, id fleet.JobID, local, relayed func() error) error {
	lost := n.shared.Disconnected()
	return carryOut(lost, local, func() error {
		err := relayed()
		n.logger.Event("request_relayed", "method", method, "job", id, "store_lost", lost, "outcome", err)
		return err
	})
}

// carryOut carries a request out here and, if the store does not take it from
// this host, on the owner's; the owner itself tries again. While the last poll
// of the store has failed, the owner comes first. It answers stores that turn
// single hosts away or whose answers are lost.
func carryOut(lost bool, local, relayed func() error) error {
	var first error
	if !lost {
		if first = local(); !isStoreTrouble(first) {
			return first
		}
	}
	second := relayed()
	var notRelayed *relay.NotRelayedError
	if errors.As(second, &notRelayed) {
		if !lost && !isUncertain(first) {
			return first
		}
		second = local()
	}
	if isUncertain(first) && !isSettled(second) {
		return first // what was tried first may still be applied
	}
	return second
}

// isStoreTrouble reports whether another host may succeed.
func isStoreTrouble(err error) bool {
	var refused *intake.RefusedError
	return errors.As(err, &refused) && refused.StoreUnavailable || isUncertain(err)
}

func isUncertain(err error) bool {
	var uncertain *intake.UnknownOutcomeError
	return errors.As(err, &uncertain)
}

// isSettled reports whether an outcome holds whatever was tried before: done,
// or no such job.
func isSettled(err error) bool {
	var noJob *intake.JobNotFoundError
	return err == nil || errors.As(err, &noJob)
}
