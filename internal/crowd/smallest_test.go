//go:build crowd && crowdlarge

package crowd

import (
	"testing"
	"time"
)

// TestSmallestHost plays large crowds against a host of the smallest size in use. It
// is run by hand: go test -tags crowd,crowdlarge -run TestSmallestHost ./internal/crowd
func TestSmallestHost(t *testing.T) {
	const (
		smallestMemoryMB  = 184
		smallestMaximum   = 4100
		largeCrowd        = 1500
		unfinishedHeaders = 16_000
	)
	for name, clients := range map[string]func(finish <-chan struct{}) func(index int) Client{
		"bodies_that_stop_short": func(f <-chan struct{}) func(int) Client { return body(bodyBytes, bodyBytes, few, f) },
		"whole_bodies":           func(f <-chan struct{}) func(int) Client { return body(bodyBytes, bodyBytes, everyOne, f) },
		"tiny_chunks":            func(f <-chan struct{}) func(int) Client { return chunkedBody(60_000, 1, few, f) },
		"endless_headers": func(<-chan struct{}) func(int) Client {
			return func(int) Client { return endlessHeader(unfinishedHeaders) }
		},
		"unread_answers": func(<-chan struct{}) func(int) Client { return func(int) Client { return unread(unreadBatchSize) } },
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, smallestMemoryMB, smallestMaximum)
			finish := make(chan struct{})
			c := Start(h.address, largeCrowd, clients(finish))
			defer c.Close()
			c.AwaitArrival()
			close(finish)
			h.submit(t, "00000000000000bb")
			h.checkBounds(t, smallestMemoryMB, smallestMaximum)
		})
	}
}

// TestSmallestOwner plays a crowd at the owner of as many workers as the target size has.
func TestSmallestOwner(t *testing.T) { playCrowdAtOwner(t, 1000, 184, 1500) }

// TestClientsWithinEachLimit hands in small jobs on many connections for minutes.
func TestClientsWithinEachLimit(t *testing.T) {
	const (
		smallestMemoryMB = 184
		smallestMaximum  = 4100
		clients          = 1500
		jobsOfEach       = 100
	)
	h := startHost(t, smallestMemoryMB, smallestMaximum)
	c := Start(h.address, clients, jobs(jobsOfEach, `{"spec":"crowd","steps":[{"count":1,"cpu":100,"mem_mb":64}]}`, false))
	defer c.Close()
	c.AwaitArrival()
	time.Sleep(time.Minute)
	h.submitFrom(t, otherAddress, "00000000000000bb")
	h.checkBounds(t, smallestMemoryMB, smallestMaximum)
}
