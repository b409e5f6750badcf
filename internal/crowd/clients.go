package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
)

const (
	pieceBytes      = 4 << 10
	largeChunkBytes = 16 << 10
	// writeBytes is how much of a body in 1-byte chunks is passed to the kernel at
	// once.
	writeBytes = 16 << 10
	// finishEach: one client of so many sends the end of its body.
	finishEach = 10
)

// endless is text that a header without an end repeats.
var endless = []byte("X-Filler: " + strings.Repeat("f", 100) + "\r\n")

func requestLine(method, id string) string {
	return method + " " + wire.CallersPrefix + id + " HTTP/1.1\r\nHost: " + wire.CallersHost + "\r\n"
}

// jobBody returns a valid job of size bytes.
func jobBody(size int) []byte {
	const job = `{"spec":"crowd","steps":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":100}]}`
	return append(bytes.Repeat([]byte(" "), size-len(job)), job...)
}

// body returns the clients that send a job of size bytes, with its length known,
// in writes of up to piece bytes. A client stops one byte short and waits for
// finish; whether it then sends the end depends on ends.
func body(size, piece int, ends func(index int) bool, finish <-chan struct{}) func(index int) Client {
	job := jobBody(size)
	return func(index int) Client {
		return func(conn net.Conn, arrived func()) {
			head := requestLine("POST", fmt.Sprintf("%016x", index+1)) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
			if !send(conn, []byte(head), piece) || !send(conn, job[:size-1], piece) {
				return
			}
			arrived()
			if ends(index) {
				<-finish
				send(conn, job[size-1:], piece)
			}
			awaitClose(conn)
		}
	}
}

// chunkedBody is like body, in chunks of chunk bytes, passed to the kernel in
// writes of at least writeBytes.
func chunkedBody(size, chunk int, ends func(index int) bool, finish <-chan struct{}) func(index int) Client {
	job := jobBody(size)
	var short bytes.Buffer
	for part := job[:size-1]; len(part) > 0; {
		n := min(chunk, len(part))
		fmt.Fprintf(&short, "%x\r\n%s\r\n", n, part[:n])
		part = part[n:]
	}
	end := fmt.Appendf(nil, "1\r\n%s\r\n0\r\n\r\n", job[size-1:])
	return func(index int) Client {
		return func(conn net.Conn, arrived func()) {
			head := requestLine("POST", fmt.Sprintf("%016x", index+1)) + "Transfer-Encoding: chunked\r\n\r\n"
			if !send(conn, []byte(head), writeBytes) || !send(conn, short.Bytes(), max(chunk, writeBytes)) {
				return
			}
			arrived()
			if ends(index) {
				<-finish
				send(conn, end, writeBytes)
			}
			awaitClose(conn)
		}
	}
}

// unreadBody sends a request to a path of no queue, and half of its body.
func unreadBody(size int) Client {
	return func(conn net.Conn, arrived func()) {
		head := "POST /none HTTP/1.1\r\nHost: " + wire.CallersHost + "\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
		if send(conn, []byte(head), writeBytes) && send(conn, jobBody(size)[:size/2], writeBytes) {
			arrived()
			awaitClose(conn)
		}
	}
}

func everyOne(int) bool { return true }

func few(index int) bool { return index%finishEach == 0 }

// wideJob sends a valid small job of many tasks that take no time, whole.
func wideJob(tasks int) func(index int) Client {
	job := fmt.Sprintf(`{"spec":"crowd","steps":[{"count":%d,"cpu":100,"mem_mb":64}]}`, tasks)
	return func(index int) Client {
		return func(conn net.Conn, arrived func()) {
			head := requestLine("POST", fmt.Sprintf("%016x", index+1)) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(job))
			if !send(conn, []byte(head+job), writeBytes) {
				return
			}
			if _, err := conn.Read(make([]byte, pieceBytes)); err == nil { // the answer
				arrived()
				awaitClose(conn)
			}
		}
	}
}

// jobs sends a number of jobs on one connection, each with an ID of its own, and reads
// the answer to each. If cancels is set, it cancels each job at once.
func jobs(count int, job string, cancels bool) func(index int) Client {
	return func(index int) Client {
		return func(conn net.Conn, arrived func()) {
			answers := bufio.NewReader(conn)
			for i := range count {
				id := fmt.Sprintf("%08x%08x", index+1, i)
				post := requestLine("POST", id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(job), job)
				if !exchange(conn, answers, post) || cancels && !exchange(conn, answers, requestLine("DELETE", id)+"\r\n") {
					return
				}
			}
			arrived()
			awaitClose(conn)
		}
	}
}

// questions sends queries and cancellations of jobs that nobody submitted, without end.
func questions(index int) Client {
	return func(conn net.Conn, arrived func()) {
		answers := bufio.NewReader(conn)
		arrived()
		for i := 0; ; i++ {
			id := fmt.Sprintf("%08x%08x", index+1, i)
			if !exchange(conn, answers, requestLine("GET", id)+"\r\n") || !exchange(conn, answers, requestLine("DELETE", id)+"\r\n") {
				return
			}
		}
	}
}

// exchange sends a request, reads its answer and reports whether the connection stays.
func exchange(conn net.Conn, answers *bufio.Reader, request string) bool {
	if !send(conn, []byte(request), len(request)) {
		return false
	}
	answer, err := http.ReadResponse(answers, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.Body.Close() == nil && err == nil && !answer.Close
}

// endlessHeader sends header lines up to size bytes and no end of them.
func endlessHeader(size int) Client {
	return func(conn net.Conn, arrived func()) {
		if !send(conn, []byte(requestLine("GET", "")), pieceBytes) {
			return
		}
		for sent := 0; sent < size; sent += len(endless) {
			if !send(conn, endless, pieceBytes) {
				return
			}
		}
		arrived()
		awaitClose(conn)
	}
}

// silent sends nothing.
func silent(conn net.Conn, arrived func()) {
	arrived()
	awaitClose(conn)
}

// unread sends requests and reads no answer.
func unread(requests int) Client {
	batch := []byte(strings.Repeat(requestLine("GET", "")+"\r\n", requests))
	return func(conn net.Conn, arrived func()) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(pieceBytes) // a larger buffer only takes more requests to fill
		}
		arrived()
		for send(conn, batch, pieceBytes) {
		}
	}
}

// pipelined sends a number of requests without waiting for their answers, and then
// a job of size bytes that stops one byte short.
func pipelined(requests, size int) Client {
	batch := []byte(strings.Repeat(requestLine("GET", "")+"\r\n", requests))
	job := jobBody(size)
	return func(conn net.Conn, arrived func()) {
		head := requestLine("POST", strings.Repeat("f", 16)) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
		if !send(conn, batch, len(batch)) || !send(conn, []byte(head), len(head)) || !send(conn, job[:size-1], size) {
			return
		}
		arrived()
		awaitClose(conn)
	}
}

// send writes data in writes of up to piece bytes and reports whether all of it was
// taken.
func send(conn net.Conn, data []byte, piece int) bool {
	for len(data) > 0 {
		n, err := conn.Write(data[:min(piece, len(data))])
		if err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}
