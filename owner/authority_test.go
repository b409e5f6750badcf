package owner

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
)

// always is the authority of a process that may send orders.
func always() bool { return true }

// recorder is a server for workers and machines that records the paths of what arrives.
type recorder struct {
	mu       sync.Mutex
	paths    []string
	onArrive func()
	address  string
}

func newRecorder(t *testing.T) *recorder {
	t.Helper()
	r := &recorder{onArrive: func() {}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.paths = append(r.paths, req.URL.Path)
		r.mu.Unlock()
		if req.URL.Path == "/v1/machines" {
			_, _ = w.Write([]byte(`{"machines":[{"machine":"m1","state":"up"},{"machine":"m2","state":"up"}]}`))
			return
		}
		r.onArrive()
		_, _ = w.Write([]byte(`{"clock_ms":1,"born":1}`))
	}))
	t.Cleanup(server.Close)
	r.address = strings.TrimPrefix(server.URL, "http://")
	return r
}

// orders returns how many orders have arrived: all but readings of the list of machines.
func (r *recorder) orders() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(r.paths), func(path string) bool { return path == "/v1/machines" }))
}

// ordersOf sends two orders of each kind that leaves an owner.
func ordersOf(d *dispatcher, w *workerLoop, machines *platform.MachineClient) map[string]func() {
	order := func(kind dispatch.OrderKind) func() {
		return func() {
			for run := range 2 {
				d.sendOrder(w, dispatch.Order{Kind: kind, Worker: "w1", Task: workload.TaskName{Job: "a"}, Run: run + 1})
			}
		}
	}
	return map[string]func(){
		"start":    order(dispatch.OrderStart),
		"stop":     order(dispatch.OrderStop),
		"throttle": order(dispatch.OrderThrottle),
		"report":   order(dispatch.OrderReport),
		"renewal": func() {
			for range 2 {
				_ = d.renewOnce(w, 0) // the outcome is judged by what arrives
			}
		},
		"maintenance": func() { d.advanceWaves(machines) },
	}
}

// An owner that was frozen must send nothing when it wakes after its ownership has ended: the
// next owner has placed other work meanwhile.
func TestFrozenOwnerSendsOrders(t *testing.T) {
	for kind := range ordersOf(nil, nil, nil) {
		for name, tt := range map[string]struct {
			frozen string
			want   int // orders that arrive
		}{
			"not frozen":                    {"", 2},
			"before the decision":           {"before", 0},
			"between decision and sending":  {"between", 0},
			"while an answer is on its way": {"answer", 1},
		} {
			t.Run(kind+"/"+name, func(t *testing.T) {
				r := newRecorder(t)
				d, _ := testDispatcher(t)
				freeze := func() { d.authorityEnd.Store(int64(steady.Now() - maxStoreOutage)) }
				orders := 0
				authority := func(holds func() bool) platform.Authority {
					return func() bool {
						if tt.frozen == "between" && (kind != "maintenance" || orders > 0) {
							freeze() // after the last check of the decision
						}
						orders++
						return holds()
					}
				}
				d.connections = platform.NewConnections(0, authority(func() bool { return d.authorised(steady.Now()) }))
				machines := platform.NewMachineClient(r.address, "h1", authority(d.holdsLease))
				w := &workerLoop{id: "w1", client: platform.NewWorkerClient("w1", r.address, d.connections), token: 1, clockMS: 1, clockAt: steady.Now(), deadline: time.Hour.Milliseconds()}
				d.machine.SetWave(workload.Wave{Number: 1, Machines: []string{"m1", "m2"}, MaxDown: 2}, dispatch.WaveRecord{})
				d.machine.SetMachines([]workload.Machine{{ID: "m1", State: workload.MachineUp}, {ID: "m2", State: workload.MachineUp}})
				d.machine.Plan(steady.Now()+farFuture, 0)
				if tt.frozen == "before" {
					freeze()
				}
				if tt.frozen == "answer" {
					r.onArrive = freeze
				}
				ordersOf(d, w, machines)[kind]()
				if got := r.orders(); got != tt.want {
					t.Errorf("%d orders arrived, want %d: %v", got, tt.want, r.paths)
				}
			})
		}
	}
}

// A pause between the last check and the sending can't be excluded. A worker that the next owner
// has renewed refuses such an order, which ends the term.
func TestOrderOfFormerOwnerIsCarriedOut(t *testing.T) {
	d, _ := testDispatcher(t)
	ended := false
	d.cancel = func() { ended = true }
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"clock_ms":1,"reason":"fence"}`))
	}))
	defer server.Close()
	w := &workerLoop{id: "w1", client: platform.NewWorkerClient("w1", strings.TrimPrefix(server.URL, "http://"), d.connections), token: 1, clockMS: 1, clockAt: steady.Now(), deadline: time.Hour.Milliseconds()}
	d.workers[fleet.WorkerID("w1")] = w
	d.sendOrder(w, dispatch.Order{Kind: dispatch.OrderStop, Worker: "w1", Task: workload.TaskName{Job: "a"}, Run: 1})
	d.plan(t.Context())
	if !ended {
		t.Error("the term goes on")
	}
}

// A transaction that is carried out after the next claim must change nothing.
func TestTransactionOfFormerOwnerIsCarriedOut(t *testing.T) {
	d, s := testDispatcher(t)
	if _, err := s.Commit(store.Txn{Puts: []store.Put{{Key: intake.OwnerKey, Value: []byte(`{"term":2}`)}}}); err != nil {
		t.Fatal(err)
	}
	if _, err := d.deps.Store.Commit(store.Txn{Puts: []store.Put{{Key: intake.LoadKey, Value: []byte("{}")}}}); err == nil {
		t.Error("the transaction was carried out")
	}
}
