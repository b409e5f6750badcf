package queue

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

const (
	// ownerRetryDelay is how long a call waits for a shard to get a new owner
	// before its only retry.
	ownerRetryDelay = 500 * time.Millisecond
	// clientTimeout bounds a call. It is longer than the owner's commitTimeout
	// so that the owner times out first and can still report the outcome.
	clientTimeout = commitTimeout + 2*time.Second
)

// ClientDeps are the dependencies of a Client.
type ClientDeps struct {
	Peers    peer.Caller
	Shards   shard.Directory
	Settings settings.View
}

// Client implements job.Service on any entry host by calling the owner of the
// team's queue shard. It is safe for concurrent use.
type Client struct{ deps ClientDeps }

var _ job.Service = (*Client)(nil)

// NewClient returns a Client.
func NewClient(deps ClientDeps) *Client { return &Client{deps: deps} }

// shards returns the number of queue shards of a team, or 0 if the team is
// unknown.
func (c *Client) shards(team fleet.Team) int {
	return c.deps.Settings.Current().Teams()[team].Shards
}

// HomeShard returns the queue shard of a team that holds a job. It is chosen by
// rendezvous hashing of the job ID. shards must be positive.
func HomeShard(team fleet.Team, id fleet.JobID, shards int) shard.ID {
	nodes := make([]string, shards)
	for i := range nodes {
		nodes[i] = strconv.Itoa(i)
	}
	n := slices.Index(nodes, rendezvous.New(nodes, xxhash.Sum64String).Lookup(string(id)))
	return shard.NewID(shard.KindQueue, string(team), n)
}

// Submit implements job.Service.
func (c *Client) Submit(ctx context.Context, spec job.Spec) (job.Status, error) {
	shards := c.shards(spec.Team)
	if shards == 0 {
		return job.Status{}, invalid("team", "unknown")
	}
	home := HomeShard(spec.Team, spec.ID, shards)
	var reply StatusReply
	if err := c.call(ctx, home, MethodSubmit, SubmitRequest{Queue: home, Spec: spec}, &reply); err != nil {
		return job.Status{}, err
	}
	return reply.result()
}

// Get implements job.Service.
func (c *Client) Get(ctx context.Context, team fleet.Team, id fleet.JobID) (job.Status, error) {
	status, err := c.callForJob(ctx, MethodGet, team, id)
	return status, readError(err)
}

// Cancel implements job.Service.
func (c *Client) Cancel(ctx context.Context, team fleet.Team, id fleet.JobID) (job.Status, error) {
	return c.callForJob(ctx, MethodCancel, team, id)
}

// callForJob calls a method that takes a job ID and returns the job's status.
func (c *Client) callForJob(ctx context.Context, method string, team fleet.Team, id fleet.JobID) (job.Status, error) {
	shards := c.shards(team)
	if shards == 0 {
		return job.Status{}, eris.Wrap(&job.NotFoundError{ID: id}, "unknown team")
	}
	home := HomeShard(team, id, shards)
	var reply StatusReply
	if err := c.call(ctx, home, method, JobRequest{Queue: home, ID: id}, &reply); err != nil {
		return job.Status{}, err
	}
	return reply.result()
}

// result returns the status in the reply, or its error as one of package job.
func (r StatusReply) result() (job.Status, error) {
	switch {
	case r.Error != nil:
		return job.Status{}, eris.Wrap(r.Error.Err(), "queue")
	case r.Status == nil:
		return job.Status{}, eris.Wrap(&job.UnknownError{Cause: &RemoteCauseError{Reason: "empty reply"}}, "queue")
	default:
		return *r.Status, nil
	}
}

