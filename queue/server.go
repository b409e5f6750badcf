package queue

import (
	"context"
	"encoding/json"
	"expvar"
	"strconv"
	"strings"
	"sync"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/journal"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// Deps are what a Server needs.
type Deps struct {
	Region   fleet.Region
	Store    store.Store
	Pace     journal.Pace
	Peers    peer.Caller
	Registry peer.Registry // takes the handlers
	Members  member.Directory
	Shards   shard.Directory
	Settings settings.View
	Platform platform.View
	Logger   log.Logger
}

// Counters in Server.Vars.
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
	s := &Server{
		deps:   deps,
		vars:   new(expvar.Map).Init(),
		shards: make(map[shard.ID]*ownedShard),
	}
	deps.Registry.Handle(MethodSubmit, handler(s.submit))
	deps.Registry.Handle(MethodGet, handler(s.get))
	deps.Registry.Handle(MethodList, handler(s.list))
	deps.Registry.Handle(MethodCancel, handler(s.cancel))
	deps.Registry.Handle(delegation.MethodReturn, handler(s.takeBack))
	deps.Registry.Handle(delegation.MethodStart, handler(s.started))
	return s
}

// Vars returns the server's counters.
func (s *Server) Vars() *expvar.Map { return s.vars }

// Run implements shard.Runner.
func (s *Server) Run(ctx context.Context, id shard.ID, owner shard.Owner) error {
	team, n, err := parseShardID(id)
	if err != nil {
		return err
	}
	machine := NewMachine()
	deps := journal.Deps{Store: s.deps.Store, Logger: s.deps.Logger, Pace: s.deps.Pace}
	j, err := journal.Open(ctx, deps, string(id), journal.Owner(owner), machine)
	if err != nil {
		return err
	}
	q := newOwnedShard(s, id, team, n, j, machine)
	s.put(q)
	defer s.drop(q)
	return q.run(ctx)
}

func parseShardID(id shard.ID) (fleet.Team, int, error) {
	rest, ok := strings.CutPrefix(string(id), string(shard.KindQueue)+"/")
	at := strings.LastIndexByte(rest, '/')
	if !ok || at < 0 {
		return "", 0, eris.Wrap(&ShardIDError{ID: id}, "run")
	}
	n, err := strconv.Atoi(rest[at+1:])
	if err != nil {
		return "", 0, eris.Wrap(&ShardIDError{ID: id}, "run")
	}
	return fleet.Team(rest[:at]), n, nil
}

func (s *Server) put(q *ownedShard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards[q.id] = q
}

func (s *Server) drop(q *ownedShard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards[q.id] == q {
		delete(s.shards, q.id)
	}
}

// owned returns a shard that runs here, or a *peer.RemoteError of kind
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

// handler decodes the request of a typed method.
func handler[Request, Reply any](method func(context.Context, Request) (Reply, error)) peer.Handler {
	return func(ctx context.Context, _ fleet.HostID, params []byte) (any, error) {
		var request Request
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, eris.Wrap(&peer.RemoteError{Kind: peer.KindBadRequest, Message: err.Error()}, "queue")
		}
		reply, err := method(ctx, request)
		if err != nil {
			return nil, err
		}
		return reply, nil
	}
}

// statusReply puts an error of package job into the reply.
func statusReply(status job.Status, err error) (StatusReply, error) {
	if err == nil {
		return StatusReply{Status: &status}, nil
	}
	if wire, ok := wireError(err); ok {
		return StatusReply{Error: wire}, nil
	}
	return StatusReply{}, err
}

func (s *Server) submit(ctx context.Context, req SubmitRequest) (StatusReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return StatusReply{}, err
	}
	return statusReply(q.submit(ctx, req.Spec))
}

func (s *Server) get(ctx context.Context, req JobRequest) (StatusReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return StatusReply{}, err
	}
	return statusReply(q.get(ctx, req.ID))
}

func (s *Server) cancel(ctx context.Context, req JobRequest) (StatusReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return StatusReply{}, err
	}
	return statusReply(q.cancel(ctx, req.ID))
}

func (s *Server) list(ctx context.Context, req ListRequest) (ListReply, error) {
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

func (s *Server) takeBack(ctx context.Context, req delegation.Return) (delegation.ReturnReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return delegation.ReturnReply{}, err
	}
	return delegation.ReturnReply{}, q.takeBack(ctx, req.Cell, req.Outcomes)
}

func (s *Server) started(ctx context.Context, req delegation.Started) (delegation.StartedReply, error) {
	q, err := s.owned(req.Queue)
	if err != nil {
		return delegation.StartedReply{}, err
	}
	return delegation.StartedReply{}, q.started(ctx, req.Tasks)
}
