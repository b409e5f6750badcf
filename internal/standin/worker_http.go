package standin

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// ServeHTTP serves the worker control interface.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	router := mux.NewRouter()
	router.HandleFunc("/v1/start", serve(w.Start)).Methods(http.MethodPost)
	router.HandleFunc("/v1/renew", serve(w.Renew)).Methods(http.MethodPost)
	router.HandleFunc("/v1/stop", serve(w.Stop)).Methods(http.MethodPost)
	router.HandleFunc("/v1/throttle", serve(w.Throttle)).Methods(http.MethodPost)
	router.ServeHTTP(rw, r)
}

func serve[T any](call func(context.Context, T) (inventory.WorkerReport, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req T
		if !decode(w, r, &req) {
			return
		}
		report, err := call(r.Context(), req)
		var refused *inventory.RefusedError
		switch {
		case err == nil:
			writeCompressed(w, r, report)
		case errors.As(err, &refused):
			writeJSON(w, http.StatusConflict, refused)
		default:
			panic(http.ErrAbortHandler)
		}
	}
}

// Workers is an inventory.WorkerControl over workers in this process.
type Workers struct {
	mu        sync.Mutex
	byAddress map[string]*Worker
}

var _ inventory.WorkerControl = (*Workers)(nil)

// NewWorkers returns a Workers that finds the given workers by the address in
// their host list entry.
func NewWorkers(workers ...*Worker) *Workers {
	w := &Workers{byAddress: make(map[string]*Worker)}
	for _, worker := range workers {
		w.byAddress[worker.info.Address] = worker
	}
	return w
}

func (w *Workers) find(address, op string) (*Worker, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker, ok := w.byAddress[address]
	if !ok {
		return nil, eris.Wrap(&inventory.UnknownOutcomeError{Op: op, Cause: errDown}, address)
	}
	return worker, nil
}

// Start implements inventory.WorkerControl.
func (w *Workers) Start(ctx context.Context, address string, req inventory.StartRequest) (inventory.WorkerReport, error) {
	worker, err := w.find(address, "start")
	if err != nil {
		return inventory.WorkerReport{}, err
	}
	return worker.Start(ctx, req)
}

// Renew implements inventory.WorkerControl.
func (w *Workers) Renew(ctx context.Context, address string, req inventory.RenewRequest) (inventory.WorkerReport, error) {
	worker, err := w.find(address, "renew")
	if err != nil {
		return inventory.WorkerReport{}, err
	}
	return worker.Renew(ctx, req)
}

// Stop implements inventory.WorkerControl.
func (w *Workers) Stop(ctx context.Context, address string, req inventory.StopRequest) (inventory.WorkerReport, error) {
	worker, err := w.find(address, "stop")
	if err != nil {
		return inventory.WorkerReport{}, err
	}
	return worker.Stop(ctx, req)
}

// Throttle implements inventory.WorkerControl.
func (w *Workers) Throttle(ctx context.Context, address string, req inventory.ThrottleRequest) (inventory.WorkerReport, error) {
	worker, err := w.find(address, "throttle")
	if err != nil {
		return inventory.WorkerReport{}, err
	}
	return worker.Throttle(ctx, req)
}
