// Package cell is the state machine of a cell: the workers of one part of a data centre, the leases of their tasks, throttling and eviction.
package cell
