package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// maxForwards is how many times a host forwards each change of another host's
	// summary.
	maxForwards = 3
	// startupPeriod is how long a host counts as just started.
	startupPeriod = 30 * time.Second
)

// version orders the summaries of one host.
type version struct {
	Incarnation fleet.Incarnation
	Sequence    uint64
}

func (v version) newerThan(other version) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.Sequence > other.Sequence
}

func versionOf(s Summary) version {
	return version{Incarnation: s.Incarnation, Sequence: s.Sequence}
}

// summaries holds the newest summary of each host, and for each peer which versions
// it is known to hold. It does no I/O and is guarded by its owner's mutex.
//
// Invariant: the version held of a host never decreases while the host is known,
// whichever messages arrive in whichever order.
type summaries struct {
	self           fleet.HostID
	minIncarnation map[fleet.HostID]fleet.Incarnation // of each known host, from its record
	newest         map[fleet.HostID]entry
	peers          map[fleet.HostID]*peerState
	// lastReplyID numbers the replies to all peers, so that no ID is used twice.
	lastReplyID uint64
}

// entry is the newest summary of a host.
type entry struct {
	Summary
	receivedAt time.Time
	sends      int // number of times that this version was sent
}

// peerState describes which summaries a peer is known to hold.
type peerState struct {
	incarnation fleet.Incarnation
	held        map[fleet.HostID]version
	// sentReply holds the versions in the last reply to the peer. They count as held
	// by the peer once its next request acknowledges the reply.
	sentReply   map[fleet.HostID]version
	sentReplyID uint64
	// receivedReplyID is the ID of the last reply received from the peer.
	receivedReplyID uint64
}

func newSummaries(self fleet.HostID) summaries {
	return summaries{
		self:           self,
		minIncarnation: make(map[fleet.HostID]fleet.Incarnation),
		newest:         make(map[fleet.HostID]entry),
		peers:          make(map[fleet.HostID]*peerState),
	}
}

func (s *summaries) get(id fleet.HostID) (Summary, bool) {
	e, ok := s.newest[id]
	return e.Summary, ok
}

// addHost adds or updates a known host. A summary of an earlier incarnation is
// dropped.
func (s *summaries) addHost(h Host) {
	s.minIncarnation[h.ID] = max(s.minIncarnation[h.ID], h.Incarnation)
	if summary, ok := s.newest[h.ID]; ok && summary.Incarnation < s.minIncarnation[h.ID] {
		delete(s.newest, h.ID)
	}
}

// removeHost removes a host that is gone.
func (s *summaries) removeHost(id fleet.HostID) {
	delete(s.minIncarnation, id)
	delete(s.newest, id)
	delete(s.peers, id)
	for _, p := range s.peers {
		delete(p.held, id)
	}
}

// merge stores a summary if it is newer than the one held, describes a known host
// other than this one, and is not of an earlier incarnation than the host's record.
func (s *summaries) merge(now time.Time, summary Summary) {
	minimum, known := s.minIncarnation[summary.Host]
	if !known || summary.Host == s.self || summary.Incarnation < minimum {
		return
	}
	if previous, ok := s.newest[summary.Host]; ok && !versionOf(summary).newerThan(versionOf(previous.Summary)) {
		return
	}
	s.newest[summary.Host] = entry{Summary: summary, receivedAt: now}
}

// peer returns the state of a peer. A new incarnation of a peer starts with an empty
// state, as it holds no summaries yet.
func (s *summaries) peer(id fleet.HostID, incarnation fleet.Incarnation) *peerState {
	p, ok := s.peers[id]
	if !ok || p.incarnation < incarnation {
		p = &peerState{incarnation: incarnation, held: make(map[fleet.HostID]version)}
		s.peers[id] = p
	}
	return p
}

// markHeldBatch records that a peer holds the summaries of a batch.
func (p *peerState) markHeldBatch(batch []Summary) {
	for _, summary := range batch {
		p.markHeld(summary.Host, versionOf(summary))
	}
}

// markHeld records that a peer holds a version of a host's summary.
func (p *peerState) markHeld(id fleet.HostID, v version) {
	if v.newerThan(p.held[id]) {
		p.held[id] = v
	}
}

// acknowledge records that the peer has received the reply with the given ID.
func (p *peerState) acknowledge(id uint64) {
	if id != p.sentReplyID {
		return
	}
	for host, v := range p.sentReply {
		p.markHeld(host, v)
	}
	p.sentReply = nil
}

// changesFor returns at most limit summaries that a peer may lack, and counts them as
// sent: this host's own first, then the most recently received.
func (s *summaries) changesFor(now time.Time, to fleet.HostID, p *peerState, limit int) []Summary {
	var due []entry
	for id, e := range s.newest {
		if id != to && s.shouldSend(now, p, e) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(s.sendOrder(a), s.sendOrder(b)),
			b.receivedAt.Compare(a.receivedAt),
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

// shouldSend reports whether to send a summary to a peer. Most peers receive a change
// from other hosts, so each host forwards it only maxForwards times; a peer that
// misses it receives it from the summary's own host at their next exchange. A peer
// that has just started is sent everything.
func (s *summaries) shouldSend(now time.Time, p *peerState, e entry) bool {
	held := p.held[e.Host]
	if !versionOf(e.Summary).newerThan(held) {
		return false
	}
	return e.Host == s.self ||
		e.sends < maxForwards ||
		now.Sub(time.Unix(0, int64(p.incarnation))) < startupPeriod
}

// sendOrder is the sort key that puts this host's own summary first.
func (s *summaries) sendOrder(e entry) int {
	if e.Host == s.self {
		return 0
	}
	return 1
}

// mergeBatch merges the summaries that a peer sent.
func (s *summaries) mergeBatch(now time.Time, p *peerState, batch []Summary) {
	p.markHeldBatch(batch)
	for _, summary := range batch {
		s.merge(now, summary)
	}
}

// recordReply records the summaries in a reply to a peer and returns the reply's ID.
func (s *summaries) recordReply(p *peerState, batch []Summary) uint64 {
	s.lastReplyID++
	p.sentReplyID = s.lastReplyID
	p.sentReply = versionsOf(batch)
	return p.sentReplyID
}

// versionsOf returns the versions of the summaries in a batch, by host.
func versionsOf(batch []Summary) map[fleet.HostID]version {
	versions := make(map[fleet.HostID]version, len(batch))
	for _, summary := range batch {
		versions[summary.Host] = versionOf(summary)
	}
	return versions
}
