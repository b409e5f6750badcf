package member

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/deflate"
)

const (
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

// batches is the one compressor of the process.
var batches = deflate.NewCodec(batchDictionary, maxBatchBytes)

// encodeBatch returns the compressed JSON of a batch, or nil for an empty one.
func encodeBatch(batch []Summary) ([]byte, error) {
	if len(batch) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(batch)
	if err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "encode")
	}
	return batches.Compress(data), nil
}

// decodeBatch is the reverse of encodeBatch. Its memory is bounded whatever data
// holds.
func decodeBatch(data []byte) ([]Summary, error) {
	if len(data) == 0 {
		return nil, nil
	}
	plain, err := batches.Decompress(data)
	if err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "decompress")
	}
	var batch []Summary
	if err := json.Unmarshal(plain, &batch); err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "decode")
	}
	return batch, nil
}
