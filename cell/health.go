package cell

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	healthWindow   = 16          // latest ends of a worker that count
	minFailures    = 4           // below, a worker is not judged
	failureRate    = 0.75        // of counted ends, from which a worker is faulty
	minFailedJobs  = 2           // different jobs, if none of them is known to be sound
	blameWorkers   = 3           // a job that failed on so many different workers is at fault itself
	trackedWorkers = 8           // kept per job
	probeDelay     = time.Minute // from quarantine to the first probe; doubles with each failed one
	maxProbeDelay  = 32 * time.Minute
	suspectDelay   = 5 * time.Second // before the first probe of a worker that may not be at fault
	healthMemory   = time.Hour       // without an end, a job or sound worker is forgotten
	sizeWindow     = 20              // latest observations of a class that count
	sizeQuantile   = 0.9
)

// jobEnd is one end of an attempt on a worker.
type jobEnd struct {
	Job    fleet.JobID `cbor:"1,keyasint"`
	Failed bool        `cbor:"2,keyasint,omitempty"`
}

// workerHealth is what ended lately on a worker.
type workerHealth struct {
	Ends          []jobEnd `cbor:"1,keyasint,omitempty"`
	AtMS          int64    `cbor:"2,keyasint"`           // of the last end
	QuarantinedMS int64    `cbor:"3,keyasint,omitempty"` // since; 0 if not quarantined
	Probes        int      `cbor:"4,keyasint,omitempty"` // failed ones
	// Suspected says that the quarantine rests on one job alone, which may be
	// at fault itself.
	Suspected bool `cbor:"5,keyasint,omitempty"`
}

// jobHealth is where the tasks of a job failed and finished.
type jobHealth struct {
	FailedOn   []fleet.WorkerID `cbor:"1,keyasint,omitempty"`
	FinishedOn []fleet.WorkerID `cbor:"2,keyasint,omitempty"`
	AtMS       int64            `cbor:"3,keyasint"`
}

// isBlamed reports whether the failures of the job are its own fault.
func (j *jobHealth) isBlamed() bool {
	return j != nil && len(j.FailedOn) >= blameWorkers && len(j.FailedOn) > len(j.FinishedOn)
}

func addWorker(list []fleet.WorkerID, w fleet.WorkerID) []fleet.WorkerID {
	if slices.Contains(list, w) || len(list) >= trackedWorkers {
		return list
	}
	return append(list, w)
}

// jobOf returns the job of a task: its ID up to the last slash.
func jobOf(task fleet.TaskID) fleet.JobID {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '/' {
			return fleet.JobID(task[:i])
		}
	}
	return fleet.JobID(task)
}

// observe learns from the outcome of a: the health of its worker and job and
// the size of its class. Only the task's own end counts; an eviction or lost
// worker says nothing about either.
func (m *Machine) observe(a *attempt, atMS int64) {
	m.observeSize(a.Task.Class, a.Outcome.Used)
	end := a.Outcome.End
	if a.Phase != phaseEnded || a.Outcome.Worker == "" {
		return
	}
	if end != delegation.EndFinished && end != delegation.EndFailed {
		return
	}
	failed := end == delegation.EndFailed
	job := jobOf(a.Task.Task)
	m.observeJob(job, a.Outcome.Worker, failed, atMS)
	m.observeWorker(a.Outcome.Worker, jobEnd{Job: job, Failed: failed}, atMS)
}

func (m *Machine) observeJob(job fleet.JobID, w fleet.WorkerID, failed bool, atMS int64) {
	j := m.state.Jobs[job]
	if j == nil {
		j = &jobHealth{}
		m.state.Jobs[job] = j
	}
	j.AtMS = atMS
	wasBlamed := j.isBlamed()
	if failed {
		j.FailedOn = addWorker(j.FailedOn, w)
	} else {
		j.FinishedOn = addWorker(j.FinishedOn, w)
	}
	if !wasBlamed && j.isBlamed() {
		m.clearWorkers()
	}
}

// clearWorkers ends the quarantine of workers that are no longer faulty once
// a job was found to be at fault.
func (m *Machine) clearWorkers() {
	for id, h := range m.state.Health {
		failing, _ := m.judgeWorker(id)
		if h.QuarantinedMS != 0 && !failing {
			h.QuarantinedMS = 0
			h.Probes = 0
		}
	}
}

func (m *Machine) observeWorker(id fleet.WorkerID, end jobEnd, atMS int64) {
	h := m.state.Health[id]
	if h == nil {
		h = &workerHealth{}
		m.state.Health[id] = h
	}
	h.AtMS = atMS
	if h.QuarantinedMS != 0 {
		m.observeProbe(id, h, end, atMS)
		return
	}
	m.addEnd(h, end)
	if failing, suspected := m.judgeWorker(id); failing {
		h.QuarantinedMS = atMS
		h.Suspected = suspected
	}
}

