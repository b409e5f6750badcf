package cell

import (
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	healthWindow      = 16          // latest ends of a worker that are considered
	minFailures       = 4           // with fewer failures a worker is not considered faulty
	failureRate       = 0.75        // share of the considered ends from which a worker is faulty
	minFailedJobs     = 2           // failing on fewer jobs, none known to be healthy, makes a worker only suspected
	jobFaultWorkers   = 3           // a job that failed on this many workers, and on more than it finished on, is faulty
	maxTrackedWorkers = 8           // maximum kept per job and result
	probeDelay        = time.Minute // from quarantine to the first probe; doubles with each failed probe
	maxProbeDelay     = 32 * time.Minute
	suspectProbeDelay = 5 * time.Second // before a probe of a worker that is only suspected
	healthRetention   = time.Hour       // a job, or a worker not in quarantine, is dropped after this long without an end
	sizeWindow        = 20              // latest observations that are kept of each class
	sizeQuantile      = 0.9
)

// jobEnd is the end of one attempt on a worker.
type jobEnd struct {
	Job    fleet.JobID `cbor:"1,keyasint"`
	Failed bool        `cbor:"2,keyasint,omitempty"`
}

// workerHealth holds the recent ends on a worker and its quarantine.
type workerHealth struct {
	Ends          []jobEnd `cbor:"1,keyasint,omitempty"`
	AtMS          int64    `cbor:"2,keyasint"`           // of the last end
	QuarantinedMS int64    `cbor:"3,keyasint,omitempty"` // start of the quarantine; 0 if not quarantined
	Probes        int      `cbor:"4,keyasint,omitempty"` // number of failed probes
	// Suspected is set if the quarantine is based on a single job, which may
	// itself be faulty.
	Suspected bool `cbor:"5,keyasint,omitempty"`
}

// jobHealth lists the workers on which tasks of a job failed and finished.
type jobHealth struct {
	FailedOn   []fleet.WorkerID `cbor:"1,keyasint,omitempty"`
	FinishedOn []fleet.WorkerID `cbor:"2,keyasint,omitempty"`
	AtMS       int64            `cbor:"3,keyasint"`
}

// isFaulty reports whether the job itself causes its failures.
func (j *jobHealth) isFaulty() bool {
	return j != nil && len(j.FailedOn) >= jobFaultWorkers && len(j.FailedOn) > len(j.FinishedOn)
}

func addWorker(list []fleet.WorkerID, w fleet.WorkerID) []fleet.WorkerID {
	if slices.Contains(list, w) || len(list) >= maxTrackedWorkers {
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

// observeOutcome updates the health of a's worker and job and the observed size
// of its class. Health considers only tasks that finished or failed by
// themselves; an eviction or a lost worker is no evidence.
func (m *Machine) observeOutcome(a *attempt, atMS int64) {
	m.observeSize(a.Task.Class, a.Outcome.Used)
	end := a.Outcome.Kind
	if a.Phase != phaseEnded || a.Outcome.Worker == "" {
		return
	}
	if end != delegation.OutcomeFinished && end != delegation.OutcomeFailed {
		return
	}
	failed := end == delegation.OutcomeFailed
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
	wasFaulty := j.isFaulty()
	if failed {
		j.FailedOn = addWorker(j.FailedOn, w)
	} else {
		j.FinishedOn = addWorker(j.FinishedOn, w)
	}
	if !wasFaulty && j.isFaulty() {
		m.liftQuarantines()
	}
}

// liftQuarantines ends the quarantine of workers that no longer count as faulty
// after a job was found to be faulty.
func (m *Machine) liftQuarantines() {
	for id, h := range m.state.Health {
		failing, _ := m.assessWorker(id)
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
	if failing, suspected := m.assessWorker(id); failing {
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

// observeProbe evaluates an end on a quarantined worker: one success ends the
// quarantine. A failure before the probe delay is over belongs to a task that
// was placed before the quarantine and does not count as a probe.
func (m *Machine) observeProbe(id fleet.WorkerID, h *workerHealth, end jobEnd, atMS int64) {
	if !end.Failed {
		*h = workerHealth{AtMS: atMS}
		return
	}
	if m.state.Jobs[end.Job].isFaulty() {
		return
	}
	m.addEnd(h, end)
	wasSuspected := h.Suspected
	_, h.Suspected = m.assessWorker(id)
	if wasSuspected || atMS < h.QuarantinedMS+h.nextProbeDelay().Milliseconds() {
		h.QuarantinedMS = atMS
		return
	}
	h.QuarantinedMS = atMS
	h.Probes++
}

// nextProbeDelay returns the time from QuarantinedMS to the next probe.
func (h *workerHealth) nextProbeDelay() time.Duration {
	if h.Suspected {
		return suspectProbeDelay
	}
	return min(probeDelay<<min(h.Probes, 8), maxProbeDelay)
}

// assessWorker reports whether most tasks fail on a worker. Ends of faulty jobs
// are ignored. The worker is only suspected if all failures are of one job that
// has not finished a task on another worker.
func (m *Machine) assessWorker(id fleet.WorkerID) (failing, suspected bool) {
	failures, counted := 0, 0
	jobs := make(map[fleet.JobID]bool)
	jobHealthy := false
	for _, end := range m.state.Health[id].Ends {
		j := m.state.Jobs[end.Job]
		if j.isFaulty() {
			continue
		}
		counted++
		if !end.Failed {
			continue
		}
		failures++
		jobs[end.Job] = true
		jobHealthy = jobHealthy || finishedElsewhere(j, id)
	}
	if failures < minFailures || float64(failures) < failureRate*float64(counted) {
		return false, false
	}
	return true, !jobHealthy && len(jobs) < minFailedJobs
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
	return true, now.UnixMilli() >= h.QuarantinedMS+h.nextProbeDelay().Milliseconds()
}

func (m *Machine) expireHealth(nowMS int64) {
	oldest := nowMS - healthRetention.Milliseconds()
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
	samples := append(m.state.Sizes[class], used)
	if len(samples) > sizeWindow {
		samples = slices.Delete(samples, 0, len(samples)-sizeWindow)
	}
	m.state.Sizes[class] = samples
}

// observedSize returns a high quantile, by dimension, of what tasks of the
// class were seen to use, or zero if there are no observations.
func (m *Machine) observedSize(class fleet.JobClass) fleet.Resources {
	samples := m.state.Sizes[class]
	if len(samples) == 0 {
		return fleet.Resources{}
	}
	return fleet.Resources{
		MilliCores:   quantile(samples, sizeQuantile, func(r fleet.Resources) int64 { return r.MilliCores }),
		MemoryMB:     quantile(samples, sizeQuantile, func(r fleet.Resources) int64 { return r.MemoryMB }),
		Accelerators: quantile(samples, sizeQuantile, func(r fleet.Resources) int64 { return r.Accelerators }),
	}
}

func quantile[T any](samples []T, q float64, of func(T) int64) int64 {
	values := make([]int64, len(samples))
	for i, v := range samples {
		values[i] = of(v)
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}
