package harness3

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the advice service, which are those of the pages' example.
const (
	DecideMS         = 5
	EachMS           = 1
	TicketValidityMS = 3000
	maxAdvised       = 100
)

// Advice is a stand-in for the service that decides which workers may run a step.
type Advice struct {
	record  *Record
	good    func(worker string) bool
	server  *http.Server
	address string
	turn    sync.Mutex // held by the call that is handled

	mu      sync.Mutex
	tickets map[string]issued // by ticket
}

type issued struct {
	step, worker string
	until        time.Time
}

// NewAdvice starts the service. good tells which workers may run a step, which doesn't change.
func NewAdvice(record *Record, good func(worker string) bool) (*Advice, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	a := &Advice{record: record, good: good, address: listener.Addr().String(), tickets: make(map[string]issued)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", a.advise)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = a.server.Serve(listener) }() // returns after Close
	return a, nil
}

// Address returns the host:port of the service.
func (a *Advice) Address() string { return a.address }

// Close stops the stand-in.
func (a *Advice) Close() { _ = a.server.Close() }

// Allows reports whether a ticket is valid for a task ID.K.STEP.INDEX on a worker.
func (a *Advice) Allows(task, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tickets[ticket]
	return t.worker == worker && strings.HasPrefix(task, t.step+".") && time.Now().Before(t.until)
}

func (a *Advice) advise(rw http.ResponseWriter, r *http.Request) {
	var c struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Workers) > maxAdvised {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(time.Duration(DecideMS+EachMS*len(c.Workers)) * time.Millisecond)
	a.turn.Unlock()
	rows := [][]string{}
	a.mu.Lock()
	for _, w := range c.Workers {
		if a.good(w) {
			ticket := "t-" + strconv.Itoa(len(a.tickets))
			a.tickets[ticket] = issued{c.Step, w, time.Now().Add(TicketValidityMS * time.Millisecond)}
			rows = append(rows, []string{w, ticket})
		}
	}
	a.mu.Unlock()
	a.record.Line("advice on %s: %d workers are named, %d of them are good", c.Step, len(c.Workers), len(rows))
	respond(rw, http.StatusOK, map[string]any{"good": rows, "valid_ms": TicketValidityMS})
}
