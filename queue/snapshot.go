package queue

import (
	"slices"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// snapshotImage is the encoded form of the whole state. Jobs and cells are
// sorted by ID, so equal states have equal images.
type snapshotImage struct {
	Version uint       `cbor:"1,keyasint"`
	Cells   []shard.ID `cbor:"2,keyasint,omitempty"`
	Jobs    []jobImage `cbor:"3,keyasint,omitempty"`
}

// jobImage is the encoded form of a jobState.
type jobImage struct {
	Submitted submitted           `cbor:"1,keyasint"`
	Tasks     []taskRun           `cbor:"2,keyasint"`
	Held      []heldRun           `cbor:"3,keyasint,omitempty"`
	Details   map[int]taskHistory `cbor:"4,keyasint,omitempty"`
	Cancelled bool                `cbor:"5,keyasint,omitempty"`
	Ended     int64               `cbor:"6,keyasint,omitempty"`
	Evictions int                 `cbor:"7,keyasint,omitempty"`
	LastError string              `cbor:"8,keyasint,omitempty"`
}

// taskRun is a run of Count consecutive tasks with the same state and number of
// attempts.
type taskRun struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Task  task
}

// heldRun is a run of Count consecutive tasks, from index From, that are
// delegated to the same cell.
type heldRun struct {
	_     struct{} `cbor:",toarray"`
	From  int
	Count int
	Cell  int // index in snapshotImage.Cells
}

// Snapshot implements wal.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	image := snapshotImage{Version: formatVersion}
	cells := make(map[shard.ID]int)
	for _, id := range m.cellIDs() {
		cells[id] = len(image.Cells)
		image.Cells = append(image.Cells, id)
	}
	for _, id := range m.ids {
		image.Jobs = append(image.Jobs, m.jobImage(m.jobs[id], cells))
	}
	return wal.Encode(image)
}

// cellIDs returns the cells to which tasks are delegated, sorted.
func (m *Machine) cellIDs() []shard.ID {
	held := make(map[shard.ID]bool)
	for _, d := range m.delegations {
		held[d.cell.id] = true
	}
	ids := make([]shard.ID, 0, len(held))
	for id := range held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) jobImage(j *jobState, cells map[shard.ID]int) jobImage {
	image := jobImage{
		Submitted: j.submitted,
		Details:   j.history,
		Cancelled: j.cancelled,
		Ended:     j.ended,
		Evictions: j.evictions,
		LastError: j.lastError,
	}
	for i, t := range j.tasks {
		if n := len(image.Tasks); n > 0 && image.Tasks[n-1].Task == t {
			image.Tasks[n-1].Count++
		} else {
			image.Tasks = append(image.Tasks, taskRun{Count: 1, Task: t})
		}
		if t.state() == taskDelegated {
			cell := cells[m.delegations[taskKey{job: j, index: i}].cell.id]
			image.Held = appendHeld(image.Held, i, cell)
		}
	}
	return image
}

func appendHeld(runs []heldRun, index, cell int) []heldRun {
	if n := len(runs); n > 0 && runs[n-1].Cell == cell && runs[n-1].From+runs[n-1].Count == index {
		runs[n-1].Count++
		return runs
	}
	return append(runs, heldRun{From: index, Count: 1, Cell: cell})
}

// Restore implements wal.Machine.
func (m *Machine) Restore(data []byte) error {
	m.reset()
	if len(data) == 0 {
		return nil
	}
	var image snapshotImage
	if err := wal.Decode(data, &image); err != nil {
		return err
	}
	if image.Version != formatVersion {
		return &VersionError{Version: image.Version}
	}
	m.ids = make([]fleet.JobID, 0, len(image.Jobs))
	for _, j := range image.Jobs {
		if err := m.restoreJob(j, image.Cells); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) restoreJob(image jobImage, cells []shard.ID) error {
	id := image.Submitted.ID
	j := &jobState{
		submitted: image.Submitted,
		history:   image.Details,
		cancelled: image.Cancelled,
		ended:     image.Ended,
		evictions: image.Evictions,
		lastError: image.LastError,
	}
	for _, run := range image.Tasks {
		if run.Count < 1 || run.Count > image.Submitted.Tasks-len(j.tasks) || run.Task.state() >= taskStateCount {
			return &ContradictionError{Job: id, Reason: "snapshot with other tasks"}
		}
		j.tasks = append(j.tasks, slices.Repeat([]task{run.Task}, run.Count)...)
		j.counts[run.Task.state()] += run.Count
	}
	if len(j.tasks) != image.Submitted.Tasks || m.jobs[id] != nil {
		return &ContradictionError{Job: id, Reason: "snapshot with other tasks"}
	}
	j.queuedFrom = j.firstQueued()
	m.insert(j)
	return m.restoreHeld(j, image.Held, cells)
}

func (m *Machine) restoreHeld(j *jobState, runs []heldRun, cells []shard.ID) error {
	held := 0
	for _, run := range runs {
		if run.Cell < 0 || run.Cell >= len(cells) || run.From < 0 || run.Count < 1 || run.From > len(j.tasks)-run.Count {
			return &ContradictionError{Job: j.ID, Index: run.From, Reason: "snapshot with other cells"}
		}
		for i := run.From; i < run.From+run.Count; i++ {
			if j.tasks[i].state() != taskDelegated || m.delegations[taskKey{job: j, index: i}] != nil {
				return &ContradictionError{Job: j.ID, Index: i, Reason: "held while not delegated"}
			}
			m.addDelegation(j, i, cells[run.Cell])
			held++
		}
	}
	if held != j.counts[taskDelegated] {
		return &ContradictionError{Job: j.ID, Reason: "delegated without a cell"}
	}
	return nil
}
