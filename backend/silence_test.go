package backend_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/backend"
	"github.com/fuchsiahill/fuchsiahill/internal/standin/silence"
)

// The idle connections to a server went silent at one moment: each further request was lost on the next one.
func TestSecondRequestIsLostToSilence(t *testing.T) {
	const idle = 4
	b := startBackend(t, func() time.Duration { return 20 * time.Millisecond })
	proxy, err := silence.NewProxy(b.Info().Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	p := backend.NewPool(proxy.Address(), backend.Limits{Slots: slots, Connections: connections}, nil)
	t.Cleanup(func() {
		p.Close()
		eventually(t, "the pool to drain", func() bool {
			select {
			case <-p.Drained():
				return true
			default:
				return false
			}
		})
	})
	send := func(id string) error {
		_, err := do(t.Context(), p, backend.Request{HTTP: newRequest(http.MethodPost, id, "invoice"), BufferBytes: 1 << 10, Timeouts: shortTimeouts()})
		return err
	}
	var requests sync.WaitGroup
	for i := range idle {
		requests.Go(func() {
			if err := send(string(rune('a' + i))); err != nil {
				t.Error(err)
			}
		})
	}
	requests.Wait()
	if n := proxy.Silence(); n != idle {
		t.Fatalf("%d connections are open, want %d", n, idle)
	}
	if err := send("lost"); err == nil {
		t.Fatal("a request on a silent connection was answered")
	}
	if err := send("next"); err != nil {
		t.Errorf("the next request was lost, too: %v", err)
	}
}
