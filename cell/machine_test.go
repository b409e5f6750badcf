package cell

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/scheduler"
)

var testStart = time.Unix(1_000_000, 0)

// apply journals r at the given time.
func apply(t testing.TB, m *Machine, at time.Time, r record) error {
	t.Helper()
	r.Version, r.AtMS = recordVersion, at.UnixMilli()
	data, err := m.codec.encode(&r)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(data)
}

// finishOn journals that one task of a job ran and ended on a worker.
func finishOn(t testing.TB, m *Machine, at time.Time, job, index int, w fleet.WorkerID, end delegation.OutcomeKind, used fleet.Resources) {
	t.Helper()
	ref := inventory.AttemptRef{Task: fleet.TaskID(fmt.Sprintf("job%d/%d", job, index)), Attempt: 1}
	err := apply(t, m, at, record{
		Accept: []delegation.Task{{AttemptRef: ref, Class: "claims"}},
		Place:  []placement{{AttemptRef: ref, Worker: w}},
		End:    []delegation.Outcome{{AttemptRef: ref, Kind: end, Worker: w, Used: used}},
		Acked:  []inventory.AttemptRef{ref},
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestHealth(t *testing.T) {
	const failed, finished = delegation.OutcomeFailed, delegation.OutcomeFinished
	type end struct {
		job    int
		worker fleet.WorkerID
		end    delegation.OutcomeKind
	}
	repeat := func(n int, e end) []end {
		ends := make([]end, n)
		for i := range ends {
			ends[i] = e
		}
		return ends
	}
	join := func(parts ...[]end) []end {
		var all []end
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	tests := map[string]struct {
		ends        []end
		quarantined bool // w1, at the end
		delay       time.Duration
	}{
		"few failures": {ends: repeat(3, end{1, "w1", failed})},
		"failures of two jobs": {
			ends:        join(repeat(2, end{1, "w1", failed}), repeat(2, end{2, "w1", failed})),
			quarantined: true, delay: probeDelay,
		},
		"failures of one job only make the worker suspected": {
			ends: repeat(4, end{1, "w1", failed}), quarantined: true, delay: suspectProbeDelay,
		},
		"failures of a job that finished elsewhere": {
			ends:        join(repeat(1, end{1, "w2", finished}), repeat(4, end{1, "w1", failed})),
			quarantined: true, delay: probeDelay,
		},
		"some failures among successes": {
			ends: join(repeat(6, end{1, "w1", finished}), repeat(4, end{2, "w1", failed})),
		},
		"a job that fails everywhere lifts the quarantine of its workers": {
			ends: join(repeat(4, end{1, "w1", failed}), repeat(4, end{1, "w2", failed}), repeat(1, end{1, "w3", failed})),
		},
		"lost and evicted tasks do not count": {
			ends: join(repeat(4, end{1, "w1", delegation.OutcomeLost}), repeat(4, end{2, "w1", delegation.OutcomeEvicted})),
		},
		"a probe that finishes": {
			ends: join(repeat(2, end{1, "w1", failed}), repeat(2, end{2, "w1", failed}), repeat(1, end{3, "w1", finished})),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewMachine()
			for i, e := range tt.ends {
				finishOn(t, m, testStart, e.job, i, e.worker, e.end, fleet.Resources{})
			}
			quarantined, probe := m.quarantine("w1", testStart)
			if quarantined != tt.quarantined || probe {
				t.Errorf("quarantined %v, probe %v, want %v and no probe yet", quarantined, probe, tt.quarantined)
			}
			if _, probe := m.quarantine("w1", testStart.Add(tt.delay)); probe != tt.quarantined {
				t.Errorf("probe %v after %v", probe, tt.delay)
			}
		})
	}
}

// TestAttemptsSpreadOverWorkers places a task on a worker on which it fails but
// that is not quarantined, since it finished other tasks before. The next
// attempt must prefer another worker, also if that scores equally and has a
// higher ID, and must wait for it if it is full.
func TestAttemptsSpreadOverWorkers(t *testing.T) {
	capacity := fleet.Resources{MilliCores: 4_000, MemoryMB: 4_000}
	const attempts = 5
	tests := map[string]struct {
		others []scheduler.Worker
		want   []fleet.WorkerID // of each attempt; "" if it waits
	}{
		"another is free": {
			others: []scheduler.Worker{{ID: "w2", Capacity: capacity, Live: true}},
			want:   []fleet.WorkerID{"w1", "w2"},
		},
		"another is full": {
			others: []scheduler.Worker{{ID: "w2", Capacity: capacity, Used: capacity, Live: true}},
			want:   []fleet.WorkerID{"w1", ""},
		},
		"the only worker": {want: []fleet.WorkerID{"w1", "w1", "w1", "w1", "w1"}},
		"the others are gone": {
			others: []scheduler.Worker{{ID: "w2", Capacity: capacity}},
			want:   []fleet.WorkerID{"w1", "w1", "w1", "w1", "w1"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewMachine()
			for i := range 2 {
				finishOn(t, m, testStart, 1, i, "w1", delegation.OutcomeFinished, fleet.Resources{})
			}
			var got []fleet.WorkerID
			for n := fleet.Attempt(1); n <= attempts; n++ {
				worker := attemptOnce(t, m, n, scheduler.Snapshot{
					InService: true,
					Workers:   append([]scheduler.Worker{{ID: "w1", Capacity: capacity, Live: true}}, tt.others...),
				})
				got = append(got, worker)
				if worker != "w1" {
					break
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("attempts ran on (-want +got):\n%s", diff)
			}
		})
	}
}

// attemptOnce accepts an attempt of a task, places it by the scheduler's plan and
// lets it fail. It returns the worker, or "" if the attempt waits.
func attemptOnce(t *testing.T, m *Machine, n fleet.Attempt, snapshot scheduler.Snapshot) fleet.WorkerID {
	t.Helper()
	ref := inventory.AttemptRef{Task: "job2/0", Attempt: n}
	if err := apply(t, m, testStart, record{Accept: []delegation.Task{{
		AttemptRef: ref, Class: "claims", Resources: fleet.Resources{MilliCores: 1_000, MemoryMB: 1_000},
	}}}); err != nil {
		t.Fatal(err)
	}
	snapshot.Tasks = []scheduler.Task{m.schedulerTask(m.find(ref))}
	plan := scheduler.Plan(snapshot)
	if len(plan.Placements) == 0 {
		return ""
	}
	worker := plan.Placements[0].Worker
	if err := apply(t, m, testStart, record{
		Place: []placement{{AttemptRef: ref, Worker: worker}},
		End:   []delegation.Outcome{{AttemptRef: ref, Kind: delegation.OutcomeFailed, Worker: worker}},
	}); err != nil {
		t.Fatal(err)
	}
	return worker
}

func TestFailedProbesDoubleTheDelay(t *testing.T) {
	m := NewMachine()
	now := testStart
	for i := range minFailures {
		finishOn(t, m, now, i, i, "w1", delegation.OutcomeFailed, fleet.Resources{})
	}
	for n, delay := range []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute} {
		if _, probe := m.quarantine("w1", now.Add(delay-time.Second)); probe {
			t.Errorf("probe %d was due before %v", n, delay)
		}
		now = now.Add(delay)
		if _, probe := m.quarantine("w1", now); !probe {
			t.Errorf("no probe %d after %v", n, delay)
		}
		finishOn(t, m, now, n, 100+n, "w1", delegation.OutcomeFailed, fleet.Resources{})
	}
}

func TestObservedSize(t *testing.T) {
	m := NewMachine()
	if got := m.observedSize("claims"); !got.IsZero() {
		t.Errorf("size %v of an unknown class", got)
	}
	for i := range 2 * sizeWindow {
		used := fleet.Resources{MilliCores: 500, MemoryMB: 1000}
		if i >= sizeWindow {
			used.MemoryMB = int64(2000 + i - sizeWindow) // 2000 to 2019
		}
		finishOn(t, m, testStart, 1, i, "w1", delegation.OutcomeFinished, used)
	}
	observed := m.observedSize("claims")
	if want := (fleet.Resources{MilliCores: 500, MemoryMB: 2017}); observed != want {
		t.Errorf("observed %v, want %v", observed, want)
	}
	declared := fleet.Resources{MilliCores: 1000, MemoryMB: 100}
	got := scheduler.Size(declared, observed, fleet.Resources{MilliCores: 4000, MemoryMB: 1500})
	if want := (fleet.Resources{MilliCores: 1000, MemoryMB: 1500}); got != want {
		t.Errorf("size %v, want %v", got, want)
	}
}

func TestSnapshotRestoresTheState(t *testing.T) {
	m := NewMachine()
	for i := range 10 {
		finishOn(t, m, testStart, i%3, i, fleet.WorkerID(fmt.Sprint("w", i%4)), delegation.OutcomeFailed, small)
	}
	ref := inventory.AttemptRef{Task: "job9/0", Attempt: 2}
	err := apply(t, m, testStart, record{
		Open:   &ownerRecord{Host: "a", Incarnation: 3, Epoch: 1},
		Accept: []delegation.Task{{AttemptRef: ref, Class: "claims"}},
		Place:  []placement{{AttemptRef: ref, Worker: "w1", Size: small}},
		Cancel: []inventory.AttemptRef{ref},
	})
	if err != nil {
		t.Fatal(err)
	}
	first, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(first); err != nil {
		t.Fatal(err)
	}
	second, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, second) {
		t.Error("snapshots differ after a restore")
	}
	if diff := cmp.Diff(m.state, restored.state); diff != "" {
		t.Errorf("state differs after a restore (-want +got):\n%s", diff)
	}
	if len(restored.onWorker("w1")) != 1 {
		t.Error("placed attempt is not listed for its worker")
	}
}

func TestContradictoryRecords(t *testing.T) {
	ref := inventory.AttemptRef{Task: "job/0", Attempt: 1}
	place := record{Place: []placement{{AttemptRef: ref, Worker: "w1"}}}
	accept := record{Accept: []delegation.Task{{AttemptRef: ref}}}
	end := record{End: []delegation.Outcome{{AttemptRef: ref, Kind: delegation.OutcomeFinished}}}
	tests := map[string][]record{
		"placed but not accepted": {place},
		"accepted twice":          {accept, accept},
		"placed twice":            {accept, place, place},
		"ended twice":             {accept, place, end, end},
	}
	for name, records := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewMachine()
			var err error
			for _, r := range records {
				if err != nil {
					t.Fatal(err)
				}
				err = apply(t, m, testStart, r)
			}
			var contradiction *ContradictionError
			if !errors.As(err, &contradiction) {
				t.Errorf("error %v, want *ContradictionError", err)
			}
		})
	}
}

