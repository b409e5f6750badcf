// Package scheduler decides where tasks run. Plan is a pure function from a
// snapshot of a cell to a plan.
//
// Plan places urgent tasks first, then those that their organisation's
// guarantee covers, then the others, each group in order of priority. For each
// task it filters out the workers that must not run it and chooses the one with
// the highest score. Equal snapshots give equal plans.
//
// Preempt chooses tasks to evict for urgent tasks. Reclaim chooses tasks to
// evict so that an organisation gets back the guaranteed capacity that others
// have borrowed.
package scheduler
