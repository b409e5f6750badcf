package admission

import (
	"fmt"
	"math"
	"time"
)

// Limits bound what clients may take of a host.
type Limits struct {
	Bytes                 int64 // of headers, bodies and decoded requests that are not admitted yet
	Connections           int
	ConnectionsPerAddress int
	HeaderBytes           int
	BodyRate              int64         // least bytes per second of a body, after BodyGrace
	BodyGrace             time.Duration // before the rate of a body counts
	AnswerStall           time.Duration // longest time in which an answer makes no progress
	JobBytes              int64         // of accepted jobs, on their owner
	TaskBytes             int64         // of tasks that are under way, on their owner
}

const (
	// bytesShare is the share of the memory for requests that are not admitted yet.
	bytesShare = 0.125
	// jobsShare is the share of the memory for accepted jobs, and tasksShare that for their tasks
	// that are under way.
	jobsShare  = 0.125
	tasksShare = 0.125
	// connectionMemoryShare is the share of the memory for the connections themselves.
	connectionMemoryShare = 0.15
	// connectionBytes is the memory of a connection: the stacks of its goroutines, its
	// buffers and the first segment of a body.
	connectionBytes = 24 << 10
	// connectionDescriptorShare leaves the rest of the descriptors to the store, workers
	// and other hosts.
	connectionDescriptorShare = 1.0 / 3

	defaultHeaderBytes = 16 << 10
	defaultBodyRate    = 1 << 10
	defaultBodyGrace   = 30 * time.Second
	defaultAnswerStall = 30 * time.Second
)

// DefaultLimits returns the limits of a host with a memory in bytes and a number of
// descriptors for sockets; 0 descriptors: unbounded.
func DefaultLimits(memoryBytes int64, descriptors int) Limits {
	connections := max(1, int(connectionMemoryShare*float64(memoryBytes)/connectionBytes))
	if descriptors > 0 {
		connections = min(connections, max(1, int(connectionDescriptorShare*float64(descriptors))))
	}
	return Limits{
		Bytes: int64(bytesShare * float64(memoryBytes)), Connections: connections, ConnectionsPerAddress: connections, HeaderBytes: defaultHeaderBytes,
		JobBytes: int64(jobsShare * float64(memoryBytes)), TaskBytes: int64(tasksShare * float64(memoryBytes)),
		BodyRate: defaultBodyRate, BodyGrace: defaultBodyGrace, AnswerStall: defaultAnswerStall,
	}
}

// minClientShare is the share of their limits that clients may take at any time.
const minClientShare = 0.125

// Memory returns the memory that clients take at most.
func (l Limits) Memory() int64 { return l.Bytes + int64(l.Connections)*connectionBytes }

// Within returns the limits for a host whose other work leaves an amount of memory for clients:
// their bytes and connections shrink alike.
func (l Limits) Within(room int64) Limits {
	share := max(minClientShare, float64(room)/float64(max(l.Memory(), 1)))
	if share >= 1 {
		return l
	}
	l.Bytes = int64(share * float64(l.Bytes))
	l.Connections = max(1, int(share*float64(l.Connections)))
	l.ConnectionsPerAddress = min(l.ConnectionsPerAddress, l.Connections)
	return l
}

// Overrides replace single limits. Zero values replace nothing.
type Overrides struct {
	Bytes                 int64 `json:"bytes"`
	Connections           int   `json:"connections"`
	ConnectionsPerAddress int   `json:"connections_per_address"`
	HeaderBytes           int   `json:"header_bytes"`
	BodyRate              int64 `json:"body_bytes_per_s"`
	BodyGraceMS           int64 `json:"body_grace_ms"`
	AnswerStallMS         int64 `json:"answer_stall_ms"`
	JobBytes              int64 `json:"job_bytes"`
	TaskBytes             int64 `json:"task_bytes"`
}

// LimitError reports an override that can't be used.
type LimitError struct {
	Name  string
	Value int64
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("admission: %s is %d and must not be negative or above %d", e.Name, e.Value, math.MaxInt32)
}

// Apply returns the limits with the overrides. Errors are *LimitError.
func (o Overrides) Apply(l Limits) (Limits, error) {
	for _, v := range []struct {
		name  string
		value int64
		set   func(n int64)
	}{
		{"bytes", o.Bytes, func(n int64) { l.Bytes = n }},
		{"connections", int64(o.Connections), func(n int64) {
			l.Connections, l.ConnectionsPerAddress = int(n), int(n)
		}},
		{"connections_per_address", int64(o.ConnectionsPerAddress), func(n int64) { l.ConnectionsPerAddress = int(n) }},
		{"header_bytes", int64(o.HeaderBytes), func(n int64) { l.HeaderBytes = int(n) }},
		{"body_bytes_per_s", o.BodyRate, func(n int64) { l.BodyRate = n }},
		{"body_grace_ms", o.BodyGraceMS, func(n int64) { l.BodyGrace = time.Duration(n) * time.Millisecond }},
		{"job_bytes", o.JobBytes, func(n int64) { l.JobBytes = n }},
		{"task_bytes", o.TaskBytes, func(n int64) { l.TaskBytes = n }},
		{"answer_stall_ms", o.AnswerStallMS, func(n int64) { l.AnswerStall = time.Duration(n) * time.Millisecond }},
	} {
		if v.value < 0 || v.value > math.MaxInt32 {
			return l, &LimitError{v.name, v.value}
		}
		if v.value > 0 {
			v.set(v.value)
		}
	}
	return l, nil
}

// BodyDeadline returns by when a body that began at since must have sent more than
// received bytes.
func (l Limits) BodyDeadline(since time.Duration, received int64) time.Duration {
	return since + l.BodyGrace + time.Duration(float64(received)/float64(l.BodyRate)*float64(time.Second))
}
