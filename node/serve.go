package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/relay"
	"github.com/fuchsiahill/fuchsiahill/workload"
	"github.com/fuchsiahill/fuchsiahill/workspace"
)

// storeRetryAfter is the Retry-After value while this host can't use the store:
// the shortest one that Retry-After can express.
const storeRetryAfter = time.Second

// Config implements platform.Jobs.
func (n *Node) Config() *workload.Config {
	c := n.config.Load()
	if c == nil {
		return nil
	}
	return c.Config
}

// Identify implements platform.Jobs.
func (n *Node) Identify(queue string, c workspace.Credential) (workspace.Caller, error) {
	d, err := n.directory()
	if err != nil {
		return workspace.Caller{}, err
	}
	return d.Identify(queue, c)
}

// confirm checks a caller again, against the newest configuration that this host knows.
func (n *Node) confirm(caller workspace.Caller, queue string) (workspace.Caller, error) {
	d, err := n.directory()
	if err != nil {
		return caller, err
	}
	return d.Confirm(queue, caller)
}

// Submit implements platform.Jobs.
func (n *Node) Submit(ctx context.Context, caller workspace.Caller, job *workload.Job) error {
	caller, err := n.confirm(caller, job.Queue) // its key may have been removed while the body was read
	if err != nil {
		return err
	}
	return n.serveLocalOrRelayed(http.MethodPost, job.ID,
		func() error { return localService{n}.Submit(ctx, caller, job) },
		func() error { return n.relay.Submit(ctx, caller, job) })
}

// State implements platform.Jobs.
func (n *Node) State(ctx context.Context, caller workspace.Caller, id fleet.JobID, queue string) (state workload.State, err error) {
	if state, ok := n.intake.CachedState(caller, id, queue); ok {
		return state, nil
	}
	err = n.serveLocalOrRelayed(http.MethodGet, id,
		func() error { state, err = localService{n}.State(caller, id, queue); return err },
		func() error { state, err = n.relay.State(ctx, caller, id, queue); return err })
	return state, err
}

// Cancel implements platform.Jobs.
func (n *Node) Cancel(ctx context.Context, caller workspace.Caller, id fleet.JobID, queue string) error {
	return n.serveLocalOrRelayed(http.MethodDelete, id,
		func() error { return localService{n}.Cancel(caller, id, queue) },
		func() error { return n.relay.Cancel(ctx, caller, id, queue) })
}

// Pending implements platform.Jobs.
func (n *Node) Pending(queue string) (int, error) {
	if n.intake.StoreUnavailable() {
		return 0, &intake.RefusedError{Reason: "no contact with the store", RetryAfter: storeRetryAfter, StoreUnavailable: true}
	}
	return n.intake.Pending(queue), nil
}

// RequestServed implements platform.Jobs.
func (n *Node) RequestServed(a platform.ServedRequest) {
	method := strings.ToLower(a.Method)
	n.metrics.Observe("answer_"+method, a.Elapsed)
	n.metrics.Count(fmt.Sprintf("answers_%s_%d", method, a.Status), 1)
	if a.Unauthorized != nil {
		n.metrics.Count("unauthorized_"+string(a.Unauthorized.Reason), 1)
	}
	if a.Workspace != "" {
		n.metrics.Count(fmt.Sprintf("workspace_answers_%s_%d", n.labels.Of(a.Workspace), a.Status), 1)
	}
	if a.Method == http.MethodGet && a.Status == http.StatusOK {
		return
	}
	lastSync, _ := n.shared.LastSync()
	line := []any{"method", a.Method, "job", a.JobID, "queue", a.Queue, "status", a.Status, "took", a.Elapsed,
		"reason", a.Reason, "retry_after", a.RetryAfter, "view_age", steady.Now() - lastSync}
	if a.Workspace != "" {
		line = append(line, "workspace", a.Workspace)
	}
	if a.Unauthorized != nil {
		line = append(line, "config_version", a.Unauthorized.Version)
	}
	n.logger.Event("answer", line...)
}

// localService implements relay.Service by carrying out requests on this host
// only.
type localService struct{ n *Node }

// Submit implements relay.Service. It refuses jobs that admission control rejects,
// unless they may have been accepted before.
func (h localService) Submit(ctx context.Context, caller workspace.Caller, job *workload.Job) error {
	n := h.n
	caller, err := n.confirm(caller, job.Queue)
	if err != nil {
		return err
	}
	attempt := *job // another attempt may still be under way, by another configuration
	attempt.Workspace = caller.Workspace
	job = &attempt
	if n.intake.StoreUnavailable() {
		return &intake.RefusedError{Reason: "no contact with the store", RetryAfter: storeRetryAfter, StoreUnavailable: true}
	}
	cfg := n.Config()
	if cfg == nil {
		return &intake.RefusedError{Reason: "no configuration yet", RetryAfter: storeRetryAfter}
	}
	q, ok := cfg.Queue(job.Queue)
	if !ok {
		return &intake.RefusedError{Reason: "the queue is not in the configuration", RetryAfter: storeRetryAfter}
	}
	if refused := n.admit(cfg, q, job); refused != nil {
		exists, err := n.intake.MayExist(caller, job.ID)
		if err != nil {
			return err
		}
		if !exists {
			n.recordRefusal(job, refused)
			return refused
		}
	}
	err = n.intake.Submit(ctx, caller, job)
	n.recordRefusal(job, err)
	return err
}

