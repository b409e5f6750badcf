package netguard

import (
	"bytes"
	"errors"
	"io"
	"iter"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiahill/fuchsiahill/admission"
)

const (
	// firstSegmentBytes holds most bodies and is covered by the memory of a connection.
	firstSegmentBytes = 4 << 10
	segmentBytes      = 16 << 10
	freeDecodeBytes   = 16 << 10
	// maxJoins bounds the bodies that are copied into one piece and decoded at a time.
	maxJoins = 2
)

// TooLargeError reports a body above its limit.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string { return "body too large" }

// segments are reused, as a crowd would otherwise keep the collector at work.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

var joins = make(chan struct{}, maxJoins)

// body is a request body that arrives.
type body struct {
	conn     *Conn // nil: not guarded
	first    []byte
	rest     []*[segmentBytes]byte
	used     int // of the last segment of rest
	total    int64
	deadline time.Time // by which it must be there; zero: none
	ended    bool      // it has been read to its end
}

// Decode reads a request's body of at most limit bytes and calls decode with it.
// cost returns an upper bound of the memory that decode takes for a body in parts;
// freeDecodeBytes of it are covered by the memory of a connection. The bytes of the body
// are freed when decode returns, and those that it took when the request ends.
//
// Errors are *TooLargeError, *ShedError, those of the connection and those of decode.
// In all cases but the last, decode was not called.
func Decode(req *http.Request, limit int64, cost func(parts iter.Seq[[]byte]) int64, decode func(body []byte) error) error {
	b := body{conn: connOf(req)}
	defer b.free()
	if err := b.read(req, limit); err != nil {
		return err
	}
	if !b.ended {
		return b.tooLarge(limit)
	}
	if c := b.conn; c != nil {
		if err := c.guard.draw(c, max(0, cost(b.parts())-freeDecodeBytes)); err != nil {
			return err
		}
		if !c.enter(admission.PhaseServing) {
			return &ShedError{c.reason()}
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return err
		}
	}
	// From here on the connection is not given up, so that nobody waits in vain for
	// what it holds while it waits for a join.
	if len(b.rest) > 0 {
		joins <- struct{}{}
		defer func() { <-joins }()
	}
	data := b.join()
	return decode(data)
}

// Buffer is the beginning of a request body, or all of it.
type Buffer struct{ body body }

// ReadBuffer reads a request's body up to its end or until more than limit bytes have arrived,
// by a deadline unless that is zero. What it holds is drawn from the budget until the request
// ends. Errors are *ShedError and those of the connection.
func ReadBuffer(req *http.Request, limit int64, deadline time.Time) (*Buffer, error) {
	b := &Buffer{body{conn: connOf(req), deadline: deadline}}
	err := b.body.read(req, limit)
	if c := b.body.conn; err == nil && c != nil {
		if b.body.ended {
			deadline = time.Time{} // net/http reads beside the handler
		}
		if !c.enter(admission.PhaseServing) {
			err = &ShedError{c.reason()}
		} else {
			err = c.SetReadDeadline(deadline)
		}
	}
	if err != nil {
		b.body.free()
		return nil, err
	}
	return b, nil
}

// Len returns the number of bytes that were read.
func (b *Buffer) Len() int64 { return b.body.total }

// Ended reports whether that is the whole body.
func (b *Buffer) Ended() bool { return b.body.ended }

// Reader returns a new reader of what was read.
func (b *Buffer) Reader() io.Reader {
	var parts []io.Reader
	for part := range b.body.parts() {
		parts = append(parts, bytes.NewReader(part))
	}
	return io.MultiReader(parts...)
}

// read reads the body up to its end, or until more than limit bytes have arrived.
func (b *body) read(req *http.Request, limit int64) error {
	size := int64(firstSegmentBytes)
	if req.ContentLength >= 0 {
		size = min(size, req.ContentLength+1) // one more shows the end of the body
	}
	b.first = make([]byte, size)
	var since time.Duration
	if c := b.conn; c != nil {
		since = c.guard.now()
		if !c.begin(admission.PhaseBody, since) {
			return &ShedError{c.reason()}
		}
	}
	if req.ContentLength > limit {
		b.first = b.first[:0]
		return nil
	}
	into := b.first
	filled := 0
	for {
		if filled == len(into) {
			var err error
			if into, err = b.grow(); err != nil {
				return err
			}
			filled = 0
		}
		if filled == 0 {
			if err := b.allowTime(since); err != nil {
				return err
			}
		}
		n, err := req.Body.Read(into[filled:])
		filled += n
		b.total += int64(n)
		if b.conn != nil {
			b.conn.received.Store(b.total)
		}
		if len(b.rest) > 0 {
			b.used = filled
		}
		switch {
		case b.total > limit:
			return nil
		case errors.Is(err, io.EOF):
			b.ended = true
			return nil
		case err != nil:
			return b.readError(err)
		}
	}
}

// grow adds a segment.
func (b *body) grow() ([]byte, error) {
	if b.conn != nil {
		if err := b.conn.guard.draw(b.conn, segmentBytes); err != nil {
			return nil, err
		}
	}
	s, ok := segments.Get().(*[segmentBytes]byte)
	if !ok {
		s = new([segmentBytes]byte) // the pool holds nothing else
	}
	b.rest = append(b.rest, s)
	b.used = 0
	return s[:], nil
}

// allowTime moves the deadline of the body with the bytes that have arrived.
func (b *body) allowTime(since time.Duration) error {
	c := b.conn
	if c == nil {
		return nil
	}
	deadline := c.guard.start.Add(c.guard.limits.BodyDeadline(since, b.total))
	if !b.deadline.IsZero() && b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	if c.phase() == admission.PhaseShed { // its deadline may have been moved
		return &ShedError{c.reason()}
	}
	return nil
}

// readError returns why a read failed.
func (b *body) readError(err error) error {
	c := b.conn
	if c == nil {
		return err
	}
	if c.phase() == admission.PhaseShed {
		return &ShedError{c.reason()}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.guard.giveUp(c, ReasonSlowBody)
		return &ShedError{ReasonSlowBody}
	}
	return err
}

func (b *body) tooLarge(limit int64) error {
	if b.conn != nil {
		b.conn.guard.giveUp(b.conn, ReasonLargeBody)
	}
	return &TooLargeError{limit}
}

// parts returns the parts of the body.
func (b *body) parts() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		if len(b.rest) == 0 {
			yield(b.first[:b.total])
			return
		}
		if !yield(b.first) {
			return
		}
		last := len(b.rest) - 1
		for _, s := range b.rest[:last] {
			if !yield(s[:]) {
				return
			}
		}
		yield(b.rest[last][:b.used])
	}
}

// join returns the body in one piece.
func (b *body) join() []byte {
	if len(b.rest) == 0 {
		return b.first[:b.total]
	}
	data := make([]byte, 0, b.total)
	for part := range b.parts() {
		data = append(data, part...)
	}
	b.free()
	return data
}

// free gives the segments back.
func (b *body) free() {
	for _, s := range b.rest {
		segments.Put(s)
	}
	if b.conn != nil {
		b.conn.guard.release(b.conn, segmentBytes*int64(len(b.rest)))
	}
	b.rest = nil
}
