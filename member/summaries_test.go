package member

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// node is one host of the model, without network and clock.
type node struct {
	summaries
	host Host
}

func newNode(id fleet.HostID, incarnation fleet.Incarnation) *node {
	return &node{summaries: newSummaries(id), host: Host{ID: id, Incarnation: incarnation}}
}

func (n *node) publish() {
	old := n.newest[n.host.ID]
	n.newest[n.host.ID] = entry{Summary: Summary{Host: n.host.ID, Incarnation: n.host.Incarnation, Sequence: old.Sequence + 1}}
}

// versions returns what n holds of every other host.
func (n *node) versions() map[fleet.HostID]version {
	held := make(map[fleet.HostID]version)
	for id, e := range n.newest {
		held[id] = versionOf(e.Summary)
	}
	return held
}

// message is an exchangeMessage of the model.
type message struct {
	from  *node
	ack   uint64
	id    uint64
	batch []Summary
}

func (n *node) receive(now time.Time, msg message) {
	p := n.peer(msg.from.host.ID, msg.from.host.Incarnation)
	p.acknowledge(msg.ack)
	n.take(now, p, msg.batch)
	p.lastReply = max(p.lastReply, msg.id)
}

// TestSummariesNeverGoBack exchanges summaries between hosts that publish and
// restart, with messages lost, doubled and late. What a host holds of another
// never goes back, and at the end all hold the newest.
func TestSummariesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		nodes := make([]*node, 3)
		for i := range nodes {
			nodes[i] = newNode(fleet.HostID(fmt.Sprint("h", i)), 1)
		}
		meet(nodes)
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
				batch := n.changes(now, to.ID, p, 3)
				sent = append(sent, message{from: n, ack: p.lastReply, id: n.replied(p, batch), batch: batch})
			case "deliver":
				if len(sent) > 0 {
					n.receive(now, rapid.SampledFrom(sent).Draw(t, "message"))
				}
			case "restart":
				nodes[i] = newNode(n.host.ID, n.host.Incarnation+1)
				meet(nodes)
				continue
			}
			for id, v := range before {
				if v.newer(n.versions()[id]) {
					t.Fatalf("%s held %+v of %s and now %+v", n.host.ID, v, id, n.versions()[id])
				}
			}
		}
		converge(t, now, nodes)
	})
}

// meet makes every host known to every other.
func meet(nodes []*node) {
	for _, n := range nodes {
		for _, other := range nodes {
			n.admit(other.host)
		}
	}
}

// converge delivers everything for a while and compares.
func converge(t *rapid.T, now time.Time, nodes []*node) {
	for range 3 {
		now = now.Add(time.Second)
		for _, n := range nodes {
			for _, to := range nodes {
				p := n.peer(to.host.ID, to.host.Incarnation)
				batch := n.changes(now, to.host.ID, p, len(nodes))
				to.receive(now, message{from: n, batch: batch})
				p.received(batch)
			}
		}
	}
	for _, n := range nodes {
		for _, other := range nodes {
			want, published := other.newest[other.host.ID]
			got, held := n.newest[other.host.ID]
			if published != held || versionOf(got.Summary) != versionOf(want.Summary) {
				t.Fatalf("%s holds %+v of %s, newest is %+v", n.host.ID, got.Summary, other.host.ID, want.Summary)
			}
		}
	}
}

func TestSteadiness(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := map[string]struct {
		answers []float64 // seconds at which the store answered
		lapse   bool      // after these
		now     float64
		since   float64 // -1 for none
	}{
		"no answer":      {nil, false, 0, -1},
		"one answer":     {[]float64{1}, false, 2, 1},
		"steady":         {[]float64{1, 6, 11, 16}, false, 17, 1},
		"gap":            {[]float64{1, 6, 20, 25}, false, 26, 20},
		"short gap":      {[]float64{1, 8, 15}, false, 16, 1},
		"silent now":     {[]float64{1, 6}, false, 14, -1},
		"own lease gone": {[]float64{1, 6}, true, 7, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s steadiness
			for _, a := range test.answers {
				s.answered(at(a), at(a))
			}
			if test.lapse {
				s.lapsed()
			}
			since, ok := s.since(at(test.now))
			if ok != (test.since >= 0) || ok && !since.Equal(at(test.since)) {
				t.Errorf("since %v, %v", since, ok)
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
			t.Errorf("%+v became %+v, error %v", batch, got, err)
		}
	})
}

func TestChangesArePassedOnAFewTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newNode("a", 1)
	a.admit(Host{ID: "b", Incarnation: 1})
	a.merge(now, Summary{Host: "b", Incarnation: 1, Sequence: 1})
	for i, want := range []int{1, 1, 1, 0, 0} {
		id := fleet.HostID(fmt.Sprint("old", i))
		if got := a.changes(now, id, a.peer(id, 1), 10); len(got) != want {
			t.Errorf("peer %d got %v", i, got)
		}
	}
	started := fleet.Incarnation(now.Add(-startTime / 2).UnixNano())
	if got := a.changes(now, "new", a.peer("new", started), 10); len(got) != 1 {
		t.Errorf("a peer that has just started got %v", got)
	}
	if got := a.changes(now, "b", a.peer("b", started), 10); len(got) != 0 {
		t.Errorf("b got its own summary: %v", got)
	}
}
