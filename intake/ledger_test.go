package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// jobOf returns a small job of a source.
func jobOf(id string, source uint32) *workload.Job {
	return &workload.Job{ID: fleet.JobID(id), Queue: "q", Source: source, Steps: []workload.Step{{Count: 1}}}
}

// smallBytes is what a small job takes.
var smallBytes = recordBytes + dispatch.JobBytes(jobOf("", 0))

// shown returns the event by which the store shows a job.
func shown(job *workload.Job, state workload.State) store.Event {
	r := Record{Queue: job.Queue, State: state, Bytes: dispatch.JobBytes(job), Source: job.Source}
	return store.Event{Entry: store.Entry{Key: StatePrefix + string(job.ID), Value: r.Encode()}}
}

// mustReserve is reserve that has to accept the job.
func mustReserve(t *testing.T, l *ledger, job *workload.Job) {
	t.Helper()
	if refused := l.reserve(job, 0); refused != nil {
		t.Fatal(refused)
	}
}

// fill accepts small jobs of a source until one is refused, lets the store show them, and returns
// how many were accepted.
func fill(l *ledger, source uint32) int {
	for n := 0; ; n++ {
		job := jobOf(fmt.Sprintf("%d-%d", source, n), source)
		if l.reserve(job, 0) != nil {
			return n
		}
		l.apply(shown(job, workload.StateQueued), 0)
	}
}

const otherSource = 2

func TestAcceptedJobsExceedTheBudget(t *testing.T) {
	const room = 400 // small jobs
	large := jobOf("large", otherSource)
	large.Steps = make([]workload.Step, 350)
	tests := map[string]struct {
		prepare func(l *ledger)
		job     *workload.Job
		refused bool
	}{
		"calm":                       {func(*ledger) {}, jobOf("x", 1), false},
		"a source that has its part": {func(l *ledger) { fill(l, 1) }, jobOf("x", 1), true},
		"another source":             {func(l *ledger) { fill(l, 1) }, jobOf("x", otherSource), false},
		"a large job in calm":        {func(*ledger) {}, large, false},
		"a large job of another source, while little is left": {func(l *ledger) { fill(l, 1) }, large, true},
		"many sources": {func(l *ledger) {
			for s := range uint32(1000) {
				fill(l, 10+s)
			}
		}, jobOf("x", 5000), true},
		"a job that is known already": {func(l *ledger) { fill(l, 1) }, jobOf("1-0", 1), false},
		"jobs have ended": {func(l *ledger) {
			for i := range fill(l, 1) {
				l.apply(shown(jobOf(fmt.Sprintf("1-%d", i), 1), workload.StateCompleted), 0)
			}
		}, jobOf("x", 1), false},
		"states were deleted": {func(l *ledger) {
			for i := range fill(l, 1) {
				l.apply(store.Event{Entry: store.Entry{Key: fmt.Sprintf("%s1-%d", StatePrefix, i)}, Deleted: true}, 0)
			}
		}, jobOf("x", 1), false},
		"jobs that the store has not shown count for all hosts": {func(l *ledger) {
			for i := 0; l.reserve(jobOf(fmt.Sprint(i), uint32(10+i)), 0) == nil; i++ {
			}
		}, jobOf("x", otherSource), true},
		"reservations were taken back": {func(l *ledger) {
			for i := range room / unseenWeight {
				mustReserve(t, l, jobOf(fmt.Sprint(i), 1))
				l.release(fleet.JobID(fmt.Sprint(i)), 0)
			}
		}, jobOf("x", otherSource), false},
		"the owner holds jobs back": {func(l *ledger) { l.setOwnerFull(true, 0) }, jobOf("x", 1), true},
		"the owner holds none back any more": {func(l *ledger) {
			l.setOwnerFull(true, 0)
			l.setOwnerFull(false, 0)
		}, jobOf("x", 1), false},
		"the owner was replaced": {func(l *ledger) { l.setOwnerFull(true, -maxLoadAge) }, jobOf("x", 1), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(room * smallBytes)
			tt.prepare(l)
			if all := l.held + (unseenWeight-1)*l.unseen; all > l.limit {
				t.Fatalf("%d bytes may be held on all hosts, the limit is %d", all, l.limit)
			}
			refused := l.reserve(tt.job, 0)
			if (refused != nil) != tt.refused {
				t.Errorf("refused: %v, want %t", refused, tt.refused)
			}
			if refused != nil && (!refused.OutOfMemory || refused.RetryAfter < minRetryAfter) {
				t.Errorf("refusal %+v", refused)
			}
		})
	}
}

func TestSourceTakesAllOfTheBudget(t *testing.T) {
	l := newLedger(400 * smallBytes)
	first, second := fill(l, 1), fill(l, otherSource)
	if first < 150 || first > 200 || second < 60 || second > first {
		t.Errorf("the first source has %d jobs and the second %d of 400", first, second)
	}
}

func TestUnknownOutcomeStaysReserved(t *testing.T) {
	l := newLedger(400 * smallBytes)
	for i := range 20 {
		mustReserve(t, l, jobOf(fmt.Sprint(i), 1))
	}
	l.apply(shown(jobOf("3", 1), workload.StateRunning), time.Second)
	if refused := l.reserve(jobOf("x", 1), unseenTimeout); refused != nil {
		t.Error(refused)
	}
	if len(l.accounts) != 2 {
		t.Errorf("%d jobs are counted, want the one that was shown and the new one", len(l.accounts))
	}
}

func TestRetryAfterWithoutRelease(t *testing.T) {
	for name, tt := range map[string]struct {
		ended, least, most time.Duration // ended: time between the ends of jobs; 0: none ends
	}{
		"nothing ends":    {0, maxRetryAfter, 2 * maxRetryAfter},
		"jobs end slowly": {time.Second, 3 * time.Second, 10 * time.Second},
		"jobs end fast":   {10 * time.Millisecond, minRetryAfter, 2 * minRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger(400 * smallBytes)
			n := fill(l, 1)
			now := time.Duration(0)
			for i := 0; tt.ended > 0 && now < releaseWindow/2; i++ {
				now += tt.ended
				job := jobOf(fmt.Sprintf("1-%d", i%n), 1)
				l.apply(shown(job, workload.StateCompleted), now)
				l.apply(shown(job, workload.StateQueued), now) // another one takes its place
			}
			refused := l.reserve(jobOf("x", 1), now)
			if refused == nil || refused.RetryAfter < tt.least || refused.RetryAfter > tt.most {
				t.Errorf("%+v, want a Retry-After from %s to %s", refused, tt.least, tt.most)
			}
		})
	}
}

func TestPendingCountsEndedJobs(t *testing.T) {
	l := newLedger(0)
	for id, state := range map[string]workload.State{"a": workload.StateQueued, "b": workload.StateQueued, "c": workload.StateRunning, "d": workload.StateCompleted} {
		l.apply(shown(jobOf(id, 1), state), 0)
	}
	mustReserve(t, l, jobOf("e", 1))
	l.apply(shown(jobOf("b", 1), workload.StateRunning), 0)
	l.apply(store.Event{Entry: store.Entry{Key: StatePrefix + "d"}, Deleted: true}, 0)
	if got := l.pending("q"); got != 1 {
		t.Errorf("%d jobs are pending, want 1", got)
	}
}
