package liveness

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/fuchsiahill/fuchsiahill/internal/steady"
)

// Transport is an http.RoundTripper whose idle connections to an address are not used any more once a
// request there has timed out, unless they have worked since. It keeps a Tracker for each address.
type Transport struct {
	base     *http.Transport
	trackers sync.Map // of *Tracker, by host:port
}

// NewTransport returns a Transport that sends requests with base, which must not be used before.
func NewTransport(base *http.Transport) *Transport {
	t := &Transport{base: base}
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.tracker(address).Track(conn), nil
	}
	return t
}

func (t *Transport) tracker(address string) *Tracker {
	tracker, _ := t.trackers.LoadOrStore(address, new(Tracker))
	return tracker.(*Tracker)
}

// RoundTrip implements http.RoundTripper. The base sends a request again that was not written on a doubted
// connection.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		t.tracker(canonicalAddress(req)).TimedOut(steady.Now())
	}
	return resp, err
}

// canonicalAddress returns the address that the base dials for a request.
func canonicalAddress(req *http.Request) string {
	port := req.URL.Port()
	switch {
	case port != "":
	case req.URL.Scheme == "https":
		port = "443"
	default:
		port = "80"
	}
	return net.JoinHostPort(req.URL.Hostname(), port)
}
