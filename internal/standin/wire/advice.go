package wire

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	maxAdvisedWorkers = 100
	// maxWaitingAdvice is how many calls may wait for the one that is handled.
	maxWaitingAdvice = 32
	adviceTime       = 5 * time.Millisecond
	adviceTimeEach   = time.Millisecond // for each worker named
	ticketValidity   = 2 * time.Second
)

// ticket allows all tasks of a step on one life of a worker.
type ticket struct {
	step   string
	worker fleet.WorkerID
	text   string
}

// Advice is a stand-in for the service that decides which workers may run a step. It
// handles one call at a time: all hosts of a test are one machine.
type Advice struct {
	allows  func(step string, id fleet.WorkerID) bool
	server  *http.Server
	address string
	turn    chan struct{} // held by the call that is handled

	mu      sync.Mutex
	waiting int
	tickets map[ticket]time.Time // end of the validity of each
	issued  int
}

// NewAdvice starts the service. allows tells which workers may run a step, which must not
// change. It returns an error if it can't listen.
func NewAdvice(allows func(step string, id fleet.WorkerID) bool) (*Advice, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Advice{allows: allows, address: ln.Addr().String(), turn: make(chan struct{}, 1), tickets: make(map[ticket]time.Time)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", a.advise)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = a.server.Serve(ln) }() // returns after Close
	return a, nil
}

// Address returns the host:port of the service.
func (a *Advice) Address() string { return a.address }

// Close stops the stand-in.
func (a *Advice) Close() { _ = a.server.Close() }

// enter waits for a call's turn. It returns false if too many calls wait, or if the caller
// disconnects.
func (a *Advice) enter(w http.ResponseWriter, r *http.Request) bool {
	select {
	case a.turn <- struct{}{}:
		return true
	default:
	}
	a.mu.Lock()
	if a.waiting == maxWaitingAdvice {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	a.waiting++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.waiting--
	}()
	select {
	case a.turn <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (a *Advice) advise(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string           `json:"step"`
		Workers []fleet.WorkerID `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || call.Step == "" || len(call.Workers) > maxAdvisedWorkers {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !a.enter(w, r) {
		return
	}
	time.Sleep(adviceTime + time.Duration(len(call.Workers))*adviceTimeEach)
	<-a.turn
	good := [][]string{}
	for _, id := range call.Workers {
		if a.allows(call.Step, id) {
			good = append(good, []string{string(id), a.issue(call.Step, id)})
		}
	}
	respond(w, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketValidity.Milliseconds()})
}

// issue returns a new ticket of a step for a worker.
func (a *Advice) issue(step string, id fleet.WorkerID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.issued++
	t := ticket{step, id, strconv.Itoa(a.issued)}
	a.tickets[t] = time.Now().Add(ticketValidity)
	return t.text
}

// isValid reports whether a ticket of a step is valid on a worker.
func (a *Advice) isValid(t ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[t])
}

// endLife makes the tickets for a worker invalid, as its life has ended.
func (a *Advice) endLife(id fleet.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.tickets, func(t ticket, _ time.Time) bool { return t.worker == id })
}
