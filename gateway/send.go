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

// maxUnbudgetedPicks is the maximum number of servers that are tried, without
// using the retry budget, for a request that none of them ran.
const maxUnbudgetedPicks = 3

// send sends a request to a server of this host, or to a peer if this host can't
// admit it at once, and retries it where that is safe and the retry budget
// allows it.
func (g *Gateway) send(ctx context.Context, q *request) (*backend.Response, error) {
	if !q.forwarded {
		q.service.recordRequest()
	}
	var earlier error // of an earlier exchange
	ticket, ok := q.service.tryAdmit(q.caller)
	if !ok {
		resp, err, sent := g.sendToPeers(ctx, q)
		if sent && (err == nil || !g.mayUseOwnServers(ctx, q, err)) {
			return resp, err
		}
		earlier = err
		ticket, err = q.service.admit(ctx, q.caller, q.deadline)
		if err != nil {
			return nil, lessCertain(earlier, err)
		}
	}
	return g.sendToOwnServers(ctx, q, ticket, earlier)
}

// sendToOwnServers sends an admitted request to servers of this host. earlier is
// the error of an earlier exchange, if any.
func (g *Gateway) sendToOwnServers(ctx context.Context, q *request, ticket *route.Ticket, earlier error) (*backend.Response, error) {
	var avoid fleet.ServerID
	for attempts := 1; ; attempts++ {
		resp, server, err := g.tryOwnServer(ctx, q, ticket, avoid)
		if err == nil {
			return resp, nil
		}
		err = lessCertain(earlier, err)
		if !g.mayPickAnother(ctx, q, err, attempts) && !g.mayRetry(ctx, q, err) {
			return nil, err
		}
		earlier = err
		avoid = server
		ticket, err = q.service.admit(ctx, q.caller, q.deadline)
		if err != nil {
			return nil, lessCertain(earlier, err)
		}
	}
}

// mayUseOwnServers reports whether a request that failed at a peer may be sent
// to servers of this host. If the peer did not run it, this uses no retry budget.
func (g *Gateway) mayUseOwnServers(ctx context.Context, q *request, err error) bool {
	if q.forwarded || ctx.Err() != nil || q.streamed() {
		return false
	}
	return failureOf(err).outcome == backend.NotRun || g.mayRetry(ctx, q, err)
}

// lessCertain returns the error to report after two attempts. If the earlier
// exchange may have run, its unknown outcome also holds after a later one that
// did not run.
func lessCertain(earlier, later error) error {
	if earlier != nil && failureOf(earlier).outcome == backend.Unknown && failureOf(later).outcome == backend.NotRun {
		return earlier
	}
	return later
}

// tryOwnServer runs one exchange with a server of this host other than avoid. It
// returns the ID of the server also if the exchange fails, and no ID if no server
// could be picked.
func (g *Gateway) tryOwnServer(ctx context.Context, q *request, t *route.Ticket, avoid fleet.ServerID) (*backend.Response, fleet.ServerID, error) {
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
	a.recordResult(time.Since(started), resp, err)
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

// mayPickAnother reports whether the request may be sent to another server
// without using the retry budget, because it was not run. This is limited to
// maxUnbudgetedPicks servers.
func (g *Gateway) mayPickAnother(ctx context.Context, q *request, err error, attempts int) bool {
	var notRun *backend.NotRunError
	return attempts < maxUnbudgetedPicks && errors.As(err, &notRun) && ctx.Err() == nil &&
		time.Now().Before(q.deadline) && retryable(q, err)
}

// mayRetry reports whether the request may be sent to another server after err,
// and takes the retry from the budget.
func (g *Gateway) mayRetry(ctx context.Context, q *request, err error) bool {
	if ctx.Err() != nil || !time.Now().Before(q.deadline) || !retryable(q, err) || !q.service.takeRetry() {
		return false
	}
	g.metrics.retries.Add(1)
	return true
}

// retryable reports whether the request may be sent again after err: it was not
// run, or it is idempotent, and its body is still available.
func retryable(q *request, err error) bool {
	var notRun *backend.NotRunError
	if errors.As(err, &notRun) {
		// Part of a streamed body may have been consumed once writing started.
		return !q.streamed() || notRun.Reason != backend.ReasonWrite
	}
	var unknown *backend.UnknownOutcomeError
	return errors.As(err, &unknown) && q.idempotent && !q.streamed()
}
