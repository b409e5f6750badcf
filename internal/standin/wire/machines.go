package wire

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	// machinesPerPage is small, so that tests read several pages.
	machinesPerPage       = 5
	machineReadsPerSecond = 60
	dutiesPerSecond       = 60
	upkeepTime            = 2 * time.Second
)

// Machines is a stand-in for the interface for machines.
type Machines struct {
	server  *http.Server
	address string

	mu       sync.Mutex
	machines []*machine
	reads    quota
	duties   quota
}

type machine struct {
	id, pool, state string
	worker          *Worker
	token           int64
	wave            int64          // whose upkeep it has had
	waves           map[int64]bool // that name it
}

// NewMachines starts the interface. It returns an error if it can't listen.
func NewMachines() (*Machines, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Machines{address: ln.Addr().String(), reads: quota{perSecond: machineReadsPerSecond}, duties: quota{perSecond: dutiesPerSecond}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", m.list)
	mux.HandleFunc("POST /v1/machine-move", m.order)
	mux.HandleFunc("POST /v1/machine-upkeep", m.order)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = m.server.Serve(ln) }() // returns after Close
	return m, nil
}

// Address returns the host:port of the interface.
func (m *Machines) Address() string { return m.address }

// Close stops the stand-in.
func (m *Machines) Close() { _ = m.server.Close() }

// Add adds the machine of a worker, which the given waves name.
func (m *Machines) Add(id string, w *Worker, waves ...int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	named := make(map[int64]bool)
	for _, wave := range waves {
		named[wave] = true
	}
	m.machines = append(m.machines, &machine{id: id, pool: serviceName, state: "up", worker: w, waves: named})
}

// list returns a page of machines. The token is the number of machines before the page.
func (m *Machines) list(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reads.take(1, time.Now()) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	first := 0
	if token := r.URL.Query().Get("page_token"); token != "" {
		var err error
		if first, err = strconv.Atoi(token); err != nil || first < 0 || first > len(m.machines) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	last := min(first+machinesPerPage, len(m.machines))
	rows := []map[string]any{}
	for _, x := range m.machines[first:last] {
		rows = append(rows, map[string]any{
			"machine": x.id, "pool": x.pool, "state": x.state, "zone": "dc-1", "labels": []string{"a", "r1-1"}, "id": x.worker.id,
			"capacity": map[string]int64{"cpu": x.worker.capacity.MilliCores, "mem_mb": x.worker.capacity.MemoryMB, "gpus": 0},
		})
	}
	var next any
	if last < len(m.machines) {
		next = strconv.Itoa(last)
	}
	respond(w, http.StatusOK, map[string]any{"machines": rows, "next_token": next})
}

// machineOrder is an order to move a machine or to take it down.
type machineOrder struct {
	Machine string        `json:"machine"`
	Pool    fleet.Service `json:"pool"`
	Wave    int64         `json:"wave"`
}

func (m *Machines) order(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.duties.take(1, time.Now()) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	var o machineOrder
	token, errToken := strconv.ParseInt(r.Header.Get("Fuchsiahill-Fencing-Token"), 10, 64)
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || errToken != nil || r.Header.Get("Fuchsiahill-Duty-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	upkeep := r.URL.Path == "/v1/machine-upkeep"
	x := m.find(o.Machine)
	if x == nil || !upkeep && o.Pool != serviceName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if reason := x.refusal(o, token, upkeep); reason != "" {
		respond(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	x.token = token
	if upkeep && x.wave != o.Wave {
		x.wave = o.Wave
		m.takeDown(x)
	}
	respond(w, http.StatusOK, map[string]any{})
}

// refusal returns the reason to refuse an order, or "". An operation that is already done
// is not refused.
func (x *machine) refusal(o machineOrder, token int64, upkeep bool) string {
	switch {
	case token < x.token:
		return "fence"
	case upkeep && !x.waves[o.Wave]:
		return "wave"
	case upkeep && x.wave == o.Wave, !upkeep && x.pool == string(o.Pool):
		return ""
	case x.state != "up":
		return "busy"
	}
	return ""
}

func (m *Machines) find(id string) *machine {
	for _, x := range m.machines {
		if x.id == id {
			return x
		}
	}
	return nil
}

// takeDown ends what runs on a machine, which comes back after its upkeep. The caller
// holds m.mu.
func (m *Machines) takeDown(x *machine) {
	x.state = "upkeep"
	x.worker.CrashFor(upkeepTime)
	time.AfterFunc(upkeepTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		x.state = "up"
	})
}
