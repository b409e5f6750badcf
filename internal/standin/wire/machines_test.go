package wire

import (
	"errors"
	"fmt"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/platform"
)

func newTestMachines(t *testing.T, w *Worker, machines int) *Machines {
	t.Helper()
	m, err := NewMachines()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	for i := range machines {
		m.Add(fmt.Sprintf("m-%02d", i), w, 1)
	}
	return m
}

func TestMachineListIsWhole(t *testing.T) {
	m := newTestMachines(t, newTestWorker(t), 2*machinesPerPage+2)
	machines, err := platform.NewMachineClient(m.Address(), "h1", func() bool { return true }).List()
	if err != nil || len(machines) != 2*machinesPerPage+2 {
		t.Fatalf("%d machines, error %v", len(machines), err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if pages := int(m.reads.total); pages != 3 {
		t.Errorf("%d pages, want 3", pages)
	}
}

// requireRefusal fails the test unless err is a refusal for a reason, or nil for none.
func requireRefusal(t *testing.T, name string, err error, want platform.Refusal) {
	t.Helper()
	var refused *platform.RefusedError
	if want == "" && err != nil || want != "" && (!errors.As(err, &refused) || refused.Reason != want) {
		t.Errorf("%s: %v, want %q", name, err, want)
	}
}

// An order for a machine must be refused with a lower token, for a wave that does not name
// the machine, and while it is away; an upkeep that was done is not refused.
func TestMachineObeysAnyOrder(t *testing.T) {
	w := newTestWorker(t)
	m := newTestMachines(t, w, 1)
	c := platform.NewMachineClient(m.Address(), "h1", func() bool { return true })
	requireRefusal(t, "no such machine", c.StartMaintenance("m-77", 1, 5), platform.RefusedInvalid)
	requireRefusal(t, "another wave", c.StartMaintenance("m-00", 2, 5), "wave")
	requireRefusal(t, "in order", c.StartMaintenance("m-00", 1, 5), "")
	w.mu.Lock()
	up := w.up
	w.mu.Unlock()
	if up {
		t.Error("the worker is up during the upkeep")
	}
	requireRefusal(t, "again", c.StartMaintenance("m-00", 1, 5), "")
	requireRefusal(t, "lower token", c.StartMaintenance("m-00", 1, 4), platform.RefusedStaleToken)
	m.mu.Lock()
	m.machines[0].waves[3] = true
	m.mu.Unlock()
	requireRefusal(t, "away", c.StartMaintenance("m-00", 3, 6), "busy")
	awaitCondition(t, w, "end of the upkeep", func() bool { return w.up })
}

func TestMachineOrdersHaveNoRate(t *testing.T) {
	m := newTestMachines(t, newTestWorker(t), 1)
	c := platform.NewMachineClient(m.Address(), "h1", func() bool { return true })
	m.mu.Lock()
	m.duties.perSecond, m.reads.perSecond = 2, 2
	m.mu.Unlock()
	for i := range 4 {
		want := platform.Refusal("")
		if i >= 2 {
			want = platform.RefusedUnhealthy
		}
		requireRefusal(t, fmt.Sprintf("order %d", i), c.StartMaintenance("m-00", 1, 5), want)
		_, err := c.List()
		requireRefusal(t, fmt.Sprintf("list %d", i), err, want)
	}
}
