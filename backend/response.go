package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// streamPartBytes is the size of a part of a streamed response, in bytes. A
// stream holds at most two parts.
const streamPartBytes = 32 << 10

// Response is the response to a request. If Complete, Body is the whole body.
// Otherwise Body is its beginning, Next returns the rest, and Close must be
// called.
type Response struct {
	Status   int
	Header   http.Header
	Length   int64 // content length, -1 for chunked encoding
	Body     []byte
	Complete bool

	x *exchange
}

// readBody delivers the body and ends the exchange. The slot is released before
// the caller receives a complete response.
func (x *exchange) readBody(c *conn, head *responseHeader) {
	resp := &x.resp
	*resp = Response{Status: head.status, Header: head.header, Length: head.length, x: x}
	data, complete, err := bufferBody(head.body, head.length, x.req.BufferBytes)
	if complete {
		err = x.checkBodyEnd(c, head)
	}
	if err != nil {
		x.header <- headerResult{err: x.unknownError(bodyErrorReason(c, err), err)}
		x.failBody(c, err)
		return
	}
	resp.Body = data
	resp.Complete = complete
	if complete {
		x.complete(c, !head.close)
		x.header <- headerResult{resp: resp}
		return
	}
	x.parts = make(chan bodyPart)
	x.header <- headerResult{resp: resp}
	x.stream(c, head)
}

// failBody ends an exchange whose body was not acceptable. If only further bytes
// followed the response, the server has finished the request and the slot is
// released at once.
func (x *exchange) failBody(c *conn, err error) {
	var overlong *OverlongError
	if errors.As(err, &overlong) {
		x.complete(c, false)
		return
	}
	x.releaseWhenStopped(c, err)
}

// OverlongError is the cause of an UnknownOutcomeError for a response that is followed
// by further bytes.
type OverlongError struct{ Bytes int }

func (e *OverlongError) Error() string { return "backend: further bytes follow the response" }

// checkBodyEnd reads the end of the body (last chunk and trailers) and checks
// that nothing follows.
func (x *exchange) checkBodyEnd(c *conn, head *responseHeader) error {
	if head.length < 0 {
		if _, err := io.Copy(io.Discard, head.body); err != nil {
			return err
		}
	}
	if n := c.br.Buffered(); n > 0 {
		return &OverlongError{Bytes: n}
	}
	return nil
}

func bodyErrorReason(c *conn, err error) Reason {
	var overlong *OverlongError
	switch {
	case errors.As(err, &overlong):
		return ReasonOverlong
	case c.sawEOF:
		return ReasonTruncated
	case isConnectionError(err):
		return ReasonClosed
	default:
		return ReasonProtocol
	}
}

// stream delivers the rest of the body to the caller in parts, and discards it
// once the caller no longer waits.
func (x *exchange) stream(c *conn, head *responseHeader) {
	var buffers [2][]byte
	for i := 0; ; i ^= 1 {
		if buffers[i] == nil {
			buffers[i] = make([]byte, streamPartBytes)
		}
		n, err := head.body.Read(buffers[i])
		if errors.Is(err, io.EOF) {
			x.finishStream(c, head, buffers[i][:n])
			return
		}
		if err != nil {
			x.deliver(bodyPart{err: x.unknownError(bodyErrorReason(c, err), err)})
			x.releaseWhenStopped(c, err)
			return
		}
		x.deliver(bodyPart{data: buffers[i][:n]})
	}
}

// finishStream checks the end of the body before it delivers the last bytes, so
// that an unacceptable response never looks complete to the caller.
func (x *exchange) finishStream(c *conn, head *responseHeader, last []byte) {
	err := x.checkBodyEnd(c, head)
	if err != nil {
		x.failBody(c, err)
		x.deliver(bodyPart{err: x.unknownError(bodyErrorReason(c, err), err)})
		return
	}
	select {
	case <-x.callerGone:
		x.complete(c, false)
		return
	default:
		x.complete(c, !head.close)
	}
	x.deliver(bodyPart{data: last})
	x.deliver(bodyPart{err: io.EOF})
}

// deliver passes a part to the caller, unless the caller no longer waits.
func (x *exchange) deliver(part bodyPart) {
	select {
	case x.parts <- part:
	case <-x.callerGone:
	}
}

