package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
)

const (
	zoneName  = "zone-a"
	holdMaxMS = 6000
	ttlMinMS  = 1000
	graceS    = 6
	statusS   = 120
	leaseMS   = 3000
	memoryMB  = 284
	maxFDs    = 4100
	cpuShare  = 0.16
	// callersHost is the Host of all routes.
	callersHost = "jobs.example"
)

// resources are what a task asks for or a minion has.
type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPUs  int64 `json:"gpus,omitempty"`
}

// site is a small deployment: a store, minions and entry hosts.
type site struct {
	dir     string // of the logs and settings
	daemon  string
	store   *wire.Store
	minions []*minion
	hosts   []*host
	advice  *advice // nil: no such service
	began   time.Time
	// frontHosts is the number of entry hosts.
	frontHosts int

	mu    sync.Mutex
	out   *os.File
	jobs  map[string]*job
	broke []string // broken rules
}

// newSite starts a store and minions. Its hosts follow with startHosts.
func newSite(daemon, recordPath string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	store, err := wire.NewStore()
	if err != nil {
		return nil, err
	}
	return &site{dir: dir, daemon: daemon, frontHosts: 3, store: store, began: time.Now(), out: out, jobs: make(map[string]*job)}, nil
}

// addMinions starts n more minions, of a service, six of them in each rack.
func (s *site) addMinions(n int, service string) error {
	const perRack = 6
	for i := len(s.minions); n > 0; i, n = i+1, n-1 {
		m, err := newMinion(s, fmt.Sprintf("minion-%02d", i), service, fmt.Sprintf("r%d-1", i/perRack), resources{CPU: 16000, MemMB: 64000})
		if err != nil {
			return err
		}
		s.minions = append(s.minions, m)
	}
	return nil
}

// record writes a line of the record, with the time since the start.
func (s *site) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLocked(format, args...)
}

func (s *site) recordLocked(format string, args ...any) {
	fmt.Fprintf(s.out, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// brokenLocked records that a rule was broken. The caller holds s.mu.
func (s *site) brokenLocked(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	s.broke = append(s.broke, text)
	s.recordLocked("BROKEN %s", text)
}

// route is a queue of the configuration.
type route struct {
	name, prefix string
	service      string // "": the usual one
	maxAttempts  int
	advice       map[string]any
}

// Services of the configuration.
const (
	usualService = "engine"
	otherService = "archive"
)

// configure writes a version of the configuration, which names the services of its routes and
// the usual one.
func (s *site) configure(version int, routes ...route) error {
	rows := make([]map[string]any, 0, len(routes))
	names := make([]string, 0, len(routes))
	services := []map[string]any{serviceRow(usualService)}
	for _, r := range routes {
		service := usualService
		if r.service != "" {
			service = r.service
			services = append(services, serviceRow(service))
		}
		row := map[string]any{
			"name": r.name, "host": callersHost, "prefix": r.prefix, "service": service, "kind": "unsafe", "timeout_ms": 3000, "priority": 0,
			"max_attempts": r.maxAttempts, "stretch": 2, "slo_ms": 1000,
		}
		if r.advice != nil {
			row["advice"] = r.advice
		}
		rows, names = append(rows, row), append(names, r.name)
	}
	s.record("the operator writes configuration %d with the routes %s", version, strings.Join(names, ", "))
	err := s.store.Put("op/config", map[string]any{
		"version": version, "routes": rows, "services": services, "limits": map[string]any{"max_body_bytes": 262144},
	})
	s.record("the store has acknowledged configuration %d", version)
	return err
}

func serviceRow(name string) map[string]any {
	return map[string]any{"name": name, "admission_check": false, "max_conns": 64}
}

// host is one entry host: a process of the daemon.
type host struct {
	name     string
	callers  string // address
	settings string // path
	log      string // path

	mu    sync.Mutex // held from the end of a process to the start of the next one
	cmd   *exec.Cmd
	ended bool // no process is started any more
}

func freeAddress() (string, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// startHosts starts n entry hosts and waits until all report ready.
func (s *site) startHosts(n int) error {
	for i := range n {
		h, err := s.newHost(fmt.Sprintf("front-%d", i))
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := h.start(s.daemon); err != nil {
			return err
		}
	}
	return s.awaitReady(20 * time.Second)
}

// newHost writes the settings of a host.
func (s *site) newHost(name string) (*host, error) {
	h := &host{name: name, settings: filepath.Join(s.dir, name+".json"), log: filepath.Join(s.dir, name+".log")}
	var ready, control, peers string
	for _, p := range []*string{&h.callers, &ready, &control, &peers} {
		var err error
		if *p, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	_, peerPort, _ := strings.Cut(peers, ":")
	settings := map[string]any{
		"node": name, "role": "node", "machine_class": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1", "zone": zoneName, "region": "region-1",
		"zones": map[string]string{zoneName: "region-1"}, "listen": map[string]string{"front": h.callers, "ready": ready, "control": control},
		"port_range": []json.Number{json.Number(peerPort), json.Number(peerPort)}, "bootstrap": true, "data_dir": nil,
		"limits":   map[string]any{"cpu_share": cpuShare, "cores": 1, "memory_mb": memoryMB, "max_fds": maxFDs, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds":   map[string]any{"hold_max_ms": holdMaxMS, "grace_s": graceS, "status_s": statusS, "lease_ms": leaseMS, "contact_ms": 3000, "stop_timeout_ms": 200},
		"platform": map[string]any{"address": s.store.Address(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": ttlMinMS},
		"orders":   "call",
	}
	if s.advice != nil {
		settings["advice"] = s.advice.address
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settings, data, 0o600)
}

// start starts the daemon with the command of the deploy file.
func (h *host) start(daemon string) error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	cmd := exec.CommandContext(context.Background(), daemon, "node")
	cmd.Env = []string{"FUCHSIAHILL_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd = cmd
	return nil
}

// signal sends a signal to the present process, if there is one.
func (h *host) signal(sig syscall.Signal) {
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(sig) // fails only if it has ended
	}
}

// restart waits for the end of the present process and starts the next one, unless the host is
// ended. It reports whether it has started one.
func (h *host) restart(daemon string) bool {
	_ = h.cmd.Wait() // ended by a signal
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.ended && h.start(daemon) == nil
}

// end kills the present process and starts no further one.
func (h *host) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.signal(syscall.SIGKILL)
}

// awaitReady waits until each host answers a question about its queue.
func (s *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, h := range s.hosts {
		for {
			if status, _ := s.ask(h, "GET", "/none/", nil); status == 404 {
				break
			}
			if time.Now().After(deadline) {
				return &notReadyError{h.name}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// notReadyError reports a host that did not come up.
type notReadyError struct{ host string }

func (e *notReadyError) Error() string { return "host " + e.host + " did not get ready" }

// close ends the hosts and stops the stand-ins.
func (s *site) close() {
	for _, h := range s.hosts {
		h.end()
	}
	s.store.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.out.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir) // only logs and settings
	}
}
