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
	FirstByte time.Duration // from the request's last byte to the answer's first byte
	Idle      time.Duration // longest silence inside an answer
	Request   time.Duration // after this the server has surely stopped working on a request
}

// Request is one request to a server.
type Request struct {
	HTTP        *http.Request // as for http.Request.Write; Body nil or whole in memory unless Streamed
	Streamed    bool          // the body is read from the caller while it is sent
	BufferBytes int64         // an answer up to this many bytes is returned whole
	Timeouts    Timeouts
	Gate        Gate      // asked right before the first byte; nil: always
	Deadline    time.Time // of the caller, for the whole answer; zero: none
}

// Gate tells whether a request may be sent.
type Gate interface {
	MaySend() bool
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
	wroteAt  atomic.Int64         // Unix nanoseconds of the end of a streamed request
	head     chan headResult      // one value
	resp     Response             // of the head result
	chunks   chan chunk           // of a body above BufferBytes
	quit     chan struct{}        // closed when the caller has left
	deadline time.Time            // the server has surely stopped
	streamed chan error           // result of a write that goes on; used by run only
	sendErr  error                // of the write; used by run only
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
// (its beginning, if it is longer than BufferBytes) is there, when it failed, or
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
	if x.req.Gate != nil && !x.req.Gate.MaySend() {
		x.pool.put(c)
		x.finishUnsent(&NotRunError{Address: x.pool.address, Reason: ReasonNotAllowed})
		return
	}
	x.reused = c.reused
	x.conn.Store(c)
	now := time.Now()
	x.deadline = now.Add(x.req.Timeouts.Request)
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
	if x.req.Streamed {
		x.streamed = make(chan error, 1)
		go func() {
			err := x.write(c)
			x.wroteAt.Store(time.Now().UnixNano())
			x.streamed <- err
		}()
	} else if x.sendErr = x.write(c); x.sendErr != nil && c.written.Load() == 0 {
		go x.pool.retire(c)
		x.finishUnsent(&NotRunError{Address: x.pool.address, Reason: ReasonWrite, Cause: x.sendErr})
		return
	}
	// After a failed write an answer may still be there: a server may refuse a
	// body early.
	head, err := x.readHead(c)
	if err != nil {
		x.fail(c, err)
		return
	}
	x.readBody(c, head)
}

// write writes the request.
func (x *exchange) write(c *conn) error {
	err := x.req.HTTP.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	if err == nil {
		return nil
	}
	c.bw.Reset(writerFunc(c.write))
	// The server must not wait for the rest of the request.
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.written.Load() > 0 {
		_ = half.CloseWrite() // the connection is not used again in any case
	}
	return err
}

// sent reports whether the request is written completely, and the error that
// ended the writing.
func (x *exchange) sent() (bool, error) {
	if x.streamed != nil {
		select {
		case x.sendErr = <-x.streamed:
			x.streamed = nil
		default:
			return false, nil
		}
	}
	return x.sendErr == nil, x.sendErr
}

// answerHead is the header of an answer, with its body still to be read.
type answerHead struct {
	status int
	header http.Header
	body   io.Reader // the connection's; there is nothing to close
	length int64     // -1 for chunked
	close  bool      // the server closes the connection after the body
}

// readHead reads the final answer's header.
func (x *exchange) readHead(c *conn) (*answerHead, error) {
	for {
		resp, err := http.ReadResponse(c.br, x.req.HTTP)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.headLeft = -1
			head := &answerHead{resp.StatusCode, resp.Header, resp.Body, resp.ContentLength, resp.Close}
			return head, x.checkHead(resp)
		}
		_ = resp.Body.Close() // an interim answer has none
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &UpgradeError{}
		}
	}
}

func (x *exchange) checkHead(resp *http.Response) error {
	want := x.req.HTTP.Header.Get(RequestIDHeader)
	if got := resp.Header.Get(RequestIDHeader); got != "" && want != "" && got != want {
		return &RequestIDMismatchError{Want: want, Got: got}
	}
	if resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &UndelimitedError{}
	}
	return nil
}

// fail reports an exchange without an answer and waits until the server has
// surely stopped.
func (x *exchange) fail(c *conn, err error) {
	x.head <- headResult{err: x.unknown(x.headReason(c, err), err)}
	x.settle(c, err)
}

func (x *exchange) headReason(c *conn, err error) Reason {
	var wrong *RequestIDMismatchError
	switch {
	case errors.As(err, &wrong):
		return ReasonRequestIDMismatch
	case c.readAt.Load() == 0:
		if _, sendErr := x.sent(); sendErr != nil {
			return ReasonRequestBody
		}
		return ReasonClosed
	case c.sawEOF:
		return ReasonTruncated
	default:
		return ReasonProtocol
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

// finish ends a whole exchange. A server that answered before it had the
// whole request may still find its rest on the connection.
func (x *exchange) finish(c *conn, reusable bool) {
	if sent, _ := x.sent(); sent && reusable {
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
