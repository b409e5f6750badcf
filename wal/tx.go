package wal

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// batch is the records of one entry, with the callers and effects that wait for
// them to become durable.
type batch struct {
	records [][]byte
	bytes   int
	waiters []chan<- error
	effects []func()
}

type call struct {
	fn       func(Tx) error
	view     bool
	returned chan struct{} // closed when fn has returned
	reply    chan error
}

func newCall(fn func(Tx) error, view bool) *call {
	return &call{fn: fn, view: view, returned: make(chan struct{}), reply: make(chan error, 1)}
}

// result is the outcome of a write. onSuccess runs on the goroutine of Serve.
type result struct {
	err       error
	took      time.Duration
	onSuccess func()
}

// tx implements Tx. It is valid until the transaction's function returns.
type tx struct{ shard *Shard }

// Append implements Tx.
func (t *tx) Append(record []byte) {
	s := t.shard
	if s.applyErr != nil {
		return
	}
	if len(record) > MaxRecordBytes {
		s.applyErr = eris.Wrap(&SizeError{What: "record", Bytes: len(record), Limit: MaxRecordBytes}, s.name)
		return
	}
	if err := s.machine.Apply(record); err != nil {
		s.applyErr = eris.Wrap(&DecodeError{Key: ringPrefix(s.name), Cause: err}, "append")
		return
	}
	s.addToBatch(record)
}

// addToBatch adds a record to the last pending batch, or to a new one if that is
// full.
func (s *Shard) addToBatch(record []byte) {
	n := len(s.pending)
	if n == 0 || s.pending[n-1].bytes+len(record) > maxBatchBytes && s.pending[n-1].bytes > 0 {
		s.pending = append(s.pending, &batch{})
		n++
	}
	b := s.pending[n-1]
	b.records = append(b.records, record)
	b.bytes += len(record)
}

// OnDurable implements Tx.
func (t *tx) OnDurable(effect func()) {
	b := t.shard.newestBatch()
	if b == nil {
		t.shard.effects.Go(effect)
		return
	}
	b.effects = append(b.effects, effect)
}

// Epoch implements Tx.
func (t *tx) Epoch() fleet.Epoch { return t.shard.owner.Epoch }
