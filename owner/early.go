package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// earlyRenewInterval is the time between the renewals of a worker while the state is
	// being loaded. They do not wait for ends, which can't be processed yet.
	earlyRenewInterval = 500 * time.Millisecond
	// earlyRenewals is how many renewals a lease takes: the first one reads the clock.
	earlyRenewals = 2
	// earlyReportBytes is the size of a renewal and the report of a worker that is in
	// full use, and maxEarlyLinkTime the longest time that these may take of the link, as
	// the state has to come through it within the same lease.
	earlyReportBytes = 2000
	maxEarlyLinkTime = 250 * time.Millisecond
)

// earlyReports keeps what workers report while the state is being loaded: without the
// jobs, their runs would be taken for those of unknown jobs and stopped.
type earlyReports struct {
	latest   map[fleet.WorkerID]earlyReport
	replaced []fleet.WorkerID
}

type earlyReport struct {
	report workload.Report
	sent   time.Duration // when its renewal was sent
}

func newEarlyReports() *earlyReports {
	return &earlyReports{latest: make(map[fleet.WorkerID]earlyReport)}
}

// add keeps the latest report of a worker's newest incarnation.
func (e *earlyReports) add(id fleet.WorkerID, report workload.Report, sent time.Duration) {
	if last, ok := e.latest[id]; ok && (report.StartedMS < last.report.StartedMS || report.StartedMS == last.report.StartedMS && sent < last.sent) {
		return
	}
	e.latest[id] = earlyReport{report, sent}
}

// startEarlyRenewals starts the renewal of all workers before the jobs are loaded, if the
// host's link bears both.
func (d *dispatcher) startEarlyRenewals(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if earlyLinkTime(len(d.machine.Addresses()), d.deps.Settings.LinkMbps) > maxEarlyLinkTime {
		return
	}
	d.early = newEarlyReports()
	d.syncWorkers(ctx)
}

// earlyLinkTime returns how long the first leases of a number of workers occupy a link; 0 if
// it is unbounded.
func earlyLinkTime(workers int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	bits := float64(workers * earlyRenewals * earlyReportBytes * bitsPerByte)
	return time.Duration(bits / (linkMbps * 1e6) * float64(time.Second))
}

// admitReports passes the early reports on to the machine, and later ones from then on.
func (d *dispatcher) admitReports() {
	d.mu.Lock()
	defer d.mu.Unlock()
	early, now := d.early, steady.Now()
	if early == nil {
		return
	}
	d.early = nil
	for _, id := range early.replaced {
		d.machine.WorkerReplaced(id, now)
	}
	for _, id := range slices.Sorted(maps.Keys(early.latest)) {
		d.machine.WorkerReported(id, early.latest[id].report, early.latest[id].sent, now)
	}
	d.requestPlan()
}
