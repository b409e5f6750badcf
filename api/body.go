package api

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fuchsiahill/fuchsiahill/netguard"
)

// OverloadedError reports that the host has no memory for the body of a call. Nothing was done.
type OverloadedError struct{ Cause error }

func (e *OverloadedError) Error() string { return "api: overloaded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OverloadedError) Unwrap() error { return e.Cause }

// bufferBody reads the body of a call, of up to limit bytes, into memory of the host's budget.
// Errors are *OverloadedError and those of the connection. A longer body yields an error when it
// is read.
func bufferBody(w http.ResponseWriter, r *http.Request, limit int64) error {
	body := r.Body
	r.Body = http.MaxBytesReader(w, body, limit)
	if body == nil || body == http.NoBody || r.ContentLength > limit {
		return nil
	}
	data, err := netguard.ReadBuffer(r, limit, time.Now().Add(readTimeout))
	var shed *netguard.ShedError
	switch {
	case errors.As(err, &shed):
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return &OverloadedError{Cause: err}
	case err != nil:
		return err
	}
	r.Body = http.MaxBytesReader(w, io.NopCloser(io.MultiReader(data.Reader(), body)), limit)
	return nil
}
