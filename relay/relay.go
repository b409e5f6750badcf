// Package relay forwards callers' requests from a host that can't use the store
// to the host that owns dispatching, which can.
package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/workload"
	"github.com/fuchsiahill/fuchsiahill/workspace"
)

// callTimeout bounds a relayed request. The owner's store call takes up to 0.9 s,
// and half of a caller's 3 s must be left for another host.
const callTimeout = 1200 * time.Millisecond

// Methods of calls between hosts.
const (
	methodSubmit = "relay.submit"
	methodCancel = "relay.cancel"
	methodState  = "relay.state"
)

// Service carries out callers' requests on the local host. It checks again who calls. Its
// errors are those of package intake and *workspace.UnauthorizedError.
type Service interface {
	Submit(ctx context.Context, caller workspace.Caller, job *workload.Job) error
	Cancel(caller workspace.Caller, id fleet.JobID, queue string) error
	State(caller workspace.Caller, id fleet.JobID, queue string) (workload.State, error)
	// Version returns the version of the configuration by which callers are told apart; 0:
	// they are not.
	Version() int64
}

// NotRelayedError reports a request that definitely reached no other host.
type NotRelayedError struct{ Cause error }

func (e *NotRelayedError) Error() string { return "relay: not relayed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotRelayedError) Unwrap() error { return e.Cause }

// errNoOwner says that this host knows of no other host that dispatches.
var errNoOwner = errors.New("no other host is known to own dispatching")

// outcome is the outcome of a relayed request.
type outcome string

const (
	done     outcome = "done"
	refused  outcome = "refused"
	notFound outcome = "missing"
	unknown  outcome = "unknown"
	// unauthorized means that the caller has no valid key.
	unauthorized outcome = "unauthorized"
)

// wireCaller is a caller whose key the relaying host has checked. It carries the digest
// of the key.
type wireCaller struct {
	Workspace string `json:"workspace,omitempty"`
	Keys      int    `json:"keys,omitempty"` // number of keys in the request
	Digest    []byte `json:"digest,omitempty"`
	Version   int64  `json:"version,omitempty"` // of the configuration that was checked against
}

func encodeCaller(c workspace.Caller) *wireCaller {
	if c == (workspace.Caller{}) {
		return nil
	}
	w := &wireCaller{Workspace: c.Workspace, Keys: c.Credential.Keys, Version: c.Version}
	if w.Keys > 0 {
		w.Digest = c.Credential.Digest[:]
	}
	return w
}

// decode returns the caller. One of a malformed digest has no key.
func (w *wireCaller) decode() workspace.Caller {
	if w == nil {
		return workspace.Caller{}
	}
	c := workspace.Caller{Workspace: w.Workspace, Version: w.Version}
	if len(w.Digest) == len(c.Credential.Digest) {
		c.Credential.Keys = w.Keys
		copy(c.Credential.Digest[:], w.Digest)
	}
	return c
}

// submitRequest is a submission.
type submitRequest struct {
	workload.Job
	Caller *wireCaller `json:"caller,omitempty"` // nil: the zero caller
}

// jobRequest identifies a job.
type jobRequest struct {
	ID     fleet.JobID `json:"id"`
	Queue  string      `json:"queue"`
	Caller *wireCaller `json:"caller,omitempty"` // nil: the zero caller
}

// reply is the response of each method.
type reply struct {
	Outcome      outcome        `json:"outcome"`
	State        workload.State `json:"state,omitempty"` // of methodState
	Reason       string         `json:"reason,omitempty"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	// Version is that of the configuration by which callers were told apart; 0: they were
	// not.
	Version int64 `json:"version,omitempty"`
}

// Register registers the handlers with which other hosts relay requests to a
// service.
func Register(r peer.Registry, service Service) {
	peer.Register(r, methodSubmit, func(ctx context.Context, _ fleet.HostID, req submitRequest) (reply, error) {
		return newReply(service, service.Submit(ctx, req.Caller.decode(), &req.Job)), nil
	})
	peer.Register(r, methodCancel, func(_ context.Context, _ fleet.HostID, req jobRequest) (reply, error) {
		return newReply(service, service.Cancel(req.Caller.decode(), req.ID, req.Queue)), nil
	})
	peer.Register(r, methodState, func(_ context.Context, _ fleet.HostID, req jobRequest) (reply, error) {
		state, err := service.State(req.Caller.decode(), req.ID, req.Queue)
		rep := newReply(service, err)
		rep.State = state
		return rep, nil
	})
}

// newReply returns a service's reply for an error of package intake, or for nil.
func newReply(service Service, err error) reply {
	rep := outcomeOf(err)
	rep.Version = max(rep.Version, service.Version())
	return rep
}

func outcomeOf(err error) reply {
	var refusal *intake.RefusedError
	var noSuchJob *intake.JobNotFoundError
	var noValidKey *workspace.UnauthorizedError
	switch {
	case err == nil:
		return reply{Outcome: done}
	case errors.As(err, &noValidKey):
		return reply{Outcome: unauthorized, Reason: string(noValidKey.Reason), Version: noValidKey.Version}
	case errors.As(err, &refusal):
		return reply{Outcome: refused, Reason: refusal.Reason, RetryAfterMS: refusal.RetryAfter.Milliseconds()}
	case errors.As(err, &noSuchJob):
		return reply{Outcome: notFound}
	default:
		return reply{Outcome: unknown, Reason: err.Error()}
	}
}

// toError returns the error of package intake for a reply about a job, or nil.
func (r reply) toError(id fleet.JobID) error {
	switch r.Outcome {
	case done:
		return nil
	case refused:
		return &intake.RefusedError{Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond}
	case notFound:
		return &intake.JobNotFoundError{ID: id}
	case unauthorized:
		return &workspace.UnauthorizedError{Reason: workspace.Reason(r.Reason), Version: r.Version}
	default:
		return &intake.UnknownOutcomeError{Cause: fmt.Errorf("relayed: %s", r.Reason)}
	}
}

// Relay forwards requests to the owner of dispatching. It is safe for concurrent
// use. Its errors are those of package intake, *workspace.UnauthorizedError and
// *NotRelayedError.
type Relay struct {
	peers peer.Caller
	owner func() (fleet.HostID, bool) // false: no owner other than this host
	// noteVersion is called with the version of the configuration by which a request was
	// carried out: this host must not go back behind it.
	noteVersion func(version int64)
}

// New returns a relay to the host that owner returns. It calls noteVersion with the version
// of the configuration by which another host has carried out a request.
func New(peers peer.Caller, owner func() (fleet.HostID, bool), noteVersion func(int64)) *Relay {
	return &Relay{peers: peers, owner: owner, noteVersion: noteVersion}
}

// Submit relays a submission.
func (r *Relay) Submit(ctx context.Context, caller workspace.Caller, job *workload.Job) error {
	_, err := r.call(ctx, methodSubmit, job.ID, submitRequest{Job: *job, Caller: encodeCaller(caller)})
	return err
}

// Cancel relays a cancellation.
func (r *Relay) Cancel(ctx context.Context, caller workspace.Caller, id fleet.JobID, queue string) error {
	_, err := r.call(ctx, methodCancel, id, jobRequest{ID: id, Queue: queue, Caller: encodeCaller(caller)})
	return err
}

// State relays a query for a job's state.
func (r *Relay) State(ctx context.Context, caller workspace.Caller, id fleet.JobID, queue string) (workload.State, error) {
	rep, err := r.call(ctx, methodState, id, jobRequest{ID: id, Queue: queue, Caller: encodeCaller(caller)})
	return rep.State, err
}

// call sends a request to the owner and returns its reply.
func (r *Relay) call(ctx context.Context, method string, id fleet.JobID, request any) (reply, error) {
	host, ok := r.owner()
	if !ok {
		return reply{}, &NotRelayedError{Cause: errNoOwner}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var rep reply
	err := r.peers.Call(ctx, host, method, request, &rep)
	var uncertain *peer.UnknownOutcomeError
	var remote *peer.RemoteError
	switch {
	case err == nil:
		r.noteVersion(rep.Version)
		return rep, rep.toError(id)
	case errors.As(err, &uncertain), errors.As(err, &remote) && remote.Kind == peer.KindInternal:
		return reply{}, &intake.UnknownOutcomeError{Cause: err}
	default: // unreachable, or refused before a handler ran
		return reply{}, &NotRelayedError{Cause: err}
	}
}