// Next returns the next part of a streamed response, which is valid until the
// next call, and io.EOF after the last part. Other errors are *UnknownOutcomeError.
func (r *Response) Next(ctx context.Context) ([]byte, error) {
	if r.Complete {
		return nil, io.EOF
	}
	idleTimeout := r.x.req.Timeouts.Idle
	wait := r.x.limitToDeadline(time.Now(), idleTimeout)
	timer := r.x.pool.timer(wait)
	defer r.x.pool.stopTimer(timer)
	select {
	case part := <-r.x.parts:
		return part.data, part.err
	case <-ctx.Done():
		return nil, r.x.unknownError(cancelReason(ctx), ctx.Err())
	case <-timer.C:
		if wait < idleTimeout {
			return nil, r.x.unknownError(ReasonDeadline, nil)
		}
		return nil, r.x.unknownError(ReasonIdle, nil)
	}
}

// Close releases the response. The rest of a streamed body is discarded.
func (r *Response) Close() {
	if !r.Complete {
		close(r.x.callerGone)
	}
}

// awaitHeader waits for the result of the exchange's header on behalf of the
// caller, and gives up at the timeouts, the deadline or the end of ctx.
func (x *exchange) awaitHeader(ctx context.Context) (*Response, error) {
	t := x.req.Timeouts
	timer := x.pool.timer(x.limitToDeadline(x.started, min(t.Dial, t.FirstByte)))
	defer x.pool.stopTimer(timer)
	for {
		select {
		case h := <-x.header:
			return h.resp, h.err
		case <-ctx.Done():
			return nil, x.abandon(cancelReason(ctx), ctx.Err())
		case <-timer.C:
			now := time.Now()
			remaining, reason := x.remainingWait(now)
			if x.limitToDeadline(now, remaining) < remaining {
				remaining, reason = x.limitToDeadline(now, remaining), ReasonDeadline
			}
			if remaining <= 0 {
				if x.isSilent() {
					x.pool.CloseIdle(now) // they may be as silent
				}
				return nil, x.abandon(reason, nil)
			}
			timer.Reset(remaining)
		}
	}
}

// isSilent reports whether the request is on its way, and nothing has arrived on its connection since.
func (x *exchange) isSilent() bool {
	return x.writeStartedAt.Load() != 0 && x.conn.Load().lastReadAt.Load() == 0
}

// limitToDeadline returns d, or the time until the caller's deadline if that is
// shorter.
func (x *exchange) limitToDeadline(now time.Time, d time.Duration) time.Duration {
	if x.req.Deadline.IsZero() {
		return d
	}
	return min(d, x.req.Deadline.Sub(now))
}

// remainingWait returns how much longer to wait for the server, and the reason
// of the timeout that has passed if this is not positive.
func (x *exchange) remainingWait(now time.Time) (time.Duration, Reason) {
	writeStart := x.writeStartedAt.Load()
	if writeStart == 0 {
		return x.started.Add(x.req.Timeouts.Dial).Sub(now), ReasonDial
	}
	c := x.conn.Load()
	if lastRead := c.lastReadAt.Load(); lastRead != 0 {
		return time.Unix(0, lastRead).Add(x.req.Timeouts.Idle).Sub(now), ReasonIdle
	}
	if x.req.Streamed {
		writeEnd := x.writeEndedAt.Load()
		if writeEnd == 0 { // the caller is still sending the body
			return time.Unix(0, writeStart).Add(x.req.Timeouts.Request).Sub(now), ReasonFirstByte
		}
		writeStart = writeEnd
	}
	return time.Unix(0, writeStart).Add(x.req.Timeouts.FirstByte).Sub(now), ReasonFirstByte
}

// abandon gives up the exchange on behalf of the caller and returns its outcome.
func (x *exchange) abandon(reason Reason, cause error) error {
	close(x.callerGone)
	if x.stage.CompareAndSwap(stagePending, stageAbandoned) {
		return &NotRunError{Address: x.pool.address, Reason: reason, Cause: cause}
	}
	return x.unknownError(reason, cause)
}

func cancelReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}
