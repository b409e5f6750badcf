package cell

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/fuchsiahill/fuchsiahill/delegation"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

const (
	sessionWorkers = 20
	benchTasks     = 200
)

// fakeWorkers is a WorkerControl whose workers run every task that is started.
type fakeWorkers struct {
	running map[string][]inventory.TaskStatus
}

func (a *fakeWorkers) report(address string) (inventory.WorkerReport, error) {
	return inventory.WorkerReport{Worker: fleet.WorkerID(address), Tasks: a.running[address]}, nil
}

func (a *fakeWorkers) Start(_ context.Context, address string, req inventory.StartRequest) (inventory.WorkerReport, error) {
	ref := inventory.AttemptRef{Task: req.Task, Attempt: req.Attempt}
	status := inventory.TaskStatus{AttemptRef: ref, State: inventory.TaskRunning, Share: 1, Used: req.Resources}
	a.running[address] = append(a.running[address], status)
	return a.report(address)
}

func (a *fakeWorkers) Renew(_ context.Context, address string, _ inventory.RenewRequest) (inventory.WorkerReport, error) {
	return a.report(address)
}

func (a *fakeWorkers) Stop(_ context.Context, address string, _ inventory.StopRequest) (inventory.WorkerReport, error) {
	return a.report(address)
}

func (a *fakeWorkers) Throttle(_ context.Context, address string, _ inventory.ThrottleRequest) (inventory.WorkerReport, error) {
	return a.report(address)
}

// directJournal makes every record durable immediately.
type directJournal struct{ machine wal.Machine }

func (j *directJournal) Serve(context.Context) error { return nil }
func (j *directJournal) Do(_ context.Context, fn func(wal.Tx) error) error {
	tx := &memTx{j: &memJournal{machine: j.machine}}
	if err := fn(tx); err != nil {
		return err
	}
	for _, effect := range tx.effects {
		effect()
	}
	return nil
}

func sampleTask(i int) delegation.Task {
	return delegation.Task{
		AttemptRef:   inventory.AttemptRef{Task: fleet.TaskID(fmt.Sprintf("refunds-2026-12-04/%d", i)), Attempt: 1},
		Queue:        testQueue,
		Organisation: "balkantrans",
		Team:         "refunds",
		Class:        "claims",
		Resources:    fleet.Resources{MilliCores: 1000, MemoryMB: 500},
		Command:      "claims --from 2026-11-01 --to 2026-11-30",
	}
}

// newLooplessSession returns a session with 20 workers whose loops do not run:
// the caller makes each step itself.
func newLooplessSession(b testing.TB) *session {
	var list inventory.HostList
	for i := range sessionWorkers {
		id := fmt.Sprintf("w%02d", i)
		list.Workers = append(list.Workers, inventory.Worker{
			ID: fleet.WorkerID(id), Address: id, DataCentre: testDC, Rack: fleet.Rack(fmt.Sprint("r", i/6)),
			Capacity: fleet.Resources{MilliCores: 64_000, MemoryMB: 64_000}, State: inventory.StateLive,
		})
	}
	hosts := standin.NewHostList(0)
	hosts.Update(func(l *inventory.HostList) { *l = list })
	server := NewServer(Deps{
		Open: func(_ context.Context, _ shard.ID, _ shard.Owner, m wal.Machine) (Journal, error) {
			return &directJournal{machine: m}, nil
		},
		Workers:   &fakeWorkers{running: make(map[string][]inventory.TaskStatus)},
		Inventory: staticView{hosts},
		Settings:  &fakeSettings{values: settings.Resolved{WorkerLeaseMS: 15_000, TerminationGraceMS: 10_000}},
		Registry:  make(handlers),
		Logger:    log.NewNopLogger(),
	})
	owner := shard.Owner{Host: "a", Incarnation: 1, Epoch: 1}
	s, err := server.openSession(context.Background(), testCell, testDC, 0, owner)
	if err != nil {
		b.Fatal(err)
	}
	if err := s.open(context.Background()); err != nil {
		b.Fatal(err)
	}
	s.members.update(&list, testDC, 0, 1)
	for _, listed := range list.Workers {
		w := s.worker(listed.ID, time.Now())
		w.address = listed.Address
		s.makeNextCall(context.Background(), w)
	}
	return s
}

// runTasks offers the tasks numbered from up to to-1 and makes all calls that
// become due.
func runTasks(b testing.TB, s *session, from, to int) {
	for ; to-from > maxWaiting; from += maxWaiting {
		runTasks(b, s, from, from+maxWaiting)
	}
	var tasks []delegation.Task
	for i := from; i < to; i++ {
		tasks = append(tasks, sampleTask(i))
	}
	reply, err := s.offer(context.Background(), delegation.Offer{Queue: testQueue, Epoch: 1, Sequence: uint64(from) + 1, Tasks: tasks})
	if err != nil || len(reply.Accepted) != to-from {
		b.Fatal("not all offered tasks were accepted")
	}
	for _, w := range s.workers {
		for s.makeNextCall(context.Background(), w) {
		}
	}
}

