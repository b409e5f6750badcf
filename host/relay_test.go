package host_test

import (
	"context"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/config"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/host"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// inForceBound is how long a change may take to be in force on every host.
const inForceBound = 5 * time.Second

// TestSettingsReachAHostWithoutTheStore cuts one of two hosts off the store
// and changes the settings at the other.
func TestSettingsReachAHostWithoutTheStore(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{DataCentres: []fleet.DataCentre{"sofia-1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	cut := standin.NewConnections()
	first := startCut(t, site, standin.NewConnections(), "entry-1")
	second := startCut(t, site, cut, "entry-2")
	client := api.NewClient("http://"+first.OperatorsAddress(), "")
	set(t, client, "values.queue_length", "100")
	await(t, "both hosts know the settings and one another", func() bool {
		seen, err := api.NewClient("http://"+second.OperatorsAddress(), "").Hosts(t.Context())
		return err == nil && len(seen.Hosts) == 2 && second.SettingsRevision() == first.SettingsRevision()
	})
	cut.Close()
	set(t, client, "values.queue_length", "200")
	await(t, "the change is in force on the host without the store", func() bool {
		return second.SettingsRevision() == first.SettingsRevision()
	})
}

func startCut(t *testing.T, site *standin.Site, cut *standin.Connections, id fleet.HostID) *host.Host {
	t.Helper()
	h, _ := startHost(t, site, cut, id)
	return h
}

// startHost returns a host and what shuts it down in order.
func startHost(t *testing.T, site *standin.Site, cut *standin.Connections, id fleet.HostID) (*host.Host, func()) {
	t.Helper()
	return startWith(t, site, id, host.Options{Store: cut.Store(site.StoreURL)})
}

func startWith(t *testing.T, site *standin.Site, id fleet.HostID, opts host.Options) (*host.Host, func()) {
	t.Helper()
	cfg := config.Default()
	cfg.ID = id
	cfg.Region = "bulgaria"
	cfg.DataCentre = "sofia-1"
	cfg.HTTPAddress, cfg.PeerAddress, cfg.OperatorsAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.StoreURL, cfg.HostListURL = site.StoreURL, site.HostsURL
	h, err := host.New(cfg, opts)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Serve(ctx) // the settings in force tell
	}()
	t.Cleanup(func() {
		cancel()
		h.Abort() // a host without the store can't release anything
		<-done
	})
	return h, func() { cancel(); <-done }
}

func await(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(inForceBound); !reached(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", inForceBound, what)
		}
	}
}
