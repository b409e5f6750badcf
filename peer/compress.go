package peer

import "github.com/fuchsiahill/fuchsiahill/internal/deflate"

const (
	// compressionFormat names the dictionary below. Hosts tell each other
	// theirs in the hello; those whose formats differ do not compress.
	compressionFormat = 1
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

// messages is the one compressor of the process.
var messages = deflate.NewCodec(compressionDictionary, MaxMessageBytes)

// compress returns data compressed, or false if that does not make it smaller.
func compress(data []byte) ([]byte, bool) {
	if len(data) < compressFrom {
		return nil, false
	}
	smaller := messages.Compress(data)
	return smaller, len(smaller) < len(data)
}
