package member

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// batchLevel is the compression level from which on flate uses a
	// dictionary.
	batchLevel = 5
	// maxBatchBytes bounds a batch after decompression.
	maxBatchBytes = 1 << 20
)

// batchDictionary holds what most summaries have in common. Both ends need
// the same one.
var batchDictionary = []byte(`"settings":"cells":{"cell/{"data_centre":"","capacity":{"milli_cores":000,"memory_mb":000},"free":{"milli_cores":,"memory_mb":},"largest_fit":{"milli_cores":,"memory_mb":},"waiting":0}},` +
	`"services":{"":{"slots":0,"free":0,"waiting":0},"":{"slots":0,"free":0,"waiting":0}},"store_ok":true},[{"host":"","incarnation":1,"sequence":`)

// MalformedError reports summaries that can't be decoded.
type MalformedError struct{ Cause error }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("member: malformed summaries: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// compressor turns batches of summaries into bytes. A compressor is large, so
// one is used for all batches of a host. Safe for concurrent use.
type compressor struct {
	mu     sync.Mutex
	buffer bytes.Buffer
	writer *flate.Writer
}

// encode returns the compressed JSON of a batch, or nil for an empty one.
func (c *compressor) encode(batch []Summary) ([]byte, error) {
	if len(batch) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(batch)
	if err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "encode")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.reset(); err != nil {
		return nil, err
	}
	if _, err := c.writer.Write(data); err != nil {
		return nil, err
	}
	if err := c.writer.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(c.buffer.Bytes()), nil
}

func (c *compressor) reset() error {
	c.buffer.Reset()
	if c.writer != nil {
		c.writer.Reset(&c.buffer)
		return nil
	}
	writer, err := flate.NewWriterDict(&c.buffer, batchLevel, batchDictionary)
	c.writer = writer
	return err
}

// decodeBatch is the reverse of encode. Its memory is bounded whatever data
// holds.
func decodeBatch(data []byte) ([]Summary, error) {
	if len(data) == 0 {
		return nil, nil
	}
	reader := flate.NewReaderDict(bytes.NewReader(data), batchDictionary)
	plain, err := io.ReadAll(io.LimitReader(reader, maxBatchBytes))
	if err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "decompress")
	}
	var batch []Summary
	if err := json.Unmarshal(plain, &batch); err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "decode")
	}
	return batch, nil
}
