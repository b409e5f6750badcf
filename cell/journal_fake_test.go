package cell

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/shard"
	"github.com/fuchsiahill/fuchsiahill/wal"
)

// sharedLog is the journal in the store. It outlives its owners.
type sharedLog struct {
	mu      sync.Mutex
	entries [][][]byte
	current *memJournal
	writes  int
	delay   time.Duration
	down    bool
	hook    func(write int, after bool) // runs before and after each write
}

// memJournal is one owner's handle to a sharedLog.
type memJournal struct {
	log     *sharedLog
	machine wal.Machine
	epoch   fleet.Epoch
	txLock  chan struct{} // held by the running transaction
	stopped chan struct{}
	once    sync.Once
	owner   *owner
}

func (l *sharedLog) open(_ context.Context, _ shard.ID, owner shard.Owner, m wal.Machine) (*memJournal, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.entries {
		for _, rec := range entry {
			if err := m.Apply(rec); err != nil {
				return nil, err
			}
		}
	}
	j := &memJournal{log: l, machine: m, epoch: owner.Epoch, txLock: make(chan struct{}, 1), stopped: make(chan struct{})}
	l.current = j // the first entry of a new owner fences the previous owner
	return j, nil
}

func (l *sharedLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *sharedLog) setHook(hook func(write int, after bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hook = hook
}

func (l *sharedLog) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

func (j *memJournal) stop() { j.once.Do(func() { close(j.stopped) }) }

func (j *memJournal) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-j.stopped:
		return &wal.StoppedError{Shard: string(testCell), Cause: context.Canceled}
	}
}

type memTx struct {
	j       *memJournal
	records [][]byte
	effects []func()
}

func (t *memTx) Epoch() fleet.Epoch      { return t.j.epoch }
func (t *memTx) OnDurable(effect func()) { t.effects = append(t.effects, effect) }
func (t *memTx) Append(record []byte) {
	if err := t.j.machine.Apply(record); err != nil {
		panic(err)
	}
	t.records = append(t.records, record)
}

func (j *memJournal) Do(ctx context.Context, fn func(wal.Tx) error) error {
	j.txLock <- struct{}{}
	defer func() { <-j.txLock }()
	select {
	case <-j.stopped: // the state may include records that were not written
		return &wal.StoppedError{Shard: string(testCell), Cause: context.Canceled}
	default:
	}
	tx := &memTx{j: j}
	if err := fn(tx); err != nil {
		return err
	}
	if len(tx.records) == 0 {
		return nil
	}
	if err := j.write(ctx, tx.records); err != nil {
		return err
	}
	for _, effect := range tx.effects {
		go effect()
	}
	return nil
}

func (j *memJournal) write(ctx context.Context, records [][]byte) error {
	l := j.log
	for {
		l.mu.Lock()
		delay, down, hook := l.delay, l.down, l.hook
		l.mu.Unlock()
		time.Sleep(delay)
		j.owner.waitWhilePaused()
		if !down && !j.owner.isSet(&j.owner.storeUnreachable) {
			l.mu.Lock()
			l.writes++
			write := l.writes
			l.mu.Unlock()
			if hook != nil {
				hook(write, false)
			}
			err := j.put(records)
			if hook != nil && err == nil {
				hook(write, true)
			}
			select {
			case <-j.stopped:
				return &wal.StoppedError{Shard: string(testCell), Cause: context.Canceled}
			default:
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-j.stopped:
			return &wal.StoppedError{Shard: string(testCell), Cause: context.Canceled}
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (j *memJournal) put(records [][]byte) error {
	l := j.log
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-j.stopped:
		return &wal.StoppedError{Shard: string(testCell), Cause: context.Canceled}
	default:
	}
	if l.current != j {
		j.stop()
		return &wal.StoppedError{Shard: string(testCell), Cause: context.Canceled}
	}
	l.entries = append(l.entries, records)
	return nil
}
