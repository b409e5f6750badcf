package dedupe_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dedupe"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// cluster is a set of hosts with exclusive rights to fronts. Each host has its own,
// possibly outdated, view of the owners.
type cluster struct {
	mu        sync.Mutex
	rights    map[shard.ID]fleet.HostID
	claims    map[shard.ID]shard.Owner // newest
	hosts     map[fleet.HostID]*node
	lose      bool                 // drops the replies to calls
	cutAfter  int                  // remaining calls before all further ones fail; negative means unlimited
	pageDelay time.Duration        // of each page of a history
	openings  map[shard.ID]opening // newest
	// pages counts the pages of histories that were handed over; largest is the
	// maximum size of one in bytes.
	pages, largest int
}

// opening is a call of Claimer.Open, in progress or returned.
type opening struct {
	cancel context.CancelFunc
	done   chan struct{}
}

type node struct {
	*cluster
	self      fleet.HostID
	ownerView map[shard.ID]fleet.HostID
	handlers  map[string]peer.Handler
	claimer   *dedupe.Claimer
}

var margins = dedupe.Margins{MaxFuture: time.Second, StartMargin: time.Second, Propagation: 5 * time.Second}

func newCluster(n int) *cluster {
	cl := &cluster{
		rights:   make(map[shard.ID]fleet.HostID),
		claims:   make(map[shard.ID]shard.Owner),
		openings: make(map[shard.ID]opening),
		hosts:    make(map[fleet.HostID]*node),
		cutAfter: -1,
	}
	for i := range n {
		h := &node{
			cluster:   cl,
			self:      hostName(i),
			ownerView: make(map[shard.ID]fleet.HostID),
			handlers:  make(map[string]peer.Handler),
		}
		h.claimer = dedupe.NewClaimer(dedupe.Deps{Self: h.self, Rights: h, Directory: h, Caller: h, Registry: h, Margins: margins})
		cl.hosts[h.self] = h
	}
	return cl
}

func hostName(i int) fleet.HostID { return fleet.HostID(fmt.Sprintf("h%d", i)) }
func frontName(i int) shard.ID    { return shard.NewID(shard.KindFront, "sofia-1", i) }

func (n *node) Handle(method string, h peer.Handler) {
	n.set(func() { n.handlers[method] = h })
}

func (n *node) MaySend(id shard.ID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rights[id] == n.self
}

func (n *node) Owner(id shard.ID) (shard.Owner, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, ok := n.ownerView[id]
	return shard.Owner{Host: host}, ok
}

func (n *node) Call(ctx context.Context, host fleet.HostID, method string, request, response any) error {
	data, err := json.Marshal(request)
	if err != nil {
		return err
	}
	if n.isCut() {
		return &peer.UnreachableError{Host: host}
	}
	n.mu.Lock()
	delay := n.pageDelay
	n.mu.Unlock()
	if method == "dedupe.memory" && wait.For(ctx, delay) != nil {
		return &peer.UnknownError{Host: host, Method: method}
	}
	n.mu.Lock()
	handle := n.hosts[host].handlers[method]
	n.mu.Unlock()
	result, err := handle(ctx, n.self, data)
	n.mu.Lock()
	lost := n.lose
	n.mu.Unlock()
	if lost {
		return &peer.UnknownError{Host: host, Method: method}
	}
	if err != nil {
		return err
	}
	data, err = json.Marshal(result)
	if err != nil {
		return err
	}
	if method == "dedupe.memory" {
		n.set(func() {
			n.pages++
			n.largest = max(n.largest, len(data))
		})
	}
	return json.Unmarshal(data, response)
}

// set changes the cluster while hosts call each other.
func (cl *cluster) set(change func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	change()
}

// isCut counts a call and reports whether it fails.
func (cl *cluster) isCut() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.cutAfter == 0 {
		return true
	}
	cl.cutAfter = max(cl.cutAfter-1, -1)
	return false
}

// acquire gives a host the next claim of a front and opens its history. It returns
// once the history accepts new IDs.
func (cl *cluster) acquire(front shard.ID, host fleet.HostID) {
	cl.mu.Lock()
	former := cl.claims[front]
	owner := shard.Owner{Host: host, Epoch: former.Epoch + 1}
	cl.claims[front] = owner
	c := cl.hosts[host].claimer
	cl.mu.Unlock()
	c.ConfirmFronts(context.Background(), cl.others(host))
	ctx, cancel := context.WithCancel(context.Background())
	o := opening{cancel: cancel, done: make(chan struct{})}
	cl.openings[front] = o
	go func() {
		defer close(o.done)
		c.Open(ctx, front, owner, former)
	}()
	synctest.Wait()
}

// stop makes a host stop running a front, as a runner does.
func (cl *cluster) stop(front shard.ID, host fleet.HostID) {
	o := cl.openings[front]
	o.cancel()
	<-o.done
	cl.hosts[host].claimer.Close(front)
}

// move moves the rights to a front. The old owner is only notified if notifyOld
// is set.
func (cl *cluster) move(front shard.ID, host fleet.HostID, notifyOld bool) {
	cl.mu.Lock()
	old := cl.rights[front]
	cl.rights[front] = host
	cl.mu.Unlock()
	if old != "" && notifyOld && old != host {
		cl.stop(front, old)
	}
	if old != host {
		cl.acquire(front, host)
	}
}

// others returns all hosts except host, sorted.
func (cl *cluster) others(host fleet.HostID) []fleet.HostID {
	var out []fleet.HostID
	for id := range cl.hosts {
		if id != host {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// restart replaces a host's process with a new one without any history, which sees
// n fronts.
func (cl *cluster) restart(host fleet.HostID, n int) {
	h := cl.hosts[host]
	var held []shard.ID
	cl.mu.Lock()
	for f, owner := range cl.rights {
		if owner == host {
			held = append(held, f)
		}
	}
	h.handlers = make(map[string]peer.Handler)
	cl.mu.Unlock()
	c := dedupe.NewClaimer(dedupe.Deps{Self: host, Rights: h, Directory: h, Caller: h, Registry: h, Margins: margins})
	cl.mu.Lock()
	h.claimer = c
	cl.mu.Unlock()
	h.claimer.SetFronts(time.Now(), fronts(n))
	for _, f := range held {
		cl.acquire(f, host)
	}
}

// refreshView updates a host's view to the current owners.
func (n *node) refreshView() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for f, h := range n.rights {
		n.ownerView[f] = h
	}
}

func fronts(n int) []shard.ID {
	out := make([]shard.ID, n)
	for i := range out {
		out[i] = frontName(i)
	}
	return out
}
