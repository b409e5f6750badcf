package backend_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/backend"
)

// serveConn answers every request on a connection. It uses little memory, so
// that the benchmark measures mainly the client side.
func serveConn(c net.Conn) {
	defer c.Close()
	var buf [1024]byte
	for {
		if _, err := c.Read(buf[:]); err != nil {
			return
		}
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// BenchmarkMemory reports the heap bytes of a pool without connections, and the
// bytes that one idle connection adds on the client side (including 1 KB for the
// buffer of the server side).
func BenchmarkMemory(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveConn(c)
		}
	}()
	const n = 500
	for b.Loop() {
		pools := make([]*backend.Pool, n)
		before := heapBytes()
		for i := range pools {
			pools[i] = backend.NewPool(ln.Addr().String(), backend.Limits{Slots: 8, Connections: 32}, nil)
		}
		empty := heapBytes()
		for _, p := range pools {
			if _, err := do(b.Context(), p, backend.Request{HTTP: newRequest("GET", "r", ""), BufferBytes: 64, Timeouts: shortTimeouts()}); err != nil {
				b.Fatal(err)
			}
		}
		connected := heapBytes()
		b.ReportMetric(float64(empty-before)/n, "B/pool")
		b.ReportMetric(float64(connected-empty)/n, "B/connection")
		for _, p := range pools {
			p.Close()
		}
		for _, p := range pools {
			<-p.Drained()
		}
	}
	time.Sleep(10 * time.Millisecond)
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
