package dev

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	hostsPerRegion = 2
	// partitionTime is longer than the lease of a host's record.
	partitionTime = member.LeaseTTL + 5*time.Second
	// settleTime covers the last start that may have been under way when the store
	// became unreachable.
	settleTime = standin.OutOfServiceDelay
	probes     = 50
)

// regionHosts is one of two regions: a data centre with its own hosts and team.
type regionHosts struct {
	region fleet.Region
	dc     fleet.DataCentre
	team   fleet.Team
	hosts  *hostSet
	jobs   *submissions
}

// partitionSite is a site of two regions.
type partitionSite struct {
	site  *standin.Site
	north *regionHosts // keeps its connection to the store
	south *regionHosts // loses its connection to the store
}

// runRegionPartition disconnects the hosts of one of two regions from the store for
// longer than their leases last. The region must keep serving requests and running
// tasks, reject new batch work as unavailable and start none. No shard may change
// its owner during or after the partition, and every task must finish exactly
// once.
func runRegionPartition(t *testing.T, slots chan struct{}) {
	slots <- struct{}{}
	defer func() { <-slots }()
	s := startPartitionSite(t)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout+drainTimeout)
	defer cancel()
	for _, h := range []*regionHosts{s.north, s.south} {
		h.jobs.submit(ctx, fleet.JobID(string(h.team)+"-before"))
	}
	s.awaitRunning(ctx, t, 2*tasksPerJob)
	for _, h := range []*regionHosts{s.north, s.south} {
		awaitVerifiable(t, h.hosts.addresses()[0])
	}
	before := s.claims(ctx, t)
	calls := &tally{}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i, h := range []*regionHosts{s.north, s.south} {
		c := newCaller(h.hosts.addresses, calls, uint64(i))
		group.Go(func() { c.run(loadCtx) })
	}

	partitionedAt := time.Now()
	s.south.setStoreDown(true)
	_ = wait.For(ctx, settleTime)
	s.checkSubmitFails(ctx, t)
	s.checkSubmitRefused(ctx, t)
	s.north.jobs.submit(ctx, "claims-meanwhile")
	_ = wait.For(ctx, time.Until(partitionedAt.Add(partitionTime)))
	s.checkSubmitRefused(ctx, t)
	s.checkRequestsAnswered(t)
	if during := s.claims(ctx, t); !slices.EqualFunc(before, during, sameClaim) {
		t.Errorf("claims changed while a region was disconnected from the store: %v, then %v", before, during)
	}
	reconnectedAt := time.Now()
	s.south.setStoreDown(false)

	s.checkRefusedUnknown(ctx, t)
	s.south.jobs.submit(ctx, "planning-meanwhile")
	for _, h := range []*regionHosts{s.north, s.south} {
		if !h.jobs.drain(ctx) {
			t.Errorf("jobs of %s did not end", h.region)
		}
	}
	stopLoad()
	group.Wait()
	if after := s.claims(ctx, t); !slices.EqualFunc(before, after, sameClaim) {
		t.Errorf("claims changed after the region was reconnected: %v, then %v", before, after)
	}
	s.checkPromises(t, calls, partitionedAt.Add(settleTime), reconnectedAt)
}

