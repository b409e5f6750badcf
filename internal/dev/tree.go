package dev

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/settings"
)

const (
	region       fleet.Region       = "bulgaria"
	organisation fleet.Organisation = "balkantrans"
	team         fleet.Team         = "claims"
	serviceName  fleet.Service      = "reclaim"

	workersPerDataCentre = 4
	serversPerDataCentre = 2
	cellsPerDataCentre   = 2
	hostListLag          = 500 * time.Millisecond
	serviceTime          = 5 * time.Millisecond
	taskTime             = 1500 * time.Millisecond
)

var dataCentres = []fleet.DataCentre{"sofia-1", "plovdiv"}

// siteConfig returns the configuration of the stand-ins of a run.
func siteConfig(seed uint64) standin.SiteConfig {
	return standin.SiteConfig{
		Organisation:   organisation,
		Service:        serviceName,
		DataCentres:    dataCentres,
		WorkersPerDC:   workersPerDataCentre,
		WorkersPerRack: 2,
		ServersPerDC:   serversPerDataCentre,
		Capacity:       fleet.Resources{MilliCores: 16_000, MemoryMB: 64_000},
		Reserved:       fleet.Resources{MilliCores: 4_000, MemoryMB: 8_000},
		Slots:          8,
		Connections:    64,
		ServiceTime:    serviceTime,
		TaskTime:       taskTime,
		HostListLag:    hostListLag,
		Seed:           seed,
	}
}

// tree returns the settings tree that a run starts with.
func tree() *settings.Tree {
	t := &settings.Tree{
		Organisations: map[fleet.Organisation]*settings.Organisation{organisation: {}},
		DataCentres:   make(map[fleet.DataCentre]*settings.DataCentre),
		Teams: map[fleet.Team]*settings.Team{team: {
			Organisation: organisation,
			Region:       region,
			Quota:        fleet.Resources{MilliCores: 512_000, MemoryMB: 2_048_000},
			Shards:       1,
		}},
	}
	for _, dc := range dataCentres {
		t.DataCentres[dc] = &settings.DataCentre{Region: region, State: settings.DataCentreInService, Cells: cellsPerDataCentre}
	}
	t.Values.RequestTimeoutMS = ptr(int64(2_000))
	t.Values.WorkerLeaseMS = ptr(int64(3_000))
	return t
}

func ptr[T any](v T) *T { return &v }
