package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
)

// hostProcess is one host: a process of the real daemon, restarted after each
// exit.
type hostProcess struct {
	name           string
	daemon         string
	settingsPath   string
	callersAddress string // host:port
	store          *wire.StoreFront
	link           *proxy // connection to the store
	logPath        string

	restart sync.Mutex // held from the exit of a process to the next start
	mu      sync.Mutex
	cmd     *exec.Cmd
}

func freePort() (string, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

const (
	// smallBudgetEach: one host of so many has memory for a few jobs only. It refuses others, and
	// as the owner it holds back jobs that other hosts have accepted.
	smallBudgetEach = 3
	smallJobBytes   = 40 << 10
)

// newHost writes a host's settings file and opens its proxy to the store.
func newHost(dir, daemon string, index int, front *wire.StoreFront) (*hostProcess, error) {
	link, err := newProxy(front.Address())
	if err != nil {
		return nil, err
	}
	h := &hostProcess{name: fmt.Sprintf("host-%d", index), daemon: daemon, store: front, link: link}
	var ready, control string
	for _, p := range []*string{&h.callersAddress, &ready, &control} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	h.settingsPath, h.logPath = filepath.Join(dir, h.name+".json"), filepath.Join(dir, h.name+".log")
	jobBytes := int64(0)
	if index%smallBudgetEach == 1 {
		jobBytes = smallJobBytes
	}
	data, err := wire.HostSettings{
		Name: h.name, CallersAddress: h.callersAddress, ReadyAddress: ready, MetricsAddress: control, StoreAddress: link.address(),
		MemoryMB: 256, GraceSeconds: 4, LeaseTTL: 1000, JobBytes: jobBytes,
	}.Encode()
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settingsPath, data, 0o600)
}

// start starts the daemon and appends its output to the host's log file.
func (h *hostProcess) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own file descriptor
	cmd := exec.CommandContext(context.Background(), h.daemon, "node")
	cmd.Env = []string{wire.SettingsVariable + "=" + h.settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	h.cmd = cmd
	h.mu.Unlock()
	return nil
}

// signal sends a signal to the host's current process, if it is still running.
func (h *hostProcess) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// signalAndRestart sends a signal that ends the process, waits for its exit and
// restarts it after a pause.
func (h *hostProcess) signalAndRestart(s syscall.Signal, pause time.Duration) error {
	h.restart.Lock()
	defer h.restart.Unlock()
	if err := h.signalAndWait(s); err != nil {
		return err
	}
	time.Sleep(pause)
	return h.start()
}

// signalAndWait sends a signal that ends the process and waits for its exit.
func (h *hostProcess) signalAndWait(s syscall.Signal) error {
	if err := h.signal(s); err != nil {
		return err
	}
	h.mu.Lock()
	cmd := h.cmd
	h.mu.Unlock()
	var exit *exec.ExitError
	if err := cmd.Wait(); err != nil && !errors.As(err, &exit) {
		return err
	}
	return nil
}
