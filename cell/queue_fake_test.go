package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/peer"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// fakeQueue stands in for the queue shard that delegates tasks to the cell: it
// offers each task, one attempt at a time, until it has ended for good.
type fakeQueue struct {
	mu          sync.Mutex
	tasks       map[fleet.TaskID]*fakeTask
	problems    []string
	down        bool
	refused     int
	sequence    uint64   // of the last offer
	lostReplies int      // number of replies to returns still to lose
	front       handlers // handlers of the front's owner; nil if it does not answer
}

type fakeTask struct {
	task     delegation.Task
	accepted bool
	outcomes []delegation.Outcome
	done     bool
}

func newFakeQueue() *fakeQueue { return &fakeQueue{tasks: make(map[fleet.TaskID]*fakeTask)} }

func (q *fakeQueue) add(n int, size fleet.Resources) { q.addClass(n, size, "claims") }

func (q *fakeQueue) addClass(n int, size fleet.Resources, class fleet.JobClass) {
	q.addTasks(n, delegation.Task{Resources: size, Class: class})
}

func (q *fakeQueue) addFor(org fleet.Organisation, n int, size fleet.Resources) {
	q.addTasks(n, delegation.Task{Resources: size, Class: "claims", Organisation: org})
}

func (q *fakeQueue) addTasks(n int, task delegation.Task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for range n {
		id := fleet.TaskID(fmt.Sprintf("job%d/%03d", len(q.tasks)%testJobs, len(q.tasks)))
		task.AttemptRef = inventory.AttemptRef{Task: id, Attempt: 1}
		task.Queue = testQueue
		q.tasks[id] = &fakeTask{task: task}
	}
}

func (q *fakeQueue) classOf(id fleet.TaskID) fleet.JobClass {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tasks[id].task.Class
}

func (q *fakeQueue) pending() []delegation.Task {
	q.mu.Lock()
	defer q.mu.Unlock()
	var pending []delegation.Task
	for _, id := range slices.Sorted(maps.Keys(q.tasks)) {
		if t := q.tasks[id]; !t.done && !t.accepted {
			pending = append(pending, t.task)
		}
	}
	return pending
}

func (q *fakeQueue) handleReply(r delegation.OfferReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, ref := range r.Accepted {
		if t := q.tasks[ref.Task]; t.task.Attempt == ref.Attempt {
			t.accepted = true
		}
	}
	for _, ref := range r.Refused {
		q.refused++
		q.nextAttempt(ref.AttemptRef)
	}
}

func (q *fakeQueue) nextAttempt(ref inventory.AttemptRef) {
	t := q.tasks[ref.Task]
	if t.task.Attempt == ref.Attempt && !t.done {
		t.task.Attempt++
		t.accepted = false
	}
}

func (q *fakeQueue) recordOutcome(o delegation.Outcome) {
	t := q.tasks[o.Task]
	for _, known := range t.outcomes {
		if known.AttemptRef != o.AttemptRef {
			continue
		}
		if known.Kind != o.Kind {
			q.problems = append(q.problems, fmt.Sprintf("%v ended as %s and as %s", o.AttemptRef, known.Kind, o.Kind))
		}
		return
	}
	t.outcomes = append(t.outcomes, o)
	switch o.Kind {
	case delegation.OutcomeFinished, delegation.OutcomeStopped, delegation.OutcomeFailed:
		if t.done {
			q.problems = append(q.problems, fmt.Sprintf("%v ended twice", o.Task))
		}
		t.done = true
	default:
		t.task.Checkpoint, t.task.CheckpointProgress = o.Checkpoint, o.CheckpointProgress
		q.nextAttempt(o.AttemptRef)
	}
}

func (q *fakeQueue) isDone() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.tasks {
		if !t.done {
			return false
		}
	}
	return true
}

func (q *fakeQueue) outcomes(end delegation.OutcomeKind) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, t := range q.tasks {
		for _, o := range t.outcomes {
			if o.Kind == end {
				n++
			}
		}
	}
	return n
}

func (q *fakeQueue) loseReplies(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lostReplies = n
}

// offerOf returns the next offer in the queue's sequence.
func (q *fakeQueue) offerOf(tasks []delegation.Task) delegation.Offer {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	return delegation.Offer{Cell: testCell, Queue: testQueue, Epoch: 1, Sequence: q.sequence, Tasks: tasks}
}

func (q *fakeQueue) setDown(down bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.down = down
}

// Call implements peer.Caller for calls of the cell.
func (q *fakeQueue) Call(ctx context.Context, host fleet.HostID, method string, request, reply any) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.down {
		return &peer.UnreachableError{Host: host, Cause: context.DeadlineExceeded}
	}
	if method == methodLatencies {
		return q.callFront(ctx, host, request, reply)
	}
	if method != delegation.MethodReturn {
		return nil
	}
	for _, o := range request.(delegation.Return).Outcomes {
		q.recordOutcome(o)
	}
	*reply.(*delegation.ReturnReply) = delegation.ReturnReply{Epoch: 1, Sequence: q.sequence}
	if q.lostReplies > 0 {
		q.lostReplies--
		return &peer.UnknownOutcomeError{Host: host, Method: method, Cause: context.DeadlineExceeded}
	}
	return nil
}

func (q *fakeQueue) callFront(ctx context.Context, host fleet.HostID, request, reply any) error {
	if q.front == nil {
		return &peer.UnreachableError{Host: host, Cause: context.DeadlineExceeded}
	}
	params, err := json.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := q.front[methodLatencies](ctx, "a", params)
	*reply.(*latencyReply), _ = answer.(latencyReply)
	return err
}

func (q *fakeQueue) setFront(front handlers) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.front = front
}

// Owner implements shard.Directory.
func (q *fakeQueue) Owner(shard.ID) (shard.Owner, bool) { return shard.Owner{Host: "queue-host"}, true }
