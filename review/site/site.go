package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
)

const (
	consumersHost  = "nony24.example"
	heartbeat      = 1500 * time.Millisecond
	holdMax        = 6 * time.Second
	startTimeout   = 15 * time.Second
	requestTimeout = 3 * time.Second
	// ownerKey is read to choose the process that acts as the leader, as an operator
	// would from the logs. No rule is judged by it.
	ownerKey = "f/owner"
)

// site is a small deployment: hosts with the real daemon, the store, and minions.
type site struct {
	log     *record
	daemon  string
	dir     string
	store   *wire.Store
	hosts   []*host
	minions []*minion
	client  *http.Client
	ctx     context.Context
	advice  string // address of the advice service; empty: none
	runs    *runLog
	ports   map[int]bool // that were given out
	gangs   map[string]gang
	gangMu  sync.Mutex
	latency time.Duration // of a call to a minion
	cloud   string        // address of the interface for machines; empty: none
	// storeFront is the address at which hosts reach the store; empty: its own.
	storeFront string
	lasting    map[string]lastingStep

	mu        sync.Mutex
	storeDown bool // minions don't reach the store either
	tickets   func(minion string, o order) bool
}

// host is an entry host: one process of the daemon.
type host struct {
	name     string
	front    string
	ready    string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
}

func newSite(ctx context.Context, log *record, daemon string) (*site, error) {
	path, err := filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{log: log, daemon: path, dir: dir, ctx: ctx, runs: newRunLog(log), ports: make(map[int]bool), client: &http.Client{Timeout: requestTimeout}}
	if s.store, err = wire.NewStore(); err != nil {
		return nil, err
	}
	return s, nil
}

// close ends all processes that were started, and the stand-ins.
func (s *site) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, m := range s.minions {
		m.close()
	}
	s.store.Close()
	_ = os.RemoveAll(s.dir) // a temporary folder that stays does no harm
}

// firstPort and lastPort bound the ports of the stand-ins and hosts: below those that the
// system gives to outgoing channels, which could take one between two starts.
const firstPort, lastPort = 15000, 30000

// freeAddress returns a free loopback address that it has not returned before.
func (s *site) freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if s.ports[port] {
			continue
		}
		s.ports[port] = true
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
		if err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

// hostCount is the least number of hosts of which one may fail while the others change the
// leader.
const hostCount = 3

