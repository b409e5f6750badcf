package queue

import (
	"context"
	"expvar"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// Deps are the dependencies of a Server.
type Deps struct {
	Region    fleet.Region
	Store     store.Store
	Pace      wal.Pace
	Peers     peer.Caller
	Registry  peer.Registry // where the peer handlers are registered
	Members   member.Directory
	Shards    shard.Directory
	Settings  settings.View
	Inventory inventory.View
	Logger    log.Logger
	// RetainFor is how long ended jobs are kept and resubmissions of them
	// recognised; 0 means DefaultRetainFor.
	RetainFor time.Duration
}

// Names of the counters in Server.Vars.
const (
	varSubmitted = "jobs_submitted"
	varCancelled = "jobs_cancelled"
	varReleased  = "tasks_released"
	varReturned  = "tasks_returned"
	varRefused   = "tasks_refused"
	varOffers    = "offers_sent"
	varFailures  = "calls_failed"
)

// Server runs the queue shards that this host owns. It is safe for
// concurrent use.
type Server struct {
	deps Deps
	vars *expvar.Map

	mu     sync.Mutex
	shards map[shard.ID]*ownedShard
}

var _ shard.Runner = (*Server)(nil)

// NewServer returns a Server and registers its peer handlers.
func NewServer(deps Deps) *Server {
	if deps.RetainFor == 0 {
		deps.RetainFor = DefaultRetainFor
	}
	s := &Server{
		deps:   deps,
		vars:   new(expvar.Map).Init(),
		shards: make(map[shard.ID]*ownedShard),
	}
	peer.Register(deps.Registry, MethodSubmit, s.submit)
	peer.Register(deps.Registry, MethodGet, s.get)
	peer.Register(deps.Registry, MethodList, s.list)
	peer.Register(deps.Registry, MethodCancel, s.cancel)
	peer.Register(deps.Registry, delegation.MethodReturn, s.acceptReturn)
	peer.Register(deps.Registry, delegation.MethodStarted, s.markStarted)
	return s
}

// Vars returns the server's counters.
func (s *Server) Vars() *expvar.Map { return s.vars }

// Run implements shard.Runner. It serves the queue shard id until ctx ends or the
// shard is lost to another owner. Errors: *ShardIDError, *wal.StoppedError, errors
// of the journal's recovery and ctx's error.
func (s *Server) Run(ctx context.Context, id shard.ID, owner shard.Owner) error {
	team, n, err := parseShardID(id)
	if err != nil {
		return err
	}
	machine := NewMachine()
	deps := wal.Deps{Store: s.deps.Store, Logger: s.deps.Logger, Pace: s.deps.Pace}
	j, err := wal.Open(ctx, deps, string(id), wal.Owner(owner), machine)
	if err != nil {
		return err
	}
	q := newOwnedShard(s, id, team, n, j, machine)
	s.addShard(q)
	defer s.removeShard(q)
	return q.run(ctx)
}

// parseShardID returns the team and the number of a queue shard, or a wrapped
// *ShardIDError.
func parseShardID(id shard.ID) (fleet.Team, int, error) {
	rest, ok := strings.CutPrefix(string(id), string(shard.KindQueue)+"/")
	slash := strings.LastIndexByte(rest, '/')
	if !ok || slash < 0 {
		return "", 0, eris.Wrap(&ShardIDError{ID: id}, "run")
	}
	n, err := strconv.Atoi(rest[slash+1:])
	if err != nil {
		return "", 0, eris.Wrap(&ShardIDError{ID: id}, "run")
	}
	return fleet.Team(rest[:slash]), n, nil
}

func (s *Server) addShard(q *ownedShard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards[q.id] = q
}

// removeShard removes a shard unless a later owner has replaced it.
func (s *Server) removeShard(q *ownedShard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards[q.id] == q {
		delete(s.shards, q.id)
	}
}

// owned returns a shard that this host owns, or a *peer.RemoteError of kind
// not_owner.
func (s *Server) owned(id shard.ID) (*ownedShard, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.shards[id]
	if q == nil {
		return nil, notOwner()
	}
	return q, nil
}

// statusReply returns a reply with the status or, if err is one of package job,
// with the error. Other errors are returned.
func statusReply(status job.Status, err error) (StatusReply, error) {
	if err == nil {
		return StatusReply{Status: &status}, nil
	}
	if wire, ok := wireError(err); ok {
		return StatusReply{Error: wire}, nil
	}
	return StatusReply{}, err
}

func (s *Server) submit(ctx context.Context, _ fleet.HostID, req SubmitRequest) (StatusReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return StatusReply{}, err
	}
	return statusReply(q.submit(ctx, req.Spec))
}

func (s *Server) get(ctx context.Context, _ fleet.HostID, req JobRequest) (StatusReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return StatusReply{}, err
	}
	return statusReply(q.get(ctx, req.ID))
}

func (s *Server) cancel(ctx context.Context, _ fleet.HostID, req JobRequest) (StatusReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return StatusReply{}, err
	}
	return statusReply(q.cancel(ctx, req.ID))
}

func (s *Server) list(ctx context.Context, _ fleet.HostID, req ListRequest) (ListReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return ListReply{}, err
	}
	page, err := q.list(ctx, req.After, req.Limit)
	if err == nil {
		return ListReply{Page: &page}, nil
	}
	if wire, ok := wireError(err); ok {
		return ListReply{Error: wire}, nil
	}
	return ListReply{}, err
}

func (s *Server) acceptReturn(ctx context.Context, _ fleet.HostID, req delegation.Return) (delegation.ReturnReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return delegation.ReturnReply{}, err
	}
	return q.acceptReturn(ctx, req)
}

func (s *Server) markStarted(ctx context.Context, _ fleet.HostID, req delegation.Started) (delegation.StartedReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return delegation.StartedReply{}, err
	}
	return delegation.StartedReply{}, q.markStarted(ctx, req.Tasks)
}
