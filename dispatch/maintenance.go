package dispatch

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// maintenance is the state of the maintenance waves, in which machines are taken
// down.
//
// Invariants: at most MaxDown machines of a wave are down or about to be; the
// maintenance orders of the machines in started were accepted.
type maintenance struct {
	waves    []*waveState
	machines map[string]workload.Machine
	listed   bool // machines has been set
	// absences counts the last lists in a row without a machine. Pages are no snapshot, so
	// that a list may lack one that is there.
	absences map[string]int
	// ordersFrom is when this owner may first order maintenance, so that it does not
	// alternate with the former one.
	ordersFrom time.Duration
}

type waveState struct {
	workload.Wave
	started    map[string]bool
	ordered    map[string]fleet.WorkerID // maintenance ordered but not answered, with the worker of the machine
	evacuating map[string]bool
	completed  bool
	dirty      bool // its record must be written
}

// MaintenanceOrder is an order to take a machine down for maintenance.
type MaintenanceOrder struct {
	Machine string
	Wave    int64
}

// WaveRecord is the stored state of a wave.
type WaveRecord struct {
	Wave      int64    `json:"wave"`
	Started   []string `json:"begun"`
	Completed bool     `json:"completed,omitempty"`
}

// SetWave adds a wave that operators have requested, with its stored record. A wave
// that is already known is ignored.
func (m *Machine) SetWave(w workload.Wave, record WaveRecord) {
	if slices.ContainsFunc(m.maintenance.waves, func(o *waveState) bool { return o.Number == w.Number }) {
		return
	}
	s := &waveState{
		Wave: w, started: make(map[string]bool), ordered: make(map[string]fleet.WorkerID), evacuating: make(map[string]bool),
		completed: record.Completed, dirty: true,
	}
	for _, id := range record.Started {
		s.started[id] = true
	}
	m.maintenance.waves = append(m.maintenance.waves, s)
	slices.SortFunc(m.maintenance.waves, func(a, b *waveState) int { return int(a.Number - b.Number) })
	m.emit("wave_taken_in", "", "wave", w.Number, "machines", len(w.Machines), "cap", w.MaxDown, "begun", len(s.started))
}

// absentLists is how many lists in a row lack a machine that has been removed.
const absentLists = 2

// SetMachines replaces the platform's list of machines. A machine that only this list lacks
// keeps its state.
func (m *Machine) SetMachines(list []workload.Machine) {
	before, absences := m.maintenance.machines, m.maintenance.absences
	m.maintenance.machines, m.maintenance.absences = make(map[string]workload.Machine, len(list)), make(map[string]int)
	for _, x := range list {
		m.maintenance.machines[x.ID] = x
	}
	for _, w := range m.maintenance.waves {
		for _, id := range w.Machines {
			if _, ok := m.maintenance.machines[id]; ok || m.maintenance.absences[id] > 0 {
				continue
			}
			m.maintenance.absences[id] = absences[id] + 1
			if x, ok := before[id]; ok && !m.maintenance.isRemoved(id) {
				m.maintenance.machines[id] = x
			}
		}
	}
	m.maintenance.listed = true
}

// isRemoved reports whether a machine is no longer on the platform.
func (s *maintenance) isRemoved(id string) bool { return s.absences[id] >= absentLists }

// WavesOpen reports whether any wave is not completed.
func (m *Machine) WavesOpen() bool {
	return slices.ContainsFunc(m.maintenance.waves, func(w *waveState) bool { return !w.completed })
}

// planMaintenance evacuates the workers of machines that are next in a wave, and
// orders the maintenance of those that are empty. Only a few serving tasks of a step
// may be missing at once meanwhile.
func (m *Machine) planMaintenance(now time.Duration) {
	if !m.maintenance.listed || now < m.maintenance.ordersFrom {
		return
	}
	for _, w := range m.maintenance.waves {
		if w.completed {
			continue
		}
		m.advanceWave(w)
	}
}

