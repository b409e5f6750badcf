package host_test

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// A host that joins takes requests once it knows where else to send them.
func TestReadyOnceThePeersAreKnown(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{DataCentres: []fleet.DataCentre{"sofia-1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	first := api.NewClient("http://"+startCut(t, site, standin.NewConnections(), "entry-1").OperatorsAddress(), "")
	set(t, first, "values.queue_length", "100")
	await(t, "a host that is alone is ready", func() bool { return isReady(t, first) })

	joining := api.NewClient("http://"+startCut(t, site, standin.NewConnections(), "entry-2").OperatorsAddress(), "")
	await(t, "a host that joins is ready", func() bool { return isReady(t, joining) })
	seen, err := joining.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(seen.Hosts) != 2 || !seen.Hosts[0].Known {
		t.Errorf("ready with %+v", seen.Hosts)
	}
}

func isReady(t *testing.T, client *api.Client) bool {
	status, err := client.Status(t.Context())
	return err == nil && status.Ready
}
