package queue

import (
	"sync"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// unsettled counts the transactions on each job that are not durable yet. The
// status of a job that is not among them may be told at once, also while the
// store does not answer. It is safe for concurrent use.
type unsettled struct {
	mu   sync.Mutex
	jobs map[fleet.JobID]int
}

func newUnsettled() *unsettled { return &unsettled{jobs: make(map[fleet.JobID]int)} }

// touch notes that tx has appended a record on jobs.
func (u *unsettled) touch(tx wal.Tx, jobs ...fleet.JobID) {
	u.add(1, jobs)
	tx.OnDurable(func() { u.add(-1, jobs) })
}

func (u *unsettled) add(n int, jobs []fleet.JobID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range jobs {
		u.jobs[id] += n
		if u.jobs[id] == 0 {
			delete(u.jobs, id)
		}
	}
}

// has reports whether a job has records that are not durable.
func (u *unsettled) has(id fleet.JobID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[id] > 0
}
