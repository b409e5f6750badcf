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
	entryHosts = 3
	callers    = 4
	// startBound is how long the hosts may take from their start until every
	// shard has an owner.
	startBound = 60 * time.Second
	// drainBound is how long tasks may take to end once the load has.
	drainBound    = 60 * time.Second
	progressEvery = time.Second
)

// Options choose a run.
type Options struct {
	For      time.Duration // of the load; 0: until the context ends
	Faults   bool          // bring about failures during the load
	Seed     uint64
	Tasks    int           // of each job; 0: a light load
	TaskTime time.Duration // of a task, unthrottled; 0: short
	Progress io.Writer     // nil: none
	Logger   log.Logger    // of the hosts; nil: none
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
	opts  Options
	site  *standin.Site
	hosts *entries
	calls *tally
	jobs  *submissions
	force *inForce
	loss  loss
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
	hosts := &entries{site: site, logger: opts.Logger}
	r := &run{
		opts:  opts,
		site:  site,
		hosts: hosts,
		calls: &tally{},
		jobs:  &submissions{service: hosts.jobs, org: organisation, team: team, tasksOf: opts.Tasks},
		force: newInForce(hosts),
	}
	if err := setTree(ctx, site.Store, tree()); err != nil {
		return r.fail("settings", err)
	}
	for range entryHosts {
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

// setTree writes the parts of a tree to the store in the order in which they
// refer to one another. Hosts that start later know no other settings.
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

// UnownedError reports shards without an owner.
type UnownedError struct{ Shards int }

func (e *UnownedError) Error() string { return fmt.Sprintf("%d shards have no owner", e.Shards) }

func awaitShards(ctx context.Context, client *api.Client) error {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	unowned := -1
	for ctx.Err() == nil {
		status, err := client.Status(ctx)
		// A host that is not ready may know an early part of the tree only.
		if err == nil && status.Ready && status.Unowned == 0 {
			return nil
		}
		unowned = status.Unowned
		_ = wait.For(ctx, pollInterval)
	}
	return &UnownedError{Shards: unowned}
}

// load puts load on the site, drains it and judges.
func (r *run) load(ctx context.Context) Report {
	r.announce()
	loadCtx, stop := context.WithCancel(ctx)
	if r.opts.For > 0 {
		loadCtx, stop = context.WithTimeout(ctx, r.opts.For)
	}
	defer stop()
	var group sync.WaitGroup
	for i := range callers {
		c := newCaller(r.hosts.addresses, r.calls, r.opts.Seed+uint64(i))
		group.Go(func() { c.run(loadCtx) })
	}
	group.Go(func() { r.jobs.run(loadCtx) })
	var faults []string
	if r.opts.Faults {
		group.Go(func() { faults = r.bringFaults(loadCtx, plan()) })
	}
	group.Go(func() { r.progress(loadCtx) })
	watchCtx, stopWatch := context.WithCancel(context.Background())
	defer stopWatch()
	go r.force.run(watchCtx)
	group.Wait()
	underLoad := judge(r.site, r.calls, r.jobs).Tasks.Finished
	report := r.finish(faults)
	report.Tasks.FinishedUnderLoad = underLoad
	return report
}

func (r *run) finish(faults []string) Report {
	// The drain goes on after the load's context has ended.
	ctx, cancel := context.WithTimeout(context.Background(), drainBound)
	defer cancel()
	began := time.Now()
	drained := r.jobs.drain(ctx)
	took := time.Since(began)
	r.hosts.stop()
	report := judge(r.site, r.calls, r.jobs)
	report.Settings = r.force.settings()
	report.Faults = sortedFaults(faults)
	report.Drained = drained
	report.DrainMS = took.Milliseconds()
	return report
}

// announce prints the addresses and what to try.
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

// progress prints a line a second.
func (r *run) progress(ctx context.Context) {
	if r.opts.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := judge(r.site, r.calls, r.jobs)
			fmt.Fprintf(r.opts.Progress, "%3.0fs  requests %d answered, %d refused, %d unknown, %d wrong  tasks %d of %d finished\n",
				time.Since(began).Seconds(), now.Requests.Answered, now.Requests.Refused, now.Requests.Unknown, now.Requests.Wrong,
				now.Tasks.Finished, now.Tasks.Submitted)
		}
	}
}
