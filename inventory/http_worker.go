package inventory

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// DefaultWorkerTimeout is the default timeout of a call to a worker.
const DefaultWorkerTimeout = 2 * time.Second

// HTTPWorkersOptions are the options of NewHTTPWorkers.
type HTTPWorkersOptions struct {
	// Timeout bounds one call from the dial to the end of the response; 0 means
	// DefaultWorkerTimeout.
	Timeout time.Duration
}

type httpWorkers struct {
	client  *http.Client
	timeout time.Duration
}

// NewHTTPWorkers returns a WorkerControl that posts JSON to
// http://<address>/v1/<op>. A call is sent at most once; if it ends without a
// response, its connection is closed.
func NewHTTPWorkers(opts HTTPWorkersOptions) WorkerControl {
	timeout := opts.Timeout
	if timeout == 0 {
		timeout = DefaultWorkerTimeout
	}
	return &httpWorkers{client: newClient(), timeout: timeout}
}

// Start implements WorkerControl.
func (h *httpWorkers) Start(ctx context.Context, address string, req StartRequest) (WorkerReport, error) {
	return h.call(ctx, address, "start", req)
}

// Renew implements WorkerControl.
func (h *httpWorkers) Renew(ctx context.Context, address string, req RenewRequest) (WorkerReport, error) {
	return h.call(ctx, address, "renew", req)
}

// Stop implements WorkerControl.
func (h *httpWorkers) Stop(ctx context.Context, address string, req StopRequest) (WorkerReport, error) {
	return h.call(ctx, address, "stop", req)
}

// Throttle implements WorkerControl.
func (h *httpWorkers) Throttle(ctx context.Context, address string, req ThrottleRequest) (WorkerReport, error) {
	return h.call(ctx, address, "throttle", req)
}

func (h *httpWorkers) call(ctx context.Context, address, op string, body any) (WorkerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	status, respBody, err := h.post(ctx, "http://"+address+"/v1/"+op, body)
	if err != nil {
		return WorkerReport{}, unknownOutcome(op, address, err)
	}
	switch status {
	case http.StatusOK:
		return decodeReport(op, address, respBody)
	case http.StatusConflict:
		return WorkerReport{}, decodeRefusal(op, address, respBody)
	default:
		return WorkerReport{}, unknownOutcome(op, address, &StatusError{Status: status})
	}
}

func (h *httpWorkers) post(ctx context.Context, url string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	// An empty value omits the header, to save its bytes in every call.
	req.Header.Set("User-Agent", "")
	// Without GetBody the transport can't retry the request.
	req.GetBody = nil
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return resp.StatusCode, respBody, err
}

func decodeReport(op, address string, respBody []byte) (WorkerReport, error) {
	var report WorkerReport
	if err := json.Unmarshal(respBody, &report); err != nil {
		return WorkerReport{}, unknownOutcome(op, address, err)
	}
	return report, nil
}

// decodeRefusal accepts a refusal only if it has a reason. A 409 without one may
// come from another server, such as a proxy, and says nothing about the call.
func decodeRefusal(op, address string, respBody []byte) error {
	var refused RefusedError
	if err := json.Unmarshal(respBody, &refused); err != nil {
		return unknownOutcome(op, address, err)
	}
	if refused.Reason == "" {
		return unknownOutcome(op, address, &StatusError{Status: http.StatusConflict})
	}
	return eris.Wrap(&refused, address)
}

func unknownOutcome(op, address string, cause error) error {
	return eris.Wrap(&UnknownOutcomeError{Op: op, Cause: cause}, address)
}
