package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"

	"github.com/fuchsiahill/fuchsiahill/gateway"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// TestForwardedPathAndHeaders checks the path and headers that the backend server
// receives, and the headers that the caller gets back.
func TestForwardedPathAndHeaders(t *testing.T) {
	var got *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Header().Set("Connection", "X-Secret")
		w.Header().Set("X-Secret", "of the connection")
		w.Header().Set("X-Kept", "answer")
		w.Header().Set(gateway.HeaderReason, "made up")
		w.WriteHeader(http.StatusTeapot)
	}))
	defer server.Close()
	s := newSite(t, 0, instant)
	s.setList(func(l *inventory.HostList) {
		l.Servers = []inventory.Server{{
			ID: "s0", Service: svc, DataCentre: dc, Worker: "w1", Slots: 8, Connections: 64, State: inventory.StateLive,
			Address: strings.TrimPrefix(server.URL, "http://"),
		}}
	})
	h := s.start(t, "h1", true)
	h.url = strings.TrimSuffix(h.url, "x") + "a%2Fb//c?q=%20"
	r := h.call(t.Context(), "POST", "data", "X-Request-Id", "r1", "Authorization", "Bearer t", "Connection", "X-Drop",
		"X-Drop", "1", "X-Kept", "request", gateway.HeaderTimeout, "500")
	if r.status != http.StatusTeapot || r.outcome() != "answered" {
		t.Fatalf("status %d, %s (%s)", r.status, r.outcome(), r.reason())
	}
	want := map[string]string{
		"path": "/a%2Fb//c?q=%20", "Authorization": "", "X-Drop": "", "X-Kept": "request", "X-Request-Id": "r1",
		"answer X-Secret": "", "answer X-Kept": "answer", "answer reason": "", "answer X-Request-Id": "r1",
	}
	seen := map[string]string{
		"path": got.RequestURI, "Authorization": got.Header.Get("Authorization"), "X-Drop": got.Header.Get("X-Drop"),
		"X-Kept": got.Header.Get("X-Kept"), "X-Request-Id": got.Header.Get("X-Request-Id"),
		"answer X-Secret": r.header.Get("X-Secret"), "answer X-Kept": r.header.Get("X-Kept"),
		"answer reason": r.reason(), "answer X-Request-Id": r.header.Get("X-Request-Id"),
	}
	if d := cmp.Diff(want, seen); d != "" {
		t.Error(d)
	}
}

// TestInvalidHeadersAndService checks that invalid request headers are rejected
// with status 400, and that a request to an unknown service is not run.
func TestInvalidHeadersAndService(t *testing.T) {
	s := newSite(t, 1, instant)
	h := s.start(t, "h1", true)
	for _, c := range []struct {
		name, value string
		status      int
	}{
		{gateway.HeaderTimeout, "0", 400},
		{gateway.HeaderTimeout, "abc", 400},
		{gateway.HeaderTimeout, "500", 200},
		{gateway.HeaderIdempotent, "maybe", 400},
		{gateway.HeaderRequestID, "r1", 400},
		{gateway.HeaderRequestID, uuid.NewString(), 400},
		{gateway.HeaderCaller, strings.Repeat("x", 65), 400},
	} {
		if r := h.call(t.Context(), "GET", "", c.name, c.value); r.status != c.status {
			t.Errorf("%s: %q: status %d, want %d", c.name, c.value, r.status, c.status)
		}
	}
	h.url = strings.Replace(h.url, "reclaim", "nothing", 1)
	if r := h.call(t.Context(), "GET", ""); r.status != 503 || r.outcome() != "not-run" {
		t.Errorf("unknown service: %d %s", r.status, r.outcome())
	}
}
