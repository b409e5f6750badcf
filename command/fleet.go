package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

func dataCentreCommand() *cli.Command {
	return commandGroup("dc", "take data centres out of service and put them back",
		stateCommand("out", "take a data centre out of service, so that no tasks start there", settings.DataCentreOutOfService),
		stateCommand("in", "put a data centre back into service", settings.DataCentreInService),
		readCommand("list", "list the data centres", (*api.Client).DataCentres, func(w io.Writer, l api.DataCentres) {
			printDataCentres(w, l.DataCentres)
		}))
}

func stateCommand(name, usage string, state settings.DataCentreState) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		ArgsUsage:   "NAME",
		Description: examples("fuchsiahill dc " + name + " sofia-1 --wait 5s"),
		Flags:       changeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "NAME")
			if err != nil {
				return err
			}
			return runChange(ctx, cmd, func(c *api.Client, id string, expect store.Revision) (settings.Record, error) {
				return c.SetState(ctx, fleet.DataCentre(args[0]), api.StateRequest{ID: id, State: state, Expect: expect})
			})
		},
	}
}

// readCommand returns a command that prints the result of one API call.
func readCommand[T any](name, usage string, call func(*api.Client, context.Context) (T, error), writeText func(io.Writer, T)) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: readFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			c, err := client(cmd)
			if err != nil {
				return err
			}
			value, err := call(c, ctx)
			if err != nil {
				return err
			}
			return printValue(cmd, value, func(w io.Writer) { writeText(w, value) })
		},
	}
}

func hostsCommand() *cli.Command {
	return readCommand("hosts", "list the entry hosts", (*api.Client).Hosts, func(w io.Writer, l api.Hosts) { printHosts(w, l.Hosts) })
}

func shardsCommand() *cli.Command {
	return readCommand("shards", "list the shards and their owners", (*api.Client).Shards, func(w io.Writer, l api.Shards) {
		fmt.Fprintf(w, "SHARD\tOWNER\tEPOCH\n")
		for _, s := range l.Shards {
			if s.Owner == nil {
				fmt.Fprintf(w, "%s\t-\t-\n", s.ID)
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%d\n", s.ID, s.Owner.Host, s.Owner.Epoch)
		}
	})
}

func servicesCommand() *cli.Command {
	return readCommand("services", "list the services and their load", (*api.Client).Services, func(w io.Writer, l api.Services) {
		fmt.Fprintf(w, "SERVICE\tHOSTS\tSLOTS\tFREE\tWAITING\n")
		for _, s := range l.Services {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", s.Name, s.Hosts, s.Slots, s.Free, s.Waiting)
		}
	})
}

func statusCommand() *cli.Command {
	return readCommand("status", "print the state of the system as one host knows it", (*api.Client).Status, printStatus)
}

func printStatus(w io.Writer, s api.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	fmt.Fprintf(w, "host %s: %s\n", s.Host, ready)
	fmt.Fprintf(w, "settings: revision %d, confirmed %s\n", s.Revision, formatConfirmed(s.ConfirmedAt))
	fmt.Fprintf(w, "shards without a known owner: %d\n\n", s.Unowned)
	printHosts(w, s.Hosts)
	fmt.Fprintln(w)
	printDataCentres(w, s.DataCentres)
}

func formatConfirmed(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}

func printHosts(w io.Writer, hosts []api.Host) {
	fmt.Fprintf(w, "HOST\tREGION\tDATA CENTRE\tSETTINGS\tSHARDS\tSLOTS\tFREE\tWAITING\tTASKS\tSTATE\n")
	for _, h := range hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", h.ID, h.Region, h.DataCentre, h.Settings,
			h.Shards, h.Slots, h.Free, h.Waiting, h.Tasks, hostState(h))
	}
}

func hostState(h api.Host) string {
	switch {
	case !h.Known:
		return "silent"
	case h.Draining:
		return "draining"
	case !h.StoreOK:
		return "no store"
	default:
		return "ok"
	}
}

func printDataCentres(w io.Writer, list []api.DataCentre) {
	fmt.Fprintf(w, "DATA CENTRE\tREGION\tSTATE\tCELLS\n")
	for _, dc := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", dc.Name, dc.Region, dc.State, dc.Cells)
	}
}
