package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Tasks of a queue with an advice service start only on the workers that it allows,
// with its ticket, and not after the ticket has expired.
func TestAdvice(t *testing.T) {
	r := newRig(t, "w1", "w2", "w3")
	r.m.SetConfig(&workload.Config{
		Queues:   []workload.Queue{{Name: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Objective: time.Second, Advice: &workload.Advice{}}},
		Services: map[fleet.Service]workload.Service{testService: {Name: testService}},
	})
	r.addJob("a", cpuStep(1, 500))
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v without a ticket", starts)
	}
	questions := r.m.TakeAdviceRequests()
	if len(questions) != 1 || len(questions[0].Workers) != 3 {
		t.Fatalf("advice requests %+v, want one about three workers", questions)
	}
	if r.planStarts(); len(r.m.TakeAdviceRequests()) != 0 {
		t.Fatal("requested advice again while a request was in flight")
	}
	r.m.AdviceAnswered(questions[0], map[fleet.WorkerID]string{"w2": "ticket-2"}, 3*time.Second, r.now)
	starts := r.planStarts()
	if len(starts) != 1 || starts[0].Worker != "w2" || starts[0].Ticket != "ticket-2" {
		t.Fatalf("starts %+v, want one on w2 with its ticket", starts)
	}
	r.report("w2", workload.Report{Ended: []workload.EndedRun{r.endOf(starts[0], workload.OutcomeStopped)}})
	r.now += 3 * time.Second
	for _, id := range []fleet.WorkerID{"w1", "w2", "w3"} {
		r.report(id, workload.Report{})
	}
	if starts := r.planStarts(); len(starts) != 0 {
		t.Fatalf("started %v with an expired ticket", starts)
	}
}
