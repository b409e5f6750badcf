package dev

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/job"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const (
	warmUpTime          = 8 * time.Second
	measureTime         = 15 * time.Second
	clockTicksPerSecond = 100 // per second, in /proc/<pid>/stat
	pageBytes           = 4096
)

// usage is the resource use of a process so far.
type usage struct {
	cpu           time.Duration
	residentBytes int64 // at present
	ioBytes       int64 // bytes read and written, mostly through sockets
}

func usageOf(tb testing.TB, pid int) usage {
	tb.Helper()
	var u usage
	stat := strings.Fields(readProc(tb, pid, "stat"))
	ticks := parseInt(tb, stat[13]) + parseInt(tb, stat[14])
	u.cpu = time.Duration(ticks) * time.Second / clockTicksPerSecond
	u.residentBytes = parseInt(tb, strings.Fields(readProc(tb, pid, "statm"))[1]) * pageBytes
	for line := range strings.Lines(readProc(tb, pid, "io")) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			u.ioBytes += parseInt(tb, value)
		}
	}
	return u
}

func readProc(tb testing.TB, pid int, name string) string {
	tb.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, name))
	if err != nil {
		tb.Fatal(err)
	}
	return string(data)
}

func parseInt(tb testing.TB, s string) int64 {
	tb.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		tb.Fatal(err)
	}
	return n
}

// BenchmarkControl measures the cost of control on an entry host, as the mean and
// the maximum of three daemons. Run it with -benchtime 1x.
//
// tasks is the number of long tasks that run throughout; rate is the number of
// short tasks that start each second.
func BenchmarkControl(b *testing.B) {
	binary := buildDaemon(b)
	cases := []struct {
		workers int // in total
		tasks   int // running on each worker
		rate    int // task starts per second
	}{
		{workers: 15}, {workers: 60}, {workers: 120}, {workers: 240},
		{workers: 60, tasks: 3}, {workers: 60, tasks: 6}, {workers: 60, tasks: 12},
		{workers: 60, rate: 10}, {workers: 60, rate: 20}, {workers: 60, rate: 40},
		{workers: 60, tasks: 5, rate: 10}, {workers: 60, tasks: 5, rate: 20}, {workers: 60, tasks: 5, rate: 40},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d/rate=%d", c.workers, c.tasks, c.rate), func(b *testing.B) {
			for b.Loop() {
				measureControl(b, binary, c.workers, c.tasks, c.rate)
			}
		})
	}
}

func measureControl(b *testing.B, binary string, workers, tasks, rate int) {
	cfg := siteConfig(1)
	cfg.DataCentres = []fleet.DataCentre{"sofia-1"}
	cfg.WorkersPerDC = workers
	cfg.ServersPerDC = workers
	cfg.TaskTime = time.Hour
	cfg.ClassTimes = map[fleet.JobClass]time.Duration{"short": time.Second}
	site, err := standin.StartSite(cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer site.Close()
	writeCapacityTree(b, site, workers)
	var daemons []*daemon
	for _, id := range []fleet.HostID{"entry-1", "entry-2", "entry-3"} {
		daemons = append(daemons, startDaemon(b, binary, site, id, "sofia-1"))
	}
	client := api.NewClient("http://"+daemons[0].operators, "")
	if err := awaitShards(b.Context(), client); err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	if tasks > 0 {
		submitTasks(ctx, b, client, "steady", workers*tasks)
	}
	if rate > 0 {
		go keepSubmitting(ctx, client, rate)
	}
	time.Sleep(warmUpTime)
	reportUsage(b, site, daemons)
	for _, d := range daemons {
		_ = d.cmd.Process.Kill()
	}
}

func reportUsage(b *testing.B, site *standin.Site, daemons []*daemon) {
	before := make([]usage, len(daemons))
	for i, d := range daemons {
		before[i] = usageOf(b, d.cmd.Process.Pid)
	}
	reads, writes := site.Store.Calls()
	traffic := readTraffic(b, site, daemons)
	time.Sleep(measureTime)
	logTraffic(b, traffic, readTraffic(b, site, daemons))
	readsAfter, writesAfter := site.Store.Calls()
	var sumCPU, maxCPU, sumMoved, maxMoved, maxResident float64
	for i, d := range daemons {
		after := usageOf(b, d.cmd.Process.Pid)
		cpu := 100 * (after.cpu - before[i].cpu).Seconds() / measureTime.Seconds()
		moved := float64(after.ioBytes-before[i].ioBytes) / measureTime.Seconds() / 1000
		sumCPU += cpu
		maxCPU = max(maxCPU, cpu)
		sumMoved += moved
		maxMoved = max(maxMoved, moved)
		maxResident = max(maxResident, float64(after.residentBytes)/1e6)
	}
	n := float64(len(daemons))
	running := 0
	for _, r := range site.Records.Runs() {
		if r.Ended.IsZero() {
			running++
		}
	}
	b.ReportMetric(sumCPU/n, "%core/host")
	b.ReportMetric(maxCPU, "%core-max")
	b.ReportMetric(sumMoved/n, "KB/s/host")
	b.ReportMetric(maxMoved, "KB/s-max")
	b.ReportMetric(maxResident, "MB-max")
	b.ReportMetric(float64(readsAfter-reads)/measureTime.Seconds(), "reads/s")
	b.ReportMetric(float64(writesAfter-writes)/measureTime.Seconds(), "writes/s")
	b.ReportMetric(float64(running), "running")
	b.ReportMetric(0, "ns/op")
}

func writeCapacityTree(b *testing.B, site *standin.Site, workers int) {
	t := tree()
	t.DataCentres = map[fleet.DataCentre]*settings.DataCentre{
		"sofia-1": {Region: region, State: settings.DataCentreInService, Cells: max(1, workers/20)},
	}
	t.Teams[team].Quota = fleet.Resources{MilliCores: 1e9, MemoryMB: 1e9}
	t.Values.WorkerLeaseMS = nil
	if err := setTree(b.Context(), site.Store, t); err != nil {
		b.Fatal(err)
	}
}

func submitTasks(ctx context.Context, b *testing.B, client *api.Client, id fleet.JobID, n int) {
	spec := job.Spec{
		ID: id, Organisation: organisation, Team: team, Class: "steady", Tasks: n,
		Resources: fleet.Resources{MilliCores: 500, MemoryMB: 500}, Command: "work",
	}
	// On a busy machine the host may not know the queue's owner yet.
	for end := time.Now().Add(warmUpTime); ; time.Sleep(time.Second) {
		_, err := client.Submit(ctx, spec)
		if err == nil {
			return
		}
		if time.Now().After(end) {
			b.Fatal(err)
		}
	}
}

// keepSubmitting submits a job of rate tasks each second.
func keepSubmitting(ctx context.Context, client *api.Client, rate int) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for n := 0; ; n++ {
		spec := job.Spec{
			ID: fleet.JobID(fmt.Sprintf("rate-%d", n)), Organisation: organisation, Team: team, Class: "short", Tasks: rate,
			Resources: fleet.Resources{MilliCores: 100, MemoryMB: 100}, Command: "work",
		}
		_, _ = client.Submit(ctx, spec) // a failed submission shows as a lower rate of starts
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
