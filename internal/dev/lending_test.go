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
	guest     fleet.Organisation = "verband"
	guestTeam fleet.Team         = "planning"
	// guestTasks need 40 of the 56 cores that are guaranteed to the guest, and
	// lentTasks fill the site.
	guestTasks = 20
	lentTasks  = 70
	lentTime   = 40 * time.Second
	takeBack   = 20 * time.Second // the stated time, from the acceptance by a cell
	// acceptance is how long the way from a submission to a cell may take.
	acceptance = 5 * time.Second
)

// playTakeBack fills the site with the work of one organisation and then
// submits that of another, which is guaranteed half of it. All of it must
// start within the stated time, and the work that makes room resumes once.
func playTakeBack(t *testing.T, slots chan struct{}) {
	slots <- struct{}{}
	defer func() { <-slots }()
	cfg := siteConfig(1)
	cfg.TaskTime = lentTime
	site, err := standin.StartSite(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	hosts := &entries{site: site}
	defer hosts.stop()
	startSite(t, hosts, lendingTree())
	lent := &submissions{service: hosts.jobs, org: organisation, team: team, tasksOf: lentTasks}
	own := &submissions{service: hosts.jobs, org: guest, team: guestTeam, tasksOf: guestTasks}
	ctx, cancel := context.WithTimeout(t.Context(), startBound+2*lentTime+drainBound)
	defer cancel()

	lent.submit(ctx, "lent")
	awaitFull(ctx, t, site)
	own.submit(ctx, "own")
	submitted := time.Now()
	_ = wait.For(ctx, takeBack+acceptance)
	if n := startedOf(site, "own/"); n != guestTasks {
		t.Errorf("%d of %d guaranteed tasks were started %v after their submission", n, guestTasks, time.Since(submitted))
	}
	if !lent.drain(ctx) || !own.drain(ctx) {
		t.Error("jobs did not end")
	}
	for _, jobs := range []*submissions{lent, own} {
		if report := judge(site, &tally{}, jobs); !report.OK() {
			t.Errorf("a promise was broken: %+v", report)
		}
	}
}

func startSite(t *testing.T, hosts *entries, tree *settings.Tree) {
	t.Helper()
	if err := setTree(t.Context(), hosts.site.Store, tree); err != nil {
		t.Fatal(err)
	}
	for range entryHosts {
		if err := hosts.start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := awaitShards(t.Context(), hosts.client()); err != nil {
		t.Fatal(err)
	}
}

// lendingTree is the usual tree with another organisation that is guaranteed
// half of each cell at any time.
func lendingTree() *settings.Tree {
	t := tree()
	t.Organisations[guest] = &settings.Organisation{Values: settings.Values{
		Guarantee:         &settings.Guarantees{"00:00-24:00": 50},
		ReclaimDeadlineMS: ptr(takeBack.Milliseconds()),
	}}
	own := *t.Teams[team]
	own.Organisation = guest
	t.Teams[guestTeam] = &own
	return t
}

// awaitFull waits until no further task is started for a while.
func awaitFull(ctx context.Context, t *testing.T, site *standin.Site) {
	t.Helper()
	for last := -1; ; {
		n := startedOf(site, "lent/")
		if n > lentTasks/2 && n == last {
			return
		}
		last = n
		if wait.For(ctx, 3*time.Second) != nil {
			t.Fatalf("%d tasks were started", n)
		}
	}
}

// startedOf counts the tasks of a job that were started.
func startedOf(site *standin.Site, prefix string) int {
	tasks := make(map[fleet.TaskID]bool)
	for _, r := range site.Records.Runs() {
		if strings.HasPrefix(string(r.Task), prefix) {
			tasks[r.Task] = true
		}
	}
	return len(tasks)
}
