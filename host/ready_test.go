package host_test

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// TestReadyOncePeerLoadIsKnown checks that a joining host becomes ready only
// once it knows the other host, so that it can forward requests.
func TestReadyOncePeerLoadIsKnown(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{DataCentres: []fleet.DataCentre{"sofia-1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	first := api.NewClient("http://"+startHostUntilCleanup(t, site, standin.NewConnections(), "entry-1").OperatorsAddress(), "")
	setSetting(t, first, "values.queue_length", "100")
	awaitCondition(t, "the only host is ready", func() bool { return isReady(t, first) })

	joining := api.NewClient("http://"+startHostUntilCleanup(t, site, standin.NewConnections(), "entry-2").OperatorsAddress(), "")
	awaitCondition(t, "the joining host is ready", func() bool { return isReady(t, joining) })
	hosts, err := joining.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(hosts.Hosts) != 2 || !hosts.Hosts[0].Known {
		t.Errorf("host became ready while it knew %+v", hosts.Hosts)
	}
}

func isReady(t *testing.T, client *api.Client) bool {
	status, err := client.Status(t.Context())
	return err == nil && status.Ready
}
