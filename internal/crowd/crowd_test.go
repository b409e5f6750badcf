//go:build crowd

package crowd

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin/wire"
)

const (
	memoryMB = 64
	// bodyCrowd clients within manyDescriptors send more than memoryMB, and
	// connectionCrowd clients exceed fewDescriptors.
	bodyCrowd       = 300
	manyDescriptors = 4100
	connectionCrowd = 400
	fewDescriptors  = 300

	bodyBytes = 260_000 // of the 262,144 that are allowed
	// tinyChunkBytes is a body in 1-byte chunks, each of which takes six bytes.
	tinyChunkBytes  = 200_000
	headerBytes     = 12_000 // of the 16,384 that are allowed
	pipelinedDepth  = 32
	unreadBatchSize = 64
)

// TestCrowd plays one crowd against a host of its own. While the crowd is there, the
// process lives, its memory and its descriptors stay within the machine's limits, and
// an ordinary job gets its answer.
func TestCrowd(t *testing.T) {
	type clients = func(index int) Client
	always := func(c Client) func(<-chan struct{}) clients {
		return func(<-chan struct{}) clients { return func(int) Client { return c } }
	}
	bodies := func(size, piece int, ends func(int) bool) func(<-chan struct{}) clients {
		return func(finish <-chan struct{}) clients { return body(size, piece, ends, finish) }
	}
	chunked := func(size, chunk int) func(<-chan struct{}) clients {
		return func(finish <-chan struct{}) clients { return chunkedBody(size, chunk, few, finish) }
	}
	tests := []struct {
		name        string
		size        int
		descriptors int
		clients     func(finish <-chan struct{}) clients
	}{
		{"whole_bodies", bodyCrowd, manyDescriptors, bodies(bodyBytes, bodyBytes, everyOne)},
		{"bodies_that_stop_short", bodyCrowd, manyDescriptors, bodies(bodyBytes, bodyBytes, few)},
		{"bodies_in_pieces", bodyCrowd, manyDescriptors, bodies(bodyBytes, pieceBytes, few)},
		{"large_chunks", bodyCrowd, manyDescriptors, chunked(bodyBytes, largeChunkBytes)},
		{"tiny_chunks", bodyCrowd, manyDescriptors, chunked(tinyChunkBytes, 1)},
		{"endless_headers", connectionCrowd, fewDescriptors, always(endlessHeader(headerBytes))},
		{"silent_connections", connectionCrowd, fewDescriptors, always(silent)},
		{"unread_answers", connectionCrowd, fewDescriptors, always(unread(unreadBatchSize))},
		{"unread_bodies", connectionCrowd, fewDescriptors, always(unreadBody(1000))},
		{"pipelined_requests", connectionCrowd, fewDescriptors, always(pipelined(pipelinedDepth, bodyBytes))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := startHost(t, memoryMB, tt.descriptors)
			finish := make(chan struct{})
			c := Start(h.address, tt.size, tt.clients(finish))
			defer c.Close()
			c.AwaitArrival()
			close(finish)
			h.submit(t, "00000000000000bb")
			h.checkBounds(t, memoryMB, tt.descriptors)
		})
	}
}

// TestCrowdAtOwner plays bodies that stop short, beside jobs of many tasks, at the owner of many
// workers, which holds more than other hosts.
func TestCrowdAtOwner(t *testing.T) { playCrowdAtOwner(t, 150, memoryMB, bodyCrowd) }

func playCrowdAtOwner(t *testing.T, workers, memoryMB, crowd int) {
	t.Helper()
	const tasks = 10_000
	h := startHostOn(t, startStore(t, workers), "host-0", memoryMB, manyDescriptors)
	h.submit(t, "00000000000000aa")
	wide := Start(h.address, crowd/3, wideJob(tasks))
	defer wide.Close()
	wide.AwaitArrival()
	finish := make(chan struct{})
	c := Start(h.address, crowd, body(bodyBytes, bodyBytes, few, finish))
	defer c.Close()
	c.AwaitArrival()
	time.Sleep(holdTime)
	close(finish)
	h.submitFrom(t, otherAddress, "00000000000000bb")
	h.checkBounds(t, memoryMB, manyDescriptors)
}

// TestCrowdOfAcceptedJobs hands in small valid jobs whose tasks an owner holds.
func TestCrowdOfAcceptedJobs(t *testing.T) {
	const (
		tasks = 10_000 // of one job; more are refused
		jobs  = 4 * bodyCrowd
	)
	h := startHost(t, memoryMB, manyDescriptors)
	c := Start(h.address, jobs, wideJob(tasks))
	defer c.Close()
	c.AwaitArrival()
	h.submit(t, "00000000000000bb")
	h.checkBounds(t, memoryMB, manyDescriptors)
}

// TestCrowdElsewhere plays silent connections at the other addresses of a host.
func TestCrowdElsewhere(t *testing.T) {
	for name, address := range map[string]func(wire.HostSettings) string{
		"ready":   func(s wire.HostSettings) string { return s.ReadyAddress },
		"metrics": func(s wire.HostSettings) string { return s.MetricsAddress },
		"peers":   func(s wire.HostSettings) string { return s.PeerAddress.String() },
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, memoryMB, fewDescriptors)
			c := Start(address(h.settings), connectionCrowd, func(int) Client { return silent })
			defer c.Close()
			c.AwaitArrival()
			h.submit(t, "00000000000000bb")
			h.checkBounds(t, memoryMB, fewDescriptors)
		})
	}
}
