// Package queue is the state machine of a queue shard: admission, quota, priority, cancellation and the life cycle of the jobs of a team.
package queue
