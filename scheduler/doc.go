// Package scheduler decides where tasks run: a pure function from a snapshot of a cell to a plan.
package scheduler
