package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// RequestIDHeader names a request towards the backend server. An answer that
// carries it must carry the same value.
const RequestIDHeader = "X-Request-Id"

// Timeouts bound an exchange.
type Timeouts struct {
	Dial      time.Duration
	FirstByte time.Duration // from the request's first byte to the answer's first byte
	Idle      time.Duration // longest silence inside an answer
	Longest   time.Duration // after this the server has surely stopped working on a request
}

// Request is one request to a server.
type Request struct {
	HTTP     *http.Request // as for http.Request.Write; Body nil or whole in memory unless Streamed
	Streamed bool          // the body is read from the caller while it is sent
	Buffer   int64         // an answer up to this many bytes is returned whole
	Timeouts Timeouts
	Allow    func() bool // asked right before the first byte; nil: always
}

// Stages of an exchange. The step from pending is taken once, either by the
// exchange (its next act is to write) or by the caller (nothing will ever be
// written), so that "not run" is exact.
const (
	stagePending int32 = iota
	stageWriting
	stageAbandoned
)

type exchange struct {
	slot     *Slot
	pool     *Pool
	req      Request
	started  time.Time
	stage    atomic.Int32
	conn     atomic.Pointer[conn] // set before stageWriting
	reused   bool                 // set before conn
	sentAt   atomic.Int64         // Unix nanoseconds
	head     chan headResult      // one value
	chunks   chan chunk           // of a body above Buffer
	quit     chan struct{}        // closed when the caller has left
	deadline time.Time            // the server has surely stopped
}

type headResult struct {
	resp *Response
	err  error
}

type chunk struct {
	data []byte
	err  error // io.EOF after the last byte
}

// Do performs one exchange and consumes the slot. It returns when the answer
// (its beginning, if it is longer than Buffer) is there, when it failed, or
// when ctx ends; the slot stays taken until the server has surely stopped.
// The request is written at most once. Errors are *NotRunError and
// *UnknownError.
func (s *Slot) Do(ctx context.Context, req Request) (*Response, error) {
	x := &exchange{
		slot:    s,
		pool:    s.pool,
		req:     req,
		started: time.Now(),
		head:    make(chan headResult, 1),
		quit:    make(chan struct{}),
	}
	go x.run(ctx)
	return x.await(ctx)
}

// run is the exchange itself. It outlives a caller that gives up, because it
// holds the slot.
func (x *exchange) run(ctx context.Context) {
	c, notRun := x.pool.connection(ctx, x.req.Timeouts.Dial)
	if notRun != nil {
		x.finishUnsent(notRun)
		return
	}
	if x.req.Allow != nil && !x.req.Allow() {
		x.pool.put(c)
		x.finishUnsent(&NotRunError{Address: x.pool.address, Reason: ReasonNotAllowed})
		return
	}
	x.reused = c.reused
	x.conn.Store(c)
	now := time.Now()
	x.deadline = now.Add(x.req.Timeouts.Longest)
	if err := c.begin(x.deadline); err != nil {
		go x.pool.retire(c)
		x.finishUnsent(&NotRunError{Address: x.pool.address, Reason: ReasonWrite, Cause: err})
		return
	}
	x.sentAt.Store(now.UnixNano())
	if !x.stage.CompareAndSwap(stagePending, stageWriting) {
		x.pool.put(c)
		x.slot.Release()
		return
	}
	x.transfer(c)
}

func (x *exchange) finishUnsent(err *NotRunError) {
	x.slot.Release()
	x.head <- headResult{err: err}
}

// transfer writes the request and reads the answer.
func (x *exchange) transfer(c *conn) {
	sent := x.send(c)
	if !x.req.Streamed {
		if err := <-sent; err != nil && c.written.Load() == 0 {
			go x.pool.retire(c)
			x.finishUnsent(&NotRunError{Address: x.pool.address, Reason: ReasonWrite, Cause: err})
			return
		}
	}
	// After a failed write an answer may still be there: a server may refuse a
	// body early.
	resp, err := x.readHead(c)
	if err != nil {
		x.fail(c, sent, err)
		return
	}
	x.readBody(c, sent, resp)
}