// advanceWave starts to evacuate machines up to the MaxDown of a wave, continues with
// those it has started, and completes the wave when no machine is left.
func (m *Machine) advanceWave(w *waveState) {
	down := 0
	remaining := 0
	for _, id := range w.Machines {
		x, known := m.maintenance.machines[id]
		switch {
		case w.started[id]:
			if !m.maintenance.isRemoved(id) && (!known || x.State != workload.MachineUp) {
				down++
			}
			continue
		case m.maintenance.isRemoved(id):
			continue
		}
		remaining++
		// A machine may be down by an order that a former owner could not record.
		if _, ok := w.ordered[id]; ok || w.evacuating[id] || x.State == workload.MachineMaintenance {
			down++
		}
	}
	for _, id := range w.Machines {
		x, known := m.maintenance.machines[id]
		if w.started[id] || !known {
			continue
		}
		if !w.evacuating[id] {
			if down >= w.MaxDown || x.State != workload.MachineUp {
				continue
			}
			w.evacuating[id] = true
			down++
		}
		m.evacuate(w, x)
	}
	if remaining == 0 {
		w.completed, w.dirty = true, true
		m.emit("wave_completed", "", "wave", w.Number, "begun", len(w.started))
	}
}

// evacuate moves the runs off a machine, and orders its maintenance once it is empty.
func (m *Machine) evacuate(w *waveState, x workload.Machine) {
	worker := m.workers[x.Worker]
	if worker != nil {
		worker.evacuating = true // also if it has restarted since the order
	}
	if _, ok := w.ordered[x.ID]; ok {
		return
	}
	if worker != nil {
		if !worker.caughtUp {
			return
		}
		for _, r := range slices.Clone(worker.runs) {
			if r.state == runRunning && m.mayEvacuate(r) {
				m.emit("run_emptied", r.task.job.ID, "task", r.task.name, "run", r.number, "worker", worker.ID, "wave", w.Number)
				m.requestStop(r, "upkeep")
			}
		}
		if len(worker.runs) > 0 || len(worker.unlisted) > 0 || worker.unknownRuns > 0 {
			return
		}
	}
	w.ordered[x.ID] = x.Worker
	m.maintenanceOrders = append(m.maintenanceOrders, MaintenanceOrder{Machine: x.ID, Wave: w.Number})
	m.emit("upkeep_ordered", "", "machine", x.ID, "wave", w.Number, "worker", x.Worker)
}

// mayEvacuate reports whether a run may be stopped to evacuate its worker: a batch run
// if it saves checkpoints, and a serving run if then at most MaxUnavailable tasks of its
// step are missing. Other batch runs are left to end.
func (m *Machine) mayEvacuate(r *run) bool {
	s := r.task.step
	if !s.Serving {
		return s.Checkpoints
	}
	missing := s.Count
	for t := range s.tasks.recorded() {
		if t != r.task && t.fullyServing() {
			missing--
		}
	}
	return missing <= s.MaxUnavailable
}

// fullyServing reports whether a serving task has a run that is fully up.
func (t *task) fullyServing() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.state == runRunning && r.percent >= 100 })
}

// TakeMaintenanceOrders returns the maintenance orders issued since the last call.
func (m *Machine) TakeMaintenanceOrders() []MaintenanceOrder {
	orders := m.maintenanceOrders
	m.maintenanceOrders = nil
	return orders
}

// MaintenanceAnswered processes the outcome of a maintenance order. One that was not
// accepted is issued again, which is safe as the platform executes it once per wave.
func (m *Machine) MaintenanceAnswered(o MaintenanceOrder, outcome Outcome) {
	i := slices.IndexFunc(m.maintenance.waves, func(w *waveState) bool { return w.Number == o.Wave })
	if i < 0 {
		return
	}
	w := m.maintenance.waves[i]
	switch outcome {
	case Accepted:
		w.started[o.Machine], w.dirty = true, true
		if x, ok := m.maintenance.machines[o.Machine]; ok {
			x.State = workload.MachineMaintenance // until SetMachines reports another state
			m.maintenance.machines[o.Machine] = x
		}
		delete(w.evacuating, o.Machine)
	case Superseded:
		m.superseded = true
	}
	delete(w.ordered, o.Machine)
	m.emit("upkeep_answered", "", "machine", o.Machine, "wave", o.Wave, "outcome", outcome)
}

// TakeWaveRecords returns the wave records that must be stored.
func (m *Machine) TakeWaveRecords() []WaveRecord {
	var records []WaveRecord
	for _, w := range m.maintenance.waves {
		if !w.dirty {
			continue
		}
		w.dirty = false
		r := WaveRecord{Wave: w.Number, Completed: w.completed}
		for _, id := range w.Machines {
			if w.started[id] {
				r.Started = append(r.Started, id)
			}
		}
		records = append(records, r)
	}
	return records
}

// WaveRecordsFailed makes records due again that were not stored.
func (m *Machine) WaveRecordsFailed(records []WaveRecord) {
	for _, r := range records {
		for _, w := range m.maintenance.waves {
			if w.Number == r.Wave {
				w.dirty = true
			}
		}
	}
}
