package workload

import "time"

const (
	// MaxTasks limits the tasks of one occurrence of a job, and maxTotalTasks those of
	// all occurrences, which an owner may hold in memory at once.
	MaxTasks      = 10_000
	maxTotalTasks = 100_000
	// maxAmount limits a requested amount, so that sums over the tasks of all jobs stay
	// far from an overflow.
	maxAmount = 1 << 40
	// maxDurationMS limits estimates and intervals; multiples of it fit into a
	// time.Duration.
	maxDurationMS = int64(30 * 24 * time.Hour / time.Millisecond)
)

// InvalidJobError reports a field of a job with a value that can't be served.
type InvalidJobError struct{ Field string }

func (e *InvalidJobError) Error() string { return "workload: invalid job: " + e.Field }

// Validate returns an *InvalidJobError if a field is out of range. An owner may only
// plan valid jobs: others could exhaust its memory, overflow sums of requests, or refer
// to steps that do not exist.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return &InvalidJobError{"no steps"}
	}
	if j.Repeats < 0 || j.Repeats > maxTotalTasks {
		return &InvalidJobError{"occurrences"}
	}
	if j.IntervalMS < 0 || j.IntervalMS > maxDurationMS {
		return &InvalidJobError{"interval"}
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
		if tasks > MaxTasks {
			return &InvalidJobError{"number of tasks"}
		}
	}
	if tasks*j.Occurrences() > maxTotalTasks {
		return &InvalidJobError{"number of tasks in all occurrences"}
	}
	return nil
}

// validate checks the step with the given index.
func (s *Step) validate(index int) error {
	outOfRange := func(amounts ...int64) bool {
		for _, a := range amounts {
			if a < 0 || a > maxAmount {
				return true
			}
		}
		return false
	}
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return &InvalidJobError{"number of tasks"}
	case outOfRange(s.Need.MilliCores, s.Need.MemoryMB, s.Need.Accelerators):
		return &InvalidJobError{"requested resources"}
	case s.EstimateMS < 0 || s.EstimateMS > maxDurationMS:
		return &InvalidJobError{"estimate"}
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.TargetMS < 0 || s.TargetMS > maxDurationMS:
		return &InvalidJobError{"limits of a step"}
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return &InvalidJobError{"dependency of a step"}
		}
	}
	return nil
}