// List implements job.Service. Jobs are sorted by ID across all shards of the
// team.
func (c *Client) List(ctx context.Context, q job.ListQuery) (job.Page, error) {
	if q.Limit < 1 || q.Limit > maxPage {
		return job.Page{}, invalid("limit", "is not from 1 to "+strconv.Itoa(maxPage))
	}
	var pages []job.Page
	for n := range c.shards(q.Team) {
		page, err := c.listShard(ctx, shard.NewID(shard.KindQueue, string(q.Team), n), q)
		if err != nil {
			return job.Page{}, err
		}
		pages = append(pages, page)
	}
	return mergePages(pages, q.Limit), nil
}

// mergePages merges the pages of a team's shards into one of at most limit
// jobs. When a shard has further pages, jobs with IDs beyond the end of its
// page are left for the next merged page, so that no job is skipped.
func mergePages(pages []job.Page, limit int) job.Page {
	var merged job.Page
	for _, p := range pages {
		merged.Jobs = append(merged.Jobs, p.Jobs...)
		if p.Next != "" && (merged.Next == "" || p.Next < merged.Next) {
			merged.Next = p.Next
		}
	}
	slices.SortFunc(merged.Jobs, func(a, b job.Status) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	if merged.Next != "" {
		merged.Jobs = slices.DeleteFunc(merged.Jobs, func(s job.Status) bool { return string(s.Spec.ID) > merged.Next })
	}
	if len(merged.Jobs) > limit {
		merged.Jobs = merged.Jobs[:limit]
		merged.Next = string(merged.Jobs[limit-1].Spec.ID)
	}
	return merged
}

func (c *Client) listShard(ctx context.Context, id shard.ID, q job.ListQuery) (job.Page, error) {
	var reply ListReply
	request := ListRequest{Queue: id, After: fleet.JobID(q.After), Limit: q.Limit}
	err := c.call(ctx, id, MethodList, request, &reply)
	switch {
	case err != nil:
		return job.Page{}, readError(err)
	case reply.Error != nil:
		return job.Page{}, eris.Wrap(reply.Error.Err(), "queue")
	case reply.Page == nil:
		return job.Page{}, eris.Wrap(&job.UnavailableError{Reason: "empty reply", RetryAfter: retryAfter}, "queue")
	default:
		return *reply.Page, nil
	}
}

// call calls the owner of a shard. It retries once if the call did not reach an
// owner.
func (c *Client) call(ctx context.Context, id shard.ID, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	err := c.callOwner(ctx, id, method, request, reply)
	if !undelivered(err) {
		return callError(err)
	}
	timer := time.NewTimer(ownerRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return callError(err)
	case <-timer.C:
		return callError(c.callOwner(ctx, id, method, request, reply))
	}
}

func (c *Client) callOwner(ctx context.Context, id shard.ID, method string, request, reply any) error {
	owner, ok := c.deps.Shards.Owner(id)
	if !ok {
		return &NoOwnerError{Shard: id}
	}
	return c.deps.Peers.Call(ctx, owner.Host, method, request, reply)
}

// undelivered reports whether a call certainly had no effect because it did
// not reach the shard's owner, so that it may be retried.
func undelivered(err error) bool {
	var (
		noOwner     *NoOwnerError
		unreachable *peer.UnreachableError
		remote      *peer.RemoteError
	)
	return errors.As(err, &noOwner) || errors.As(err, &unreachable) ||
		errors.As(err, &remote) && remote.Kind == peer.KindNotOwner
}

// callError maps the failure of a call to an error of package job: failures
// that certainly had no effect to *job.UnavailableError, all others to
// *job.UnknownError.
func callError(err error) error {
	var remote *peer.RemoteError
	switch {
	case err == nil:
		return nil
	case undelivered(err):
		return eris.Wrap(&job.UnavailableError{Reason: "the queue shard has no owner that can be reached", RetryAfter: retryAfter}, "queue")
	case errors.As(err, &remote) && (remote.Kind == peer.KindUnavailable || remote.Kind == peer.KindRefused):
		return eris.Wrap(&job.UnavailableError{Reason: remote.Message, RetryAfter: retryAfter}, "queue")
	default:
		return eris.Wrap(&job.UnknownError{Cause: err}, "queue")
	}
}
