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
	// MaxMessageBytes is the maximum size of a message in either direction.
	MaxMessageBytes = 4 << 20
	// headerBytes is the size of the length that precedes each message.
	headerBytes = 4
	// compressedFlag is set in the length if the message is compressed.
	compressedFlag = 1 << 31
	// writeTimeout is the timeout of one write. The connection is closed when it
	// expires, since a part of the message may have been sent.
	writeTimeout = 5 * time.Second
)

// stream sends and receives JSON messages over a connection, each preceded by its
// length. jsonrpc2 serialises reads and writes.
type stream struct {
	conn               net.Conn
	reader             *bufio.Reader
	readTimeout        time.Duration // maximum wait for a message; 0 for no limit
	lastReceived       atomic.Int64  // Unix time in ns of the last message received
	readBytes          atomic.Int64
	onWritten          func(bytes int) // called once with the size of the next message written; may be nil
	lastReadBytes      int             // size of the last message read
	compressionEnabled atomic.Bool     // the other end reads this end's compression format
	readLimit          atomic.Int64    // size of a message above which it is not read
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn net.Conn, readTimeout time.Duration) *stream {
	s := &stream{conn: conn, reader: bufio.NewReader(conn), readTimeout: readTimeout}
	s.lastReceived.Store(time.Now().UnixNano())
	s.readLimit.Store(MaxMessageBytes)
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
		// The other end may have received a part of the message, so no further
		// message can follow.
		s.conn.Close()
		return err
	}
	if s.onWritten != nil {
		s.onWritten(len(frame))
		s.onWritten = nil
	}
	return nil
}

// frame returns data preceded by its length, and compressed if the other end
// supports it and that makes it smaller.
func (s *stream) frame(data []byte) []byte {
	flag := uint32(0)
	if s.compressionEnabled.Load() {
		if compressed, ok := compress(data); ok {
			data = compressed
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
	if limit := int(s.readLimit.Load()); size > limit {
		return &TooLargeError{Bytes: size, Limit: limit}
	}
	data, err := readExactly(s.reader, size)
	if err != nil {
		return err
	}
	s.lastReceived.Store(time.Now().UnixNano())
	s.lastReadBytes = headerBytes + size
	s.readBytes.Add(int64(s.lastReadBytes))
	if length&compressedFlag != 0 {
		data, err = messageCodec.Decompress(data)
	}
	if err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(data, v), "message")
}

// readExactly reads size bytes. It allocates as data arrives rather than trusting
// the size in the header.
func readExactly(r io.Reader, size int) ([]byte, error) {
	const maxChunk = 64 << 10
	data := make([]byte, 0, min(size, maxChunk))
	for len(data) < size {
		chunk := min(size-len(data), maxChunk)
		data = append(data, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, data[len(data)-chunk:]); err != nil {
			return nil, err
		}
	}
	return data, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// receivedNothingSince reports whether no message was received since t.
func (s *stream) receivedNothingSince(t time.Time) bool {
	return s.lastReceived.Load() < t.UnixNano()
}
