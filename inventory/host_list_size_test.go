package inventory_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// countedListener counts the bytes that its connections send.
type countedListener struct {
	net.Listener
	sent *atomic.Int64
}

type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.sent}, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// largeList returns a list of the given size, with names and addresses like those
// of a fleet in six data centres.
func largeList(workers, servers, entryHosts int) *standin.HostList {
	hosts := standin.NewHostList(0)
	hosts.Update(func(l *inventory.HostList) {
		for i := range workers {
			l.Workers = append(l.Workers, inventory.Worker{
				ID: fleet.WorkerID(fmt.Sprintf("dc-%d-w%d", i%6, i)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i%6)),
				Rack: fleet.Rack(fmt.Sprintf("dc-%d-r%d", i%6, i/66)), Address: fmt.Sprintf("10.%d.%d.%d:7000", i%6, i/250, i%250),
				Capacity: fleet.Resources{MilliCores: 64_000, MemoryMB: 250_000}, State: inventory.StateLive,
			})
		}
		for i := range servers {
			w := l.Workers[i%workers]
			l.Servers = append(l.Servers, inventory.Server{
				ID: fleet.ServerID(fmt.Sprintf("planning-%d", i)), Service: "planning", Organisation: "verband", DataCentre: w.DataCentre,
				Worker: w.ID, Address: fmt.Sprintf("10.%d.%d.%d:8080", i%6, i/250, i%250), Slots: 8, Connections: 64,
				Reserved: fleet.Resources{MilliCores: 4000, MemoryMB: 8000}, State: inventory.StateLive,
			})
		}
		for i := range entryHosts {
			l.EntryHosts = append(l.EntryHosts, inventory.EntryHost{ID: fleet.HostID(fmt.Sprintf("entry-%d", i)), State: inventory.StateLive})
		}
	})
	return hosts
}

// readWhole reads a list over HTTP and returns it with the number of bytes that
// the server sent.
func readWhole(tb testing.TB, handler http.Handler) (inventory.HostList, int64) {
	tb.Helper()
	var sent atomic.Int64
	server := httptest.NewUnstartedServer(handler)
	server.Listener = countedListener{server.Listener, &sent}
	server.Start()
	defer server.Close()
	list, newer, err := inventory.NewHTTPHostLister(server.URL).Hosts(context.Background(), 0)
	if err != nil || !newer {
		tb.Fatalf("newer %v, error %v", newer, err)
	}
	server.Close() // waits until the last write is counted
	return list, sent.Load()
}

// withoutCompression wraps a handler so that it sends uncompressed responses.
func withoutCompression(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("Accept-Encoding")
		h.ServeHTTP(w, r)
	})
}

// TestCompressedList reads a list with and without compression. Both must be
// equal, and the compressed one must take at most a fifth of the bytes.
func TestCompressedList(t *testing.T) {
	hosts := largeList(100, 300, 10)
	want, whole := readWhole(t, withoutCompression(hosts))
	got, compressed := readWhole(t, hosts)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if compressed*5 > whole {
		t.Errorf("compressed list takes %d bytes, uncompressed %d; want at most a fifth", compressed, whole)
	}
}

// BenchmarkWholeList measures the first read of the list at a host's start.
func BenchmarkWholeList(b *testing.B) {
	for _, size := range []int{1, 4, 10} { // in tenths of the target fleet size
		hosts := largeList(110*size, 310*size, 14*size)
		for name, handler := range map[string]http.Handler{"plain": withoutCompression(hosts), "compressed": hosts} {
			b.Run(fmt.Sprintf("workers=%d/%s", 110*size, name), func(b *testing.B) {
				var bytes int64
				for b.Loop() {
					_, bytes = readWhole(b, handler)
				}
				b.ReportMetric(float64(bytes)/1000, "KB")
			})
		}
	}
}
