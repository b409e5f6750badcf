package dev

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const (
	guaranteedOrg  fleet.Organisation = "verband"
	guaranteedTeam fleet.Team         = "planning"
	// guaranteedTasks need 40 of the 56 cores guaranteed to guaranteedOrg;
	// borrowingTasks fill the site.
	guaranteedTasks   = 20
	borrowingTasks    = 70
	borrowingTaskTime = 40 * time.Second
	reclaimBound      = 20 * time.Second // the configured deadline, from the acceptance by a cell
	// acceptanceBound limits the time from the submission of a job to its
	// acceptance by a cell.
	acceptanceBound = 5 * time.Second
)

// runReclaim fills the site with the work of one organisation and then submits
// work of another, which is guaranteed half of the site. All of the latter must
// start within the deadline, and the evicted work resumes exactly once.
func runReclaim(t *testing.T, slots chan struct{}) {
	slots <- struct{}{}
	defer func() { <-slots }()
	cfg := siteConfig(1)
	cfg.TaskTime = borrowingTaskTime
	site, err := standin.StartSite(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	hosts := &hostSet{site: site}
	defer hosts.stop()
	startSite(t, hosts, reclaimTree())
	borrowing := &submissions{service: hosts.jobs, org: organisation, team: team, tasksPerJob: borrowingTasks}
	guaranteed := &submissions{service: hosts.jobs, org: guaranteedOrg, team: guaranteedTeam, tasksPerJob: guaranteedTasks}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout+2*borrowingTaskTime+drainTimeout)
	defer cancel()

	borrowing.submit(ctx, "lent")
	awaitFull(ctx, t, site)
	guaranteed.submit(ctx, "own")
	submitted := time.Now()
	_ = wait.For(ctx, reclaimBound+acceptanceBound)
	if n := startedTasks(site, "own/"); n != guaranteedTasks {
		t.Errorf("%d of %d guaranteed tasks were started %v after their submission", n, guaranteedTasks, time.Since(submitted))
	}
	if !borrowing.drain(ctx) || !guaranteed.drain(ctx) {
		t.Error("jobs did not end")
	}
	for _, jobs := range []*submissions{borrowing, guaranteed} {
		if report := judge(site, &tally{}, jobs); !report.OK() {
			t.Errorf("a promise was broken: %+v", report)
		}
	}
}

func startSite(t *testing.T, hosts *hostSet, tree *settings.Tree) {
	t.Helper()
	if err := setTree(t.Context(), hosts.site.Store, tree); err != nil {
		t.Fatal(err)
	}
	for range entryHostCount {
		if err := hosts.start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := awaitShards(t.Context(), hosts.client()); err != nil {
		t.Fatal(err)
	}
}

// reclaimTree returns the default tree with a second organisation that is
// guaranteed half of each cell at any time.
func reclaimTree() *settings.Tree {
	t := tree()
	t.Organisations[guaranteedOrg] = &settings.Organisation{Values: settings.Values{
		Guarantee:         &settings.Guarantees{"00:00-24:00": 50},
		ReclaimDeadlineMS: ptr(reclaimBound.Milliseconds()),
	}}
	second := *t.Teams[team]
	second.Organisation = guaranteedOrg
	t.Teams[guaranteedTeam] = &second
	return t
}

// awaitFull waits until the site is full: no further task has started for 3 s.
func awaitFull(ctx context.Context, t *testing.T, site *standin.Site) {
	t.Helper()
	for last := -1; ; {
		n := startedTasks(site, "lent/")
		if n > borrowingTasks/2 && n == last {
			return
		}
		last = n
		if wait.For(ctx, 3*time.Second) != nil {
			t.Fatalf("the site did not fill up: %d tasks were started", n)
		}
	}
}

// startedTasks counts the started tasks whose IDs have a prefix.
func startedTasks(site *standin.Site, prefix string) int {
	tasks := make(map[fleet.TaskID]bool)
	for _, r := range site.Records.Runs() {
		if strings.HasPrefix(string(r.Task), prefix) {
			tasks[r.Task] = true
		}
	}
	return len(tasks)
}
