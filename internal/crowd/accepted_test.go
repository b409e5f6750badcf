//go:build crowd

package crowd

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// holdTime is how long the owner gets to take in what was accepted.
const holdTime = 5 * time.Second

// TestAcceptedJobsExhaustMemory hands in valid jobs that are small on the wire and large
// for the owner, or many. While they are there, the process lives, its memory stays
// within the machine's limits, and an ordinary job of another address gets its answer.
func TestAcceptedJobsExhaustMemory(t *testing.T) {
	const (
		tasks = 10_000 // of one job; more are refused
		// blocked is a first step that no worker may run.
		blocked = `{"count":1,"cpu":100,"mem_mb":64,"constraints":"none"}`
		crowd   = 4 * bodyCrowd
	)
	job := func(steps ...string) string {
		return `{"spec":"crowd","steps":[` + strings.Join(steps, ",") + `]}`
	}
	step := func(count int, rest string) string {
		return fmt.Sprintf(`{"count":%d,"cpu":100,"mem_mb":64%s}`, count, rest)
	}
	manySteps := []string{blocked}
	for range 3400 - 1 {
		manySteps = append(manySteps, step(1, `,"after":[0]`))
	}
	tests := []struct {
		name    string
		clients int
		jobs    int // of each client
		job     string
		cancels bool
	}{
		{"tasks_after_a_step_that_waits", crowd, 1, job(blocked, step(tasks-1, `,"after":[0]`)), false},
		{"tasks_that_last", crowd, 1, job(step(tasks, `,"long_running":true`)), false},
		{"steps", bodyCrowd, 1, job(manySteps...), false},
		{"gangs", crowd, 1, job(step(tasks, `,"gang":true`)), false},
		{"occurrences_that_are_due", bodyCrowd, 1, strings.TrimSuffix(job(step(1, "")), "}") + `,"repeats":100000,"first_run_ms":1,"interval_ms":1}`, false},
		{"small_jobs_that_wait", bodyCrowd, 100, job(blocked), false},
		{"small_jobs_that_end", bodyCrowd, 100, job(step(1, "")), false},
		{"cancelled_jobs", bodyCrowd, 100, job(blocked), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := startHost(t, memoryMB, manyDescriptors)
			c := Start(h.address, tt.clients, jobs(tt.jobs, tt.job, tt.cancels))
			defer c.Close()
			c.AwaitArrival()
			time.Sleep(holdTime)
			h.submitFrom(t, otherAddress, "00000000000000bb")
			h.checkBounds(t, memoryMB, manyDescriptors)
		})
	}
}

// TestQuestionsStarveTheOwner asks for jobs that nobody submitted, and cancels them. The store, which
// all hosts share, still has calls for ordinary jobs: one is accepted, run and shown as completed.
func TestQuestionsStarveTheOwner(t *testing.T) {
	h := startHost(t, memoryMB, manyDescriptors)
	c := Start(h.address, bodyCrowd, questions)
	defer c.Close()
	c.AwaitArrival()
	time.Sleep(holdTime)
	h.submit(t, "00000000000000bb")
	h.awaitCompletion(t, "00000000000000bb")
	h.checkBounds(t, memoryMB, manyDescriptors)
}

// TestTakeoverExhaustsMemory lets a host of little memory take over from one that has accepted more
// jobs than fit there. It lives, stays within its memory, knows the accepted jobs and goes on.
func TestTakeoverExhaustsMemory(t *testing.T) {
	const (
		largeMemoryMB = 512
		job           = `{"spec":"crowd","steps":[{"count":1,"cpu":100,"mem_mb":64,"constraints":"none"},{"count":9999,"cpu":100,"mem_mb":64,"after":[0]}]}`
	)
	site := startStore(t, 1)
	first := startHostOn(t, site, "host-0", largeMemoryMB, manyDescriptors)
	c := Start(first.address, bodyCrowd, jobs(1, job, false))
	c.AwaitArrival()
	time.Sleep(holdTime)
	accepted := first.accepted(t, bodyCrowd)
	c.Close()
	if accepted < bodyCrowd/4 {
		t.Fatalf("%d jobs were accepted", accepted)
	}
	check(t, first.cmd.Process.Kill())
	<-first.exited
	second := startHostOn(t, site, "host-1", memoryMB, manyDescriptors)
	time.Sleep(holdTime)
	if got := second.accepted(t, bodyCrowd); got != accepted {
		t.Errorf("%d jobs are known of %d", got, accepted)
	}
	second.checkBounds(t, memoryMB, manyDescriptors)
}
