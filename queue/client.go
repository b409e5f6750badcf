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
	// ownerWait is how long a call waits for a shard to find its new owner
	// before it is made again.
	ownerWait = 500 * time.Millisecond
	// clientTimeout bounds a call, so that the owner gives up first and can
	// still tell what it knows.
	clientTimeout = commitTimeout + 2*time.Second
)

// ClientDeps are what a Client needs.
type ClientDeps struct {
	Peers    peer.Caller
	Shards   shard.Directory
	Settings settings.View
}

// Client is the job interface on any entry host: it calls the owner of the
// team's queue shard. It is safe for concurrent use.
type Client struct{ deps ClientDeps }

var _ job.Service = (*Client)(nil)

// NewClient returns a Client.
func NewClient(deps ClientDeps) *Client { return &Client{deps: deps} }

// shards returns the number of queue shards of a team, 0 if it is unknown.
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
	status, err := c.one(ctx, MethodGet, team, id)
	return status, readError(err)
}

// Cancel implements job.Service.
func (c *Client) Cancel(ctx context.Context, team fleet.Team, id fleet.JobID) (job.Status, error) {
	return c.one(ctx, MethodCancel, team, id)
}

func (c *Client) one(ctx context.Context, method string, team fleet.Team, id fleet.JobID) (job.Status, error) {
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

// List implements job.Service. Jobs are in order of ID over all shards of the
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

// mergePages joins the pages of a team's shards. Jobs beyond the end of a
// shard's unfinished page are left to the next one, so that none is skipped.
func mergePages(pages []job.Page, limit int) job.Page {
	var all job.Page
	for _, p := range pages {
		all.Jobs = append(all.Jobs, p.Jobs...)
		if p.Next != "" && (all.Next == "" || p.Next < all.Next) {
			all.Next = p.Next
		}
	}
	slices.SortFunc(all.Jobs, func(a, b job.Status) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	if all.Next != "" {
		all.Jobs = slices.DeleteFunc(all.Jobs, func(s job.Status) bool { return string(s.Spec.ID) > all.Next })
	}
	if len(all.Jobs) > limit {
		all.Jobs = all.Jobs[:limit]
		all.Next = string(all.Jobs[limit-1].Spec.ID)
	}
	return all
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

// call calls the owner of a shard, a second time if the first host was not
// the owner or could not be reached.
func (c *Client) call(ctx context.Context, id shard.ID, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	err := c.callOwner(ctx, id, method, request, reply)
	if !undelivered(err) {
		return callError(err)
	}
	timer := time.NewTimer(ownerWait)
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

// undelivered reports whether a call surely did nothing and another owner may
// answer it.
func undelivered(err error) bool {
	var (
		none        *NoOwnerError
		unreachable *peer.UnreachableError
		remote      *peer.RemoteError
	)
	return errors.As(err, &none) || errors.As(err, &unreachable) ||
		errors.As(err, &remote) && remote.Kind == peer.KindNotOwner
}

// callError maps the failure of a call to the types of package job.
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
