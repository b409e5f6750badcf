package standin

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// minCompressedBytes is the size from which responses are compressed.
const minCompressedBytes = 512 // bytes

var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// writeCompressed responds with the JSON of body, compressed if the caller
// accepts gzip and the response is large.
func writeCompressed(w http.ResponseWriter, r *http.Request, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(data) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(w)
	_, _ = z.Write(data) // on an error the caller sees a truncated response
	_ = z.Close()
}
