package dispatch

import (
	"cmp"
	"iter"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// taskList holds the records of a step's tasks, of which an owner may hold millions. A task
// has one from its first start until it is done and has no run.
//
// Invariants: the tasks below first are done and have no record. A task has a record or is among
// those in done, or neither, but not both; those from end on have neither.
type taskList struct {
	first, end int
	records    []*task  // by index
	done       []uint64 // bit set of the tasks that are done and have no record
}

// doneTask stands for every task that is done and has no record.
var doneTask = &task{done: true}

const wordBits = 64

// isDone reports whether a task is done and has no record.
func (l *taskList) isDone(index int) bool {
	return index < l.first || index/wordBits < len(l.done) && l.done[index/wordBits]&(1<<(index%wordBits)) != 0
}

// find returns the position of a task in records, and whether it is there.
func (l *taskList) find(index int) (int, bool) {
	return slices.BinarySearchFunc(l.records, index, func(t *task, index int) int { return cmp.Compare(t.name.Index, index) })
}

// get returns the record of a task, doneTask, or nil if it has not been started.
func (l *taskList) get(index int) *task {
	if l.isDone(index) {
		return doneTask
	}
	if at, ok := l.find(index); ok {
		return l.records[at]
	}
	return nil
}

// add adds the record of a task that has not been started.
func (l *taskList) add(t *task) {
	at, _ := l.find(t.name.Index)
	l.records = slices.Insert(l.records, at, t)
	l.end = max(l.end, t.name.Index+1)
}

// markDone marks a task as done, and drops its record.
func (l *taskList) markDone(index int) {
	if l.isDone(index) {
		return
	}
	if at, ok := l.find(index); ok {
		l.records = slices.Delete(l.records, at, at+1)
	}
	if len(l.records) == 0 {
		l.records = nil
	}
	l.end = max(l.end, index+1)
	if index > l.first {
		for len(l.done) <= index/wordBits {
			l.done = append(l.done, 0)
		}
		l.done[index/wordBits] |= 1 << (index % wordBits)
		return
	}
	for l.first++; l.isDone(l.first); {
		l.first++
	}
	if l.first == l.end {
		l.done = nil
	}
}

// recorded returns the tasks that have a record, by index.
func (l *taskList) recorded() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range l.records {
			if !yield(t) {
				return
			}
		}
	}
}

// countDone returns the number of tasks that are done.
func (l *taskList) countDone() int {
	n := l.countDropped()
	for _, t := range l.records {
		if t.done {
			n++
		}
	}
	return n
}

// countDropped returns the number of tasks that are done and have no record.
func (l *taskList) countDropped() int {
	n := l.first
	for i := l.first; i < l.end; i++ {
		if l.isDone(i) {
			n++
		}
	}
	return n
}

// newTask returns a task that has not been started, without making it a record.
func (s *step) newTask(index int) task {
	return task{job: s.job, step: s, name: workload.TaskName{Job: s.job.ID, Occurrence: s.occurrence, Step: s.index, Index: index}, waitingSince: s.job.arrivedAt}
}

// record returns the record of a task, and makes one for a task that has not been started.
// For a task that is done and has no record it returns one that is not kept.
func (s *step) record(index int) *task {
	t := s.tasks.get(index)
	switch t {
	case doneTask:
		done := s.newTask(index)
		done.done = true
		return &done
	case nil:
		started := s.newTask(index)
		s.tasks.add(&started)
		s.job.records++
		return &started
	default:
		return t
	}
}

// markDone drops the record of a task that is done, if it has one.
func (s *step) markDone(index int) {
	if t := s.tasks.get(index); t != nil && t != doneTask {
		s.job.records--
	}
	s.tasks.markDone(index)
}

// peek returns the record of a task, in unstarted one of a task that has not been started,
// or nil if the task is done.
func (s *step) peek(index int, unstarted *task) *task {
	t := s.tasks.get(index)
	switch {
	case t == nil:
		*unstarted = s.newTask(index)
		return unstarted
	case t.done:
		return nil
	default:
		return t
	}
}

// countUnstarted returns the number of tasks that have not been started.
func (s *step) countUnstarted() int {
	return s.Count - s.tasks.countDropped() - len(s.tasks.records)
}

// eachWaiting yields each waiting task that has a record, and the first of the others with
// their number. It reports whether to go on.
func (s *step) eachWaiting(yield func(*task, int) bool) bool {
	for t := range s.tasks.recorded() {
		if !t.done && len(t.runs) == 0 && !yield(t, 1) {
			return false
		}
	}
	if n := s.countUnstarted(); n > 0 {
		first := s.tasks.first
		for s.tasks.get(first) != nil {
			first++
		}
		unstarted := s.newTask(first)
		return yield(&unstarted, n)
	}
	return true
}

// mayDropRecord reports whether nothing of a task is needed but that it is done. The members of a
// gang that are done tell the next owner the number of the gang's run until all are.
func (t *task) mayDropRecord() bool {
	return t.done && len(t.runs) == 0 && (!t.step.Gang || t.step.doneCount == t.step.Count)
}

// dropRecord drops the record of a task that is done and has no run, and the steps of its
// occurrence once none of them has records.
func (t *task) dropRecord() {
	if !t.mayDropRecord() {
		return
	}
	s := t.step
	s.markDone(t.name.Index)
	if s.tasks.first == s.Count {
		s.job.dropOccurrence(s.occurrence)
	}
}
