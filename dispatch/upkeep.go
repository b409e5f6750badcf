package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// upkeep is the state of the waves.
//
// Invariants: of a wave at most MaxDown machines are down or about to be; a
// machine in begun has had its upkeep ordered, with success.
type upkeep struct {
	waves    []*waveState
	machines map[string]workload.Machine
	listed   bool // machines have been read
	// quietUntil keeps two owners from ordering machines by turns.
	quietUntil time.Duration
}

type waveState struct {
	workload.Wave
	begun     map[string]bool
	ordered   map[string]fleet.WorkerID // upkeep called, by the worker it ended
	emptying  map[string]bool
	completed bool
	changed   bool // what is durable of it is out of date
}

// UpkeepOrder takes a machine down.
type UpkeepOrder struct {
	Machine string
	Wave    int64
}

// WaveRecord is what is durable of a wave.
type WaveRecord struct {
	Wave      int64    `json:"wave"`
	Begun     []string `json:"begun"`
	Completed bool     `json:"completed,omitempty"`
}

// SetWave takes in a wave that operators ask for, with what is durable of it.
func (m *Machine) SetWave(w workload.Wave, record WaveRecord) {
	if slices.ContainsFunc(m.upkeep.waves, func(o *waveState) bool { return o.Number == w.Number }) {
		return
	}
	s := &waveState{
		Wave: w, begun: make(map[string]bool), ordered: make(map[string]fleet.WorkerID), emptying: make(map[string]bool),
		completed: record.Completed, changed: true,
	}
	for _, id := range record.Begun {
		s.begun[id] = true
	}
	m.upkeep.waves = append(m.upkeep.waves, s)
	slices.SortFunc(m.upkeep.waves, func(a, b *waveState) int { return int(a.Number - b.Number) })
	m.event("wave_taken_in", "", "wave", w.Number, "machines", len(w.Machines), "cap", w.MaxDown, "begun", len(s.begun))
}

// SetMachines takes in the platform's list of machines.
func (m *Machine) SetMachines(list []workload.Machine) {
	m.upkeep.machines = make(map[string]workload.Machine, len(list))
	for _, x := range list {
		m.upkeep.machines[x.ID] = x
	}
	m.upkeep.listed = true
}

// WavesOpen reports whether a wave is not completed.
func (m *Machine) WavesOpen() bool {
	return slices.ContainsFunc(m.upkeep.waves, func(w *waveState) bool { return !w.completed })
}

// planUpkeep empties the workers of machines whose turn has come, and orders
// the upkeep of those that are empty. It answers waves beside serving tasks of
// which only a few may be away at once.
func (m *Machine) planUpkeep(now time.Duration) {
	if !m.upkeep.listed || now < m.upkeep.quietUntil {
		return
	}
	for _, w := range m.upkeep.waves {
		if w.completed {
			continue
		}
		m.advance(w)
	}
}

func (m *Machine) advance(w *waveState) {
	down := 0
	left := 0
	for _, id := range w.Machines {
		x, known := m.upkeep.machines[id]
		switch {
		case w.begun[id]:
			if known && x.State != workload.MachineUp {
				down++
			}
			continue
		case !known:
			continue // it has left for good
		}
		left++
		if _, ok := w.ordered[id]; ok || w.emptying[id] {
			down++
		}
	}
	for _, id := range w.Machines {
		x, known := m.upkeep.machines[id]
		if w.begun[id] || !known {
			continue
		}
		if !w.emptying[id] {
			if down >= w.MaxDown || x.State != workload.MachineUp {
				continue
			}
			w.emptying[id] = true
			down++
		}
		m.empty(w, x)
	}
	if left == 0 {
		w.completed, w.changed = true, true
		m.event("wave_completed", "", "wave", w.Number, "begun", len(w.begun))
	}
}

// empty moves what runs off a machine, and orders its upkeep once it is empty.
func (m *Machine) empty(w *waveState, x workload.Machine) {
	if _, ok := w.ordered[x.ID]; ok {
		return
	}
	worker := m.workers[x.Worker]
	if worker != nil {
		worker.upkeep = true
		if !worker.adopted {
			return
		}
		for _, r := range slices.Clone(worker.runs) {
			if r.state == runRunning && m.mayStop(r) {
				m.event("run_emptied", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", worker.ID, "wave", w.Number)
				m.stop(r, "upkeep")
			}
		}
		if len(worker.runs) > 0 || worker.strangers > 0 {
			return
		}
	}
	w.ordered[x.ID] = x.Worker
	m.upkeepOrders = append(m.upkeepOrders, UpkeepOrder{Machine: x.ID, Wave: w.Number})
	m.event("upkeep_ordered", "", "machine", x.ID, "wave", w.Number, "worker", x.Worker)
}

// mayStop reports whether a run may be stopped to empty its worker: a batch run that
// saves its progress always, a serving one if no more of its step would then be
// away than may be. Other batch runs end by themselves.
func (m *Machine) mayStop(r *run) bool {
	s := r.task.step
	if !s.Serving {
		return s.Checkpoints
	}
	away := 1
	for _, t := range s.tasks {
		if t != r.task && !t.atWork() {
			away++
		}
	}
	return away <= s.MaxUnavailable
}

// atWork reports whether a serving task works fully.
func (t *task) atWork() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.state == runRunning && r.percent >= 100 })
}

// TakeUpkeepOrders returns the machines to take down since the last call.
func (m *Machine) TakeUpkeepOrders() []UpkeepOrder {
	orders := m.upkeepOrders
	m.upkeepOrders = nil
	return orders
}

// UpkeepAnswered takes in the outcome of an upkeep order. One without an
// answer is given again: the platform does it once a wave.
func (m *Machine) UpkeepAnswered(o UpkeepOrder, outcome Outcome) {
	i := slices.IndexFunc(m.upkeep.waves, func(w *waveState) bool { return w.Number == o.Wave })
	if i < 0 {
		return
	}
	w := m.upkeep.waves[i]
	switch outcome {
	case Accepted:
		w.begun[o.Machine], w.changed = true, true
		if x, ok := m.upkeep.machines[o.Machine]; ok {
			x.State = workload.MachineMaintenance // until the list says otherwise
			m.upkeep.machines[o.Machine] = x
		}
		delete(w.emptying, o.Machine)
	case Superseded:
		m.superseded = true
	}
	delete(w.ordered, o.Machine)
	m.event("upkeep_answered", "", "machine", o.Machine, "wave", o.Wave, "outcome", outcome)
}

// TakeWaveRecords returns what has to become durable of the waves.
func (m *Machine) TakeWaveRecords() []WaveRecord {
	var records []WaveRecord
	for _, w := range m.upkeep.waves {
		if !w.changed {
			continue
		}
		w.changed = false
		r := WaveRecord{Wave: w.Number, Completed: w.completed}
		for _, id := range w.Machines {
			if w.begun[id] {
				r.Begun = append(r.Begun, id)
			}
		}
		records = append(records, r)
	}
	return records
}

// WaveRecordsFailed makes the records due again.
func (m *Machine) WaveRecordsFailed(records []WaveRecord) {
	for _, r := range records {
		for _, w := range m.upkeep.waves {
			if w.Number == r.Wave {
				w.changed = true
			}
		}
	}
}
