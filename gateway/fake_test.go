package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"github.com/fuchsiahill/fuchsiahill/dedupe"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/gateway"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	dc    = fleet.DataCentre("sofia-1")
	svc   = fleet.Service("reclaim")
	front = shard.ID("front/sofia-1/0")
)

// view provides a host list, settings and a directory of members that a test can
// change.
type view struct {
	mu        sync.Mutex
	list      *inventory.HostList
	changed   chan struct{}
	snapshot  *snapshot
	hosts     []member.Host
	summaries map[fleet.HostID]member.Summary
}

type snapshot struct {
	revision store.Revision
	centres  map[fleet.DataCentre]settings.DataCentre
	values   settings.Resolved
}

func (s snapshot) Revision() store.Revision                              { return s.revision }
func (s snapshot) DataCentres() map[fleet.DataCentre]settings.DataCentre { return s.centres }
func (s snapshot) Teams() map[fleet.Team]settings.Team                   { return nil }
func (s snapshot) Service(fleet.Organisation, fleet.DataCentre, fleet.Service) settings.Resolved {
	return s.values
}
func (s snapshot) JobClass(fleet.Organisation, fleet.DataCentre, fleet.JobClass) settings.Resolved {
	return s.values
}

func (v *view) Hosts() *inventory.HostList {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list
}

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *view) Current() settings.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot
}

func (v *view) ConfirmedAt() time.Time { return time.Now() }

// setList applies change to a copy of the host list and publishes it.
func (v *view) setList(change func(*inventory.HostList)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.list
	next.Servers = slices.Clone(next.Servers)
	change(&next)
	next.Version++
	v.list = &next
	close(v.changed)
	v.changed = make(chan struct{})
}

// setSettings applies change to a copy of the settings and publishes them.
func (v *view) setSettings(change func(*settings.Resolved, map[fleet.DataCentre]settings.DataCentre)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.snapshot
	next.centres = maps.Clone(next.centres)
	change(&next.values, next.centres)
	next.revision++
	v.snapshot = &next
}

type members struct{ *view }

func (m members) Hosts() []member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts
}

func (m members) Host(id fleet.HostID) (member.Host, bool) {
	for _, h := range m.Hosts() {
		if h.ID == id {
			return h, true
		}
	}
	return member.Host{}, false
}

func (m members) Summary(id fleet.HostID) (member.Summary, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.summaries[id]
	return s, ok
}

// network carries peer calls between the gateways of a test.
type network struct {
	mu          sync.Mutex
	handlers    map[fleet.HostID]map[string]peer.Handler
	owners      map[shard.ID]fleet.HostID
	claims      []shard.Owner // of the front, oldest first
	repliesLost bool          // calls are handled, but their replies are lost
}

func (n *network) Owner(id shard.ID) (shard.Owner, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, ok := n.owners[id]
	return shard.Owner{Host: host, Incarnation: 1, Epoch: 1}, ok
}

// claim makes a host the owner of a front under the next epoch.
func (n *network) claim(id shard.ID, host fleet.HostID) shard.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[id] = host
	o := shard.Owner{Host: host, Epoch: fleet.Epoch(len(n.claims) + 1)}
	n.claims = append(n.claims, o)
	return o
}

func (n *network) formerOwner(shard.ID) (shard.Owner, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.claims) < 2 {
		return shard.Owner{}, false
	}
	return n.claims[len(n.claims)-2], true
}

// port is the access of one host to the network. It also implements the host's
// rights to send.
type port struct {
	*network
	self   fleet.HostID
	denied atomic.Bool
}

func (p *port) MaySend(id shard.ID) bool {
	owner, ok := p.Owner(id)
	return ok && owner.Host == p.self && !p.denied.Load()
}

func (p *port) Handle(method string, h peer.Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.handlers[p.self] == nil {
		p.handlers[p.self] = make(map[string]peer.Handler)
	}
	p.handlers[p.self][method] = h
}

func (p *port) Call(ctx context.Context, host fleet.HostID, method string, request, response any) error {
	p.mu.Lock()
	h, lost := p.handlers[host][method], p.repliesLost
	p.mu.Unlock()
	if h == nil {
		return &peer.UnreachableError{Host: host}
	}
	data, err := json.Marshal(request)
	if err != nil {
		return err
	}
	result, err := h(ctx, p.self, data)
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
	return json.Unmarshal(data, response)
}

// site is a set of gateways with the fakes and backend servers that they use.
type site struct {
	*view
	net      *network
	backends []*standin.Backend
}

