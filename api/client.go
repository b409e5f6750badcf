package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/wait"
	"github.com/fuchsiahill/fuchsiahill/liveness"
)

const (
	dialTimeout = 2 * time.Second
	// responseTimeout bounds a client call that has no timeout of its own. It
	// exceeds callTimeout so that the host's timeout response still arrives.
	responseTimeout  = callTimeout + 2*time.Second
	maxResponseBytes = 16 << 20

	// writeAttempts is the maximum number of times the client sends a write
	// whose outcome is unknown. Every write carries an ID that makes it
	// idempotent.
	writeAttempts   = 3
	writeRetryDelay = 200 * time.Millisecond
)

// Client calls the API of one host, or of a load balancer in front of several.
// It is safe for concurrent use. Its methods return *Error, *UnreachableError
// or *UnknownOutcomeError; the methods of job.Service return the errors of
// package job as well.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the API at baseURL ("http://host:port"). If
// token is empty, the client sends none.
func NewClient(baseURL, token string) *Client {
	return NewTLSClient(baseURL, token, nil)
}

// NewTLSClient returns a client like NewClient that uses config for https. A
// nil config selects the default TLS configuration.
func NewTLSClient(baseURL, token string, config *tls.Config) *Client {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: config,
	}
	return &Client{
		base:  strings.TrimRight(baseURL, "/"),
		token: token,
		http:  &http.Client{Transport: liveness.NewTransport(transport)},
	}
}

// get sends a GET request and decodes the response into result.
func (c *Client) get(ctx context.Context, path string, result any) error {
	return c.callWithTimeout(ctx, responseTimeout, http.MethodGet, path, nil, result)
}

// write sends a request that its ID makes idempotent, and retries it while the
// outcome is unknown.
//
// Once the outcome of an attempt is unknown, a rejected retry does not settle
// it: the earlier attempt may still be in progress on another host.
func (c *Client) write(ctx context.Context, method, path string, body, result any) error {
	var unknown error
	for attempt := range writeAttempts {
		if attempt > 0 && wait.For(ctx, writeRetryDelay) != nil {
			break
		}
		err := c.callWithTimeout(ctx, responseTimeout, method, path, body, result)
		switch {
		case isUnknownOutcome(err):
			unknown = err
		case err == nil || unknown == nil || isReusedID(err):
			return err
		}
	}
	return unknown
}

func isUnknownOutcome(err error) bool {
	var unknown *UnknownOutcomeError
	var apiErr *Error
	return errors.As(err, &unknown) || errors.As(err, &apiErr) && apiErr.Code == CodeUnknownOutcome
}

// isReusedID reports whether the ID of a call already belongs to another call,
// in which case no attempt can have succeeded.
func isReusedID(err error) bool {
	var apiErr *Error
	return errors.As(err, &apiErr) && apiErr.Code == CodeReusedID
}

func (c *Client) callWithTimeout(ctx context.Context, timeout time.Duration, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return transportError(method, err)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(method, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return transportError(method, err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var data []byte
	switch b := body.(type) {
	case nil:
	case json.RawMessage:
		data = b
	default:
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(&Error{Code: CodeInvalid, Message: "body: " + err.Error()}, "api")
		}
		data = encoded
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(&Error{Code: CodeInvalid, Message: "address: " + err.Error()}, "api")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

// transportError classifies the error of a call without a usable response.
func transportError(method string, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if notSent || method == http.MethodGet {
		return eris.Wrap(&UnreachableError{Cause: err}, "api")
	}
	return eris.Wrap(&UnknownOutcomeError{Cause: err}, "api")
}

// responseError decodes the response to a failed call. A response that does
// not come from this API, such as a load balancer's, leaves the outcome of a
// write unknown.
func responseError(method string, status int, data []byte) error {
	e := &Error{}
	if err := json.Unmarshal(data, e); err != nil || e.Code == "" {
		return transportError(method, &UnexpectedResponseError{Status: status})
	}
	e.Status = status
	return eris.Wrap(e, "api")
}

// UnexpectedResponseError reports a response that does not come from this API,
// such as a load balancer's error page.
type UnexpectedResponseError struct{ Status int }

func (e *UnexpectedResponseError) Error() string {
	return fmt.Sprintf("HTTP status %d with a response that is not from this API", e.Status)
}
