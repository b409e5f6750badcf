package backend_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/backend"
)

// answerAll answers each request on a connection, with little memory.
func answerAll(c net.Conn) {
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

// BenchmarkMemory reports the heap of a pool without connections, and what
// one idle connection adds at this end (and 1 KB at the other).
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
			go answerAll(c)
		}
	}()
	const n = 500
	for b.Loop() {
		pools := make([]*backend.Pool, n)
		before := heap()
		for i := range pools {
			pools[i] = backend.NewPool(ln.Addr().String(), backend.Limits{Slots: 8, Connections: 32}, nil)
		}
		empty := heap()
		for _, p := range pools {
			if _, err := do(b.Context(), p, backend.Request{HTTP: newRequest("GET", "r", ""), BufferBytes: 64, Timeouts: shortTimeouts()}); err != nil {
				b.Fatal(err)
			}
		}
		connected := heap()
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

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
