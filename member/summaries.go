package member

import (
	"cmp"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// version orders the summaries of one host.
type version struct {
	Incarnation fleet.Incarnation
	Sequence    uint64
}

func (v version) newer(than version) bool {
	if v.Incarnation != than.Incarnation {
		return v.Incarnation > than.Incarnation
	}
	return v.Sequence > than.Sequence
}

func versionOf(s Summary) version {
	return version{Incarnation: s.Incarnation, Sequence: s.Sequence}
}

// summaries holds the newest summary of each host and what each peer has of
// them. It does no I/O and is guarded by its owner.
//
// Invariant: the version held of a host never decreases while the host is
// known, whatever arrives in whatever order.
type summaries struct {
	self   fleet.HostID
	lowest map[fleet.HostID]fleet.Incarnation // by known host, from its record
	newest map[fleet.HostID]Summary
	peers  map[fleet.HostID]*peerState
	// replies numbers the replies to all peers, so that no ID comes twice.
	replies uint64
}

// peerState is what a peer is known to have.
type peerState struct {
	incarnation fleet.Incarnation
	has         map[fleet.HostID]version
	// reply is what the last reply to the peer held. It counts as received
	// when the peer's next request acknowledges it.
	reply   map[fleet.HostID]version
	replyID uint64
	// lastReply is the ID of the last reply received from the peer.
	lastReply uint64
}

func newSummaries(self fleet.HostID) summaries {
	return summaries{
		self:   self,
		lowest: make(map[fleet.HostID]fleet.Incarnation),
		newest: make(map[fleet.HostID]Summary),
		peers:  make(map[fleet.HostID]*peerState),
	}
}

func (s *summaries) get(id fleet.HostID) (Summary, bool) {
	sum, ok := s.newest[id]
	return sum, ok
}

// admit takes notice of a host record. A summary of an earlier incarnation is
// forgotten.
func (s *summaries) admit(h Host) {
	s.lowest[h.ID] = max(s.lowest[h.ID], h.Incarnation)
	if sum, ok := s.newest[h.ID]; ok && sum.Incarnation < s.lowest[h.ID] {
		delete(s.newest, h.ID)
	}
}

// forget removes a host that is gone.
func (s *summaries) forget(id fleet.HostID) {
	delete(s.lowest, id)
	delete(s.newest, id)
	delete(s.peers, id)
	for _, p := range s.peers {
		delete(p.has, id)
	}
}

// merge takes a summary if it is newer than the one held, of a known host
// other than this one, and not of an incarnation that has ended.
func (s *summaries) merge(sum Summary) {
	lowest, known := s.lowest[sum.Host]
	if !known || sum.Host == s.self || sum.Incarnation < lowest {
		return
	}
	if old, ok := s.newest[sum.Host]; ok && !versionOf(sum).newer(versionOf(old)) {
		return
	}
	s.newest[sum.Host] = sum
}

// peer returns what is known of a peer's process. A later process of the same
// host has nothing yet.
func (s *summaries) peer(id fleet.HostID, incarnation fleet.Incarnation) *peerState {
	p, ok := s.peers[id]
	if !ok || p.incarnation < incarnation {
		p = &peerState{incarnation: incarnation, has: make(map[fleet.HostID]version)}
		s.peers[id] = p
	}
	return p
}

// received notes that a peer has what it sent.
func (p *peerState) received(batch []Summary) {
	for _, sum := range batch {
		p.note(sum.Host, versionOf(sum))
	}
}

func (p *peerState) note(id fleet.HostID, v version) {
	if v.newer(p.has[id]) {
		p.has[id] = v
	}
}

// acknowledge notes that the reply with an ID has arrived.
func (p *peerState) acknowledge(id uint64) {
	if id != p.replyID {
		return
	}
	for host, v := range p.reply {
		p.note(host, v)
	}
	p.reply = nil
}

// changes returns at most limit summaries that a peer lacks: the own one
// first, then those of the hosts whose news is oldest at the peer.
func (s *summaries) changes(to fleet.HostID, p *peerState, limit int) []Summary {
	var batch []Summary
	for id, sum := range s.newest {
		if id != to && versionOf(sum).newer(p.has[id]) {
			batch = append(batch, sum)
		}
	}
	slices.SortFunc(batch, func(a, b Summary) int {
		if own := cmp.Compare(rank(a.Host, s.self), rank(b.Host, s.self)); own != 0 {
			return own
		}
		return cmp.Or(
			cmp.Compare(lag(b, p), lag(a, p)),
			cmp.Compare(a.Host, b.Host))
	})
	return batch[:min(limit, len(batch))]
}

func rank(id, self fleet.HostID) int {
	if id == self {
		return 0
	}
	return 1
}

// lag is by how many changes a peer's summary is behind.
func lag(sum Summary, p *peerState) uint64 {
	has := p.has[sum.Host]
	if has.Incarnation != sum.Incarnation {
		return sum.Sequence
	}
	return sum.Sequence - has.Sequence
}

// versionsOf returns the versions in a batch.
func versionsOf(batch []Summary) map[fleet.HostID]version {
	versions := make(map[fleet.HostID]version, len(batch))
	for _, sum := range batch {
		versions[sum.Host] = versionOf(sum)
	}
	return versions
}