// send writes the request. The channel yields the result once, and is closed.
func (x *exchange) send(c *conn) <-chan error {
	done := make(chan error, 1)
	write := func() {
		defer close(done)
		err := x.req.HTTP.Write(c.bw)
		if err == nil {
			err = c.bw.Flush()
		}
		if err != nil {
			c.bw.Reset(writerFunc(c.write))
			// The server must not wait for the rest of the request.
			if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.written.Load() > 0 {
				_ = half.CloseWrite() // the connection is not used again in any case
			}
			done <- err
		}
	}
	if x.req.Streamed {
		go write()
		return done
	}
	write()
	return done
}

// readHead reads the final answer's header.
func (x *exchange) readHead(c *conn) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, x.req.HTTP)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &UpgradeError{}
		}
		if resp.StatusCode >= http.StatusOK {
			c.headLeft = -1
			return resp, x.checkHead(resp)
		}
	}
}

func (x *exchange) checkHead(resp *http.Response) error {
	want := x.req.HTTP.Header.Get(RequestIDHeader)
	if got := resp.Header.Get(RequestIDHeader); got != "" && want != "" && got != want {
		return &WrongRequestError{Want: want, Got: got}
	}
	if resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &UndelimitedError{}
	}
	return nil
}

// fail reports an exchange without an answer and waits until the server has
// surely stopped.
func (x *exchange) fail(c *conn, sent <-chan error, err error) {
	x.head <- headResult{err: x.unknown(headReason(c, sent, err), err)}
	x.settle(c, err)
}

func headReason(c *conn, sent <-chan error, err error) Reason {
	var wrong *WrongRequestError
	switch {
	case errors.As(err, &wrong):
		return ReasonWrongAnswer
	case c.readAt.Load() == 0 && writeFailed(sent):
		return ReasonRequestBody
	case c.readAt.Load() == 0:
		return ReasonClosed
	case c.sawEOF:
		return ReasonCut
	default:
		return ReasonProtocol
	}
}

func writeFailed(sent <-chan error) bool {
	select {
	case err := <-sent:
		return err != nil
	default:
		return false
	}
}

func (x *exchange) unknown(reason Reason, cause error) *UnknownError {
	return &UnknownError{Address: x.pool.address, Reason: reason, Reused: x.reused, Cause: cause}
}

// settle ends a failed exchange: the slot becomes free once the server closed
// the connection or its longest request time has passed. A reset proves
// nothing, since something between the two ends may have sent it.
func (x *exchange) settle(c *conn, err error) {
	if !c.sawEOF && !broken(err) {
		err = c.discard()
	}
	closed := c.sawEOF
	go x.pool.retire(c)
	if closed {
		x.slot.Release()
		return
	}
	if wait := time.Until(x.deadline); wait > 0 && err != nil {
		time.AfterFunc(wait, x.slot.Release)
		return
	}
	x.slot.Release()
}

// broken reports whether the connection itself failed.
func broken(err error) bool {
	var netErr *net.OpError
	return errors.As(err, &netErr)
}

// finish ends a whole exchange.
func (x *exchange) finish(c *conn, sent <-chan error, reusable bool) {
	select {
	case err := <-sent:
		reusable = reusable && err == nil
	default:
		reusable = false // the server answered before it had the whole request
	}
	if reusable {
		x.pool.put(c)
	} else {
		go x.pool.retire(c)
	}
	x.slot.Release()
}

// wholeBody reads up to limit bytes and reports whether the body ended there.
func wholeBody(body io.Reader, length, limit int64) ([]byte, bool, error) {
	if length == 0 || body == http.NoBody {
		return nil, true, nil
	}
	if length > 0 && length <= limit {
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err == nil, err
	}
	data, err := io.ReadAll(io.LimitReader(body, limit))
	return data, err == nil && int64(len(data)) < limit, err
}
