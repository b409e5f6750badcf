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
	// apartFor is longer than the lease of a host's record.
	apartFor = member.LeaseTTL + 5*time.Second
	// settled is after the last start that may have been under way when the
	// store went out of reach.
	settled = standin.OutOfServiceDelay
	probes  = 50
)

// half is one of two regions: a data centre with hosts and a team of its own.
type half struct {
	region fleet.Region
	dc     fleet.DataCentre
	team   fleet.Team
	hosts  *entries
	jobs   *submissions
}

// apartSite is a site of two regions.
type apartSite struct {
	site  *standin.Site
	north *half // stays
	south *half // loses the store
}

// playRegionApart cuts the hosts of one of two regions off from the store for
// longer than their leases last. The region goes on serving requests and
// running tasks, accepts and starts no batch work and says so; nothing is
// taken over, and after the return nothing moves and all work ends once.
func playRegionApart(t *testing.T, slots chan struct{}) {
	slots <- struct{}{}
	defer func() { <-slots }()
	s := startApart(t)
	ctx, cancel := context.WithTimeout(t.Context(), startBound+drainBound)
	defer cancel()
	for _, h := range []*half{s.north, s.south} {
		h.jobs.submit(ctx, fleet.JobID(string(h.team)+"-before"))
	}
	s.awaitRunning(ctx, t, 2*tasksPerJob)
	for _, h := range []*half{s.north, s.south} {
		awaitVouching(t, h.hosts.addresses()[0])
	}
	before := s.claims(ctx, t)
	calls := &tally{}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i, h := range []*half{s.north, s.south} {
		c := newCaller(h.hosts.addresses, calls, uint64(i))
		group.Go(func() { c.run(loadCtx) })
	}

	cutAt := time.Now()
	s.south.setStoreDown(true)
	_ = wait.For(ctx, settled)
	s.acceptsNothing(ctx, t)
	s.refusesJobs(ctx, t)
	s.north.jobs.submit(ctx, "claims-meanwhile")
	_ = wait.For(ctx, time.Until(cutAt.Add(apartFor)))
	s.refusesJobs(ctx, t)
	s.answersRequests(t)
	if during := s.claims(ctx, t); !slices.EqualFunc(before, during, sameClaim) {
		t.Errorf("claims moved while a region was apart: %v, then %v", before, during)
	}
	returnAt := time.Now()
	s.south.setStoreDown(false)

	s.knowsNoRefused(ctx, t)
	s.south.jobs.submit(ctx, "planning-meanwhile")
	for _, h := range []*half{s.north, s.south} {
		if !h.jobs.drain(ctx) {
			t.Errorf("jobs of %s did not end", h.region)
		}
	}
	stopLoad()
	group.Wait()
	if after := s.claims(ctx, t); !slices.EqualFunc(before, after, sameClaim) {
		t.Errorf("claims moved after the return: %v, then %v", before, after)
	}
	s.judge(t, calls, cutAt.Add(settled), returnAt)
}

func startApart(t *testing.T) *apartSite {
	t.Helper()
	cfg := siteConfig(1)
	cfg.TaskTime = apartFor + 10*time.Second
	site, err := standin.StartSite(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	s := &apartSite{
		site:  site,
		north: newHalf(site, "sofia", dataCentres[0], team),
		south: newHalf(site, "plovdiv", dataCentres[1], "planning"),
	}
	if err := setTree(t.Context(), site.Store, apartTree(s)); err != nil {
		t.Fatal(err)
	}
	for _, h := range []*half{s.north, s.south} {
		h.start(t)
	}
	return s
}

func newHalf(site *standin.Site, region fleet.Region, dc fleet.DataCentre, of fleet.Team) *half {
	hosts := &entries{site: site}
	return &half{
		region: region,
		dc:     dc,
		team:   of,
		hosts:  hosts,
		jobs:   &submissions{service: hosts.jobs, org: organisation, team: of, tasksOf: tasksPerJob},
	}
}

func (h *half) start(t *testing.T) {
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
func awaitRegion(t *testing.T, h *half) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startBound)
	defer cancel()
	wanted := 2*cellsPerDataCentre + 1 // cells, fronts and the team's queue
	for ctx.Err() == nil {
		owned := 0
		shards, err := h.hosts.client().Shards(ctx)
		for _, s := range shards.Shards {
			if err == nil && s.Owner != nil && h.hosts.find(s.Owner.Host) != nil {
				owned++
			}
		}
		if owned == wanted {
			return
		}
		_ = wait.For(ctx, pollInterval)
	}
	t.Fatalf("shards of %s have no owner", h.region)
}

