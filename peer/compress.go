package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// compressionFormat names the dictionary below. Hosts tell each other
	// theirs in the hello; those whose formats differ do not compress.
	compressionFormat = 1
	// compressionLevel is the lowest from which on flate uses a dictionary.
	compressionLevel = 5
	// compressFrom is the size of a message from which on it is compressed.
	compressFrom = 64 // bytes
)

// compressionDictionary holds what messages have in common, the most frequent
// last. A change of it is a change of the format.
var compressionDictionary = []byte(`"kind":"reason":"message":"unavailable","refused","code":-32603,"error":{"data":"from":"host":` +
	`"summaries":"known":"incarnation":{"method":"peer.ping","params":{}{"method":"queue.submit","params":{"queue":"job":{"id":"organisation":"tasks":` +
	`"checkpoint":"cp-0.","checkpoint_progress":0."error":"end":"evicted","end":"failed","end":"lost","end":"not_run","end":"stopped",` +
	`{"method":"member.exchange","params":{"accepted":[{"task":"refused":[],"load":{"data_centre":"","capacity":{"milli_cores":000,"memory_mb":000},` +
	`"free":{"milli_cores":,"memory_mb":},"largest_fit":{"milli_cores":,"memory_mb":},"waiting":0}},` +
	`{"method":"queue.start","params":{"queue":"queue/","tasks":[{"task":"{"method":"cell.offer","params":{"cell":"cell/","queue":"queue/","epoch":` +
	`,"sequence":,"tasks":[{"task":"/0","attempt":1,"queue":"queue/","organisation":"","team":"","class":"","resources":{"milli_cores":1000,"memory_mb":1000},"priority":50,"command":""},` +
	`{"method":"queue.return","params":{"queue":"queue/","cell":"cell/","outcomes":[{"task":"/0","attempt":1,"end":"finished","worker":"","used":{"milli_cores":1000,"memory_mb":1000}},` +
	`]},"id":,"jsonrpc":"2.0","meta":{"timeout_ms":4999}}{"id":,"result":{"epoch":1,"sequence":},"jsonrpc":"2.0"}{"id":,"result":{},"jsonrpc":"2.0"}`)

// deflater is the one compressor of the process: it takes about 1 MB.
var deflater struct {
	sync.Mutex
	writer *flate.Writer
}

func newDeflater() *flate.Writer {
	w, err := flate.NewWriterDict(nil, compressionLevel, compressionDictionary)
	if err != nil {
		panic(err) // the level is constant
	}
	return w
}

var inflaters = sync.Pool{New: func() any { return flate.NewReaderDict(nil, compressionDictionary) }}

// deflate returns data compressed, or false if that does not make it smaller.
func deflate(data []byte) ([]byte, bool) {
	if len(data) < compressFrom {
		return nil, false
	}
	deflater.Lock()
	defer deflater.Unlock()
	if deflater.writer == nil {
		deflater.writer = newDeflater()
	}
	var out bytes.Buffer
	deflater.writer.Reset(&out)
	_, writeErr := deflater.writer.Write(data)
	closeErr := deflater.writer.Close()
	if writeErr != nil || closeErr != nil || out.Len() >= len(data) {
		return nil, false
	}
	return out.Bytes(), true
}

// inflate is the reverse of deflate. It returns MaxMessageBytes at most.
func inflate(data []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), compressionDictionary); err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(plain) > MaxMessageBytes {
		return nil, &TooLargeError{Bytes: len(plain), Limit: MaxMessageBytes}
	}
	return plain, nil
}