func startPartitionSite(t *testing.T) *partitionSite {
	t.Helper()
	cfg := siteConfig(1)
	cfg.TaskTime = partitionTime + 10*time.Second
	site, err := standin.StartSite(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	s := &partitionSite{
		site:  site,
		north: newRegionHosts(site, "sofia", dataCentres[0], team),
		south: newRegionHosts(site, "plovdiv", dataCentres[1], "planning"),
	}
	if err := setTree(t.Context(), site.Store, partitionTree(s)); err != nil {
		t.Fatal(err)
	}
	for _, h := range []*regionHosts{s.north, s.south} {
		h.start(t)
	}
	return s
}

func newRegionHosts(site *standin.Site, region fleet.Region, dc fleet.DataCentre, of fleet.Team) *regionHosts {
	hosts := &hostSet{site: site}
	return &regionHosts{
		region: region,
		dc:     dc,
		team:   of,
		hosts:  hosts,
		jobs:   &submissions{service: hosts.jobs, org: organisation, team: of, tasksPerJob: tasksPerJob},
	}
}

func (h *regionHosts) start(t *testing.T) {
	t.Helper()
	for _, suffix := range []string{"-1", "-2"}[:hostsPerRegion] {
		if err := h.hosts.startIn(fleet.HostID(string(h.region)+suffix), h.dc, h.region); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(h.hosts.stop)
	awaitRegion(t, h)
}

// awaitRegion waits until every shard of a region has an owner.
func awaitRegion(t *testing.T, h *regionHosts) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	want := 2*cellsPerDataCentre + 1 // cells, fronts and the team's queue
	for ctx.Err() == nil {
		owned := 0
		shards, err := h.hosts.client().Shards(ctx)
		for _, s := range shards.Shards {
			if err == nil && s.Owner != nil && h.hosts.find(s.Owner.Host) != nil {
				owned++
			}
		}
		if owned == want {
			return
		}
		_ = wait.For(ctx, pollInterval)
	}
	t.Fatalf("shards of %s have no owner", h.region)
}

// partitionTree returns the default tree with a region and a team for each data
// centre.
func partitionTree(s *partitionSite) *settings.Tree {
	t := tree()
	template := t.Teams[team]
	for _, h := range []*regionHosts{s.north, s.south} {
		t.DataCentres[h.dc].Region = h.region
		copied := *template
		copied.Region = h.region
		t.Teams[h.team] = &copied
	}
	return t
}

func (h *regionHosts) setStoreDown(down bool) {
	for _, e := range h.hosts.list() {
		e.cut.SetStoreDown(down)
	}
}

func (s *partitionSite) awaitRunning(ctx context.Context, t *testing.T, tasks int) {
	t.Helper()
	for len(s.site.Records.Runs()) < tasks {
		if wait.For(ctx, pollInterval) != nil {
			t.Fatal("tasks were not started")
		}
	}
}

// claims returns the ownership claims in the store.
func (s *partitionSite) claims(ctx context.Context, t *testing.T) []store.Entry {
	t.Helper()
	entries, _, err := s.site.Store.List(ctx, "claims/")
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

func sameClaim(a, b store.Entry) bool { return a.Key == b.Key && string(a.Value) == string(b.Value) }

// checkSubmitFails checks that a job is not accepted in the south. The queue may
// detect only by this submission that the store is unreachable, so an unknown
// outcome is allowed.
func (s *partitionSite) checkSubmitFails(ctx context.Context, t *testing.T) {
	t.Helper()
	_, err := s.south.hosts.jobs().Submit(ctx, s.south.jobs.spec("planning-meanwhile"))
	var (
		unknown     *job.UnknownOutcomeError
		unavailable *job.UnavailableError
	)
	if !errors.As(err, &unknown) && !errors.As(err, &unavailable) {
		t.Errorf("submission: got %v, want an unknown outcome or unavailable", err)
	}
}

// refusedJobID returns the ID of the job that a host must refuse.
func refusedJobID(e *entryHost) fleet.JobID { return fleet.JobID("refused-by-" + string(e.cfg.ID)) }

// checkRefusedUnknown checks that no refused job was accepted after all.
func (s *partitionSite) checkRefusedUnknown(ctx context.Context, t *testing.T) {
	t.Helper()
	for _, e := range s.south.hosts.list() {
		var missing *job.NotFoundError
		for {
			_, err := s.south.hosts.jobs().Get(ctx, s.south.team, refusedJobID(e))
			if errors.As(err, &missing) {
				break
			}
			if err == nil || wait.For(ctx, pollInterval) != nil {
				t.Errorf("job refused by %s: %v", e.cfg.ID, err)
				break
			}
		}
	}
}

// checkSubmitRefused checks that every host of the south refuses a job as not
// accepted.
func (s *partitionSite) checkSubmitRefused(ctx context.Context, t *testing.T) {
	t.Helper()
	for _, e := range s.south.hosts.list() {
		client := api.NewClient("http://"+e.host.OperatorsAddress(), "")
		_, err := client.Submit(ctx, s.south.jobs.spec(refusedJobID(e)))
		var unavailable *job.UnavailableError
		if !errors.As(err, &unavailable) || unavailable.Reason == "" {
			t.Errorf("submission to %s: got %v, want unavailable with a reason", e.cfg.ID, err)
		}
	}
}

// checkRequestsAnswered checks that every host of the south answers all requests.
func (s *partitionSite) checkRequestsAnswered(t *testing.T) {
	t.Helper()
	probe := newCaller(nil, nil, 1)
	for _, address := range s.south.hosts.addresses() {
		for range probes {
			if c := probe.send(address); c.outcome != outcomeAnswered || !c.complete {
				t.Errorf("a request in the disconnected region was not answered: %+v", c)
			}
		}
	}
}

// checkPromises checks the promises, that no task was started in the south
// between two times, and that every task ran in a single attempt.
func (s *partitionSite) checkPromises(t *testing.T, calls *tally, from, until time.Time) {
	t.Helper()
	for _, h := range []*regionHosts{s.north, s.south} {
		report := judge(s.site, calls, h.jobs)
		if !report.OK() || report.Tasks.Finished == 0 || report.Requests.Answered == 0 {
			t.Errorf("a promise was broken, or no task finished or no request was answered, in %s: %+v", h.region, report)
		}
	}
	for _, rec := range s.site.Records.Runs() {
		if rec.Attempt != 1 {
			t.Errorf("a task ran in more than one attempt: %s", taskHistory(rec.Task, s.site.Records.Runs()))
		}
		if rec.DataCentre == s.south.dc && rec.Started.After(from) && rec.Started.Before(until) {
			t.Errorf("a task was started in the disconnected region: %s", rec.Task)
		}
	}
}