// apartTree is the usual tree with a region and a team for each data centre.
func apartTree(s *apartSite) *settings.Tree {
	t := tree()
	usual := t.Teams[team]
	for _, h := range []*half{s.north, s.south} {
		t.DataCentres[h.dc].Region = h.region
		own := *usual
		own.Region = h.region
		t.Teams[h.team] = &own
	}
	return t
}

func (h *half) setStoreDown(down bool) {
	for _, e := range h.hosts.list() {
		e.cut.SetStoreDown(down)
	}
}

func (s *apartSite) awaitRunning(ctx context.Context, t *testing.T, tasks int) {
	t.Helper()
	for len(s.site.Records.Runs()) < tasks {
		if wait.For(ctx, pollInterval) != nil {
			t.Fatal("tasks were not started")
		}
	}
}

// claims returns the claims in the store.
func (s *apartSite) claims(ctx context.Context, t *testing.T) []store.Entry {
	t.Helper()
	entries, _, err := s.site.Store.List(ctx, "claims/")
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

func sameClaim(a, b store.Entry) bool { return a.Key == b.Key && string(a.Value) == string(b.Value) }

// acceptsNothing checks that a job is not accepted in the south, whose queue
// may learn by it that the store is out of reach.
func (s *apartSite) acceptsNothing(ctx context.Context, t *testing.T) {
	t.Helper()
	_, err := s.south.hosts.jobs().Submit(ctx, s.south.jobs.spec("planning-meanwhile"))
	var (
		unknown     *job.UnknownOutcomeError
		unavailable *job.UnavailableError
	)
	if !errors.As(err, &unknown) && !errors.As(err, &unavailable) {
		t.Errorf("a submission was answered with %v", err)
	}
}

// refused is the job that a host refuses.
func refused(e *entry) fleet.JobID { return fleet.JobID("refused-by-" + string(e.cfg.ID)) }

// knowsNoRefused checks that no refused job was accepted after all.
func (s *apartSite) knowsNoRefused(ctx context.Context, t *testing.T) {
	t.Helper()
	for _, e := range s.south.hosts.list() {
		var missing *job.NotFoundError
		for {
			_, err := s.south.hosts.jobs().Get(ctx, s.south.team, refused(e))
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

// refusesJobs checks that every host of the south refuses a job as one that
// was not accepted.
func (s *apartSite) refusesJobs(ctx context.Context, t *testing.T) {
	t.Helper()
	for _, e := range s.south.hosts.list() {
		client := api.NewClient("http://"+e.host.OperatorsAddress(), "")
		_, err := client.Submit(ctx, s.south.jobs.spec(refused(e)))
		var unavailable *job.UnavailableError
		if !errors.As(err, &unavailable) || unavailable.Reason == "" {
			t.Errorf("%s answered a submission with %v", e.cfg.ID, err)
		}
	}
}

// answersRequests checks that every host of the south answers all requests.
func (s *apartSite) answersRequests(t *testing.T) {
	t.Helper()
	probe := newCaller(nil, nil, 1)
	for _, address := range s.south.hosts.addresses() {
		for range probes {
			if c := probe.send(address); c.outcome != outcomeAnswered || !c.whole {
				t.Errorf("a request in the region apart was not answered: %+v", c)
			}
		}
	}
}

// judge checks the promises, that no task was started in the south between
// two times, and that every task ran once from its start to its end.
func (s *apartSite) judge(t *testing.T, calls *tally, from, until time.Time) {
	t.Helper()
	for _, h := range []*half{s.north, s.south} {
		report := judge(s.site, calls, h.jobs)
		if !report.OK() || report.Tasks.Finished == 0 || report.Requests.Answered == 0 {
			t.Errorf("a promise was broken or nothing was done in %s: %+v", h.region, report)
		}
	}
	for _, rec := range s.site.Records.Runs() {
		if rec.Attempt != 1 {
			t.Errorf("a task was moved: %s", history(rec.Task, s.site.Records.Runs()))
		}
		if rec.DataCentre == s.south.dc && rec.Started.After(from) && rec.Started.Before(until) {
			t.Errorf("a task was started in the region apart: %s", rec.Task)
		}
	}
}
