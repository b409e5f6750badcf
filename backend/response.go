package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// streamChunk is the size in bytes of a part of a streamed answer. A stream
// holds at most two of them.
const streamChunk = 32 << 10

// Response is an answer. Body holds all of it if Complete; else it is the
// beginning, Next gives the rest, and Close must be called.
type Response struct {
	Status   int
	Header   http.Header
	Length   int64 // announced, -1 for chunked
	Body     []byte
	Complete bool

	x *exchange
}

// readBody delivers the body and finishes the exchange. A whole answer frees
// the slot before the caller learns of it.
func (x *exchange) readBody(c *conn, head *answerHead) {
	resp := &x.resp
	*resp = Response{Status: head.status, Header: head.header, Length: head.length, x: x}
	data, whole, err := wholeBody(head.body, head.length, x.req.BufferBytes)
	if whole {
		err = x.checkEnd(c, head)
	}
	if err != nil {
		x.head <- headResult{err: x.unknown(bodyReason(c, err), err)}
		x.endBody(c, err)
		return
	}
	resp.Body = data
	resp.Complete = whole
	if whole {
		x.finish(c, !head.close)
		x.head <- headResult{resp: resp}
		return
	}
	x.chunks = make(chan chunk)
	x.head <- headResult{resp: resp}
	x.stream(c, head)
}

// endBody ends an exchange whose body was not acceptable. After an overlong
// body the server has answered and is done.
func (x *exchange) endBody(c *conn, err error) {
	var overlong *OverlongError
	if errors.As(err, &overlong) {
		x.finish(c, false)
		return
	}
	x.settle(c, err)
}

// OverlongError is the cause of an UnknownError for an answer that is
// followed by further bytes.
type OverlongError struct{ Bytes int }

func (e *OverlongError) Error() string { return "backend: bytes follow the answer" }

// checkEnd consumes what ends the body (the last chunk, trailers) and checks
// that nothing follows.
func (x *exchange) checkEnd(c *conn, head *answerHead) error {
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

func bodyReason(c *conn, err error) Reason {
	var overlong *OverlongError
	switch {
	case errors.As(err, &overlong):
		return ReasonOverlong
	case c.sawEOF:
		return ReasonTruncated
	case broken(err):
		return ReasonClosed
	default:
		return ReasonProtocol
	}
}

// stream hands the rest of the body to the caller in parts, and discards it
// once the caller has left.
func (x *exchange) stream(c *conn, head *answerHead) {
	var buffers [2][]byte
	for i := 0; ; i ^= 1 {
		if buffers[i] == nil {
			buffers[i] = make([]byte, streamChunk)
		}
		n, err := head.body.Read(buffers[i])
		if errors.Is(err, io.EOF) {
			x.endStream(c, head, buffers[i][:n])
			return
		}
		if err != nil {
			x.deliver(chunk{err: x.unknown(bodyReason(c, err), err)})
			x.settle(c, err)
			return
		}
		x.deliver(chunk{data: buffers[i][:n]})
	}
}

// endStream checks the end before the last bytes are handed over, so that an
// answer that is not acceptable never looks whole.
func (x *exchange) endStream(c *conn, head *answerHead, last []byte) {
	err := x.checkEnd(c, head)
	if err != nil {
		x.endBody(c, err)
		x.deliver(chunk{err: x.unknown(bodyReason(c, err), err)})
		return
	}
	select {
	case <-x.quit:
		x.finish(c, false)
		return
	default:
		x.finish(c, !head.close)
	}
	x.deliver(chunk{data: last})
	x.deliver(chunk{err: io.EOF})
}

func (x *exchange) deliver(k chunk) {
	select {
	case x.chunks <- k:
	case <-x.quit:
	}
}

// Next returns the next part of a streamed answer, valid until the next call,
// and io.EOF after the last. Other errors are *UnknownError.
func (r *Response) Next(ctx context.Context) ([]byte, error) {
	if r.Complete {
		return nil, io.EOF
	}
	idle := r.x.req.Timeouts.Idle
	wait := r.x.clip(time.Now(), idle)
	timer := r.x.pool.timer(wait)
	defer r.x.pool.stopTimer(timer)
	select {
	case k := <-r.x.chunks:
		return k.data, k.err
	case <-ctx.Done():
		return nil, r.x.unknown(cancelReason(ctx), ctx.Err())
	case <-timer.C:
		if wait < idle {
			return nil, r.x.unknown(ReasonDeadline, nil)
		}
		return nil, r.x.unknown(ReasonIdle, nil)
	}
}

// Close lets go of the answer. What is left of a stream is discarded.
func (r *Response) Close() {
	if !r.Complete {
		close(r.x.quit)
	}
}

// await waits for the exchange's header on behalf of the caller.
func (x *exchange) await(ctx context.Context) (*Response, error) {
	t := x.req.Timeouts
	timer := x.pool.timer(x.clip(x.started, min(t.Dial, t.FirstByte)))
	defer x.pool.stopTimer(timer)
	for {
		select {
		case h := <-x.head:
			return h.resp, h.err
		case <-ctx.Done():
			return nil, x.abandon(cancelReason(ctx), ctx.Err())
		case <-timer.C:
			now := time.Now()
			left, reason := x.patience(now)
			if x.clip(now, left) < left {
				left, reason = x.clip(now, left), ReasonDeadline
			}
			if left <= 0 {
				return nil, x.abandon(reason, nil)
			}
			timer.Reset(left)
		}
	}
}

// clip returns d, or the time left until the caller's deadline if that is
// less.
func (x *exchange) clip(now time.Time, d time.Duration) time.Duration {
	if x.req.Deadline.IsZero() {
		return d
	}
	return min(d, x.req.Deadline.Sub(now))
}

// patience returns how much longer to wait for the server, and what it failed
// to do if that is not above 0.
func (x *exchange) patience(now time.Time) (time.Duration, Reason) {
	sent := x.sentAt.Load()
	if sent == 0 {
		return x.started.Add(x.req.Timeouts.Dial).Sub(now), ReasonDial
	}
	c := x.conn.Load()
	if read := c.readAt.Load(); read != 0 {
		return time.Unix(0, read).Add(x.req.Timeouts.Idle).Sub(now), ReasonIdle
	}
	if x.req.Streamed {
		wrote := x.wroteAt.Load()
		if wrote == 0 { // the caller still sends
			return time.Unix(0, sent).Add(x.req.Timeouts.Request).Sub(now), ReasonFirstByte
		}
		sent = wrote
	}
	return time.Unix(0, sent).Add(x.req.Timeouts.FirstByte).Sub(now), ReasonFirstByte
}

// abandon gives the exchange up for the caller.
func (x *exchange) abandon(reason Reason, cause error) error {
	close(x.quit)
	if x.stage.CompareAndSwap(stagePending, stageAbandoned) {
		return &NotRunError{Address: x.pool.address, Reason: reason, Cause: cause}
	}
	return x.unknown(reason, cause)
}

func cancelReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}
