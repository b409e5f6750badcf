package standin

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// compressFrom is the size of an answer from which on it is compressed.
const compressFrom = 512 // bytes

var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// writeCompressed answers with the JSON of body, compressed if the caller
// takes that and the answer is large.
func writeCompressed(w http.ResponseWriter, r *http.Request, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(data) < compressFrom || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(w)
	_, _ = z.Write(data) // the caller sees an answer that was cut
	_ = z.Close()
}
