// Command standind runs a site of stand-ins (store, host list, workers and
// backend servers) in its own process, for running the daemon without a platform.
// It prints the addresses as one JSON object and runs until it is interrupted.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
)

// addresses is the object that standind prints when it is ready.
type addresses struct {
	Store string `json:"store_url"`
	Hosts string `json:"host_list_url"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "standind:", err)
		os.Exit(1)
	}
}

func run() error {
	site, err := standin.StartSite(standin.SiteConfig{
		Organisation:   "balkantrans",
		Service:        "reclaim",
		DataCentres:    []fleet.DataCentre{"sofia-1", "plovdiv"},
		WorkersPerDC:   4,
		WorkersPerRack: 2,
		ServersPerDC:   2,
		Capacity:       fleet.Resources{MilliCores: 16_000, MemoryMB: 64_000},
		Reserved:       fleet.Resources{MilliCores: 4_000, MemoryMB: 8_000},
		Slots:          8,
		Connections:    64,
		ServiceTime:    5 * time.Millisecond,
		TaskTime:       500 * time.Millisecond,
		HostListLag:    time.Second,
	})
	if err != nil {
		return err
	}
	defer site.Close()
	if err := json.NewEncoder(os.Stdout).Encode(addresses{Store: site.StoreURL, Hosts: site.HostsURL}); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
