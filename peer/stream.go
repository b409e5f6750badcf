package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// MaxMessageBytes is the largest message, in either direction.
	MaxMessageBytes = 4 << 20
	// headerBytes is the size of the length that goes before each message.
	headerBytes = 4
	// compressedFlag in the length says that the message is compressed.
	compressedFlag = 1 << 31
	// writeTimeout bounds one write. A connection that takes nothing for so
	// long is closed, since a part of the message may have been sent.
	writeTimeout = 5 * time.Second
)

// stream frames JSON messages with their length on a connection. jsonrpc2
// serialises reads and writes.
type stream struct {
	conn        net.Conn
	reader      *bufio.Reader
	readTimeout time.Duration // longest wait for a message, 0 for none
	received    atomic.Int64  // Unix time in nanoseconds of the last message
	readBytes   atomic.Int64
	written     func(bytes int) // told of the size of the next message, nil for none
	lastRead    int             // bytes of the last message
	compresses  atomic.Bool     // the other end reads compressed messages
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn net.Conn, readTimeout time.Duration) *stream {
	s := &stream{conn: conn, reader: bufio.NewReader(conn), readTimeout: readTimeout}
	s.received.Store(time.Now().UnixNano())
	return s
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
		return &TooLargeError{Bytes: len(data), Limit: MaxMessageBytes}
	}
	frame := s.frame(data)
	if err := s.write(frame); err != nil {
		// The other end may hold half a message: nothing can follow it.
		s.conn.Close()
		return err
	}
	if s.written != nil {
		s.written(len(frame))
		s.written = nil
	}
	return nil
}

// frame returns data behind its length, compressed if the other end reads
// that.
func (s *stream) frame(data []byte) []byte {
	flag := uint32(0)
	if s.compresses.Load() {
		if smaller, ok := compress(data); ok {
			data = smaller
			flag = compressedFlag
		}
	}
	frame := make([]byte, headerBytes, headerBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data))|flag)
	return append(frame, data...)
}

func (s *stream) write(frame []byte) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := s.conn.Write(frame)
	return err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	if s.readTimeout > 0 {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.readTimeout)); err != nil {
			return err
		}
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	size := int(length &^ compressedFlag)
	if size > MaxMessageBytes {
		return &TooLargeError{Bytes: size, Limit: MaxMessageBytes}
	}
	data, err := readExactly(s.reader, size)
	if err != nil {
		return err
	}
	s.received.Store(time.Now().UnixNano())
	s.lastRead = headerBytes + size
	s.readBytes.Add(int64(s.lastRead))
	if length&compressedFlag != 0 {
		data, err = messages.Decompress(data)
	}
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(data, v), "message")
}

// readExactly reads size bytes. Memory grows with what has arrived, not with
// what a header announces.
func readExactly(r io.Reader, size int) ([]byte, error) {
	const step = 64 << 10
	data := make([]byte, 0, min(size, step))
	for len(data) < size {
		part := min(size-len(data), step)
		data = append(data, make([]byte, part)...)
		if _, err := io.ReadFull(r, data[len(data)-part:]); err != nil {
			return nil, err
		}
	}
	return data, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// silentSince reports whether no message has arrived since t.
func (s *stream) silentSince(t time.Time) bool {
	return s.received.Load() < t.UnixNano()
}
