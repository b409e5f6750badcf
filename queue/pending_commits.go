package queue

import (
	"sync"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// pendingCommits counts for each job the records that are not durable yet. The
// status of a job without any may be reported at once, even while the store does
// not respond. It is safe for concurrent use.
type pendingCommits struct {
	mu   sync.Mutex
	jobs map[fleet.JobID]int
}

func newPendingCommits() *pendingCommits { return &pendingCommits{jobs: make(map[fleet.JobID]int)} }

// track counts a record on jobs that tx has appended as pending until it is
// durable.
func (p *pendingCommits) track(tx wal.Tx, jobs ...fleet.JobID) {
	p.add(1, jobs)
	tx.OnDurable(func() { p.add(-1, jobs) })
}

func (p *pendingCommits) add(n int, jobs []fleet.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range jobs {
		p.jobs[id] += n
		if p.jobs[id] == 0 {
			delete(p.jobs, id)
		}
	}
}

// has reports whether a job has records that are not durable yet.
func (p *pendingCommits) has(id fleet.JobID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[id] > 0
}
