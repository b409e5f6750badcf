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

// RequestIDHeader identifies a request to the backend server. A response that
// has this header must repeat the value of the request.
const RequestIDHeader = "X-Request-Id"

// Timeouts limit the stages of an exchange.
type Timeouts struct {
	Dial      time.Duration
	FirstByte time.Duration // from the last byte of the request to the first byte of the response
	Idle      time.Duration // between two reads of a response
	Request   time.Duration // the server has stopped working on a request after this time
}

// Request is a request to a backend server.
type Request struct {
	HTTP        *http.Request // passed to http.Request.Write; unless Streamed, Body is nil or held in memory
	Streamed    bool          // the body is read from the caller while it is being sent
	BufferBytes int64         // a body of up to this size is returned complete, a longer one in parts
	Timeouts    Timeouts
	Gate        Gate      // checked right before the first byte is written; nil to send always
	Deadline    time.Time // of the caller, for the complete response; zero for none
}

// Gate decides whether a request may be sent.
type Gate interface {
	MaySend() bool
}

// Stages of an exchange. The transition from stagePending happens once: either
// the exchange moves to stageWriting and writes the request next, or the caller
// moves to stageAbandoned and no byte is ever written. Outcome NotRun is
// therefore exact.
const (
	stagePending int32 = iota
	stageWriting
	stageAbandoned
)

// exchange is one request and its response. Its fields are shared by the
// goroutine that performs it (run) and the caller that waits for it.
type exchange struct {
	slot           *Slot
	pool           *Pool
	req            Request
	started        time.Time
	stage          atomic.Int32
	conn           atomic.Pointer[conn] // set before stage becomes stageWriting
	reused         bool                 // set before conn
	writeStartedAt atomic.Int64         // Unix nanoseconds; 0 before the start
	writeEndedAt   atomic.Int64         // end of writing a streamed request, Unix nanoseconds; 0 before
	header         chan headerResult    // one value
	resp           Response             // that header refers to
	parts          chan bodyPart        // of a body longer than BufferBytes
	callerGone     chan struct{}        // closed when the caller no longer waits for the response
	serverDeadline time.Time            // the server has stopped working on the request by then
	writeResult    chan error           // of a streamed write in progress; nil once received; used by run only
	writeErr       error                // of writing the request; used by run only
}

// headerResult is the response once its header has arrived, or the error.
type headerResult struct {
	resp *Response
	err  error
}

// bodyPart is the next part of a streamed body, or its end.
type bodyPart struct {
	data []byte
	err  error // io.EOF after the last byte
}

// Do performs one exchange and consumes the slot. It returns when the response
// has arrived (only its beginning if it is longer than BufferBytes), when the
// exchange fails, or when ctx ends. The slot stays in use until the server has
// stopped working on the request. The request is written at most once. Errors
// are *NotRunError and *UnknownOutcomeError.
func (s *Slot) Do(ctx context.Context, req Request) (*Response, error) {
	x := &exchange{
		slot:       s,
		pool:       s.pool,
		req:        req,
		started:    time.Now(),
		header:     make(chan headerResult, 1),
		callerGone: make(chan struct{}),
	}
	go x.run(ctx)
	return x.awaitHeader(ctx)
}

// run performs the exchange. It continues after the caller has given up,
// because it holds the slot.
func (x *exchange) run(ctx context.Context) {
	c, notRun := x.pool.acquireConn(ctx, x.req.Timeouts.Dial)
	if notRun != nil {
		x.failNotRun(notRun)
		return
	}
	if x.req.Gate != nil && !x.req.Gate.MaySend() {
		x.pool.putIdle(c)
		x.failNotRun(&NotRunError{Address: x.pool.address, Reason: ReasonNotAllowed})
		return
	}
	x.reused = c.reused
	x.conn.Store(c)
	now := time.Now()
	x.serverDeadline = now.Add(x.req.Timeouts.Request)
	if err := c.prepare(x.serverDeadline); err != nil {
		go x.pool.retire(c)
		x.failNotRun(&NotRunError{Address: x.pool.address, Reason: ReasonWrite, Cause: err})
		return
	}
	x.writeStartedAt.Store(now.UnixNano())
	if !x.stage.CompareAndSwap(stagePending, stageWriting) {
		x.pool.putIdle(c)
		x.slot.Release()
		return
	}
	x.transfer(c)
}

// failNotRun ends an exchange of which no byte was written.
func (x *exchange) failNotRun(err *NotRunError) {
	x.slot.Release()
	x.header <- headerResult{err: err}
}

