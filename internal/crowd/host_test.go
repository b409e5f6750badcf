//go:build crowd

package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
)

const (
	// memoryShare is the share of the machine's memory that a host may take under a
	// crowd.
	memoryShare    = 0.85
	maxFailures    = 4
	sampleInterval = 10 * time.Millisecond
	// hangTimeout ends a test whose host gives no answer at all; it is no bound.
	hangTimeout  = 2 * time.Minute
	callTimeout  = 10 * time.Second
	retryPause   = 250 * time.Millisecond
	graceSeconds = 4
)

var (
	peakPattern    = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)
	filePattern    = regexp.MustCompile(`RssFile:(\s+\d+) kB`)
	workerCapacity = fleet.Resources{MilliCores: 64000, MemoryMB: 64000}
)

// process is one of the system's own, which a crowd is played against.
type process struct {
	cmd             *exec.Cmd
	exited          chan struct{}
	peakDescriptors atomic.Int64
}

// daemonHost is a process of the real daemon, with a store and a worker.
type daemonHost struct {
	*process
	address  string // for callers
	settings wire.HostSettings
}

// startHost starts a host with the given limits and waits until it has accepted a job.
func startHost(t *testing.T, memoryMB, maxDescriptors int) *daemonHost {
	t.Helper()
	h := startHostOn(t, startStore(t, 1), "host-0", memoryMB, maxDescriptors)
	h.submit(t, "00000000000000aa")
	return h
}

// startStore starts a store with workers and a configuration.
func startStore(t *testing.T, workers int) *wire.Store {
	t.Helper()
	site, err := wire.NewStore()
	check(t, err)
	t.Cleanup(site.Close)
	checker := wire.NewChecker(maxFailures, hangTimeout)
	for i := range workers {
		worker, err := wire.NewWorker(fleet.WorkerID(fmt.Sprintf("w-%d", i)), workerCapacity, checker, site)
		check(t, err)
		t.Cleanup(worker.Close)
	}
	check(t, site.Configure(1, maxFailures, nil))
	return site
}

// startHostOn starts a host on a store.
func startHostOn(t *testing.T, site *wire.Store, name string, memoryMB, maxDescriptors int) *daemonHost {
	t.Helper()
	settings := wire.HostSettings{
		Name: name, CallersAddress: freeAddress(t), ReadyAddress: freeAddress(t), MetricsAddress: freeAddress(t), StoreAddress: site.Address(),
		MemoryMB: memoryMB, MaxDescriptors: maxDescriptors, GraceSeconds: graceSeconds, LeaseTTL: 1000,
		PeerAddress: netip.MustParseAddrPort(freeAddress(t)),
	}
	data, err := settings.Encode()
	check(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	check(t, os.WriteFile(path, data, 0o600))
	cmd := exec.CommandContext(context.Background(), build(t, "fuchsiahilld"), "node")
	cmd.Env = []string{wire.SettingsVariable + "=" + path}
	p, _ := startProcess(t, cmd)
	return &daemonHost{process: p, address: settings.CallersAddress, settings: settings}
}

// state returns the status of a query of a job, and its state; 0: there was no answer.
func (h *daemonHost) state(t *testing.T, client *http.Client, id string) (status int, state string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.address+wire.CallersPrefix+id, nil)
	check(t, err)
	req.Host = wire.CallersHost
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct{ State string }
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return 0, ""
	}
	return resp.StatusCode, answer.State
}

// awaitCompletion waits until a job is shown as completed.
func (h *daemonHost) awaitCompletion(t *testing.T, id string) {
	t.Helper()
	client := &http.Client{Timeout: callTimeout}
	last := ""
	for began := time.Now(); time.Since(began) < hangTimeout; time.Sleep(retryPause) {
		var status int
		if status, last = h.state(t, client, id); status == http.StatusOK && last == "completed" {
			return
		}
	}
	t.Errorf("the job is not completed: %q", last)
}

