// Package fleet defines the identifiers and resource amounts of what the
// scheduler manages: hosts, workers, backend servers, and the organisations
// that share them.
//
// It contains value types only, uses neither the network nor the clock, and may
// be imported by any other package.
package fleet

// HostID identifies an entry host. It does not change when the host restarts.
type HostID string

// Incarnation distinguishes the processes that ran under one HostID. A
// process that starts later has a higher Incarnation (Unix time in
// nanoseconds at its start).
type Incarnation int64

// WorkerID identifies a worker host, which runs batch tasks and backend
// servers.
type WorkerID string

// ServerID identifies one backend server: one instance of a service.
type ServerID string

// Region identifies a region. Shards and forwarding stay inside one region.
type Region string

// DataCentre identifies a data centre.
type DataCentre string

// Rack identifies a rack inside a data centre.
type Rack string

// Organisation identifies one of the organisations that share the workers.
type Organisation string

// Team identifies a team of an organisation, the unit of quota.
type Team string

// Service identifies a latency-critical service.
type Service string

// JobClass identifies a class of batch jobs with common settings.
type JobClass string

// JobID identifies a job. Callers choose it, so that a job submitted again is
// recognised.
type JobID string

// TaskID identifies a task of a job. It is unique over all jobs: the job ID,
// a slash and the task's index in the job.
type TaskID string

// Attempt counts the placements of one task, from 1.
type Attempt int

// Epoch counts the owners of one shard, from 1. It is the fencing token that
// workers compare.
type Epoch int64

// Resources is the amount of resources that a worker offers or a task needs.
// MilliCores are thousandths of a processor core.
type Resources struct {
	MilliCores   int64 `json:"milli_cores" cbor:"1,keyasint,omitempty" validate:"gte=0"`
	MemoryMB     int64 `json:"memory_mb" cbor:"2,keyasint,omitempty" validate:"gte=0"`
	Accelerators int64 `json:"accelerators" cbor:"3,keyasint,omitempty" validate:"gte=0"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + o.MilliCores,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r - o. Fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - o.MilliCores,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCores <= capacity.MilliCores &&
		r.MemoryMB <= capacity.MemoryMB &&
		r.Accelerators <= capacity.Accelerators
}

// IsZero reports whether every dimension is 0.
func (r Resources) IsZero() bool {
	return r == Resources{}
}
