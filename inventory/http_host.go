package inventory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fuchsiahill/fuchsiahill/liveness"
)

const (
	hostListTimeout     = 2 * time.Second
	dialTimeout         = time.Second
	keepAliveInterval   = 5 * time.Second
	keepAliveProbes     = 3
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 2
	maxBodyBytes        = 16 << 20
)

// StatusError reports an HTTP status that the platform's protocol does not
// define.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("inventory: HTTP status %d", e.Status) }

// HostListError reports a failed read of the host list.
type HostListError struct{ Cause error }

func (e *HostListError) Error() string { return "inventory: read host list: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *HostListError) Unwrap() error { return e.Cause }

// newClient returns a client that uses TCP keep-alive on its connections. A call
// whose context ends closes its connection, so that an unresponsive connection
// fails at most one call.
func newClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return &http.Client{
		Transport: liveness.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

type httpHostLister struct {
	baseURL string
	client  *http.Client
}

// NewHTTPHostLister returns a HostLister for the host list at baseURL
// ("http://host:port"). Errors are *HostListError. Each call times out after 2 s.
func NewHTTPHostLister(baseURL string) HostLister {
	return &httpHostLister{baseURL: baseURL, client: newClient()}
}

// Hosts implements HostLister with GET /v1/hosts?known=V.
func (l *httpHostLister) Hosts(ctx context.Context, known int64) (HostList, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	list, newer, err := l.fetch(ctx, known)
	if err != nil {
		return HostList{}, false, eris.Wrap(&HostListError{Cause: err}, l.baseURL)
	}
	return list, newer, nil
}

func (l *httpHostLister) fetch(ctx context.Context, known int64) (HostList, bool, error) {
	var list HostList
	url := fmt.Sprintf("%s/v1/hosts?known=%d", l.baseURL, known)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, false, err
	}
	// An empty value omits the header, to save its bytes in a request that is
	// sent every second.
	req.Header.Set("User-Agent", "")
	resp, err := l.client.Do(req)
	if err != nil {
		return list, false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return list, false, nil
	case http.StatusOK:
	default:
		return list, false, &StatusError{Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&list); err != nil {
		return HostList{}, false, err
	}
	return list, list.Version > known, nil
}
