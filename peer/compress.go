package peer

import "github.com/fuchsiahill/fuchsiahill/internal/deflate"

const (
	// compressionFormat identifies the dictionary below. Hosts exchange their
	// formats in the hello; if they differ, messages are not compressed.
	compressionFormat = 1
	// minCompressBytes is the smallest size of a message that is compressed.
	minCompressBytes = 64
)

// compressionDictionary holds the text that messages have in common, with the
// most frequent last. Changing it requires a new compressionFormat.
var compressionDictionary = []byte(`"kind":"reason":"message":"unavailable","refused","code":-32603,"error":{"data":"from":"host":` +
	`"summaries":"known":"incarnation":{"method":"peer.ping","params":{}{"method":"queue.submit","params":{"queue":"job":{"id":"organisation":"tasks":` +
	`"checkpoint":"cp-0.","checkpoint_progress":0."error":"end":"evicted","end":"failed","end":"lost","end":"not_run","end":"stopped",` +
	`{"method":"member.exchange","params":{"accepted":[{"task":"refused":[],"load":{"data_centre":"","capacity":{"milli_cores":000,"memory_mb":000},` +
	`"free":{"milli_cores":,"memory_mb":},"largest_fit":{"milli_cores":,"memory_mb":},"waiting":0}},` +
	`{"method":"queue.start","params":{"queue":"queue/","tasks":[{"task":"{"method":"cell.offer","params":{"cell":"cell/","queue":"queue/","epoch":` +
	`,"sequence":,"tasks":[{"task":"/0","attempt":1,"queue":"queue/","organisation":"","team":"","class":"","resources":{"milli_cores":1000,"memory_mb":1000},"priority":50,"command":""},` +
	`{"method":"queue.return","params":{"queue":"queue/","cell":"cell/","outcomes":[{"task":"/0","attempt":1,"end":"finished","worker":"","used":{"milli_cores":1000,"memory_mb":1000}},` +
	`]},"id":,"jsonrpc":"2.0","meta":{"timeout_ms":4999}}{"id":,"result":{"epoch":1,"sequence":},"jsonrpc":"2.0"}{"id":,"result":{},"jsonrpc":"2.0"}`)

// messageCodec compresses and decompresses the messages of all connections of the
// process.
var messageCodec = deflate.NewCodec(compressionDictionary, MaxMessageBytes)

// compress returns data compressed, and false if that does not make it smaller.
func compress(data []byte) ([]byte, bool) {
	if len(data) < minCompressBytes {
		return nil, false
	}
	compressed := messageCodec.Compress(data)
	return compressed, len(compressed) < len(data)
}
