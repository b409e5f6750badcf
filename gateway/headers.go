package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/fuchsiahill/fuchsiahill/auth"
	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/route"
)

// Request headers.
const (
	HeaderTimeout    = "Fuchsiahill-Timeout-Ms" // time until the complete response, in ms
	HeaderIdempotent = "Fuchsiahill-Idempotent" // "true" or "false"; the default depends on the method
	HeaderRequestID  = "Fuchsiahill-Request-Id" // UUIDv7 of a non-idempotent request
	HeaderCaller     = "Fuchsiahill-Caller"     // name of the caller's class; classes share capacity fairly
	HeaderHop        = "Fuchsiahill-Hop"        // set on requests that one host forwards to another
)

// noUserAgent keeps http.Request.Write from adding a default User-Agent.
var noUserAgent = []string{""}

var answeredValue = []string{string(backend.Answered)}

// headerAuthorization carries a token for entry hosts. It is not sent to backend
// servers.
const headerAuthorization = "Authorization"

// Response headers.
const (
	HeaderOutcome      = "Fuchsiahill-Outcome"
	HeaderReason       = "Fuchsiahill-Reason"
	HeaderRetryAfter   = "Retry-After" // seconds, rounded up
	HeaderRetryAfterMS = "Fuchsiahill-Retry-After-Ms"
)

const (
	maxTimeoutMS   = int64(time.Hour / time.Millisecond)
	maxCallerBytes = 64
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// options are the request options that a caller sets in headers.
type options struct {
	timeout    time.Duration // 0 for the timeout of the service
	idempotent bool
	id         uuid.UUID // uuid.Nil for none
	caller     route.Class
	forwarded  bool
	requestID  string // X-Request-Id
}

func parseOptions(r *http.Request) (options, error) {
	o := options{
		idempotent: isIdempotentMethod(r.Method),
		caller:     callerClass(r),
		forwarded:  r.Header.Get(HeaderHop) != "",
		requestID:  r.Header.Get(backend.RequestIDHeader),
	}
	if len(o.caller.Name) > maxCallerBytes {
		return o, &BadRequestError{Header: HeaderCaller, Value: o.caller.Name[:maxCallerBytes]}
	}
	if v := r.Header.Get(HeaderTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeoutMS {
			return o, &BadRequestError{Header: HeaderTimeout, Value: v}
		}
		o.timeout = time.Duration(ms) * time.Millisecond
	}
	switch v := r.Header.Get(HeaderIdempotent); v {
	case "":
	case "true":
		o.idempotent = true
	case "false":
		o.idempotent = false
	default:
		return o, &BadRequestError{Header: HeaderIdempotent, Value: v}
	}
	return o, o.parseID(r.Header.Get(HeaderRequestID))
}

// callerClass returns the caller class named in the request, within the
// organisation of the caller's token.
func callerClass(r *http.Request) route.Class {
	return route.Class{
		Organisation: auth.FromContext(r.Context()).Organisation,
		Name:         r.Header.Get(HeaderCaller),
	}
}

// parseID parses the Fuchsiahill-Request-Id header. If the caller sent no ID in
// either header, it generates one for X-Request-Id.
func (o *options) parseID(v string) error {
	if v != "" {
		id, err := uuid.Parse(v)
		if err != nil || id.Version() != 7 {
			return &BadRequestError{Header: HeaderRequestID, Value: v}
		}
		o.id = id
		o.requestID = v
	}
	if o.requestID == "" {
		o.requestID = strconv.FormatUint(rand.Uint64(), 16)
	}
	return nil
}

func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// stripHopByHop removes the headers that apply to a single connection.
func stripHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// setHeaders adds the headers that describe the failure to a response.
func (f failure) setHeaders(h http.Header) {
	h.Set(HeaderOutcome, string(f.outcome))
	h.Set(HeaderReason, f.reason)
	if f.retryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
		h.Set(HeaderRetryAfterMS, strconv.FormatInt(max(f.retryAfter.Milliseconds(), 1), 10))
	}
}

// body returns the JSON body of the response that reports the failure.
func (f failure) body() string {
	return fmt.Sprintf("{\"outcome\":%q,\"reason\":%q}\n", f.outcome, f.reason)
}
