package dispatch

import "github.com/fuchsiahill/fuchsiahill/workload"

// Upper bounds of the memory of an owner, in bytes.
const (
	jobBytes     = 2 << 10 // a job without its steps, in the machine and around it
	stepBytes    = 320     // a step of a job
	openBytes    = 320     // a step of an open occurrence
	rateBytes    = 8       // a task that is done and whose rate is kept
	tasksPerByte = 8       // tasks without a record
	afterBytes   = 8       // a step that another one names
	endedBytes   = 8       // an occurrence that has ended before an earlier one
	// recordBytes is a task that has been started and is not done, with its run.
	recordBytes = 1 << 10
)

// JobBytes returns an upper bound of the memory that an owner needs for a job until it has
// ended, without the records of the tasks that are under way. It is known before the job is
// accepted.
func JobBytes(j *workload.Job) int64 {
	open := min(j.Occurrences(), (maxOpenSteps+len(j.Steps)-1)/max(len(j.Steps), 1))
	total := jobBytes + int64(len(j.Payload)) + endedBytes*int64(j.Occurrences())
	for i := range j.Steps {
		s := &j.Steps[i]
		total += stepBytes + afterBytes*int64(len(s.After)) + int64(len(s.Label)+len(s.DataRack)+len(s.Image))
		total += int64(open) * (openBytes + int64(s.Count/tasksPerByte) + rateBytes*int64(min(s.Count, maxDoneRates)))
	}
	return total
}

// MaxRecords returns how many tasks may be under way within an amount of memory in bytes.
func MaxRecords(bytes int64) int { return int(bytes / recordBytes) }
