package dev

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"
)

const (
	forFlag    = "for"
	jsonFlag   = "json"
	faultsFlag = "faults"
	seedFlag   = "seed"
	logsFlag   = "logs"
)

// Command returns the `dev` command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small site in this process: stand-ins, three entry hosts and a light load",
		Description: `Runs until it is interrupted, or for --for. It then stops the load, waits for
the work to end, and exits with 0 only if no promise was broken.

EXAMPLES:
   fuchsiahill dev
   fuchsiahill dev --for 15s --json
   fuchsiahill dev --for 30s --faults --seed 7`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: forFlag, Usage: "end the load after this `TIME`; 0: when interrupted"},
			&cli.BoolFlag{Name: jsonFlag, Usage: "print the verdict as one JSON object"},
			&cli.BoolFlag{Name: faultsFlag, Usage: "inject a store outage, host and worker failures, and a data centre taken out of service and back"},
			&cli.Uint64Flag{Name: seedFlag, Usage: "`SEED` of the load and the faults", Value: 1},
			&cli.BoolFlag{Name: logsFlag, Usage: "write the hosts' logs to standard error"},
		},
		Action: action,
	}
}

func action(ctx context.Context, cmd *cli.Command) error {
	opts := Options{
		For:      cmd.Duration(forFlag),
		Faults:   cmd.Bool(faultsFlag),
		Seed:     cmd.Uint64(seedFlag),
		Progress: progressWriter(cmd),
	}
	if cmd.Bool(logsFlag) {
		opts.Logger = log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
	}
	report, err := Run(ctx, opts)
	if err != nil {
		return err
	}
	if err := printReport(cmd.Root().Writer, cmd.Bool(jsonFlag), report); err != nil {
		return err
	}
	if !report.OK() {
		return &BrokenPromiseError{Report: report}
	}
	return nil
}

// progressWriter returns the destination of progress lines: standard output in
// the default format, standard error with --json if it is a terminal, otherwise
// nil.
func progressWriter(cmd *cli.Command) io.Writer {
	if !cmd.Bool(jsonFlag) {
		return cmd.Root().Writer
	}
	info, err := os.Stderr.Stat()
	if err == nil && info.Mode()&os.ModeCharDevice != 0 {
		return os.Stderr
	}
	return nil
}

func printReport(w io.Writer, compact bool, report Report) error {
	enc := json.NewEncoder(w)
	if !compact {
		enc.SetIndent("", "  ")
	}
	return enc.Encode(report)
}
