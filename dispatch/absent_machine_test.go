package dispatch

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// waveRig returns a rig with a wave of two machines, of which one may be down at a time. m-w1
// is down for it, m-w2 is due.
func waveRig(t *testing.T) (*rig, []workload.Machine) {
	r := newRig(t, "w2")
	down := machineOf("w1")
	down.State = workload.MachineMaintenance
	r.m.SetWave(workload.Wave{Number: 1, Machines: []string{"m-w1", "m-w2"}, MaxDown: 1}, WaveRecord{Started: []string{"m-w1"}})
	return r, []workload.Machine{down, machineOf("w2")}
}

// planWave makes a plan and returns the maintenance orders, and whether the wave is open.
func (r *rig) planWave() (orders []MaintenanceOrder, open bool) {
	r.now += 400 * time.Millisecond
	r.m.Plan(r.now, 0)
	return r.m.TakeMaintenanceOrders(), r.m.WavesOpen()
}

// One list may lack a machine that is there, as its pages are no snapshot. The machine seemed to
// be removed, and not to be down.
func TestMachineMissingFromOneListExceedsCap(t *testing.T) {
	tests := map[string]bool{"listed before": true, "first list of an owner": false}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			r, list := waveRig(t)
			if before {
				r.m.SetMachines(list)
			}
			r.m.SetMachines(list[1:])
			if orders, _ := r.planWave(); len(orders) != 0 {
				t.Errorf("ordered %v while m-w1 may be down and the cap is 1", orders)
			}
			r.m.SetMachines(list[1:])
			if orders, _ := r.planWave(); len(orders) != 1 {
				t.Errorf("ordered %v once m-w1 is removed, want m-w2", orders)
			}
		})
	}
}

// A wave was completed without a machine that one list lacked.
func TestMachineMissingFromOneListCompletesWave(t *testing.T) {
	r, list := waveRig(t)
	r.m.SetMachines(list[:1])
	if _, open := r.planWave(); !open {
		t.Error("the wave is completed while m-w2 is only missing from one list")
	}
	list[0].State = workload.MachineUp
	r.m.SetMachines(list)
	orders, open := r.planWave()
	if len(orders) != 1 || !open {
		t.Fatalf("orders %v, open %v with m-w2 listed again, want its maintenance", orders, open)
	}
	r.m.MaintenanceAnswered(orders[0], Refused)
	r.m.SetMachines(list[:1])
	r.m.SetMachines(list[:1])
	if _, open := r.planWave(); open {
		t.Error("the wave is open although m-w2 is removed")
	}
}
