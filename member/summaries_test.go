package member

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// node models one host without network and clock.
type node struct {
	summaries
	host Host
}

func newNode(id fleet.HostID, incarnation fleet.Incarnation) *node {
	return &node{summaries: newSummaries(id), host: Host{ID: id, Incarnation: incarnation}}
}

// publish gives the host's own summary its next sequence number.
func (n *node) publish() {
	previous := n.newest[n.host.ID]
	n.newest[n.host.ID] = entry{Summary: Summary{Host: n.host.ID, Incarnation: n.host.Incarnation, Sequence: previous.Sequence + 1}}
}

// versions returns the versions of the summaries that n holds, by host.
func (n *node) versions() map[fleet.HostID]version {
	held := make(map[fleet.HostID]version)
	for id, e := range n.newest {
		held[id] = versionOf(e.Summary)
	}
	return held
}

// message models an exchangeMessage.
type message struct {
	from  *node
	ack   uint64
	id    uint64
	batch []Summary
}

func (n *node) receive(now time.Time, msg message) {
	p := n.peer(msg.from.host.ID, msg.from.host.Incarnation)
	p.acknowledge(msg.ack)
	n.mergeBatch(now, p, msg.batch)
	p.receivedReplyID = max(p.receivedReplyID, msg.id)
}

// TestSummariesNeverGoBack exchanges summaries between hosts that publish and restart,
// with messages lost, duplicated and delayed. The version that a host holds of another
// must never decrease, and at the end all hosts must hold the newest ones.
func TestSummariesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		nodes := make([]*node, 3)
		for i := range nodes {
			nodes[i] = newNode(fleet.HostID(fmt.Sprint("h", i)), 1)
		}
		introduce(nodes)
		var sent []message
		pick := rapid.IntRange(0, len(nodes)-1)
		for range 60 {
			now = now.Add(time.Second)
			i := pick.Draw(t, "host")
			n := nodes[i]
			before := n.versions()
			switch rapid.SampledFrom([]string{"publish", "send", "send", "deliver", "deliver", "deliver", "restart"}).Draw(t, "step") {
			case "publish":
				n.publish()
			case "send":
				to := nodes[pick.Draw(t, "to")].host
				p := n.peer(to.ID, to.Incarnation)
				batch := n.changesFor(now, to.ID, p, 3)
				sent = append(sent, message{from: n, ack: p.receivedReplyID, id: n.recordReply(p, batch), batch: batch})
			case "deliver":
				if len(sent) > 0 {
					n.receive(now, rapid.SampledFrom(sent).Draw(t, "message"))
				}
			case "restart":
				nodes[i] = newNode(n.host.ID, n.host.Incarnation+1)
				introduce(nodes)
				continue
			}
			for id, v := range before {
				if v.newerThan(n.versions()[id]) {
					t.Fatalf("%s held version %+v of %s and now holds %+v", n.host.ID, v, id, n.versions()[id])
				}
			}
		}
		converge(t, now, nodes)
	})
}

// introduce makes every host known to all hosts.
func introduce(nodes []*node) {
	for _, n := range nodes {
		for _, other := range nodes {
			n.addHost(other.host)
		}
	}
}

// converge exchanges summaries without losses for three rounds and checks that all
// hosts hold the newest.
func converge(t *rapid.T, now time.Time, nodes []*node) {
	for range 3 {
		now = now.Add(time.Second)
		for _, n := range nodes {
			for _, to := range nodes {
				p := n.peer(to.host.ID, to.host.Incarnation)
				batch := n.changesFor(now, to.host.ID, p, len(nodes))
				to.receive(now, message{from: n, batch: batch})
				p.markHeldBatch(batch)
			}
		}
	}
	for _, n := range nodes {
		for _, other := range nodes {
			want, published := other.newest[other.host.ID]
			got, held := n.newest[other.host.ID]
			if published != held || versionOf(got.Summary) != versionOf(want.Summary) {
				t.Fatalf("%s holds the summary %+v of %s, want the newest %+v", n.host.ID, got.Summary, other.host.ID, want.Summary)
			}
		}
	}
}

func TestSteadiness(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := map[string]struct {
		responses []float64 // times in s at which the store responded
		expire    bool      // this host's lease expires after these
		now       float64   // in s
		since     float64   // in s; -1 if the store does not count as steady
	}{
		"no response":       {nil, false, 0, -1},
		"one response":      {[]float64{1}, false, 2, 1},
		"steady":            {[]float64{1, 6, 11, 16}, false, 17, 1},
		"gap":               {[]float64{1, 6, 20, 25}, false, 26, 20},
		"short gap":         {[]float64{1, 8, 15}, false, 16, 1},
		"no response now":   {[]float64{1, 6}, false, 14, -1},
		"own lease expired": {[]float64{1, 6}, true, 7, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s steadiness
			for _, a := range test.responses {
				s.observeResponse(at(a), at(a))
			}
			if test.expire {
				s.leaseExpired()
			}
			since, ok := s.since(at(test.now))
			if ok != (test.since >= 0) || ok && !since.Equal(at(test.since)) {
				t.Errorf("got the steady period since %v, %v", since, ok)
			}
		})
	}
}

func FuzzDecodeBatch(f *testing.F) {
	for n := range 3 {
		data, err := encodeBatch([]Summary{busySummary(n, n), busySummary(n, 7)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := decodeBatch(data)
		if err != nil || len(batch) == 0 {
			return
		}
		again, err := encodeBatch(batch)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decodeBatch(again); err != nil || !reflect.DeepEqual(got, batch) {
			t.Errorf("batch %+v was decoded as %+v, error %v", batch, got, err)
		}
	})
}

// TestForwardsAreLimited checks that a change is forwarded to maxForwards peers and to
// any peer that has just started, but not to its own host.
func TestForwardsAreLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newNode("a", 1)
	a.addHost(Host{ID: "b", Incarnation: 1})
	a.merge(now, Summary{Host: "b", Incarnation: 1, Sequence: 1})
	for i, want := range []int{1, 1, 1, 0, 0} {
		id := fleet.HostID(fmt.Sprint("old", i))
		if got := a.changesFor(now, id, a.peer(id, 1), 10); len(got) != want {
			t.Errorf("peer %d was sent %v", i, got)
		}
	}
	started := fleet.Incarnation(now.Add(-startupPeriod / 2).UnixNano())
	if got := a.changesFor(now, "new", a.peer("new", started), 10); len(got) != 1 {
		t.Errorf("a peer that has just started was sent %v, want one summary", got)
	}
	if got := a.changesFor(now, "b", a.peer("b", started), 10); len(got) != 0 {
		t.Errorf("b was sent its own summary: %v", got)
	}
}
