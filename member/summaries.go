package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// rumourSends is how often a host passes on another host's change.
	rumourSends = 3
	// startTime is for how long a host counts as just started.
	startTime = 30 * time.Second
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
	newest map[fleet.HostID]entry
	peers  map[fleet.HostID]*peerState
	// replies numbers the replies to all peers, so that no ID comes twice.
	replies uint64
}

// entry is the newest summary of a host.
type entry struct {
	Summary
	learned time.Time
	sends   int // to peers, of this version
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
		newest: make(map[fleet.HostID]entry),
		peers:  make(map[fleet.HostID]*peerState),
	}
}

func (s *summaries) get(id fleet.HostID) (Summary, bool) {
	e, ok := s.newest[id]
	return e.Summary, ok
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
func (s *summaries) merge(now time.Time, sum Summary) {
	lowest, known := s.lowest[sum.Host]
	if !known || sum.Host == s.self || sum.Incarnation < lowest {
		return
	}
	if old, ok := s.newest[sum.Host]; ok && !versionOf(sum).newer(versionOf(old.Summary)) {
		return
	}
	s.newest[sum.Host] = entry{Summary: sum, learned: now}
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

// changes returns at most limit summaries that a peer may lack: the own one
// first, then the latest news.
func (s *summaries) changes(now time.Time, to fleet.HostID, p *peerState, limit int) []Summary {
	var due []entry
	for id, e := range s.newest {
		if id != to && s.wanted(now, p, e) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(s.rank(a), s.rank(b)),
			b.learned.Compare(a.learned),
			cmp.Compare(a.Host, b.Host))
	})
	due = due[:min(limit, len(due))]
	batch := make([]Summary, len(due))
	for i, e := range due {
		batch[i] = e.Summary
		e.sends++
		s.newest[e.Host] = e
	}
	return batch
}

// wanted reports whether a peer should be sent a summary. Most peers hear of
// a change from others, so each host passes it on only rumourSends times; what
// a peer misses it gets from the host itself when the two meet. A peer that
// has just started is sent everything.
func (s *summaries) wanted(now time.Time, p *peerState, e entry) bool {
	has := p.has[e.Host]
	if !versionOf(e.Summary).newer(has) {
		return false
	}
	return e.Host == s.self ||
		e.sends < rumourSends ||
		now.Sub(time.Unix(0, int64(p.incarnation))) < startTime
}

func (s *summaries) rank(e entry) int {
	if e.Host == s.self {
		return 0
	}
	return 1
}

// take merges what a peer sent.
func (s *summaries) take(now time.Time, p *peerState, batch []Summary) {
	p.received(batch)
	for _, sum := range batch {
		s.merge(now, sum)
	}
}

// replied notes a reply to a peer and returns its number.
func (s *summaries) replied(p *peerState, batch []Summary) uint64 {
	s.replies++
	p.replyID = s.replies
	p.reply = versionsOf(batch)
	return p.replyID
}

// versionsOf returns the versions in a batch.
func versionsOf(batch []Summary) map[fleet.HostID]version {
	versions := make(map[fleet.HostID]version, len(batch))
	for _, sum := range batch {
		versions[sum.Host] = versionOf(sum)
	}
	return versions
}