// accepted returns how many of the jobs of the first clients of jobs the host knows.
func (h *daemonHost) accepted(t *testing.T, clients int) int {
	t.Helper()
	client := &http.Client{Timeout: callTimeout}
	n := 0
	for began, i := time.Now(), 0; i < clients && time.Since(began) < hangTimeout; {
		switch status, _ := h.state(t, client, fmt.Sprintf("%08x%08x", i+1, 0)); status {
		case http.StatusOK:
			n++
		case http.StatusGone:
		default: // not ready, or too many questions at once
			time.Sleep(retryPause)
			continue
		}
		i++
	}
	return n
}

// build builds a command of the project and returns its path.
func build(t *testing.T, command string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), command)
	out, err := exec.Command("go", "build", "-o", path, "github.com/fuchsiahill/fuchsiahill/cmd/"+command).CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// startProcess starts a process, ends it with the test, and returns the path of its log.
func startProcess(t *testing.T, cmd *exec.Cmd) (p *process, log string) {
	t.Helper()
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	check(t, err)
	p = &process{cmd: cmd, exited: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = logs, logs
	check(t, cmd.Start())
	go func() {
		_ = cmd.Wait() // the tests check when it exits, not how
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended by itself
		<-p.exited
		_ = logs.Close()
		if t.Failed() {
			tail, _ := os.ReadFile(logs.Name()) // best effort
			t.Logf("log:\n%s", tail[max(0, len(tail)-2000):])
		}
	})
	go p.sample()
	return p, logs.Name()
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// freeAddress returns a free port of a loopback address that nobody else is likely to
// use, so that it is still free when the host listens there.
func freeAddress(t *testing.T) string {
	t.Helper()
	address := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	ln, err := net.Listen("tcp4", net.JoinHostPort(address.String(), "0"))
	check(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// sample records the peak number of open descriptors until the process exits.
func (p *process) sample() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.peakDescriptors.Store(max(p.peakDescriptors.Load(), int64(len(entries))))
		}
	}
}

// submit submits an ordinary job as callers do: again with the same ID after a
// refusal or a broken connection.
func (h *daemonHost) submit(t *testing.T, id string) {
	t.Helper()
	h.submitFrom(t, "", id)
}

// otherAddress is one that crowds don't come from.
const otherAddress = "127.0.0.2"

// submitFrom is submit from a local address, or from any if it is empty.
func (h *daemonHost) submitFrom(t *testing.T, source, id string) {
	t.Helper()
	dialer := &net.Dialer{}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	last := "nothing"
	for began := time.Now(); time.Since(began) < hangTimeout; time.Sleep(retryPause) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.address+wire.CallersPrefix+id, bytes.NewReader(jobBody(1000)))
		check(t, err)
		req.Host = wire.CallersHost
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = resp.Status
	}
	t.Errorf("an ordinary job got no answer; the last attempt: %s", last)
}

// checkBounds checks that the process lives, and what it has taken at most.
func (p *process) checkBounds(t *testing.T, memoryMB, maxDescriptors int) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("the host has ended: %v", p.cmd.ProcessState)
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	check(t, err)
	match := peakPattern.FindSubmatch(status)
	if match == nil {
		t.Fatalf("no VmHWM in %s", status)
	}
	peakKB, err := strconv.ParseInt(string(match[1]), 10, 64)
	check(t, err)
	file := filePattern.FindSubmatch(status)
	bound, descriptors := int64(memoryShare*float64(memoryMB<<10)), p.peakDescriptors.Load()
	t.Logf("peak resident %d kB of %d kB, now%s kB of files, %d descriptors of %d", peakKB, bound, file[1], descriptors, maxDescriptors)
	if peakKB > bound {
		t.Errorf("peak resident memory is %d kB, the bound is %d kB", peakKB, bound)
	}
	if descriptors > int64(maxDescriptors) {
		t.Errorf("%d descriptors were open, the bound is %d", descriptors, maxDescriptors)
	}
}
