package host_test

import (
	"testing"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// TestShutdownSoonAfterTheStart shuts a host down before the store counts as
// steady, when a record that vanishes is kept: the other host must claim its
// shards all the same.
func TestShutdownSoonAfterTheStart(t *testing.T) {
	site, err := standin.StartSite(standin.SiteConfig{DataCentres: []fleet.DataCentre{"sofia-1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	first, stop := startHost(t, site, standin.NewCut(), "entry-1")
	second := startCut(t, site, standin.NewCut(), "entry-2")
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
