package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
)

const (
	// maxFailures is the limit of failures per task in the configuration of a run.
	maxFailures = 4
	// cancelBound is how long after a cancellation a task may still start: the
	// platform's 3 s, and more for an owner that is frozen or disconnected, to
	// which that bound does not apply.
	cancelBound = 20 * time.Second
	// settleBound is how long jobs may take to end after the faults: the recovery
	// bound of 12 s, a lease of 6 s and the run times of the tasks.
	settleBound = 40 * time.Second
	// followBound is how long workers may stay without a lease after the faults: the
	// recovery bound.
	followBound    = 12 * time.Second
	followInterval = 50 * time.Millisecond
	// jobsPerWorker is the load in jobs per second and worker: about a third of the
	// capacity.
	jobsPerWorker = 0.25
	startPause    = 1500 * time.Millisecond
	// tenantWeight is above the jobs that a tenant submits in a second.
	tenantWeight = 100
)

var workerCapacity = fleet.Resources{MilliCores: 8000, MemoryMB: 16000}

// Options configure a run.
type Options struct {
	Daemon  string // path of fuchsiahilld
	Dir     string // logs and settings; must exist
	Seed    uint64
	For     time.Duration
	Hosts   int
	Workers int
	Out     io.Writer // progress, one line per event
}

// Verdict is the outcome of a run.
type Verdict struct {
	Seed     uint64   `json:"seed"`
	Seconds  float64  `json:"seconds"`
	Accepted int      `json:"accepted"`
	Refused  int      `json:"refused"`
	Deadly   int      `json:"deadly"` // accepted jobs with a task that crashes its workers
	Starts   int      `json:"starts"`
	Faults   int      `json:"faults"`
	Strays   int      `json:"strays"`   // starts of completed tasks by orders that outlived their worker, which nothing could refuse
	GivenUp  int      `json:"given_up"` // other jobs that failed for crashes alone
	Open     []string `json:"open"`     // accepted jobs that have not ended
	Broken   []string `json:"broken"`   // broken rules
	Logs     string   `json:"logs"`
}

// Failed reports whether a promise was broken, a job did not end, or none was
// accepted.
func (v *Verdict) Failed() bool { return len(v.Open)+len(v.Broken) > 0 || v.Accepted == 0 }

// run is a run of a site under test.
type run struct {
	opts    Options
	store   *wire.Store
	workers []*workerLink
	hosts   []*hostProcess
	checker *wire.Checker
	odd     *wire.EntryWriter
	keys    *wire.Keys
	version int // of the latest configuration

	mu      sync.Mutex
	joined  []*workerLink // during the run
	faults  int
	started time.Time
}

// workerLink is a worker behind a proxy.
type workerLink struct {
	*wire.Worker
	link *proxy
}

// Run starts a site, applies load and faults for opts.For, waits for the accepted
// jobs to end and returns the verdict. It returns an error if the site could not
// be started.
func Run(ctx context.Context, opts Options) (*Verdict, error) {
	r := newRun(opts)
	defer r.close()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	pool := newCallerPool(r.hosts, r.checker, r.keys, rand.New(rand.NewPCG(opts.Seed, 1)))
	load, stop := context.WithTimeout(ctx, opts.For)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { pool.run(load, jobsPerWorker*float64(opts.Workers)) })
	for stream, kinds := range [][]fault{faults, faults, faults, workerFaults, entryFaults, platformFaults} {
		group.Go(func() { r.injectFaults(load, kinds, rand.New(rand.NewPCG(opts.Seed, uint64(2+stream)))) })
	}
	group.Wait()
	r.clearFaults()
	pool.group.Wait()
	unfinished := pool.awaitEnd(settleBound)
	r.awaitFollowed()
	starts, broken := r.checker.Violations()
	v := &Verdict{
		Seed: opts.Seed, Seconds: time.Since(r.started).Seconds(), Accepted: len(pool.accepted), Refused: pool.refused, Deadly: pool.deadly, Starts: starts, Faults: r.faults,
		Strays: r.checker.Strays(), GivenUp: r.checker.GivenUp(), Broken: broken, Logs: opts.Dir,
	}
	for _, id := range unfinished {
		v.Open = append(v.Open, string(id))
	}
	return v, nil
}

