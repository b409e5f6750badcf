package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/liveness"
)

const (
	// DefaultCallTimeout limits one call to the service.
	DefaultCallTimeout = 2 * time.Second
	// watchPollTimeout is how long the service keeps a watch request open before
	// it responds without events.
	watchPollTimeout   = 60 * time.Second
	watchRetryInitial  = 100 * time.Millisecond
	watchRetryMaximum  = 5 * time.Second
	maxResponseBytes   = 64 << 20
	dialTimeout        = time.Second
	keepAliveInterval  = 5 * time.Second
	keepAliveProbes    = 3
	idleConnTimeout    = 90 * time.Second
	maxIdleConnections = 16
)

// HTTP is a Store that uses the service's HTTP/JSON protocol.
type HTTP struct {
	baseURL string
	client  *http.Client
	timeout time.Duration
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client of the service at the URL base ("http://host:port").
// Each call except Watch is limited to timeout; 0 selects DefaultCallTimeout.
func NewHTTP(base string, timeout time.Duration) *HTTP {
	if timeout == 0 {
		timeout = DefaultCallTimeout
	}
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &HTTP{baseURL: base, client: &http.Client{Transport: liveness.NewTransport(transport)}, timeout: timeout}
}

// WireWrite is the request body of a write: PUT /v1/kv?key=K.
type WireWrite struct {
	Expect Revision `json:"expect"`
	Value  []byte   `json:"value"`
	Lease  LeaseID  `json:"lease,omitempty"`
}

// WireRevision is the response to a write.
type WireRevision struct {
	Revision Revision `json:"revision"`
}

// WireList is the response to a list or watch call.
type WireList struct {
	Revision Revision `json:"revision"`
	Entries  []Entry  `json:"entries,omitempty"`
	Events   []Event  `json:"events,omitempty"`
	// Compacted is true if the history after the requested revision is no longer
	// available. Entries then holds the current state in place of Events.
	Compacted bool `json:"compacted,omitempty"`
}

// WireLease is the request body and response of POST /v1/leases.
type WireLease struct {
	Lease LeaseID `json:"lease"`
	TTLMS int64   `json:"ttl_ms"`
}

// WireError is the body of every error response.
type WireError struct {
	Code   string   `json:"code"`
	Actual Revision `json:"actual,omitempty"`
	Detail string   `json:"detail,omitempty"`
}

// Codes of WireError.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeLeaseGone   = "lease_gone"
	CodeTooLarge    = "too_large"
	CodeBadRequest  = "bad_request"
	CodeUnavailable = "unavailable" // certainly not applied
)

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	_, err := h.call(ctx, http.MethodGet, "/v1/kv?key="+url.QueryEscape(key), key, 0, nil, &e)
	return e, err
}

// GetNewer implements Store.
func (h *HTTP) GetNewer(ctx context.Context, key string, known Revision) (Entry, bool, error) {
	var e Entry
	path := fmt.Sprintf("/v1/kv?key=%s&known=%d", url.QueryEscape(key), known)
	status, err := h.call(ctx, http.MethodGet, path, key, 0, nil, &e)
	if err != nil {
		return Entry{}, false, err
	}
	return e, status != http.StatusNotModified, nil
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	var list WireList
	_, err := h.call(ctx, http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), prefix, 0, nil, &list)
	return list.Entries, list.Revision, err
}

// CompareAndSwap implements Store.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, eris.Wrap(&TooLargeError{Key: key, Bytes: len(value)}, "compare-and-swap")
	}
	var rev WireRevision
	body := WireWrite{Expect: expect, Value: value, Lease: lease}
	_, err := h.call(ctx, http.MethodPut, "/v1/kv?key="+url.QueryEscape(key), key, expect, body, &rev)
	return rev.Revision, err
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, expect Revision) error {
	path := fmt.Sprintf("/v1/kv?key=%s&expect=%d", url.QueryEscape(key), expect)
	_, err := h.call(ctx, http.MethodDelete, path, key, expect, nil, nil)
	return err
}

// Grant implements Store.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var lease WireLease
	_, err := h.call(ctx, http.MethodPost, "/v1/leases", "lease", 0, WireLease{TTLMS: ttl.Milliseconds()}, &lease)
	return lease.Lease, err
}

// Renew implements Store.
func (h *HTTP) Renew(ctx context.Context, lease LeaseID) error {
	_, err := h.call(ctx, http.MethodPost, leasePath(lease)+"/renew", leasePath(lease), 0, WireLease{Lease: lease}, nil)
	return leaseError(err, lease)
}

// Revoke implements Store.
func (h *HTTP) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := h.call(ctx, http.MethodDelete, leasePath(lease), leasePath(lease), 0, nil, nil)
	return leaseError(err, lease)
}

func leasePath(lease LeaseID) string {
	return "/v1/leases/" + strconv.FormatInt(int64(lease), 10)
}

