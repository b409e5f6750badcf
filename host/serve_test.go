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

// panicking is a host list whose first calls panic.
type panicking struct {
	inventory.HostLister
	left atomic.Int64
}

func (p *panicking) Hosts(ctx context.Context, known int64) (inventory.HostList, bool, error) {
	if p.left.Add(-1) >= 0 {
		panic("host list")
	}
	return p.HostLister.Hosts(ctx, known)
}

// TestPanickingServiceRestartsAlone lets one service of a host panic: the
// others go on, and the host becomes ready once it has run again.
func TestPanickingServiceRestartsAlone(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{DataCentres: []fleet.DataCentre{"sofia-1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	lister := &panicking{HostLister: inventory.NewHTTPHostLister(site.HostsURL)}
	lister.left.Store(2)
	h, _ := startWith(t, site, "entry-1", host.Options{Store: standin.NewConnections().Store(site.StoreURL), Hosts: lister})
	client := api.NewClient("http://"+h.OperatorsAddress(), "")
	set(t, client, "values.queue_length", "100")
	await(t, "the host is ready", func() bool { return isReady(t, client) })
	if left := lister.left.Load(); left >= 0 {
		t.Errorf("ready with %d panics to come", left+1)
	}
}

// TestShutdownSoonAfterTheStart shuts a host down before the store counts as
// steady, when a record that vanishes is kept: the other host must claim its
// shards all the same.
func TestShutdownSoonAfterTheStart(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{DataCentres: []fleet.DataCentre{"sofia-1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	first, stop := startHost(t, site, standin.NewConnections(), "entry-1")
	second := startCut(t, site, standin.NewConnections(), "entry-2")
	set(t, api.NewClient("http://"+first.OperatorsAddress(), ""), "data_centres.sofia-1", `{"region":"bulgaria","state":"in","cells":4}`)
	client := api.NewClient("http://"+second.OperatorsAddress(), "")
	owned := func(host fleet.HostID) int {
		seen, err := client.Shards(t.Context())
		if err != nil {
			return 0
		}
		n := 0
		for _, s := range seen.Shards {
			if s.Owner != nil && s.Owner.Host == host {
				n++
			}
		}
		return n
	}
	await(t, "both hosts own shards", func() bool {
		return owned("entry-1") > 0 && owned("entry-1")+owned("entry-2") == 8
	})
	stop()
	await(t, "the other host owns all", func() bool { return owned("entry-2") == 8 })
}
