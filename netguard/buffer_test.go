package netguard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/admission"
)

// buffering starts a server of a guard whose handler reads up to 64 KiB of a body, passes it to
// handle, and answers 503 if it is given up.
func buffering(t *testing.T, l admission.Limits, handle func(w http.ResponseWriter, req *http.Request, b *Buffer)) (*Guard, string) {
	t.Helper()
	g := New(l, ignore)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b, err := ReadBuffer(req, 64<<10, time.Time{})
		var shed *ShedError
		switch {
		case errors.As(err, &shed):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			handle(w, req, b)
		}
	}))
	server.Listener = g.Listen(server.Listener)
	g.Protect(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return g, server.Listener.Addr().String()
}

func TestBufferLosesBytes(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "small": 10, "a segment": firstSegmentBytes, "segments": 50_000, "all that is kept": 64 << 10, "more than is kept": 200_000} {
		t.Run(name, func(t *testing.T) {
			g, address := buffering(t, limits(), func(w http.ResponseWriter, req *http.Request, b *Buffer) {
				for range 2 { // a body that is sent again is read again
					if first, _ := io.ReadAll(b.Reader()); int64(len(first)) != b.Len() {
						t.Errorf("%d bytes of %d", len(first), b.Len())
					}
				}
				if b.Ended() != (size <= 64<<10) {
					t.Errorf("ended: %t", b.Ended())
				}
				all, err := io.ReadAll(io.MultiReader(b.Reader(), req.Body))
				if err != nil {
					t.Error(err)
				}
				_, _ = w.Write(all) // the caller checks what it gets
			})
			sent := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
			for _, body := range []io.Reader{bytes.NewReader(sent), struct{ io.Reader }{bytes.NewReader(sent)}} { // with its length, and chunked
				resp, err := http.Post("http://"+address, "text/plain", body)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || !bytes.Equal(got, sent) {
					t.Errorf("%d bytes came back of %d, %v", len(got), len(sent), err)
				}
			}
			waitForBytes(t, g, func(n int64) bool { return n == 0 })
		})
	}
}

// Requests that are being served keep their bodies, so that others must be refused.
func TestBuffersOfServedRequestsExceedTheBudget(t *testing.T) {
	l := limits()
	l.Bytes = 100 << 10
	release := make(chan struct{})
	g, address := buffering(t, l, func(http.ResponseWriter, *http.Request, *Buffer) { <-release })
	first := send(t, address, post(60_000, 0, ""))
	waitForBytes(t, g, func(n int64) bool { return n >= 48<<10 })
	if got := status(t, send(t, address, post(60_000, 0, ""))); got != http.StatusServiceUnavailable {
		t.Errorf("status %d while the budget is in use", got)
	}
	close(release)
	if got := status(t, first); got != http.StatusOK {
		t.Errorf("the served request got %d", got)
	}
	if got := status(t, send(t, address, post(60_000, 0, ""))); got != http.StatusOK {
		t.Errorf("status %d once the budget is free", got)
	}
}

// A handler that pauses between two parts of its answer, as it passes on those of a slow server,
// is no client that does not read.
func TestPausingAnswerIsTakenForUnread(t *testing.T) {
	l := limits()
	l.Connections, l.ConnectionsPerAddress = 2, 2
	release := make(chan struct{})
	_, address := buffering(t, l, func(w http.ResponseWriter, _ *http.Request, _ *Buffer) {
		_, _ = io.WriteString(w, strings.Repeat("x", 8<<10))
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, "end")
	})
	answers := make(chan string)
	for range l.Connections {
		go func() {
			resp, err := http.Get("http://" + address)
			if err != nil {
				answers <- err.Error()
				return
			}
			data, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil {
				answers <- err.Error()
				return
			}
			answers <- string(data[max(0, len(data)-3):])
		}()
	}
	time.Sleep(time.Second) // beyond the time after which an unread answer is given up
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	waitForClose(t, conn)
	close(release)
	for range l.Connections {
		if got := <-answers; got != "end" {
			t.Errorf("an answer ended with %q", got)
		}
	}
}

// What the rest of the process holds is taken from the memory of clients.
func TestClientsKeepMemoryThatOthersNeed(t *testing.T) {
	l := limits()
	g, address, _ := guarded(t, l, ignore)
	for range 30 {
		send(t, address, post(200_000, 1, ""))
	}
	for range 20 {
		send(t, address, "")
	}
	waitForBytes(t, g, func(n int64) bool { return n > 5<<20 })
	g.SetRoom(l.Memory() / 4)
	waitForBytes(t, g, func(n int64) bool { return n <= l.Bytes/4 })
	if got := g.Usage().Connections; got > l.Connections/4 {
		t.Errorf("%d connections, want at most %d", got, l.Connections/4)
	}
	g.SetRoom(l.Memory())
	if got := status(t, send(t, address, post(200_000, 0, ""))); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}
