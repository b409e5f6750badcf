package owner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// waveInterval is how often the list of machines is read while a wave is open.
// The maintenance of a machine takes 2 s, and the limit of 60 reads per second is
// shared by all hosts.
const waveInterval = 400 * time.Millisecond

// waveLoop carries out the waves of machine maintenance that operators request.
func (d *dispatcher) waveLoop(ctx context.Context) {
	if d.deps.Settings.MachinesAddress == "" {
		return
	}
	machines := platform.NewMachineClient(d.deps.Settings.MachinesAddress, d.deps.Settings.Host, d.holdsLease)
	for wait.For(ctx, waveInterval) == nil {
		if !d.loadWaves() || !d.holdsLease() {
			continue
		}
		d.advanceWaves(machines)
	}
}

// advanceWaves reads the list of machines and sends the maintenance orders that are due.
func (d *dispatcher) advanceWaves(machines *platform.MachineClient) {
	list, err := machines.List()
	if err != nil {
		d.deps.Log("machines_unread", "term", d.term, "err", err)
		return
	}
	d.mu.Lock()
	d.machine.SetMachines(list)
	orders := d.machine.TakeMaintenanceOrders()
	d.mu.Unlock()
	d.requestPlan()
	for _, o := range orders {
		err := machines.StartMaintenance(o.Machine, o.Wave, int64(d.term))
		outcome := classifyOutcome(err)
		if err != nil {
			d.deps.Log("order_failed", "kind", "upkeep", "machine", o.Machine, "wave", o.Wave, "outcome", outcome, "err", err)
		}
		d.mu.Lock()
		d.machine.MaintenanceAnswered(o, outcome)
		d.mu.Unlock()
	}
	d.commitWaves()
}

// loadWaves passes new or changed wave requests to the machine, and reports
// whether a wave is open.
func (d *dispatcher) loadWaves() bool {
	var requested []store.Entry
	d.deps.Operator.Each(func(e store.Entry) {
		if platform.IsWaveKey(e.Key) {
			requested = append(requested, e)
		}
	})
	for _, e := range requested {
		if d.waveRevisions[e.Key] >= e.Revision {
			continue
		}
		wave, _, err := platform.DecodeWave(e.Key, e.Value)
		if err != nil {
			d.waveRevisions[e.Key] = e.Revision
			d.deps.Log("wave_unreadable", "key", e.Key, "revision", e.Revision, "err", err)
			continue
		}
		record, revision, err := d.readWaveRecord(e.Key)
		if err != nil {
			d.deps.Log("wave_record_unread", "wave", wave.Number, "err", err)
			continue // retried at the next interval
		}
		d.waveRevisions[e.Key] = e.Revision
		d.waveRecordRevisions[wave.Number] = revision
		d.mu.Lock()
		d.machine.SetWave(wave, record)
		d.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.WavesOpen()
}

// readWaveRecord reads the stored record of a wave and its revision; both are empty if
// there is none.
func (d *dispatcher) readWaveRecord(key string) (dispatch.WaveRecord, store.Revision, error) {
	var record dispatch.WaveRecord
	e, err := d.deps.Store.Get(intake.WavePrefix + key)
	if isNotFound(err) {
		return record, 0, nil
	}
	if err != nil {
		return record, 0, err
	}
	err = json.Unmarshal(e.Value, &record)
	return record, e.Revision, err
}

// commitWaves stores the records of waves together with their status for the
// operators. A write without an answer that is executed late must not replace a newer
// one, so that each checks the revision of the record.
func (d *dispatcher) commitWaves() {
	d.mu.Lock()
	records := d.machine.TakeWaveRecords()
	d.mu.Unlock()
	for _, record := range records {
		key, status := platform.WaveStatusEntry(record.Wave, record.Completed)
		recordKey := intake.WavePrefix + platform.WaveKey(record.Wave)
		value, err := json.Marshal(record)
		var revision store.Revision
		if err == nil {
			revision, err = d.commitAlone(recordKey, store.Txn{
				Checks: []store.Check{{Key: recordKey, Revision: d.waveRecordRevisions[record.Wave]}},
				Puts:   []store.Put{{Key: recordKey, Value: value}, {Key: key, Value: status}},
			})
		}
		var conflict *store.TxnConflictError
		switch {
		case err == nil:
			d.waveRecordRevisions[record.Wave] = revision
		case errors.As(err, &conflict):
			d.waveRecordRevisions[record.Wave] = conflict.At(recordKey).Revision
		}
		if err != nil {
			d.deps.Log("commit_failed", "wave", record.Wave, "err", err)
			d.mu.Lock()
			d.machine.WaveRecordsFailed([]dispatch.WaveRecord{record})
			d.mu.Unlock()
		}
	}
}
