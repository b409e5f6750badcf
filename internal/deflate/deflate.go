// Package deflate compresses small messages with a preset dictionary.
package deflate

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// level is the lowest compression level at which flate uses a dictionary.
const level = 5

// TooLargeError reports data that is larger than allowed once decompressed.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("deflate: more than %d bytes after decompression", e.Limit)
}

// MalformedError reports data that is not valid compressed data.
type MalformedError struct{ Cause error }

func (e *MalformedError) Error() string { return "deflate: malformed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Codec compresses and decompresses messages. Both ends need the same dictionary.
// A compressor takes about 1 MB, so a Codec has only one and compresses one
// message at a time. It is safe for concurrent use.
type Codec struct {
	dictionary []byte
	limit      int
	inflaters  sync.Pool

	mu     sync.Mutex
	writer *flate.Writer // nil before the first use
}

// NewCodec returns a Codec that decompresses to at most limit bytes.
func NewCodec(dictionary []byte, limit int) *Codec {
	c := &Codec{dictionary: dictionary, limit: limit}
	c.inflaters.New = func() any { return flate.NewReaderDict(nil, dictionary) }
	return c
}

// Compress returns the compressed form of data.
func (c *Codec) Compress(data []byte) []byte {
	var out bytes.Buffer
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writer == nil {
		c.writer = newWriter(c.dictionary)
	}
	c.writer.Reset(&out)
	_, writeErr := c.writer.Write(data)
	closeErr := c.writer.Close()
	if writeErr != nil || closeErr != nil {
		panic("deflate: a write to memory failed")
	}
	return out.Bytes()
}

func newWriter(dictionary []byte) *flate.Writer {
	w, err := flate.NewWriterDict(nil, level, dictionary)
	if err != nil {
		panic(err) // the level is constant
	}
	return w
}

// Decompress reverses Compress. Its errors are *MalformedError and
// *TooLargeError.
func (c *Codec) Decompress(data []byte) ([]byte, error) {
	r := c.inflaters.Get().(io.ReadCloser)
	defer c.inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), c.dictionary); err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, int64(c.limit)+1))
	if err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "decompress")
	}
	if len(plain) > c.limit {
		return nil, eris.Wrap(&TooLargeError{Limit: c.limit}, "decompress")
	}
	return plain, nil
}
