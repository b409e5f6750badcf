package node

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/peer"
)

// unknownSeed begins the ID under which a seed is called until it has told its own.
const unknownSeed fleet.HostID = "seed "

// seeds learns the IDs of hosts of which only the address is known.
type seeds struct {
	peer.Caller
	mu    sync.Mutex
	hosts map[string]fleet.HostID // by address
}

// host returns the ID under which the host at an address is called.
func (s *seeds) host(address string) fleet.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.hosts[address]; ok {
		return id
	}
	return unknownSeed + fleet.HostID(address)
}

// address returns the address of a seed, and whether the host is one.
func (s *seeds) address(host fleet.HostID) (string, bool) {
	if address, ok := strings.CutPrefix(string(host), string(unknownSeed)); ok {
		return address, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, id := range s.hosts {
		if id == host {
			return address, true
		}
	}
	return "", false
}

// Call implements peer.Caller. It calls a seed again under the ID that it has told.
func (s *seeds) Call(ctx context.Context, host fleet.HostID, method string, request, response any) error {
	err := s.Caller.Call(ctx, host, method, request, response)
	var identity *peer.IdentityError
	address, ok := s.address(host)
	if !ok || !errors.As(err, &identity) {
		return err
	}
	s.mu.Lock()
	s.hosts[address] = identity.Got
	s.mu.Unlock()
	return s.Caller.Call(ctx, identity.Got, method, request, response)
}
