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

// propagationTimeout is the maximum time until a change is in force on every
// host.
const propagationTimeout = 5 * time.Second

// TestSettingsPropagateWithoutStore disconnects one of two hosts from the store
// and changes the settings on the other. The change must reach both.
func TestSettingsPropagateWithoutStore(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{DataCentres: []fleet.DataCentre{"sofia-1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	cut := standin.NewConnections()
	first := startHostUntilCleanup(t, site, standin.NewConnections(), "entry-1")
	second := startHostUntilCleanup(t, site, cut, "entry-2")
	client := api.NewClient("http://"+first.OperatorsAddress(), "")
	setSetting(t, client, "values.queue_length", "100")
	awaitCondition(t, "both hosts know the settings and each other", func() bool {
		hosts, err := api.NewClient("http://"+second.OperatorsAddress(), "").Hosts(t.Context())
		return err == nil && len(hosts.Hosts) == 2 && second.SettingsRevision() == first.SettingsRevision()
	})
	cut.Close()
	setSetting(t, client, "values.queue_length", "200")
	awaitCondition(t, "the change is in force on the host that is disconnected from the store", func() bool {
		return second.SettingsRevision() == first.SettingsRevision()
	})
}

// startHostUntilCleanup starts a host that runs until the end of the test.
func startHostUntilCleanup(t *testing.T, site *standin.Site, cut *standin.Connections, id fleet.HostID) *host.Host {
	t.Helper()
	h, _ := startHost(t, site, cut, id)
	return h
}

// startHost starts a host and returns it with a function that shuts it down
// gracefully.
func startHost(t *testing.T, site *standin.Site, cut *standin.Connections, id fleet.HostID) (*host.Host, func()) {
	t.Helper()
	return startHostWithOptions(t, site, id, host.Options{Store: cut.Store(site.StoreURL)})
}

func startHostWithOptions(t *testing.T, site *standin.Site, id fleet.HostID, opts host.Options) (*host.Host, func()) {
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
		_ = h.Serve(ctx) // the tests check its effects
	}()
	t.Cleanup(func() {
		cancel()
		h.Abort() // a host that is disconnected from the store can't release its shards
		<-done
	})
	return h, func() { cancel(); <-done }
}

func awaitCondition(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(propagationTimeout); !reached(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached within %v: %s", propagationTimeout, what)
		}
	}
}