func leaseError(err error, lease LeaseID) error {
	var gone *LeaseGoneError
	if errors.As(err, &gone) {
		gone.Lease = lease
	}
	return err
}

// Watch implements Store by long polling. While nothing changes, one request is
// outstanding.
func (h *HTTP) Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error) {
	events := make(chan Event)
	go func() {
		defer close(events)
		h.watch(ctx, prefix, after, events)
	}()
	return events, nil
}

func (h *HTTP) watch(ctx context.Context, prefix string, after Revision, events chan<- Event) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = watchRetryInitial
	retry.MaxInterval = watchRetryMaximum
	for ctx.Err() == nil {
		list, err := h.poll(ctx, prefix, after)
		if err != nil {
			_ = wait.For(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		for _, ev := range list.changes() {
			if ev.Revision <= after {
				continue
			}
			select {
			case events <- ev:
				after = ev.Revision
			case <-ctx.Done():
				return
			}
		}
		after = max(after, list.Revision)
	}
}

// changes returns the events of a watch response, or the current entries in order
// of revision if the history is no longer available.
func (l WireList) changes() []Event {
	if !l.Compacted {
		return l.Events
	}
	return currentState(l.Entries)
}

func (h *HTTP) poll(ctx context.Context, prefix string, after Revision) (WireList, error) {
	var list WireList
	path := fmt.Sprintf("/v1/watch?prefix=%s&after=%d&wait_ms=%d",
		url.QueryEscape(prefix), after, watchPollTimeout.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, watchPollTimeout+h.timeout)
	defer cancel()
	_, err := h.exchange(ctx, http.MethodGet, path, prefix, 0, nil, &list)
	return list, err
}

func (h *HTTP) call(ctx context.Context, method, path, key string, expect Revision, body, response any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	return h.exchange(ctx, method, path, key, expect, body, response)
}

// exchange makes one call. It never retries a write: the caller decides how to
// handle an unknown outcome.
func (h *HTTP) exchange(ctx context.Context, method, path, key string, expect Revision, body, response any) (int, error) {
	req, err := h.request(ctx, method, path, body)
	if err != nil {
		return 0, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, classifyFailure(method, key, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, classifyFailure(method, key, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return 0, decodeError(method, key, expect, resp.StatusCode, data)
	}
	if response == nil || resp.StatusCode == http.StatusNotModified {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(data, response); err != nil {
		return 0, classifyFailure(method, key, err)
	}
	return resp.StatusCode, nil
}

func (h *HTTP) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(&BadRequestError{Message: err.Error()}, method)
		}
		data = encoded
	}
	req, err := http.NewRequestWithContext(ctx, method, h.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(&BadRequestError{Message: err.Error()}, method)
	}
	// An empty value omits the header, which would otherwise be sent with every
	// call.
	req.Header.Set("User-Agent", "")
	// Without GetBody the transport can't resend a write.
	req.GetBody = nil
	return req, nil
}

// classifyFailure returns the error of a call without a valid response. A write
// that may have been sent has an unknown outcome.
func classifyFailure(method, key string, err error) error {
	op := opName(method)
	var opErr *net.OpError
	notSent := errors.As(err, &opErr) && opErr.Op == "dial"
	if notSent || method == http.MethodGet {
		return eris.Wrap(&UnavailableError{Op: op, Cause: err}, key)
	}
	return eris.Wrap(&UnknownOutcomeError{Op: op, Key: key, Cause: err}, key)
}

func opName(method string) string {
	switch method {
	case http.MethodGet:
		return "read"
	case http.MethodDelete:
		return "delete"
	default:
		return "write"
	}
}

func decodeError(method, key string, expect Revision, status int, data []byte) error {
	var wire WireError
	if err := json.Unmarshal(data, &wire); err != nil {
		return classifyFailure(method, key, &StatusError{Status: status})
	}
	switch wire.Code {
	case CodeNotFound:
		return eris.Wrap(&NotFoundError{Key: key}, method)
	case CodeConflict:
		return eris.Wrap(&ConflictError{Key: key, Expect: expect, Actual: wire.Actual}, method)
	case CodeLeaseGone:
		return eris.Wrap(&LeaseGoneError{}, method)
	case CodeTooLarge:
		return eris.Wrap(&TooLargeError{Key: key}, method)
	case CodeBadRequest:
		return eris.Wrap(&BadRequestError{Message: wire.Detail}, method)
	case CodeUnavailable:
		return eris.Wrap(&UnavailableError{Op: opName(method), Cause: &StatusError{Status: status}}, key)
	default:
		return classifyFailure(method, key, &StatusError{Status: status})
	}
}

// StatusError reports an HTTP error status. It is the cause of an error if the
// response has no valid WireError or its code is CodeUnavailable or unknown.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("store: HTTP status %d", e.Status) }
