package workload

import "github.com/fuchsiahill/fuchsiahill/fleet"

// Exceeds reports whether an amount is above a cap, of which 0 is no limit.
func Exceeds(amount, limit fleet.Resources) bool {
	over := func(amount, limit int64) bool { return limit > 0 && amount > limit }
	return over(amount.MilliCores, limit.MilliCores) || over(amount.MemoryMB, limit.MemoryMB) || over(amount.Accelerators, limit.Accelerators)
}

// Times returns n times an amount.
func Times(r fleet.Resources, n int64) fleet.Resources {
	return fleet.Resources{MilliCores: n * r.MilliCores, MemoryMB: n * r.MemoryMB, Accelerators: n * r.Accelerators}
}

// AtOnce returns how many of count tasks of a step the workspace's cap lets run at once; at
// least 1.
func (w *Workspace) AtOnce(s *Step, count int) int {
	fit := func(need, limit int64) {
		if need > 0 && limit > 0 {
			count = int(min(int64(count), limit/need))
		}
	}
	fit(s.Need.MilliCores, w.Cap.MilliCores)
	fit(s.Need.MemoryMB, w.Cap.MemoryMB)
	fit(s.Need.Accelerators, w.Cap.Accelerators)
	return max(count, 1)
}

// Waves returns in how many waves count tasks of a step run, as the cap holds some of them
// back. w is nil for a job of no workspace.
func (w *Workspace) Waves(s *Step, count int) int {
	if w == nil || s.Gang || s.Serving || count <= 1 {
		return 1
	}
	atOnce := w.AtOnce(s, count)
	return (count + atOnce - 1) / atOnce
}

// TooWide returns the first step of a job that can never run within the cap, as one of its
// tasks or its gang exceeds it, or -1.
func (w *Workspace) TooWide(job *Job) int {
	for i := range job.Steps {
		s := &job.Steps[i]
		together := int64(1)
		if s.Gang {
			together = int64(s.Count)
		}
		if Exceeds(Times(s.Need, together), w.Cap) {
			return i
		}
	}
	return -1
}
