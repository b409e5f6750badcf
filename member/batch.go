package member

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/internal/deflate"
)

const (
	// maxBatchBytes is the maximum size of a batch after decompression.
	maxBatchBytes = 1 << 20
)

// batchDictionary holds the text that most summaries have in common. Both ends
// must use the same one.
var batchDictionary = []byte(`"settings":"cells":{"cell/{"data_centre":"","capacity":{"milli_cores":000,"memory_mb":000},"free":{"milli_cores":,"memory_mb":},"largest_fit":{"milli_cores":,"memory_mb":},"waiting":0}},` +
	`"services":{"":{"slots":0,"free":0,"waiting":0},"":{"slots":0,"free":0,"waiting":0}},"store_ok":true},[{"host":"","incarnation":1,"sequence":`)

// MalformedError reports summaries that can't be encoded or decoded.
type MalformedError struct{ Cause error }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("member: malformed summaries: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// batchCodec compresses and decompresses all batches of the process.
var batchCodec = deflate.NewCodec(batchDictionary, maxBatchBytes)

// encodeBatch returns the compressed JSON of a batch, or nil for an empty one.
func encodeBatch(batch []Summary) ([]byte, error) {
	if len(batch) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(batch)
	if err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "encode")
	}
	return batchCodec.Compress(data), nil
}

// decodeBatch is the inverse of encodeBatch. Its use of memory is bounded for any
// data.
func decodeBatch(data []byte) ([]Summary, error) {
	if len(data) == 0 {
		return nil, nil
	}
	plain, err := batchCodec.Decompress(data)
	if err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "decompress")
	}
	var batch []Summary
	if err := json.Unmarshal(plain, &batch); err != nil {
		return nil, eris.Wrap(&MalformedError{Cause: err}, "decode")
	}
	return batch, nil
}