// addHosts starts the hosts and waits until each is ready.
func (s *site) addHosts() error {
	for i := range hostCount {
		h := &host{name: fmt.Sprintf("front-%d", i+1)}
		var control, peers string
		for _, address := range []*string{&h.front, &h.ready, &control, &peers} {
			var err error
			if *address, err = s.freeAddress(); err != nil {
				return err
			}
		}
		_, port, err := net.SplitHostPort(peers)
		if err != nil {
			return err
		}
		cloud := map[string]any{"address": s.cloud, "rate_per_s": 60.0, "duties": []string{}, "duties_per_s": 60.0}
		data, err := json.Marshal(map[string]any{
			"node": h.name, "role": "node", "machine_class": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
			"zone": "sofia-a", "region": "bg-central", "zones": map[string]string{"sofia-a": "bg-central"},
			"listen":     map[string]string{"front": h.front, "ready": h.ready, "control": control},
			"port_range": []json.Number{json.Number(port), json.Number(port)}, "seeds": []string{control}, "bootstrap": true,
			"limits":       map[string]any{"cpu_share": 0.16, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"heartbeat_ms": heartbeat.Milliseconds(), "orders": "call", "discovery": "platform", "entry": "vip",
			"bounds": map[string]any{
				"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "evacuate_ms": 5000, "recovery_s": 12,
				"hold_max_ms": holdMax.Milliseconds(), "stop_timeout_ms": stopTimeout.Milliseconds(), "gang_timeout_ms": 3000, "cancel_ms": 3000,
				"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "enforce_fencing": true, "lease_ms": 3000, "pace_ms": 100,
			},
			"advice":   s.advice,
			"platform": map[string]any{"address": cmp.Or(s.storeFront, s.store.Address()), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": valueBytes, "ttl_min_ms": 1000},
			"cloud":    cloud,
		})
		if err != nil {
			return err
		}
		h.settings = filepath.Join(s.dir, h.name+".json")
		if err := os.WriteFile(h.settings, data, 0o600); err != nil {
			return err
		}
		if err := s.start(h); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	deadline := time.Now().Add(startTimeout)
	for _, h := range s.hosts {
		for !s.isReady(h) {
			if time.Now().After(deadline) {
				return errors.New(h.name + " does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// start starts the daemon of a host with the command of the deploy file.
func (s *site) start(h *host) error {
	out, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.CommandContext(context.Background(), s.daemon, "node")
	cmd.Env = []string{"FUCHSIAHILL_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives a case that is killed
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = cmd
	s.log.add("%s started, process %d", h.name, cmd.Process.Pid)
	return nil
}

// kill kills the process of a host and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGKILL) // it may have ended; a stopped one ends too
	_ = h.cmd.Wait()                          // reports the kill
	h.cmd = nil
}

func (s *site) isReady(h *host) bool {
	status, _ := s.call(http.MethodGet, h.ready, "/v1/ready", nil)
	return status == http.StatusOK
}

// call sends a request and returns the status, 0 without an answer, and the body.
func (s *site) call(method, address, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = consumersHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Fuchsiahill-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands a job in, at one host after the other, until it is accepted.
func (s *site) submit(prefix, id string, job map[string]any) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	for attempt := range 20 {
		h := s.hosts[attempt%len(s.hosts)]
		status, _ := s.call(http.MethodPost, h.front, prefix+id, body)
		s.log.add("POST %s%s at %s: %d", prefix, id, h.name, status)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("job " + id + " is not accepted")
}

// state asks for the state of a job at one host after the other. It is "" without an
// answer that tells one, and then status is the last one.
func (s *site) state(prefix, id string) (state string, status int) {
	for _, h := range s.hosts {
		if h.cmd == nil {
			continue
		}
		var body []byte
		status, body = s.call(http.MethodGet, h.front, prefix+id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &answer) == nil {
			return answer.State, status
		}
	}
	return "", status
}

// owner returns the host that last wrote to the store under a condition as the leader.
func (s *site) owner() (*host, error) {
	e, err := s.store.Get(ownerKey)
	if err != nil {
		return nil, err
	}
	for _, h := range s.hosts {
		if strings.Contains(string(e.Value), `"`+h.name+`"`) {
			return h, nil
		}
	}
	return nil, errors.New("no host leads")
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	maxAttempts           int
	advice                bool
}

// configure writes a version of the configuration as the operator does.
func (s *site) configure(version int, services []string, routes ...route) error {
	var rows, pools []map[string]any
	for _, r := range routes {
		row := map[string]any{
			"name": r.name, "host": consumersHost, "prefix": r.prefix, "service": r.service, "priority": 0,
			"max_attempts": r.maxAttempts, "stretch": 2.0, "slo_ms": 60000,
		}
		if r.advice {
			row["advice"] = map[string]any{"decide_ms": 5, "each_ms": 1, "valid_ms": 2000}
		}
		rows = append(rows, row)
	}
	for _, name := range services {
		pools = append(pools, map[string]any{"name": name, "admission_check": false})
	}
	s.log.add("operator writes configuration %d with %d routes", version, len(routes))
	return s.store.Put("op/config", map[string]any{"version": version, "routes": rows, "services": pools, "limits": map[string]any{"max_body_bytes": 262144}})
}

// pause waits, or returns an error if the case has taken too long.
func (s *site) pause(d time.Duration) error {
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (s *site) setStoreDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = down
}

func (s *site) storeIsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown
}

// ticketRefused reports whether a minion refuses a start for its ticket.
func (s *site) ticketRefused(minion string, o order) bool {
	s.mu.Lock()
	refuses := s.tickets
	s.mu.Unlock()
	return refuses != nil && refuses(minion, o)
}