func newSite(t testing.TB, backends int, work func() time.Duration) *site {
	t.Helper()
	s := &site{
		view: &view{list: &inventory.HostList{Version: 1}, changed: make(chan struct{}), summaries: make(map[fleet.HostID]member.Summary)},
		net:  &network{handlers: make(map[fleet.HostID]map[string]peer.Handler), owners: make(map[shard.ID]fleet.HostID)},
	}
	s.snapshot = &snapshot{
		revision: 1,
		centres:  map[fleet.DataCentre]settings.DataCentre{dc: {Region: "bg", State: settings.DataCentreInService, Cells: 1}},
		values: settings.Resolved{
			RequestTimeoutMS: 1000, ObjectiveMS: 50, Concurrency: 1000, QueueLength: 100, RetryBudgetPercent: 10,
			FirstByteTimeoutMS: 100, IdleTimeoutMS: 100, DialTimeoutMS: 100, BufferBytes: 1 << 10,
		},
	}
	for i := range backends {
		b, err := standin.StartBackend(inventory.Server{
			ID: fleet.ServerID(fmt.Sprintf("s%d", i)), Service: svc, Organisation: "balkantrans", DataCentre: dc,
			Worker: "w1", Address: "127.0.0.1:0", Slots: 8, Connections: 64, State: inventory.StateLive,
		}, work)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeBackend(t, b) })
		s.backends = append(s.backends, b)
		s.setList(func(l *inventory.HostList) { l.Servers = append(l.Servers, b.Info()) })
	}
	return s
}

// newBlockedSite returns a site with one server, which blocks all requests until
// release is called and then works on each request for the time work.
func newBlockedSite(t testing.TB, work time.Duration) (s *site, release func()) {
	t.Helper()
	held := make(chan struct{})
	release = sync.OnceFunc(func() { close(held) })
	s = newSite(t, 1, func() time.Duration { <-held; return work })
	t.Cleanup(release) // runs before the server is closed
	s.setSettings(func(v *settings.Resolved, _ map[fleet.DataCentre]settings.DataCentre) {
		v.RequestTimeoutMS, v.FirstByteTimeoutMS = 10_000, 10_000
	})
	return s, release
}

// closeBackend closes the server and checks that it never got more concurrent
// requests or connections than it allows.
func closeBackend(t testing.TB, b *standin.Backend) {
	t.Helper()
	_ = b.Close()
	if st := b.Stats(); st.MaxRequests > 8 || st.MaxConnections > 64 {
		t.Errorf("a server had %d requests and %d connections at once, want at most 8 and 64", st.MaxRequests, st.MaxConnections)
	}
}

func (s *site) setFaults(f standin.BackendFaults) {
	for _, b := range s.backends {
		b.SetFaults(f)
	}
}

// runCount returns how often the backend servers ran the request with this ID, or
// all requests if id is "".
func (s *site) runCount(id string) int {
	n := 0
	for _, b := range s.backends {
		for _, r := range b.Stats().Requests {
			if id == "" || r.ID == id {
				n++
			}
		}
	}
	return n
}

// margins are short because all hosts of a test share a clock.
var margins = dedupe.Margins{MaxFuture: 20 * time.Millisecond, StartMargin: 50 * time.Millisecond, Propagation: 30 * time.Millisecond}

// host is one gateway under test.
type host struct {
	*gateway.Gateway
	port   *port
	url    string
	client *http.Client
	stop   context.CancelFunc // makes Run return
	ended  chan struct{}      // closed when Run has returned
}

// start runs a gateway, which owns the front if owner is true.
func (s *site) start(t testing.TB, id fleet.HostID, owner bool) *host {
	t.Helper()
	h := &host{port: &port{network: s.net, self: id}}
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	self := member.Host{ID: id, Incarnation: 1, Region: "bg", DataCentre: dc, HTTPAddress: address}
	h.Gateway = gateway.New(gateway.Deps{
		Self: self, Platform: s.view, Settings: s.view, Rights: h.port, Shards: s.net, FormerOwner: s.net.formerOwner,
		Members: members{s.view}, Caller: h.port, Registry: h.port, Logger: log.NewNopLogger(),
		Margins: margins,
	})
	server.Config.Handler = h.Gateway
	server.Start()
	h.url = server.URL + "/svc/reclaim/x"
	h.client = server.Client()
	s.mu.Lock()
	s.hosts = append(s.hosts, self)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = h.Serve(ctx)
	}()
	h.stop = func() {}
	if owner {
		h.run(front)
	}
	t.Cleanup(func() {
		h.stop()
		for _, b := range s.backends {
			_ = b.Close()
		}
		if h.ended != nil {
			<-h.ended
		}
		cancel()
		<-served
		server.Close()
	})
	return h
}

// run makes the host the owner of the front and waits until it uses the servers.
func (h *host) run(id shard.ID) {
	owner := h.port.claim(id, h.port.self)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	ended := make(chan struct{})
	h.ended = ended
	go func() {
		defer close(ended)
		_ = h.Run(ctx, id, owner)
	}()
	for h.Summary()[svc].Slots == 0 {
		time.Sleep(time.Millisecond)
	}
}

// reply is the response or the error that a caller gets.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of the exchange or of reading the body
}

func (r reply) outcome() string { return r.header.Get(gateway.HeaderOutcome) }
func (r reply) reason() string  { return r.header.Get(gateway.HeaderReason) }

// call sends a request. headers are pairs of names and values.
func (h *host) call(ctx context.Context, method, body string, headers ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, h.url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 2 s")
		}
	}
}
