package backend_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// TestStreamedRequestBody checks a request body that is read while it is being
// sent, and one whose reader fails half-way.
func TestStreamedRequestBody(t *testing.T) {
	b := startBackend(t, instant)
	p := newPool(t, b)
	r := newRequest("POST", "r1", "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader("da"), strings.NewReader("ta")))
	r.ContentLength = -1
	resp, err := do(t.Context(), p, backend.Request{HTTP: r, Streamed: true, BufferBytes: 1 << 10, Timeouts: shortTimeouts()})
	if err != nil || string(resp.Body) != standin.ResponseBody(b.Info(), "r1", []byte("data")) {
		t.Fatalf("got %v, %v", resp, err)
	}
	r = newRequest("POST", "r2", "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader("da"), failingReader{}))
	r.ContentLength = 1000
	_, err = do(t.Context(), p, backend.Request{HTTP: r, Streamed: true, BufferBytes: 1 << 10, Timeouts: shortTimeouts()})
	if got, _ := outcome(err); got != backend.Unknown {
		t.Errorf("got %v", err)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestLargeResponse checks that a response larger than the buffer arrives
// completely, in parts.
func TestLargeResponse(t *testing.T) {
	b := startBackend(t, instant)
	p := newPool(t, b)
	r := newRequest("GET", "r1", "")
	r.Header.Set("X-Answer-Bytes", "900000")
	resp, err := do(t.Context(), p, backend.Request{HTTP: r, BufferBytes: 1 << 10, Timeouts: shortTimeouts()})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	total := len(resp.Body)
	for {
		part, err := resp.Next(t.Context())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		total += len(part)
	}
	if resp.Complete || total != 900000 {
		t.Errorf("complete %v, %d bytes", resp.Complete, total)
	}
}

// slowReader returns one byte every 20 ms.
type slowReader struct{ left int }

func (r *slowReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	time.Sleep(20 * time.Millisecond)
	return copy(b, "x"), nil
}

// TestSlowUpload checks that the first-byte timeout starts only when the request
// has been sent completely.
func TestSlowUpload(t *testing.T) {
	b := startBackend(t, instant)
	p := newPool(t, b)
	r := newRequest("POST", "r1", "")
	r.Body = io.NopCloser(&slowReader{left: 8})
	r.ContentLength = 8
	timeouts := shortTimeouts()
	timeouts.Request = time.Second
	_, err := do(t.Context(), p, backend.Request{HTTP: r, Streamed: true, BufferBytes: 1 << 10, Timeouts: timeouts})
	if err != nil {
		t.Error(err)
	}
}
