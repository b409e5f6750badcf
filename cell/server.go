package cell

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// Server runs the cells that this host owns. It is safe for concurrent use.
type Server struct {
	deps Deps
	vars *expvar.Map

	mu       sync.Mutex
	sessions map[shard.ID]*session
}

var _ shard.Runner = (*Server)(nil)

// NewServer returns a Server and registers its peer methods with
// deps.Registry.
func NewServer(deps Deps) *Server {
	s := &Server{deps: deps, vars: new(expvar.Map).Init(), sessions: make(map[shard.ID]*session)}
	deps.Registry.Handle(delegation.MethodOffer, s.handleOffer)
	deps.Registry.Handle(delegation.MethodCancel, s.handleCancel)
	peer.Register(deps.Registry, methodLatencies, s.handleLatencies)
	return s
}

// parseID returns the data centre and the number in the ID of a cell.
func parseID(id shard.ID) (fleet.DataCentre, int, error) {
	parts := strings.Split(string(id), "/")
	if len(parts) != 3 || id.Kind() != shard.KindCell {
		return "", 0, eris.Wrap(&NotCellError{ID: id}, "run")
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n < 0 {
		return "", 0, eris.Wrap(&NotCellError{ID: id}, "run")
	}
	return fleet.DataCentre(parts[1]), n, nil
}

// Run implements shard.Runner for cells: it runs the cell until ctx ends or the
// cell is lost to another owner. Errors: *NotCellError, *FencedError,
// *wal.StoppedError, errors of the journal's recovery and ctx's error.
func (s *Server) Run(ctx context.Context, id shard.ID, owner shard.Owner) error {
	dc, n, err := parseID(id)
	if err != nil {
		return err
	}
	session, err := s.openSession(ctx, id, dc, n, owner)
	if err != nil {
		return err
	}
	s.register(session)
	defer s.unregister(session)
	return session.serve(ctx)
}

func (s *Server) register(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session.id] = session
}

func (s *Server) unregister(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[session.id] == session {
		delete(s.sessions, session.id)
	}
}

func (s *Server) find(id shard.ID) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session, ok := s.sessions[id]
	if !ok {
		return nil, &peer.RemoteError{Kind: peer.KindNotOwner, Message: "cell " + string(id) + " is not owned here"}
	}
	if !session.ready.Load() {
		return nil, &peer.RemoteError{Kind: peer.KindUnavailable, Message: "cell " + string(id) + " is being opened"}
	}
	return session, nil
}

// Loads returns the load of each cell that this host owns, by shard ID.
func (s *Server) Loads() map[string]member.CellLoad {
	s.mu.Lock()
	sessions := make([]*session, 0, len(s.sessions))
	for _, session := range s.sessions {
		sessions = append(sessions, session)
	}
	s.mu.Unlock()
	loads := make(map[string]member.CellLoad, len(sessions))
	for _, session := range sessions {
		loads[string(session.id)] = session.load()
	}
	return loads
}

func (s *Server) handleOffer(ctx context.Context, _ fleet.HostID, params []byte) (any, error) {
	var offer delegation.Offer
	if err := decodeParams(params, &offer); err != nil {
		return nil, err
	}
	session, err := s.find(offer.Cell)
	if err != nil {
		return nil, err
	}
	reply, err := session.offer(ctx, offer)
	return reply, remoteError(err)
}

func (s *Server) handleCancel(ctx context.Context, _ fleet.HostID, params []byte) (any, error) {
	var cancel delegation.Cancel
	if err := decodeParams(params, &cancel); err != nil {
		return nil, err
	}
	session, err := s.find(cancel.Cell)
	if err != nil {
		return nil, err
	}
	return delegation.CancelReply{}, remoteError(session.cancel(ctx, cancel.Tasks))
}

func decodeParams(params []byte, into any) error {
	if err := json.Unmarshal(params, into); err != nil {
		return &peer.RemoteError{Kind: peer.KindBadRequest, Message: err.Error()}
	}
	return nil
}

// remoteError converts the error of a stopped journal, which means that another
// host owns the cell, for the caller.
func remoteError(err error) error {
	var stopped *wal.StoppedError
	if errors.As(err, &stopped) {
		return &peer.RemoteError{Kind: peer.KindNotOwner, Message: err.Error()}
	}
	return err
}
