package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// pagingWorker answers for a worker on which each run is done after runTime, and lists its
// ends in pages.
type pagingWorker struct {
	runTime time.Duration

	mu      sync.Mutex
	running map[string]pagedRun // by task
	ended   []string            // rows of the report, the oldest first
	lastEnd int64
	starts  map[string]int // by task
}

type pagedRun struct {
	run  int
	ends time.Duration
}

// reportedEnds is how many ends a worker of the platform lists in a report.
const reportedEnds = 500

func (p *pagingWorker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	var body struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		LastSeen int64  `json:"last_seen"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := steady.Now()
	for _, task := range slices.Sorted(maps.Keys(p.running)) {
		if r := p.running[task]; now >= r.ends {
			p.lastEnd++
			p.ended = append(p.ended, fmt.Sprintf(`[%d,%q,%d,"done",""]`, p.lastEnd, task, r.run))
			delete(p.running, task)
		}
	}
	switch req.URL.Path {
	case "/v1/run-start":
		p.running[body.Task] = pagedRun{body.Run, now + p.runTime}
		p.starts[body.Task]++
	case "/v1/hold":
		p.ended = p.ended[max(0, len(p.ended)-int(p.lastEnd-body.LastSeen)):]
	}
	rows := make([]string, 0, len(p.running))
	for task, r := range p.running {
		rows = append(rows, fmt.Sprintf(`[%q,%d,"",0]`, task, r.run))
	}
	listed := p.ended[:min(len(p.ended), reportedEnds)]
	fmt.Fprintf(rw, `{"born":1,"clock_ms":%d,"running":[%s],"ended":[%s]}`, now.Milliseconds(), strings.Join(rows, ","), strings.Join(listed, ","))
}

// counts returns the number of ends, of those that are acknowledged, and of tasks that were
// started again.
func (p *pagingWorker) counts() (ends, noted, again int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.starts {
		if n > 1 {
			again++
		}
	}
	return int(p.lastEnd), int(p.lastEnd) - len(p.ended), again
}

// While the store is down, more ends come together on a worker than a report lists. Their
// tasks were started again, and the ends noted afterwards.
func TestTasksRunTwiceWhileStoreIsDown(t *testing.T) {
	const (
		jobs, tasks = 50, 100
		wantEnds    = 2000
		outage      = 10 * time.Second // at least
		noteLimit   = 5 * time.Second  // for the ends of the outage
		limit       = 60 * time.Second // for each of the rest, on a slow machine
	)
	d, s := testDispatcher(t)
	d.deps.Log = func(string, ...any) {}
	p := &pagingWorker{runTime: 100 * time.Millisecond, running: make(map[string]pagedRun), starts: make(map[string]int)}
	server := httptest.NewServer(p)
	defer server.CloseClientConnections()
	d.machine.SetWorker(workload.Worker{ID: "w1", StartedMS: 1, Service: testService, Address: strings.TrimPrefix(server.URL, "http://"), Capacity: fleet.Resources{MilliCores: 64_000, MemoryMB: 64_000}}, steady.Now())
	for i := range jobs {
		submit(t, d, s, workload.Job{ID: fleet.JobID(fmt.Sprintf("job%d", i)), Queue: "q", Steps: []workload.Step{{Count: tasks, EstimateMS: 100, Need: fleet.Resources{MilliCores: 1000, MemoryMB: 100}}}})
	}
	d.commitAll()
	s.SetFault(storetest.FaultDown)

	ctx, cancel := context.WithCancel(t.Context())
	d.cancel = cancel
	var group sync.WaitGroup
	group.Go(func() { d.renewLoop(ctx) })
	group.Go(func() { d.planLoop(ctx) })
	group.Go(func() { d.commitLoop(ctx) })
	defer group.Wait()
	defer cancel()
	began := steady.Now()
	ends, noted, again := 0, 0, 0
	for (steady.Now()-began < outage || ends < wantEnds) && steady.Now()-began < limit && again == 0 && ctx.Err() == nil {
		time.Sleep(renewRetryDelay)
		ends, noted, again = p.counts()
	}
	if again > 0 || ends < wantEnds || noted > 0 {
		t.Fatalf("%d ends after %v without the store, want %d; %d were noted and %d tasks started again", ends, steady.Now()-began, wantEnds, noted, again)
	}
	s.SetFault(storetest.FaultNone)
	regained, unnoted := steady.Now(), ends
	for noted < unnoted && steady.Now()-regained < noteLimit {
		time.Sleep(commitInterval)
		_, noted, again = p.counts()
	}
	t.Logf("%d ends in %v; %d noted %v after the store was back", unnoted, regained-began, noted, steady.Now()-regained)
	if noted < unnoted {
		t.Errorf("%d of %d ends are noted %v after the store is back", noted, unnoted, noteLimit)
	}
	for noted < jobs*tasks && again == 0 && steady.Now()-regained < limit {
		time.Sleep(renewRetryDelay)
		_, noted, again = p.counts()
	}
	if noted < jobs*tasks || again > 0 {
		t.Errorf("%d of %d ends are noted %v after the store is back, and %d tasks were started again", noted, jobs*tasks, limit, again)
	}
}
