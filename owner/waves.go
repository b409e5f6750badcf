package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// waveInterval is how often the list of machines is read while a wave is open.
// Source: an upkeep takes 2 s; 60 readings a second are for all hosts.
const waveInterval = 400 * time.Millisecond

// waveLoop works off the waves that operators ask for.
func (r *reign) waveLoop(ctx context.Context) {
	if r.deps.Settings.MachinesAddress == "" {
		return
	}
	machines := platform.NewMachineClient(r.deps.Settings.MachinesAddress, r.deps.Settings.Host)
	for wait.For(ctx, waveInterval) == nil {
		if !r.takeInWaves() || !r.authorised(steady.Now()) {
			continue
		}
		list, err := machines.List()
		if err != nil {
			r.deps.Log("machines_unread", "term", r.term, "err", err)
			continue
		}
		r.mu.Lock()
		r.machine.SetMachines(list)
		orders := r.machine.TakeUpkeepOrders()
		r.mu.Unlock()
		r.wake()
		for _, o := range orders {
			err := machines.StartMaintenance(o.Machine, o.Wave, int64(r.term))
			outcome := outcomeOf(err)
			if err != nil {
				r.deps.Log("order_failed", "kind", "upkeep", "machine", o.Machine, "wave", o.Wave, "outcome", outcome, "err", err)
			}
			r.mu.Lock()
			r.machine.UpkeepAnswered(o, outcome)
			r.mu.Unlock()
		}
		r.commitWaves()
	}
}

// takeInWaves gives the machine the waves that are asked for, and reports
// whether one is open.
func (r *reign) takeInWaves() bool {
	var asked []store.Entry
	r.deps.Operator.Each(func(e store.Entry) {
		if platform.IsWaveKey(e.Key) {
			asked = append(asked, e)
		}
	})
	for _, e := range asked {
		if r.wavesSeen[e.Key] >= e.Revision {
			continue
		}
		wave, _, err := platform.DecodeWave(e.Key, e.Value)
		if err != nil {
			r.wavesSeen[e.Key] = e.Revision
			r.deps.Log("wave_unreadable", "key", e.Key, "revision", e.Revision, "err", err)
			continue
		}
		record, err := r.waveRecord(e.Key)
		if err != nil {
			r.deps.Log("wave_record_unread", "wave", wave.Number, "err", err)
			continue // tried again with the next look
		}
		r.wavesSeen[e.Key] = e.Revision
		r.mu.Lock()
		r.machine.SetWave(wave, record)
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.WavesOpen()
}

// waveRecord reads what is durable of a wave.
func (r *reign) waveRecord(key string) (dispatch.WaveRecord, error) {
	var record dispatch.WaveRecord
	e, err := r.deps.Store.Get(intake.WavePrefix + key)
	if isMissing(err) {
		return record, nil
	}
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(e.Value, &record)
}

// commitWaves makes the state of the waves durable, and tells the operators.
func (r *reign) commitWaves() {
	r.mu.Lock()
	records := r.machine.TakeWaveRecords()
	r.mu.Unlock()
	for _, record := range records {
		key, status := platform.WaveStatusEntry(record.Wave, record.Completed)
		value, err := json.Marshal(record)
		if err == nil {
			_, err = r.deps.Store.Commit(store.Txn{
				Checks: []store.Check{{Key: intake.OwnerKey, Revision: r.revision}},
				Puts: []store.Put{
					{Key: intake.WavePrefix + platform.WaveKey(record.Wave), Value: value}, {Key: key, Value: status},
				},
			})
		}
		if err != nil {
			r.deps.Log("commit_failed", "wave", record.Wave, "err", err)
			r.mu.Lock()
			r.machine.WaveRecordsFailed([]dispatch.WaveRecord{record})
			r.mu.Unlock()
		}
	}
}
