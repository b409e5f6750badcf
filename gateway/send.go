package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/route"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

// freePicks is how many servers may be chosen for a request that none of them
// ran.
const freePicks = 3

// send runs a request on an own server, or through a peer when the own ones
// are full, and retries it as far as that is safe and within the budget.
func (g *Gateway) send(ctx context.Context, q *request) (*backend.Response, error) {
	if !q.forwarded {
		q.service.begin()
	}
	var earlier error // of an exchange that may have run
	ticket, ok := q.service.tryAdmit(q.caller)
	if !ok {
		resp, err, asked := g.sendElsewhere(ctx, q)
		if asked && (err == nil || !g.mayServeHere(ctx, q, err)) {
			return resp, err
		}
		earlier = err
		ticket, err = q.service.admit(ctx, q.caller, q.deadline)
		if err != nil {
			return nil, worse(earlier, err)
		}
	}
	return g.sendHere(ctx, q, ticket, earlier)
}

// sendHere runs a request that has a ticket on own servers.
func (g *Gateway) sendHere(ctx context.Context, q *request, ticket *route.Ticket, earlier error) (*backend.Response, error) {
	var avoid fleet.ServerID
	for tried := 1; ; tried++ {
		resp, server, err := g.try(ctx, q, ticket, avoid)
		if err == nil {
			return resp, nil
		}
		err = worse(earlier, err)
		if !g.mayPickAgain(ctx, q, err, tried) && !g.mayRetry(ctx, q, err) {
			return nil, err
		}
		earlier = err
		avoid = server
		ticket, err = q.service.admit(ctx, q.caller, q.deadline)
		if err != nil {
			return nil, worse(earlier, err)
		}
	}
}

// mayServeHere reports whether a request that failed at a peer may be served
// by own servers. One that was not run there costs no retry.
func (g *Gateway) mayServeHere(ctx context.Context, q *request, err error) bool {
	if q.forwarded || ctx.Err() != nil || q.streamed() {
		return false
	}
	return describe(err).outcome == backend.NotRun || g.mayRetry(ctx, q, err)
}

// worse returns the error that tells more of what may have happened: once an
// exchange may have run, a later one that did not run changes nothing.
func worse(earlier, later error) error {
	if earlier != nil && describe(earlier).outcome == backend.Unknown && describe(later).outcome == backend.NotRun {
		return earlier
	}
	return later
}

// try runs one exchange with an own server other than avoid.
func (g *Gateway) try(ctx context.Context, q *request, t *route.Ticket, avoid fleet.ServerID) (*backend.Response, fleet.ServerID, error) {
	a, err := q.service.pick(t, avoid, g)
	if err != nil {
		return nil, "", err
	}
	v := a.server.values.Load()
	started := time.Now()
	resp, err := a.slot.Do(ctx, backend.Request{
		HTTP:        q.outgoing(a.server.address),
		Streamed:    q.streamed(),
		BufferBytes: v.BufferBytes,
		Timeouts:    timeouts(v),
		Gate:        a,
		Deadline:    q.deadline,
	})
	a.report(time.Since(started), resp, err)
	return resp, a.target.ID(), err
}

func timeouts(v *settings.Resolved) backend.Timeouts {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return backend.Timeouts{
		Dial:      ms(v.DialTimeoutMS),
		FirstByte: ms(v.FirstByteTimeoutMS),
		Idle:      ms(v.IdleTimeoutMS),
		Request:   ms(v.RequestTimeoutMS),
	}
}

// mayPickAgain reports whether the request may go to another server because
// it was not run. Few such choices cost no retry.
func (g *Gateway) mayPickAgain(ctx context.Context, q *request, err error, tried int) bool {
	var notRun *backend.NotRunError
	return tried < freePicks && errors.As(err, &notRun) && ctx.Err() == nil &&
		time.Now().Before(q.deadline) && retryable(q, err)
}

// mayRetry reports whether the request may go to another server after err.
func (g *Gateway) mayRetry(ctx context.Context, q *request, err error) bool {
	if ctx.Err() != nil || !time.Now().Before(q.deadline) || !retryable(q, err) || !q.service.retry() {
		return false
	}
	g.metrics.retries.Add(1)
	return true
}

// retryable reports whether running the request after err can't run it twice
// against the caller's will.
func retryable(q *request, err error) bool {
	var notRun *backend.NotRunError
	if errors.As(err, &notRun) {
		// A body that was streamed may be used up once writing began.
		return !q.streamed() || notRun.Reason != backend.ReasonWrite
	}
	var unknown *backend.UnknownError
	return errors.As(err, &unknown) && q.idempotent && !q.streamed()
}
