package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	entryHostCount = 3
	callerCount    = 4
	// startTimeout limits the time from the start of the hosts until every
	// shard has an owner.
	startTimeout = 60 * time.Second
	// drainTimeout limits the time that jobs may take to end after the load.
	drainTimeout     = 60 * time.Second
	progressInterval = time.Second
)

// Options configure a run.
type Options struct {
	For      time.Duration // length of the load; 0: until the context ends
	Faults   bool          // inject failures during the load
	Seed     uint64
	Tasks    int           // per job; 0: tasksPerJob
	TaskTime time.Duration // run time of an unthrottled task; 0: taskTime
	Progress io.Writer     // nil: none
	Logger   log.Logger    // for the hosts; nil: none
}

// StartError reports a run that could not start.
type StartError struct {
	Step  string
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("dev: %s: %v", e.Step, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Run runs a site until opts.For has passed or ctx ends, drains it and
// returns the verdict. The error is a *StartError.
func Run(ctx context.Context, opts Options) (Report, error) {
	r, err := start(ctx, opts)
	if err != nil {
		return Report{}, err
	}
	defer r.site.Close()
	return r.load(ctx), nil
}

// run is a running site.
type run struct {
	opts    Options
	site    *standin.Site
	hosts   *hostSet
	calls   *tally
	jobs    *submissions
	monitor *settingsMonitor
	outage  outage
}

func start(ctx context.Context, opts Options) (*run, error) {
	if opts.Tasks == 0 {
		opts.Tasks = tasksPerJob
	}
	if opts.TaskTime == 0 {
		opts.TaskTime = taskTime
	}
	cfg := siteConfig(opts.Seed)
	cfg.TaskTime = opts.TaskTime
	site, err := standin.StartSite(cfg)
	if err != nil {
		return nil, &StartError{Step: "stand-ins", Cause: err}
	}
	hosts := &hostSet{site: site, logger: opts.Logger}
	r := &run{
		opts:    opts,
		site:    site,
		hosts:   hosts,
		calls:   &tally{},
		jobs:    &submissions{service: hosts.jobs, org: organisation, team: team, tasksPerJob: opts.Tasks},
		monitor: newSettingsMonitor(hosts),
	}
	if err := setTree(ctx, site.Store, tree()); err != nil {
		return r.fail("settings", err)
	}
	for range entryHostCount {
		if err := hosts.start(); err != nil {
			return r.fail("entry host", err)
		}
	}
	if err := awaitShards(ctx, r.hosts.client()); err != nil {
		return r.fail("shards", err)
	}
	return r, nil
}

func (r *run) fail(step string, err error) (*run, error) {
	r.hosts.stop()
	r.site.Close()
	return nil, &StartError{Step: step, Cause: err}
}

// setTree writes the parts of a settings tree to the store, each after the parts
// that it refers to. Hosts that start later see only these settings.
func setTree(ctx context.Context, kv store.Store, t *settings.Tree) error {
	parts := []struct {
		path  string
		value any
	}{
		{"values", t.Values},
		{"data_centres", t.DataCentres},
		{"organisations", t.Organisations},
		{"teams", t.Teams},
	}
	editor := settings.NewEditor(kv, time.Now)
	for _, part := range parts {
		value, err := json.Marshal(part.value)
		if err != nil {
			return err
		}
		change := settings.Change{ID: changeID(), Actor: "dev", Path: part.path, Value: value}
		if _, err := editor.Apply(ctx, change); err != nil {
			return err
		}
	}
	return nil
}

func changeID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// UnownedError reports that shards still had no owner after startTimeout.
type UnownedError struct{ Shards int }

func (e *UnownedError) Error() string { return fmt.Sprintf("%d shards have no owner", e.Shards) }

func awaitShards(ctx context.Context, client *api.Client) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	unowned := -1
	for ctx.Err() == nil {
		status, err := client.Status(ctx)
		// A host that is not ready may have read only the first parts of the tree.
		if err == nil && status.Ready && status.Unowned == 0 {
			return nil
		}
		unowned = status.Unowned
		_ = wait.For(ctx, pollInterval)
	}
	return &UnownedError{Shards: unowned}
}

// load generates load on the site, drains it and returns the verdict.
func (r *run) load(ctx context.Context) Report {
	r.announce()
	loadCtx, stop := context.WithCancel(ctx)
	if r.opts.For > 0 {
		loadCtx, stop = context.WithTimeout(ctx, r.opts.For)
	}
	defer stop()
	var group sync.WaitGroup
	for i := range callerCount {
		c := newCaller(r.hosts.addresses, r.calls, r.opts.Seed+uint64(i))
		group.Go(func() { c.run(loadCtx) })
	}
	group.Go(func() { r.jobs.run(loadCtx) })
	var faults []string
	if r.opts.Faults {
		group.Go(func() { faults = r.injectFaults(loadCtx, faultSchedule()) })
	}
	group.Go(func() { r.progress(loadCtx) })
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go r.monitor.run(watchCtx)
	group.Wait()
	underLoad := judge(r.site, r.calls, r.jobs).Tasks.Finished
	report := r.finish(faults)
	report.Tasks.FinishedUnderLoad = underLoad
	return report
}

func (r *run) finish(faults []string) Report {
	// The drain continues after the load's context has ended.
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	started := time.Now()
	drained := r.jobs.drain(ctx)
	took := time.Since(started)
	r.hosts.stop()
	report := judge(r.site, r.calls, r.jobs)
	report.Settings = r.monitor.counts()
	report.Faults = sortedFaults(faults)
	report.Drained = drained
	report.DrainMS = took.Milliseconds()
	return report
}

// announce prints the hosts' addresses and example commands.
func (r *run) announce() {
	w := r.opts.Progress
	if w == nil {
		return
	}
	for _, h := range r.hosts.list() {
		fmt.Fprintf(w, "%s  callers http://%s  operators http://%s\n", h.cfg.ID, h.host.HTTPAddress(), h.host.OperatorsAddress())
	}
	first := r.hosts.list()[0].host
	fmt.Fprintf(w, "\ntry:\n")
	fmt.Fprintf(w, "  curl -i -d invoice http://%s/svc/%s/check\n", first.HTTPAddress(), serviceName)
	fmt.Fprintf(w, "  fuchsiahill --address http://%s status\n", first.OperatorsAddress())
	fmt.Fprintf(w, "  fuchsiahill --address http://%s dc out %s\n\n", first.OperatorsAddress(), dataCentres[1])
}

// progress prints a status line every progressInterval.
func (r *run) progress(ctx context.Context) {
	if r.opts.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := judge(r.site, r.calls, r.jobs)
			fmt.Fprintf(r.opts.Progress, "%3.0fs  requests %d answered, %d refused, %d unknown, %d wrong  tasks %d of %d finished\n",
				time.Since(started).Seconds(), now.Requests.Answered, now.Requests.Refused, now.Requests.Unknown, now.Requests.Wrong,
				now.Tasks.Finished, now.Tasks.Submitted)
		}
	}
}
