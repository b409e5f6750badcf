package host_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/host"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/inventory"
)

// panickingLister is a host lister whose first panicsLeft calls panic.
type panickingLister struct {
	inventory.HostLister
	panicsLeft atomic.Int64
}

func (p *panickingLister) Hosts(ctx context.Context, known int64) (inventory.HostList, bool, error) {
	if p.panicsLeft.Add(-1) >= 0 {
		panic("host list")
	}
	return p.HostLister.Hosts(ctx, known)
}

// TestPanickingServiceRestartsAlone makes one service of a host panic. The other
// services must keep running, and the host must become ready once the service
// has recovered.
func TestPanickingServiceRestartsAlone(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{DataCentres: []fleet.DataCentre{"sofia-1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	lister := &panickingLister{HostLister: inventory.NewHTTPHostLister(site.HostsURL)}
	lister.panicsLeft.Store(2)
	h, _ := startHostWithOptions(t, site, "entry-1", host.Options{Store: standin.NewConnections().Store(site.StoreURL), Hosts: lister})
	client := api.NewClient("http://"+h.OperatorsAddress(), "")
	setSetting(t, client, "values.queue_length", "100")
	awaitCondition(t, "the host is ready", func() bool { return isReady(t, client) })
	if left := lister.panicsLeft.Load(); left >= 0 {
		t.Errorf("host became ready with %d panics left", left+1)
	}
}

// TestShutdownSoonAfterStart shuts a host down before the store counts as steady.
// During that time hosts keep records that vanish from the store. The other host
// must claim the shards nevertheless.
func TestShutdownSoonAfterStart(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{DataCentres: []fleet.DataCentre{"sofia-1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	first, stop := startHost(t, site, standin.NewConnections(), "entry-1")
	second := startHostUntilCleanup(t, site, standin.NewConnections(), "entry-2")
	setSetting(t, api.NewClient("http://"+first.OperatorsAddress(), ""), "data_centres.sofia-1", `{"region":"bulgaria","state":"in","cells":4}`)
	client := api.NewClient("http://"+second.OperatorsAddress(), "")
	owned := func(host fleet.HostID) int {
		list, err := client.Shards(t.Context())
		if err != nil {
			return 0
		}
		n := 0
		for _, s := range list.Shards {
			if s.Owner != nil && s.Owner.Host == host {
				n++
			}
		}
		return n
	}
	awaitCondition(t, "both hosts own shards", func() bool {
		return owned("entry-1") > 0 && owned("entry-1")+owned("entry-2") == 8
	})
	stop()
	awaitCondition(t, "the other host owns all shards", func() bool { return owned("entry-2") == 8 })
}
