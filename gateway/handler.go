package gateway

import (
	"bytes"
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
	"github.com/fuchsiahill/fuchsiahill/settings"
)

// PathPrefix is before the name of the service in every path.
const PathPrefix = "/svc/"

// smallAnswer in bytes fits into the connection's buffer.
const smallAnswer = 4 << 10

// claimReleaseTimeout bounds giving a claim back.
const claimReleaseTimeout = 200 * time.Millisecond

// request is a caller's request on its way.
type request struct {
	options
	service  *service
	values   settings.Resolved
	in       *http.Request
	path     url.URL // as the backend server sees it
	header   http.Header
	idValue  [1]string // X-Request-Id
	body     []byte    // what was read of the body
	rest     io.Reader // what was not, nil if body is all
	length   int64     // of the whole body, -1 if not known
	deadline time.Time
}

// streamed reports whether the body can be sent only once.
func (q *request) streamed() bool { return q.rest != nil }

// ServeHTTP serves /svc/{service}/...; the backend server sees the path after
// the service.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if !g.flight.enter() {
		w.Header().Set("Connection", "close")
		g.fail(w, &DrainingError{})
		return
	}
	defer g.flight.leave()
	q, err := g.parse(r, started)
	if err != nil {
		g.fail(w, err)
		return
	}
	ctx := r.Context()
	w.Header()[backend.RequestIDHeader] = q.idValue[:]
	if err := q.readBody(w); err != nil {
		g.fail(w, err)
		return
	}
	resp, err := g.claimAndSend(ctx, q)
	if err != nil {
		g.fail(w, err)
		return
	}
	defer resp.Close()
	g.answer(ctx, w, q, resp)
	q.service.observe(time.Since(started))
}

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
	longest := time.Duration(q.values.RequestTimeoutMS) * time.Millisecond
	if q.timeout <= 0 || q.timeout > longest {
		q.timeout = longest
	}
	q.deadline = now.Add(q.timeout)
	q.header = maps.Clone(r.Header)
	stripHopByHop(q.header)
	delete(q.header, HeaderHop)
	delete(q.header, headerAuthorization)
	delete(q.header, "Expect") // the body is sent in any case
	q.header[backend.RequestIDHeader] = q.idValue[:]
	if _, ok := q.header["User-Agent"]; !ok {
		q.header["User-Agent"] = noUserAgent
	}
	return q, nil
}

// splitPath takes the service out of the path, keeping the rest as it was
// written.
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
	plain, err := url.PathUnescape(raw)
	if err != nil {
		return "", url.URL{}, &BadRequestError{Header: "path", Value: u.Path}
	}
	return fleet.Service(name), url.URL{Scheme: "http", Path: plain, RawPath: raw, RawQuery: u.RawQuery}, nil
}

// readBody reads the body up to the limit for replay, before the request
// takes a place, so that a slow caller holds nothing.
func (q *request) readBody(w http.ResponseWriter) error {
	body := q.in.Body
	q.length = q.in.ContentLength
	if body == nil || body == http.NoBody || q.length == 0 {
		q.length = 0
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(q.deadline) // a test recorder has none
	limit := max(q.values.BufferBytes, 0)
	if q.length > limit {
		q.rest = body
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return &BodyError{Cause: err}
	}
	q.body = data
	if int64(len(data)) > limit {
		q.rest = body
		return nil
	}
	q.length = int64(len(data))
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// outgoing builds the request for one exchange.
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
	case q.rest != nil && len(q.body) > 0:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(q.body), q.rest))
	case q.rest != nil:
		out.Body = io.NopCloser(q.rest)
	case q.length > 0:
		out.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	return out
}

// claimAndSend claims the ID of a non-idempotent request before anything
// else, so that a refusal as not run is true of the ID and not just of this
// send, and gives the claim back if the request was not run.
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
	if err != nil && describe(err).outcome == backend.NotRun {
		releaseClaim(ctx, claim)
	}
	return resp, err
}

// mustClaim reports whether this host claims the ID; of a forwarded request
// the first host has claimed it.
func (q *request) mustClaim() bool {
	return !q.idempotent && !q.forwarded && q.id != [16]byte{}
}

func releaseClaim(ctx context.Context, claim *dedupe.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimReleaseTimeout)
	defer cancel()
	claim.Release(ctx)
}

// fail answers a request that has no answer of a backend server.
func (g *Gateway) fail(w http.ResponseWriter, err error) {
	f := describe(err)
	g.metrics.count(f.outcome)
	if f.outcome == backend.Unknown {
		g.deps.Logger.Log("event", "request_unknown", "reason", f.reason, "request", w.Header().Get(backend.RequestIDHeader), "err", err)
	}
	h := w.Header()
	f.setHeaders(h)
	h.Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, f.body()) // the caller may be gone
}

// answer passes on an answer. A stream that is cut ends the connection, so
// that it never looks whole.
func (g *Gateway) answer(ctx context.Context, w http.ResponseWriter, q *request, resp *backend.Response) {
	h := w.Header()
	stripHopByHop(resp.Header)
	maps.Copy(h, resp.Header)
	h[backend.RequestIDHeader] = q.idValue[:]
	h[HeaderOutcome] = answeredValue
	delete(h, HeaderReason)
	if _, ok := h["Content-Length"]; !ok && resp.Complete && hasBody(q.in.Method, resp.Status) {
		h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	if !resp.Complete || len(resp.Body) > smallAnswer {
		// A caller that does not read must not hold a slot or a shutdown.
		_ = http.NewResponseController(w).SetWriteDeadline(q.deadline) // a test recorder has none
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

// hasBody reports whether an answer with this status has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
