//go:build crowd

package crowd

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// siteMemoryMB bounds a process with a small site of three hosts, and siteDescriptors the
	// descriptors of its hosts. The process may open twice as many.
	siteMemoryMB    = 184
	siteDescriptors = 1024
	gatewayCrowd    = 1200
	// gatewayBodyBytes is the longest body that the gateway keeps for a retry.
	gatewayBodyBytes = 65_536
	// streamedBytes is a body that is passed on as it arrives.
	streamedBytes = 1 << 20
	gatewayPath   = "/svc/reclaim/check"
)

var sitePattern = regexp.MustCompile(`callers (http://\S+)\s+operators (http://\S+)`)

// startSite starts a small site in one process and returns the addresses of its first host.
func startSite(t *testing.T) (p *process, callers, operators string) {
	t.Helper()
	cmd := exec.CommandContext(context.Background(), "sh", "-c", `ulimit -n "$1"; exec "$0" dev`, build(t, "fuchsiahill"), strconv.Itoa(2*siteDescriptors))
	p, log := startProcess(t, cmd)
	for began := time.Now(); time.Since(began) < hangTimeout; time.Sleep(retryPause) {
		text, err := os.ReadFile(log)
		check(t, err)
		if m := sitePattern.FindSubmatch(text); m != nil {
			return p, strings.TrimPrefix(string(m[1]), "http://"), strings.TrimPrefix(string(m[2]), "http://")
		}
	}
	t.Fatal("the site has not started")
	return nil, "", ""
}

// request sends an ordinary request as callers do: again after a refusal.
func request(t *testing.T, address string) {
	t.Helper()
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "nothing"
	for began := time.Now(); time.Since(began) < hangTimeout; time.Sleep(retryPause) {
		resp, err := client.Post("http://"+address+gatewayPath, "text/plain", strings.NewReader("invoice"))
		if err != nil {
			last = err.Error()
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = resp.Status
	}
	t.Errorf("an ordinary request got no answer; the last attempt: %s", last)
}

// plainBody sends a request with a body of size bytes in writes of up to piece bytes, without its
// last byte.
func plainBody(method, path string, size, piece int) Client {
	head := method + " " + path + " HTTP/1.1\r\nHost: gateway\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	data := make([]byte, size-1)
	return func(conn net.Conn, arrived func()) {
		if send(conn, []byte(head), piece) && send(conn, data, piece) {
			arrived()
			awaitClose(conn)
		}
	}
}

// plainChunks is plainBody in chunks of one byte.
func plainChunks(path string, size int) Client {
	head := "POST " + path + " HTTP/1.1\r\nHost: gateway\r\nTransfer-Encoding: chunked\r\n\r\n"
	data := []byte(strings.Repeat("1\r\nx\r\n", size-1))
	return func(conn net.Conn, arrived func()) {
		if send(conn, []byte(head), writeBytes) && send(conn, data, writeBytes) {
			arrived()
			awaitClose(conn)
		}
	}
}

// TestCrowdAtGateway plays a crowd at the product's own interfaces for callers and operators.
func TestCrowdAtGateway(t *testing.T) {
	tests := []struct {
		name      string
		client    Client
		operators bool
	}{
		{"bodies_that_stop_short", plainBody("POST", gatewayPath, gatewayBodyBytes, gatewayBodyBytes), false},
		{"bodies_in_pieces", plainBody("POST", gatewayPath, gatewayBodyBytes, pieceBytes), false},
		{"tiny_chunks", plainChunks(gatewayPath, gatewayBodyBytes), false},
		{"streamed_bodies", plainBody("POST", gatewayPath, streamedBytes, writeBytes), false},
		{"silent_connections", silent, false},
		{"unfinished_headers", endlessHeader(headerBytes), false},
		{"jobs", plainBody("POST", "/v1/jobs", gatewayBodyBytes, gatewayBodyBytes), false},
		{"settings", plainBody("PUT", "/v1/settings", gatewayBodyBytes, gatewayBodyBytes), true},
		{"silent_operators", silent, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, callers, operators := startSite(t)
			request(t, callers)
			address := callers
			if tt.operators {
				address = operators
			}
			c := Start(address, gatewayCrowd, func(int) Client { return tt.client })
			defer c.Close()
			c.AwaitArrival()
			request(t, callers)
			p.checkBounds(t, siteMemoryMB, siteDescriptors)
		})
	}
}