// transfer writes the request and reads the response.
func (x *exchange) transfer(c *conn) {
	if x.req.Streamed {
		x.writeResult = make(chan error, 1)
		go func() {
			err := x.write(c)
			x.writeEndedAt.Store(time.Now().UnixNano())
			x.writeResult <- err
		}()
	} else if x.writeErr = x.write(c); x.writeErr != nil && c.bytesWritten.Load() == 0 {
		go x.pool.retire(c)
		x.failNotRun(&NotRunError{Address: x.pool.address, Reason: ReasonWrite, Cause: x.writeErr})
		return
	}
	// A response may arrive although writing failed: a server may reject a
	// request before it has read the whole body.
	head, err := x.readHeader(c)
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
	// Half-close, so that the server does not wait for the rest of the request.
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.bytesWritten.Load() > 0 {
		_ = halfCloser.CloseWrite() // the connection is not reused in any case
	}
	return err
}

// writeState reports whether the request has been written completely, and the
// error if writing failed.
func (x *exchange) writeState() (bool, error) {
	if x.writeResult != nil {
		select {
		case x.writeErr = <-x.writeResult:
			x.writeResult = nil
		default:
			return false, nil
		}
	}
	return x.writeErr == nil, x.writeErr
}

// responseHeader is the header of a response whose body has not been read yet.
type responseHeader struct {
	status int
	header http.Header
	body   io.Reader // reads from the connection; needs no Close
	length int64     // -1 for chunked
	close  bool      // the server closes the connection after the body
}

// readHeader reads the header of the final response and skips interim ones.
func (x *exchange) readHeader(c *conn) (*responseHeader, error) {
	for {
		resp, err := http.ReadResponse(c.br, x.req.HTTP)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.headerBytesLeft = -1
			head := &responseHeader{resp.StatusCode, resp.Header, resp.Body, resp.ContentLength, resp.Close}
			return head, x.checkHeader(resp)
		}
		_ = resp.Body.Close() // an interim response has no body
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &UpgradeError{}
		}
	}
}

func (x *exchange) checkHeader(resp *http.Response) error {
	want := x.req.HTTP.Header.Get(RequestIDHeader)
	if got := resp.Header.Get(RequestIDHeader); got != "" && want != "" && got != want {
		return &RequestIDMismatchError{Want: want, Got: got}
	}
	if resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &UndelimitedError{}
	}
	return nil
}

// fail reports an exchange without a valid response header and holds the slot
// until the server has stopped working on the request.
func (x *exchange) fail(c *conn, err error) {
	x.header <- headerResult{err: x.unknownError(x.headerErrorReason(c, err), err)}
	x.releaseWhenStopped(c, err)
}

func (x *exchange) headerErrorReason(c *conn, err error) Reason {
	var wrong *RequestIDMismatchError
	switch {
	case errors.As(err, &wrong):
		return ReasonRequestIDMismatch
	case c.lastReadAt.Load() == 0:
		if _, sendErr := x.writeState(); sendErr != nil {
			return ReasonRequestBody
		}
		return ReasonClosed
	case c.sawEOF:
		return ReasonTruncated
	default:
		return ReasonProtocol
	}
}

func (x *exchange) unknownError(reason Reason, cause error) *UnknownOutcomeError {
	return &UnknownOutcomeError{Address: x.pool.address, Reason: reason, Reused: x.reused, Cause: cause}
}

// releaseWhenStopped ends a failed exchange. It releases the slot once the
// server has closed the connection or Timeouts.Request has passed. A reset does
// not show that the server has stopped, since a middlebox may have sent it.
func (x *exchange) releaseWhenStopped(c *conn, err error) {
	if !c.sawEOF && !isConnectionError(err) {
		err = c.discard()
	}
	closed := c.sawEOF
	go x.pool.retire(c)
	if closed {
		x.slot.Release()
		return
	}
	if wait := time.Until(x.serverDeadline); wait > 0 && err != nil {
		time.AfterFunc(wait, x.slot.Release)
		return
	}
	x.slot.Release()
}

// isConnectionError reports whether err is a failure of the connection itself.
func isConnectionError(err error) bool {
	var netErr *net.OpError
	return errors.As(err, &netErr)
}

// complete ends an exchange whose response was complete. If the server
// responded before the request was written completely, the connection is not
// reused, as the server may still read the rest of that request from it.
func (x *exchange) complete(c *conn, reusable bool) {
	if sent, _ := x.writeState(); sent && reusable {
		x.pool.putIdle(c)
	} else {
		go x.pool.retire(c)
	}
	x.slot.Release()
}

// bufferBody reads up to limit bytes of the body and reports whether it reached
// the end.
func bufferBody(body io.Reader, length, limit int64) ([]byte, bool, error) {
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
