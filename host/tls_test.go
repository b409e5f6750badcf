package host_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/config"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/host"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/internal/testca"
)

// TestMutualTLS runs two hosts that use TLS for peers, callers and operators. A
// request to the host without backend servers must be forwarded.
func TestMutualTLS(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{
		Organisation: "balkantrans", Service: "reclaim", DataCentres: []fleet.DataCentre{"sofia-1"},
		WorkersPerDC: 1, ServersPerDC: 1, Slots: 8, Connections: 64,
		Capacity: fleet.Resources{MilliCores: 16_000, MemoryMB: 64_000},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	ca := testca.New(t)
	hosts := []*host.Host{startTLS(t, site, ca, "entry-1"), startTLS(t, site, ca, "entry-2")}
	trusted := x509.NewCertPool()
	trusted.AppendCertsFromPEM([]byte(ca.PEM))
	client := api.NewTLSClient("https://"+hosts[0].OperatorsAddress(), "", &tls.Config{RootCAs: trusted})
	setSetting(t, client, "data_centres", `{"sofia-1":{"region":"bulgaria","state":"in","cells":1}}`)

	if resp, err := http.Get("http://" + hosts[0].HTTPAddress() + "/svc/reclaim/x"); err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("plain HTTP request got status %d", resp.StatusCode)
		}
	}
	callers := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusted}}}
	defer callers.CloseIdleConnections()
	for _, h := range hosts {
		awaitAnswer(t, callers, "https://"+h.HTTPAddress()+"/svc/reclaim/x")
	}
}

func startTLS(t *testing.T, site *standin.Site, ca *testca.Authority, id string) *host.Host {
	t.Helper()
	pair := ca.Issue(t, id)
	cfg := config.Default()
	cfg.ID = fleet.HostID(id)
	cfg.Region = "bulgaria"
	cfg.DataCentre = "sofia-1"
	cfg.HTTPAddress, cfg.PeerAddress, cfg.OperatorsAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.StoreURL, cfg.HostListURL = site.StoreURL, site.HostsURL
	cfg.TLS = config.TLS{Certificate: pair.Certificate, Key: pair.Key, CA: ca.PEM}
	h, err := host.New(cfg, host.Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Serve(ctx) // the test checks its responses
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return h
}

func setSetting(t *testing.T, client *api.Client, path, value string) {
	t.Helper()
	req := api.SetRequest{ID: uuid.NewString(), Path: path, Value: json.RawMessage(value)}
	if _, err := client.Set(t.Context(), req); err != nil {
		t.Fatal(err)
	}
}

func awaitAnswer(t *testing.T, client *http.Client, url string) {
	t.Helper()
	outcome := ""
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Post(url, "text/plain", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		outcome = resp.Header.Get("Fuchsiahill-Outcome")
		if outcome == "answered" {
			return
		}
	}
	t.Errorf("%s: last outcome %q, want \"answered\"", url, outcome)
}
