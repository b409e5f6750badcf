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
)

const (
	dialTimeout = 2 * time.Second
	// answerTimeout bounds a call of the client that has no time of its own.
	// It is above callTimeout, so that the host's own answer arrives.
	answerTimeout  = callTimeout + 2*time.Second
	maxAnswerBytes = 16 << 20

	// writeAttempts is how often the client makes a write whose outcome is
	// unknown. Every write carries an ID that makes it idempotent.
	writeAttempts = 3
	writePause    = 200 * time.Millisecond
)

// Client calls the interface of one host or of a balancer before them. It is
// safe for concurrent use. Errors are *Error, *UnreachableError or
// *UnknownOutcomeError, and those of package job where it implements
// job.Service.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the interface at baseURL
// ("http://host:port"). An empty token sends none.
func NewClient(baseURL, token string) *Client {
	return NewTLSClient(baseURL, token, nil)
}

// NewTLSClient is NewClient with the TLS configuration for https; nil is the
// default one.
func NewTLSClient(baseURL, token string, config *tls.Config) *Client {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: config,
	}
	return &Client{
		base:  strings.TrimRight(baseURL, "/"),
		token: token,
		http:  &http.Client{Transport: transport},
	}
}

// get makes a read and decodes the answer.
func (c *Client) get(ctx context.Context, path string, answer any) error {
	return c.within(ctx, answerTimeout, http.MethodGet, path, nil, answer)
}

// write makes a call that is idempotent by the ID it carries, and repeats it
// while its outcome is unknown.
//
// After an attempt of unknown outcome, a later one that was refused says
// nothing about the first: that may still be under way at another host.
func (c *Client) write(ctx context.Context, method, path string, body, answer any) error {
	var unknown error
	for attempt := range writeAttempts {
		if attempt > 0 && wait.For(ctx, writePause) != nil {
			break
		}
		err := c.within(ctx, answerTimeout, method, path, body, answer)
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
	var answered *Error
	return errors.As(err, &unknown) || errors.As(err, &answered) && answered.Code == CodeUnknownOutcome
}

// isReusedID reports whether the ID of a call belongs to another one, so that
// no attempt can have succeeded.
func isReusedID(err error) bool {
	var answered *Error
	return errors.As(err, &answered) && answered.Code == CodeReusedID
}

func (c *Client) within(ctx context.Context, timeout time.Duration, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return failure(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return failure(method, err)
	}
	if resp.StatusCode != http.StatusOK {
		return answeredError(method, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return failure(method, err)
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

// failure classifies a call without a usable answer.
func failure(method string, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if notSent || method == http.MethodGet {
		return eris.Wrap(&UnreachableError{Cause: err}, "api")
	}
	return eris.Wrap(&UnknownOutcomeError{Cause: err}, "api")
}

// answeredError decodes the answer to a call that did not succeed. An answer
// that is not of this interface, such as a balancer's, leaves the outcome of
// a write open.
func answeredError(method string, status int, data []byte) error {
	e := &Error{}
	if err := json.Unmarshal(data, e); err != nil || e.Code == "" {
		return failure(method, &UnexpectedResponseError{Status: status})
	}
	e.Status = status
	return eris.Wrap(e, "api")
}

// UnexpectedResponseError reports a response that does not come from this API,
// such as a load balancer's error page.
type UnexpectedResponseError struct{ Status int }

func (e *UnexpectedResponseError) Error() string {
	return fmt.Sprintf("HTTP status %d without an error of this interface", e.Status)
}