// BenchmarkDecision measures all decisions for one task in a cell that runs
// 200: offer, placement, start, report of its end, return.
func BenchmarkDecision(b *testing.B) {
	s := newLooplessSession(b)
	runTasks(b, s, 0, benchTasks)
	control := s.deps.Workers.(*fakeWorkers)
	b.ReportAllocs()
	next := benchTasks
	for b.Loop() {
		runTasks(b, s, next, next+1)
		ref := sampleTask(next).AttemptRef
		next++
		a := s.machine.find(ref)
		id := a.Placement.Worker
		s.mu.Lock()
		s.decideEnd(reportedOutcome(a, s.runs[ref], inventory.TaskStatus{AttemptRef: ref, State: inventory.TaskFinished}))
		s.pendingAcks = append(s.pendingAcks, ref)
		s.mu.Unlock()
		address := string(id)
		control.running[address] = control.running[address][:len(control.running[address])-1]
		if err := s.commit(context.Background(), s.recordEnds); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRenewal measures one renewal of a worker's tasks and the processing
// of its report, without the network.
func BenchmarkRenewal(b *testing.B) {
	for _, tasks := range []int{1, 10, 50} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			s := newLooplessSession(b)
			for id := range s.members.workers {
				s.members.servers[id] = []inventory.Server{{Reserved: fleet.Resources{MilliCores: 64_000}}}
			}
			s.members.servers["w00"] = nil // all tasks go here
			runTasks(b, s, 0, tasks)
			w := s.workers["w00"]
			b.ReportAllocs()
			for b.Loop() {
				w.lease.nextRenewal = time.Time{}
				if !s.makeNextCall(context.Background(), w) {
					b.Fatal("no renewal was due")
				}
			}
		})
	}
}

// BenchmarkRound measures one round of the control loop and of every agent when
// there is nothing to do.
func BenchmarkRound(b *testing.B) {
	for _, tasks := range []int{20, 200, 1000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			s := newLooplessSession(b)
			runTasks(b, s, 0, tasks)
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // no agents
			s.control(ctx, time.Now())
			b.ReportAllocs()
			for b.Loop() {
				s.control(ctx, time.Now())
				for _, w := range s.workers {
					w.lease.nextRenewal = time.Now().Add(time.Hour)
					s.makeNextCall(ctx, w)
				}
			}
		})
	}
}

// BenchmarkMemory reports the memory of a session per running task.
func BenchmarkMemory(b *testing.B) {
	for _, tasks := range []int{100, 200, 1000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			var before, after runtime.MemStats
			var perTask, snapshotBytes float64
			for b.Loop() {
				s := newLooplessSession(b)
				runtime.GC()
				runtime.ReadMemStats(&before)
				runTasks(b, s, 0, tasks)
				s.deps.Workers.(*fakeWorkers).running = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				perTask = float64(after.HeapAlloc-before.HeapAlloc) / float64(tasks)
				snapshot, err := s.machine.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				snapshotBytes = float64(len(snapshot)) / float64(tasks)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(perTask, "heap-B/task")
			b.ReportMetric(snapshotBytes, "snapshot-B/task")
		})
	}
}

// BenchmarkRecovery measures opening the journal of a cell with running tasks
// from the stand-in store.
func BenchmarkRecovery(b *testing.B) {
	for _, tasks := range []int{50, 200, 1000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			kv := standin.NewStore()
			deps := wal.Deps{Store: kv, Logger: log.NewNopLogger()}
			fillJournal(b, deps, tasks)
			reads, _ := kv.Calls()
			n := 0
			for b.Loop() {
				n++
				m := NewMachine()
				owner := wal.Owner{Host: "b", Incarnation: 1, Epoch: fleet.Epoch(n + 1)}
				if _, err := wal.Open(context.Background(), deps, string(testCell), owner, m); err != nil {
					b.Fatal(err)
				}
				if len(m.inPhase(phasePlaced)) != tasks {
					b.Fatal("not all tasks recovered")
				}
			}
			after, _ := kv.Calls()
			b.ReportMetric(float64(after-reads)/float64(n), "reads/recovery")
		})
	}
}

// fillJournal journals accepted and placed tasks, four per record.
func fillJournal(b *testing.B, deps wal.Deps, tasks int) {
	m := NewMachine()
	j, err := wal.Open(context.Background(), deps, string(testCell), wal.Owner{Host: "a", Incarnation: 1, Epoch: 1}, m)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- j.Serve(ctx) }()
	err = j.Do(ctx, func(tx wal.Tx) error {
		for i := 0; i < tasks; i += 4 {
			r := record{Version: recordVersion, AtMS: testStart.UnixMilli()}
			for k := i; k < i+4 && k < tasks; k++ {
				t := sampleTask(k)
				r.Accept = append(r.Accept, t)
				r.Place = append(r.Place, placement{AttemptRef: t.AttemptRef, Worker: "w01", Size: t.Resources})
			}
			data, err := m.codec.encode(&r)
			if err != nil {
				return err
			}
			tx.Append(data)
		}
		return nil
	})
	cancel()
	var stopped *wal.StoppedError
	if serveErr := <-served; err != nil || !errors.As(serveErr, &stopped) {
		b.Fatal(err, serveErr)
	}
}