func (m *Machine) addEnd(h *workerHealth, end jobEnd) {
	h.Ends = append(h.Ends, end)
	if len(h.Ends) > healthWindow {
		h.Ends = slices.Delete(h.Ends, 0, len(h.Ends)-healthWindow)
	}
}

// observeProbe judges an end on a quarantined worker: one success clears it.
// Ends of tasks that were placed before the quarantine are no probes.
func (m *Machine) observeProbe(id fleet.WorkerID, h *workerHealth, end jobEnd, atMS int64) {
	if !end.Failed {
		*h = workerHealth{AtMS: atMS}
		return
	}
	if m.state.Jobs[end.Job].isBlamed() {
		return
	}
	m.addEnd(h, end)
	wasSuspected := h.Suspected
	_, h.Suspected = m.judgeWorker(id)
	if wasSuspected || atMS < h.QuarantinedMS+h.delay().Milliseconds() {
		h.QuarantinedMS = atMS
		return
	}
	h.QuarantinedMS = atMS
	h.Probes++
}

// delay returns the time from the quarantine to its next probe.
func (h *workerHealth) delay() time.Duration {
	if h.Suspected {
		return suspectDelay
	}
	return min(probeDelay<<min(h.Probes, 8), maxProbeDelay)
}

// judgeWorker reports whether a worker fails what it starts. Failures of jobs
// that are at fault themselves do not count. It is only suspected if all
// failures are of one job that has finished no task elsewhere.
func (m *Machine) judgeWorker(id fleet.WorkerID) (failing, suspected bool) {
	failures, counted := 0, 0
	jobs := make(map[fleet.JobID]bool)
	sound := false
	for _, end := range m.state.Health[id].Ends {
		j := m.state.Jobs[end.Job]
		if j.isBlamed() {
			continue
		}
		counted++
		if !end.Failed {
			continue
		}
		failures++
		jobs[end.Job] = true
		sound = sound || finishedElsewhere(j, id)
	}
	if failures < minFailures || float64(failures) < failureRate*float64(counted) {
		return false, false
	}
	return true, !sound && len(jobs) < minFailedJobs
}

func finishedElsewhere(j *jobHealth, id fleet.WorkerID) bool {
	return j != nil && slices.ContainsFunc(j.FinishedOn, func(w fleet.WorkerID) bool { return w != id })
}

// quarantine reports whether a worker is quarantined and, if so, whether a
// probe is due.
func (m *Machine) quarantine(id fleet.WorkerID, now time.Time) (quarantined, probe bool) {
	h := m.state.Health[id]
	if h == nil || h.QuarantinedMS == 0 {
		return false, false
	}
	return true, now.UnixMilli() >= h.QuarantinedMS+h.delay().Milliseconds()
}

func (m *Machine) expireHealth(nowMS int64) {
	oldest := nowMS - healthMemory.Milliseconds()
	for id, h := range m.state.Health {
		if h.QuarantinedMS == 0 && h.AtMS < oldest {
			delete(m.state.Health, id)
		}
	}
	for id, j := range m.state.Jobs {
		if j.AtMS < oldest {
			delete(m.state.Jobs, id)
		}
	}
}

func (m *Machine) observeSize(class fleet.JobClass, used fleet.Resources) {
	if used.IsZero() {
		return
	}
	seen := append(m.state.Sizes[class], used)
	if len(seen) > sizeWindow {
		seen = slices.Delete(seen, 0, len(seen)-sizeWindow)
	}
	m.state.Sizes[class] = seen
}

// observedSize returns a high quantile, by dimension, of what tasks of the
// class were seen to use, or zero if none was seen.
func (m *Machine) observedSize(class fleet.JobClass) fleet.Resources {
	seen := m.state.Sizes[class]
	if len(seen) == 0 {
		return fleet.Resources{}
	}
	return fleet.Resources{
		MilliCores:   quantile(seen, sizeQuantile, func(r fleet.Resources) int64 { return r.MilliCores }),
		MemoryMB:     quantile(seen, sizeQuantile, func(r fleet.Resources) int64 { return r.MemoryMB }),
		Accelerators: quantile(seen, sizeQuantile, func(r fleet.Resources) int64 { return r.Accelerators }),
	}
}

func quantile[T any](seen []T, q float64, of func(T) int64) int64 {
	values := make([]int64, len(seen))
	for i, v := range seen {
		values[i] = of(v)
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}
