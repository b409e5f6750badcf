package gateway_test

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// benchSite runs a gateway with one backend server and returns the URLs of both.
func benchSite(b *testing.B) (gatewayURL, serverURL string) {
	b.Helper()
	s := newSite(b, 1, instant)
	h := s.start(b, "h1", true)
	return h.url, "http://" + s.backends[0].Info().Address + "/x"
}

// BenchmarkOverhead compares a request through the gateway with one sent to the
// backend server directly. The difference is the overhead of the gateway.
func BenchmarkOverhead(b *testing.B) {
	viaURL, directURL := benchSite(b)
	for _, c := range []struct{ name, url string }{{"direct", directURL}, {"gateway", viaURL}} {
		b.Run(c.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			var took []time.Duration
			b.ReportAllocs()
			for b.Loop() {
				began := time.Now()
				resp, err := client.Get(c.url)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
		})
	}
}
