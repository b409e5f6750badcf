package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/dedupe"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/netguard"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

// PathPrefix precedes the name of the service in every request path.
const PathPrefix = "/svc/"

// smallResponseBytes is a body size that fits into the connection's write
// buffer.
const smallResponseBytes = 4 << 10

// claimReleaseTimeout limits the time for releasing a claim.
const claimReleaseTimeout = 200 * time.Millisecond

// request is a caller's request while the gateway serves it.
type request struct {
	options
	service  *service
	values   settings.Resolved
	in       *http.Request
	path     url.URL // as sent to the backend server
	header   http.Header
	idValue  [1]string        // X-Request-Id
	body     *netguard.Buffer // the part of the body that has been read, nil if there is none
	unread   io.Reader        // the rest of the body, nil if there is none
	length   int64            // of the complete body, -1 if not known
	deadline time.Time
}

// streamed reports whether the body can be sent only once.
func (q *request) streamed() bool { return q.unread != nil }

// ServeHTTP serves /svc/{service}/.... The path sent to the backend server is
// what follows the name of the service.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if !g.inFlight.enter() {
		w.Header().Set("Connection", "close")
		g.writeFailure(w, &DrainingError{})
		return
	}
	defer g.inFlight.leave()
	q, err := g.parse(r, started)
	if err != nil {
		g.writeFailure(w, err)
		return
	}
	ctx := r.Context()
	w.Header()[backend.RequestIDHeader] = q.idValue[:]
	if err := q.readBody(w); err != nil {
		var overloaded *OverloadedError
		if errors.As(err, &overloaded) {
			w.Header().Set("Connection", "close") // the rest of the body is not read
		}
		g.writeFailure(w, err)
		return
	}
	resp, err := g.claimAndSend(ctx, q)
	if err != nil {
		g.writeFailure(w, err)
		return
	}
	defer resp.Close()
	g.writeResponse(ctx, w, q, resp)
	q.service.recordLatency(time.Since(started))
}

// parse checks a request and determines its service, options, path and headers.
func (g *Gateway) parse(r *http.Request, now time.Time) (*request, error) {
	name, path, err := splitPath(r.URL)
	if err != nil {
		return nil, err
	}
	svc, ok := g.service(name)
	if !ok {
		return nil, &NoServerError{Service: name}
	}
	o, err := parseOptions(r)
	if err != nil {
		return nil, err
	}
	q := &request{options: o, service: svc, values: svc.settings(), in: r, path: path, idValue: [1]string{o.requestID}}
	maxTimeout := time.Duration(q.values.RequestTimeoutMS) * time.Millisecond
	if q.timeout <= 0 || q.timeout > maxTimeout {
		q.timeout = maxTimeout
	}
	q.deadline = now.Add(q.timeout)
	q.header = maps.Clone(r.Header)
	stripHopByHop(q.header)
	delete(q.header, HeaderHop)
	delete(q.header, headerAuthorization)
	delete(q.header, "Expect") // the body is sent without waiting for 100 Continue
	q.header[backend.RequestIDHeader] = q.idValue[:]
	if _, ok := q.header["User-Agent"]; !ok {
		q.header["User-Agent"] = noUserAgent
	}
	return q, nil
}

// splitPath splits the path into the service and the rest, and keeps the
// escaping of the rest.
func splitPath(u *url.URL) (fleet.Service, url.URL, error) {
	raw := u.EscapedPath()
	rest, ok := strings.CutPrefix(raw, PathPrefix)
	name, _, _ := strings.Cut(rest, "/")
	if !ok || name == "" {
		return "", url.URL{}, &BadRequestError{Header: "path", Value: u.Path}
	}
	raw = rest[len(name):]
	if raw == "" {
		raw = "/"
	}
	unescaped, err := url.PathUnescape(raw)
	if err != nil {
		return "", url.URL{}, &BadRequestError{Header: "path", Value: u.Path}
	}
	return fleet.Service(name), url.URL{Scheme: "http", Path: unescaped, RawPath: raw, RawQuery: u.RawQuery}, nil
}