func TestLongErrorIsJournaled(t *testing.T) {
	ref := inventory.AttemptRef{Task: "job/0", Attempt: 1}
	a := &attempt{Task: delegation.Task{AttemptRef: ref}, Phase: phasePlaced}
	status := inventory.TaskStatus{State: inventory.TaskFailed, Error: "x" + strings.Repeat("Fehlschläge ", 1000)}
	m := NewMachine()
	for _, r := range []record{
		{Accept: []delegation.Task{a.Task}},
		{End: []delegation.Outcome{reportedOutcome(a, &run{}, status)}},
	} {
		if err := apply(t, m, testStart, r); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(m.find(ref).Outcome.Error); got == 0 || got > maxErrorBytes {
		t.Errorf("error has %d bytes", got)
	}
}

func TestOtherVersionIsRefused(t *testing.T) {
	m := NewMachine()
	data, err := m.codec.encode(&record{Version: recordVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	var version *VersionError
	if err := m.Apply(data); !errors.As(err, &version) {
		t.Errorf("error %v, want *VersionError", err)
	}
	var decode *DecodeError
	if err := m.Apply([]byte("not a record")); !errors.As(err, &decode) {
		t.Errorf("error %v, want *DecodeError", err)
	}
}

// FuzzDecode decodes damaged records and snapshots, which must not panic.
func FuzzDecode(f *testing.F) {
	m := NewMachine()
	record, err := m.codec.encode(&record{Version: recordVersion, Accept: []delegation.Task{{Class: "claims"}}})
	if err != nil {
		f.Fatal(err)
	}
	finishOn(f, m, testStart, 1, 1, "w1", delegation.OutcomeFailed, small)
	snapshot, err := m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(record)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewMachine()
		_ = m.Apply(data)
		if err := m.Restore(data); err != nil {
			return
		}
		if _, err := m.Snapshot(); err != nil {
			t.Errorf("restored state has no snapshot: %v", err)
		}
		m.expire(testStart.UnixMilli())
		_ = m.Apply(record)
	})
}

func TestStartDeadline(t *testing.T) {
	tests := map[string]struct {
		age, startBy time.Duration // confirmation before, latest start after now
		want         time.Duration // deadline after now
		ok           bool
	}{
		"just confirmed":              {age: 0, startBy: 5 * time.Second, want: 2500 * time.Millisecond, ok: true},
		"confirmed a while ago":       {age: time.Second, startBy: 5 * time.Second, want: 1500 * time.Millisecond, ok: true},
		"confirmation at its limit":   {age: 2 * time.Second, startBy: 5 * time.Second, want: 500 * time.Millisecond, ok: true},
		"confirmation too old":        {age: 2*time.Second + time.Millisecond, startBy: 5 * time.Second},
		"placed long ago":             {age: 0, startBy: time.Second, want: time.Second, ok: true},
		"placement window has passed": {age: 0, startBy: -time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			deadline, ok := startDeadline(testStart, testStart.Add(-tt.age), testStart.Add(tt.startBy))
			if ok != tt.ok {
				t.Fatalf("may start: %v, want %v", ok, tt.ok)
			}
			if got := deadline.Sub(testStart); ok && got != tt.want {
				t.Errorf("deadline in %v, want %v", got, tt.want)
			}
		})
	}
}
