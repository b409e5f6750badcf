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

// world is a set of hosts with exclusive rights to fronts. Each host has its
// own, possibly old, view of who owns what.
type world struct {
	mu     sync.Mutex
	rights map[shard.ID]fleet.HostID
	claims map[shard.ID]shard.Owner // newest
	hosts  map[fleet.HostID]*node
	lose   bool                 // answers of calls
	cut    int                  // calls until further ones fail; below 0: never
	delay  time.Duration        // of each page of a memory
	opened map[shard.ID]opening // newest
	// pages and largest are of memories that were handed over.
	pages, largest int
}

// opening is an Open in progress or done.
type opening struct {
	cancel context.CancelFunc
	done   chan struct{}
}

type node struct {
	*world
	self     fleet.HostID
	view     map[shard.ID]fleet.HostID
	handlers map[string]peer.Handler
	claimer  *dedupe.Claimer
}

var margins = dedupe.Margins{MaxFuture: time.Second, ClockSkew: time.Second, Propagation: 5 * time.Second}

func newWorld(n int) *world {
	w := &world{
		rights: make(map[shard.ID]fleet.HostID),
		claims: make(map[shard.ID]shard.Owner),
		opened: make(map[shard.ID]opening),
		hosts:  make(map[fleet.HostID]*node),
		cut:    -1,
	}
	for i := range n {
		h := &node{
			world:    w,
			self:     hostName(i),
			view:     make(map[shard.ID]fleet.HostID),
			handlers: make(map[string]peer.Handler),
		}
		h.claimer = dedupe.NewClaimer(dedupe.Deps{Self: h.self, Rights: h, Directory: h, Caller: h, Registry: h, Margins: margins})
		w.hosts[h.self] = h
	}
	return w
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
	host, ok := n.view[id]
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
	delay := n.delay
	n.mu.Unlock()
	if method == "dedupe.memory" && wait.For(ctx, delay) != nil {
		return &peer.UnknownError{Host: host, Method: method}
	}
	n.mu.Lock()
	handle := n.hosts[host].handlers[method]
	n.mu.Unlock()
	result, err := handle(ctx, n.self, data)
	n.mu.Lock()
	lose := n.lose
	n.mu.Unlock()
	if lose {
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

// set changes the world while hosts call each other.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// isCut counts a call and reports whether it does not reach its host.
func (w *world) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut == 0 {
		return true
	}
	w.cut = max(w.cut-1, -1)
	return false
}

// take gives a host the next claim of a front and opens its memory. It
// returns once the memory is open for new IDs.
func (w *world) take(front shard.ID, host fleet.HostID) {
	w.mu.Lock()
	former := w.claims[front]
	owner := shard.Owner{Host: host, Epoch: former.Epoch + 1}
	w.claims[front] = owner
	c := w.hosts[host].claimer
	w.mu.Unlock()
	c.ConfirmFronts(context.Background(), w.others(host))
	ctx, cancel := context.WithCancel(context.Background())
	o := opening{cancel: cancel, done: make(chan struct{})}
	w.opened[front] = o
	go func() {
		defer close(o.done)
		c.Open(ctx, front, owner, former)
	}()
	synctest.Wait()
}

// leave lets a host stop running a front, as a runner does.
func (w *world) leave(front shard.ID, host fleet.HostID) {
	o := w.opened[front]
	o.cancel()
	<-o.done
	w.hosts[host].claimer.Close(front)
}

// give moves the rights to a front; the old owner may learn of it later.
func (w *world) give(front shard.ID, host fleet.HostID, tellOld bool) {
	w.mu.Lock()
	old := w.rights[front]
	w.rights[front] = host
	w.mu.Unlock()
	if old != "" && tellOld && old != host {
		w.leave(front, old)
	}
	if old != host {
		w.take(front, host)
	}
}

// others returns the other hosts.
func (w *world) others(host fleet.HostID) []fleet.HostID {
	var out []fleet.HostID
	for id := range w.hosts {
		if id != host {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// restart replaces a host's process by a new one, which has forgotten all.
func (w *world) restart(host fleet.HostID, n int) {
	h := w.hosts[host]
	var held []shard.ID
	w.mu.Lock()
	for f, owner := range w.rights {
		if owner == host {
			held = append(held, f)
		}
	}
	h.handlers = make(map[string]peer.Handler)
	w.mu.Unlock()
	c := dedupe.NewClaimer(dedupe.Deps{Self: host, Rights: h, Directory: h, Caller: h, Registry: h, Margins: margins})
	w.mu.Lock()
	h.claimer = c
	w.mu.Unlock()
	h.claimer.SetFronts(time.Now(), fronts(n))
	for _, f := range held {
		w.take(f, host)
	}
}

// look lets a host see the present owners.
func (n *node) look() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for f, h := range n.rights {
		n.view[f] = h
	}
}

func fronts(n int) []shard.ID {
	out := make([]shard.ID, n)
	for i := range out {
		out[i] = frontName(i)
	}
	return out
}