// readBody reads the body up to the size that is kept for retries. It does so
// before the request is admitted, so that a slow caller occupies neither a slot
// nor a place in the queue.
func (q *request) readBody(w http.ResponseWriter) error {
	body := q.in.Body
	q.length = q.in.ContentLength
	if body == nil || body == http.NoBody || q.length == 0 {
		q.length = 0
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(q.deadline) // unsupported by test recorders
	limit := max(q.values.BufferBytes, 0)
	if q.length > limit {
		q.unread = body
		return nil
	}
	data, err := netguard.ReadBuffer(q.in, limit, q.deadline)
	var shed *netguard.ShedError
	switch {
	case errors.As(err, &shed) && shed.Reason != netguard.ReasonSlowBody:
		return &OverloadedError{Cause: err}
	case err != nil:
		return &BodyError{Cause: err}
	}
	q.body = data
	if !data.Ended() {
		q.unread = body
		return nil
	}
	q.length = data.Len()
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// outgoing builds the HTTP request for one exchange with the server at address.
func (q *request) outgoing(address string) *http.Request {
	u := q.path
	u.Host = address
	out := &http.Request{
		Method:        q.in.Method,
		URL:           &u,
		Host:          q.in.Host,
		Header:        q.header,
		ContentLength: q.length,
	}
	switch {
	case q.unread != nil && q.body != nil:
		out.Body = io.NopCloser(io.MultiReader(q.body.Reader(), q.unread))
	case q.unread != nil:
		out.Body = io.NopCloser(q.unread)
	case q.length > 0:
		out.Body = io.NopCloser(q.body.Reader())
	}
	return out
}

// claimAndSend claims the ID of a non-idempotent request before sending it, so
// that the outcome "not run" holds for the ID and not only for this attempt. It
// releases the claim if the request was not run.
func (g *Gateway) claimAndSend(ctx context.Context, q *request) (*backend.Response, error) {
	if !q.mustClaim() {
		return g.send(ctx, q)
	}
	g.metrics.claims.Add(1)
	claimCtx, cancel := context.WithDeadline(ctx, q.deadline)
	claim, err := g.claimer.Claim(claimCtx, q.id)
	cancel()
	if err != nil {
		return nil, err
	}
	resp, err := g.send(ctx, q)
	if err != nil && failureOf(err).outcome == backend.NotRun {
		releaseClaim(ctx, claim)
	}
	return resp, err
}

// mustClaim reports whether this host must claim the ID of the request. If the
// request was forwarded, the first host has claimed it.
func (q *request) mustClaim() bool {
	return !q.idempotent && !q.forwarded && q.id != [16]byte{}
}

func releaseClaim(ctx context.Context, claim *dedupe.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimReleaseTimeout)
	defer cancel()
	claim.Release(ctx)
}

// writeFailure responds to a request for which there is no response of a backend
// server.
func (g *Gateway) writeFailure(w http.ResponseWriter, err error) {
	f := failureOf(err)
	g.metrics.count(f.outcome)
	if f.outcome == backend.Unknown {
		g.deps.Logger.Log("event", "request_unknown", "reason", f.reason, "request", w.Header().Get(backend.RequestIDHeader), "err", err)
	}
	h := w.Header()
	f.setHeaders(h)
	h.Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, f.body()) // fails only if the caller has disconnected
}

// writeResponse passes the response of a backend server on to the caller. If a
// streamed response is truncated, it aborts the connection, so that the response
// never looks complete.
func (g *Gateway) writeResponse(ctx context.Context, w http.ResponseWriter, q *request, resp *backend.Response) {
	h := w.Header()
	stripHopByHop(resp.Header)
	maps.Copy(h, resp.Header)
	h[backend.RequestIDHeader] = q.idValue[:]
	h[HeaderOutcome] = answeredValue
	delete(h, HeaderReason)
	if _, ok := h["Content-Length"]; !ok && resp.Complete && hasBody(q.in.Method, resp.Status) {
		h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	if !resp.Complete || len(resp.Body) > smallResponseBytes {
		// A caller that does not read must neither occupy a slot nor delay a
		// shutdown.
		_ = http.NewResponseController(w).SetWriteDeadline(q.deadline) // unsupported by test recorders
	}
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil && len(resp.Body) > 0 && q.in.Method != http.MethodHead {
		panic(http.ErrAbortHandler)
	}
	for {
		data, err := resp.Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil {
			_, err = w.Write(data)
		}
		if err != nil {
			g.metrics.aborted.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	g.metrics.count(backend.Answered)
}

// hasBody reports whether a response to method with this status has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