// admit decides by the configuration and the published load whether a new job is admitted.
// Errors are *intake.TooWideError and *intake.RefusedError.
func (n *Node) admit(cfg *workload.Config, q *workload.Queue, job *workload.Job) error {
	w, ok := cfg.Workspace(job.Workspace)
	if ok {
		if err := intake.CheckWidth(w, job, cfg.Version); err != nil {
			return err
		}
	}
	load := n.load.Load()
	if load == nil {
		return nil
	}
	var refused *intake.RefusedError
	if ok {
		refused = intake.AdmitForWorkspace(q, w, job, *load, time.Now())
	} else {
		refused = intake.Admit(q, job, *load, time.Now())
	}
	if refused == nil {
		return nil
	}
	return refused
}

// recordRefusal logs and counts a job that is refused because it would end too late to be
// of use, or for want of memory.
func (n *Node) recordRefusal(job *workload.Job, err error) {
	var refused *intake.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	if refused.OutOfMemory {
		n.metrics.Count("jobs_refused_memory", 1)
		n.logger.Event("job_refused_memory", "job", job.ID, "queue", job.Queue, "source", job.Source, "bytes", dispatch.JobBytes(job), "retry_after", refused.RetryAfter, "reason", refused.Reason)
	}
	if refused.Prediction == nil {
		return
	}
	p := refused.Prediction
	n.metrics.Count("jobs_refused_too_late", 1)
	n.logger.Event("job_refused_too_late", "job", job.ID, "queue", job.Queue, "end", p.End, "useful", p.Useful, "before", p.Work,
		"arrival_rate", p.ArrivalRate, "throughput", p.Throughput, "retry_after", refused.RetryAfter)
}

// Cancel implements relay.Service.
func (h localService) Cancel(caller workspace.Caller, id fleet.JobID, queue string) error {
	caller, err := h.n.confirm(caller, queue)
	if err != nil {
		return err
	}
	return h.n.intake.Cancel(caller, id, queue)
}

// State implements relay.Service.
func (h localService) State(caller workspace.Caller, id fleet.JobID, queue string) (workload.State, error) {
	caller, err := h.n.confirm(caller, queue)
	if err != nil {
		return "", err
	}
	return h.n.intake.State(caller, id, queue)
}

// Version implements relay.Service.
func (h localService) Version() int64 {
	if c := h.n.config.Load(); c != nil && c.KeysRequired {
		return c.Version
	}
	return 0
}

// relayTarget returns the host to which requests are relayed, and whether there is
// one.
func (n *Node) relayTarget() (fleet.HostID, bool) {
	claim, ok := n.owner.LastClaim()
	return claim.Host, ok && claim.Peer != "" && claim.Host != n.settings.Host
}

// peerAddress returns the peer address of the owner's host or a seed; it knows no other.
func (n *Node) peerAddress(id fleet.HostID) (string, bool) {
	if claim, ok := n.owner.LastClaim(); ok && claim.Host == id {
		return claim.Peer, true
	}
	return n.seeds.address(id)
}

// serveLocalOrRelayed carries out a request on this host or on the owner's host.
func (n *Node) serveLocalOrRelayed(method string, id fleet.JobID, local, relayed func() error) error {
	disconnected := n.shared.Disconnected()
	return localOrRelayed(disconnected, local, func() error {
		err := relayed()
		n.logger.Event("request_relayed", "method", method, "job", id, "store_lost", disconnected, "outcome", err)
		return err
	})
}

// localOrRelayed carries out a request on this host and, if that fails because of
// the store, on the owner's host. If there is no other host to relay to, as on the
// owner itself, a request with an unknown outcome is retried locally. While
// disconnected (the last poll of the store failed), the owner is tried first. This
// covers stores that refuse single hosts and stores whose responses are lost.
func localOrRelayed(disconnected bool, local, relayed func() error) error {
	var first error
	if !disconnected {
		if first = local(); !isStoreFailure(first) {
			return first
		}
	}
	second := relayed()
	var notRelayed *relay.NotRelayedError
	if errors.As(second, &notRelayed) {
		if !disconnected && !isUnknownOutcome(first) {
			return first
		}
		second = local()
	}
	if isUnknownOutcome(first) && !isConclusive(second) {
		return first // the first attempt may still be applied
	}
	return second
}

// isStoreFailure reports whether a request failed because of the store, so that
// another host may succeed.
func isStoreFailure(err error) bool {
	var refused *intake.RefusedError
	return errors.As(err, &refused) && refused.StoreUnavailable || isUnknownOutcome(err)
}

// isUnknownOutcome reports whether a request may or may not have taken effect.
func isUnknownOutcome(err error) bool {
	var uncertain *intake.UnknownOutcomeError
	return errors.As(err, &uncertain)
}

// isConclusive reports whether an outcome is valid regardless of an earlier
// attempt: success, or no such job.
func isConclusive(err error) bool {
	var notFound *intake.JobNotFoundError
	return err == nil || errors.As(err, &notFound)
}