func newRun(opts Options) *run {
	checker := wire.NewChecker(maxFailures, cancelBound)
	return &run{opts: opts, checker: checker, keys: wire.NewKeys(checker), started: time.Now()}
}

func (r *run) setUp() error {
	var err error
	if r.store, err = wire.NewStore(); err != nil {
		return err
	}
	if r.odd, err = wire.NewEntryWriter(r.store, r.checker); err != nil {
		return err
	}
	for i := range r.opts.Workers {
		w, err := r.newWorker(fleet.WorkerID(fmt.Sprintf("w-%d", i)))
		if err != nil {
			return err
		}
		r.workers = append(r.workers, w)
	}
	if err := r.leaveOddEntries(rand.New(rand.NewPCG(r.opts.Seed, 0))); err != nil {
		return err
	}
	if err := r.configure(1); err != nil {
		return err
	}
	for i := range r.opts.Hosts {
		front, err := r.store.AddFront()
		if err != nil {
			return err
		}
		h, err := newHost(r.opts.Dir, r.opts.Daemon, i, front)
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	time.Sleep(startPause)
	return nil
}

// configure writes a version that is higher than the one before by step. One key moves
// between the tenants with each version.
func (r *run) configure(step int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version += step
	tenants := []wire.Tenant{{Name: "one", APIKeys: []string{keyOne}, Weight: tenantWeight}, {Name: "two", APIKeys: []string{keyTwo}, Weight: tenantWeight}}
	if holder := r.version % (len(tenants) + 1); holder < len(tenants) {
		tenants[holder].APIKeys = append(tenants[holder].APIKeys, "key-moves")
	}
	acknowledge := r.keys.Send(tenants)
	if err := r.store.Configure(r.version, maxFailures, tenants); err != nil {
		return err
	}
	acknowledge()
	return nil
}

// newWorker starts a worker and registers it at the address of its proxy.
func (r *run) newWorker(id fleet.WorkerID) (*workerLink, error) {
	w, err := wire.NewWorker(id, workerCapacity, r.checker, r.store)
	if err != nil {
		return nil, err
	}
	link, err := newProxy(w.Address())
	if err != nil {
		w.Close()
		return nil, err
	}
	return &workerLink{w, link}, w.RegisterAt(link.address())
}

func (r *run) allWorkers() []*workerLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.workers, r.joined)
}

// awaitFollowed waits until an owner follows all workers, those that have joined beside
// odd entries as well, and records those that are not followed after followBound.
func (r *run) awaitFollowed() {
	deadline := time.Now().Add(followBound)
	for _, w := range r.allWorkers() {
		for !w.Followed() && time.Now().Before(deadline) {
			time.Sleep(followInterval)
		}
		if !w.Followed() {
			r.checker.RecordUnfollowedWorker(w.ID())
		}
	}
}

func (r *run) close() {
	for _, h := range r.hosts {
		_ = h.signal(syscall.SIGCONT)
		if err := h.signalAndWait(syscall.SIGKILL); err != nil {
			r.logf("kill %s: %v", h.name, err)
		}
		h.link.close()
	}
	for _, w := range r.allWorkers() {
		w.link.close()
		w.Close()
	}
	if r.odd != nil {
		r.odd.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
}

// logf writes a progress line with the time since the start of the run.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.opts.Out, "%7.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// WriteReport writes a verdict as indented JSON.
func WriteReport(out io.Writer, v *Verdict) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// RemoveLogs removes the log directory of a run unless the run failed.
func RemoveLogs(v *Verdict) error {
	if v.Failed() {
		return nil
	}
	return os.RemoveAll(v.Logs)
}
