package dedupe_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

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

var margins = dedupe.Margins{Future: time.Second, Clock: time.Second, Mapping: 5 * time.Second}

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
	c.Settle(context.Background(), w.others(host))
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

// move is one random event.
type move struct {
	what        string
	host, front int
	id          int
	ms          int
	flag        bool
}

// TestClaimModel moves fronts between hosts whose views of owners lag without
// bound and whose views of the set of fronts lag up to the margin, and checks
// that no ID is accepted twice.
func TestClaimModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		moves := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
			return move{
				what:  rapid.SampledFrom([]string{"claim", "claim", "create", "race", "race", "give", "look", "wait", "wait", "fronts", "lose", "restart", "release", "cut", "delay"}).Draw(t, "what"),
				host:  rapid.IntRange(0, 2).Draw(t, "host"),
				front: rapid.IntRange(0, 1).Draw(t, "front"),
				id:    rapid.IntRange(0, 2).Draw(t, "id"),
				ms:    rapid.IntRange(-900, 4000).Draw(t, "ms"),
				flag:  rapid.Bool().Draw(t, "flag"),
			}
		}), 20, 80).Draw(rt, "moves")
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = play(t.Context(), moves) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// play returns what was violated, or "".
func play(ctx context.Context, moves []move) string {
	w := newWorld(3)
	for i := range 3 {
		w.hosts[hostName(i)].claimer.SetFronts(time.Now(), fronts(1))
	}
	for i := range 2 {
		w.give(frontName(i), hostName(i), true)
	}
	for _, h := range w.hosts {
		h.look()
	}
	time.Sleep(margins.Mapping + margins.Clock)
	var ids []uuid.UUID
	accepted := make(map[uuid.UUID]int)
	var newest *dedupe.Claim
	var newestID uuid.UUID
	var seen [3]time.Time // last change of fronts, by host
	sees := [3]int{1, 1, 1}
	claim := func(h *node, id uuid.UUID) {
		if k, err := h.claimer.Claim(ctx, id); err == nil {
			accepted[id]++
			newest, newestID = k, id
		}
	}
	for i, m := range moves {
		h := w.hosts[hostName(m.host)]
		switch m.what {
		case "create":
			ids = append(ids, newID(time.Now().Add(time.Duration(-m.ms)*time.Millisecond), byte(i)))
		case "claim":
			if len(ids) == 0 {
				continue
			}
			// The newest are the most likely to be accepted.
			id := ids[max(len(ids)-1-m.id, 0)]
			claim(h, id)
		case "race": // all hosts send the same new request
			id := newID(time.Now().Add(time.Duration(-m.ms)*time.Millisecond), byte(i))
			ids = append(ids, id)
			for k := range 3 {
				claim(w.hosts[hostName((m.host+k)%3)], id)
			}
		case "give":
			w.give(frontName(m.front), hostName(m.host), m.flag)
		case "look":
			h.look()
		case "wait":
			time.Sleep(time.Duration(max(m.ms, 0)) * time.Millisecond)
		case "fronts":
			// Each host sees the change at another time within the margin.
			n := 1
			if m.flag {
				n = 2
			}
			for k := range 3 {
				host := w.hosts[hostName(k)]
				// Settings never go back at a host.
				seen[k] = later(seen[k], time.Now().Add(time.Duration(k*max(m.ms, 0)/3)*time.Millisecond))
				time.AfterFunc(time.Until(seen[k]), func() {
					w.mu.Lock()
					sees[k] = n
					c := host.claimer
					w.mu.Unlock()
					c.SetFronts(time.Now(), fronts(n))
				})
			}
			time.Sleep(time.Duration(max(m.ms, 0)/2) * time.Millisecond)
		case "restart":
			w.restart(h.self, sees[m.host])
		case "lose":
			w.mu.Lock()
			w.lose = m.flag
			w.mu.Unlock()
		case "release": // the newest request was surely not run
			if newest != nil {
				newest.Release(ctx)
				accepted[newestID]--
				newest = nil
			}
		case "cut":
			w.mu.Lock()
			w.cut = m.id - 1
			w.mu.Unlock()
		case "delay":
			w.set(func() { w.delay = time.Duration(max(m.ms, 0)) * time.Millisecond / 2 })
		}
		synctest.Wait()
	}
	time.Sleep(margins.Mapping + time.Minute) // lets the timers and hand-overs end
	for id, n := range accepted {
		if n > 1 {
			return fmt.Sprintf("%s was accepted %d times", id, n)
		}
	}
	return ""
}

// later returns b, or a moment after a if that is later.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a.Add(time.Nanosecond)
}

// TestClaim checks the paths of a claim between hosts.
func TestClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		a, b := w.hosts["h0"], w.hosts["h1"]
		for _, h := range []*node{a, b} {
			h.claimer.SetFronts(time.Now(), fronts(1))
		}
		time.Sleep(margins.Mapping)
		w.give(frontName(0), "h0", true)
		created := newID(time.Now(), 1)
		time.Sleep(margins.Clock)
		claim := func(h *node, id uuid.UUID) string {
			_, err := h.claimer.Claim(t.Context(), id)
			return kind(err)
		}
		if got := claim(b, created); got != "unavailable" {
			t.Errorf("owner not known: %s", got)
		}
		a.look()
		b.look()
		if got := claim(b, created); got != "old" {
			t.Errorf("created before the memory: %s", got)
		}
		id := newID(time.Now(), 2)
		if got := claim(b, id); got != "accepted" {
			t.Errorf("first: %s", got)
		}
		if got := claim(a, id); got != "duplicate" {
			t.Errorf("resend: %s", got)
		}
		id = newID(time.Now(), 3)
		w.lose = true
		if got := claim(b, id); got != "unavailable" {
			t.Errorf("answers lost: %s", got)
		}
		w.lose = false
		if got := claim(b, id); got != "duplicate" {
			t.Errorf("after a claim with unknown outcome: %s", got)
		}
		w.give(frontName(0), "h1", false) // h0 has not noticed
		if got := claim(a, newID(time.Now(), 4)); got != "unavailable" {
			t.Errorf("at the former owner: %s", got)
		}
	})
}
