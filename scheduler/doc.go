// Package scheduler decides where tasks run: a pure function from a snapshot
// of a cell to a plan.
//
// Plan takes urgent tasks first, then those that their organisation's guarantee
// covers, then the others, each in order of priority. For each it filters the workers
// that may take it and gives it to the one with the highest score. Equal
// snapshots give equal plans.
package scheduler
