package soak

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// BrokenPromiseError reports a run in which a promise was broken.
type BrokenPromiseError struct{ Verdict *Verdict }

func (e *BrokenPromiseError) Error() string { return "soak: promise broken; logs in " + e.Verdict.Logs }

// Command returns the `soak` command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the daemon as separate processes under injected faults, and check the promises",
		Description: `Starts hosts, with stand-ins for the platform's store and workers, on this machine,
submits jobs while overlapping faults are injected, and prints a verdict.
It exits with 0 only if no promise was broken; the logs are then removed.

EXAMPLES:
   fuchsiahill soak --daemon target/fuchsiahilld --seed 7 --for 60s
   fuchsiahill soak --daemon target/fuchsiahilld --hosts 20 --workers 60`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Usage: "`PATH` of fuchsiahilld", Value: "target/fuchsiahilld"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of load and faults", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "`TIME` of load and faults", Value: 30 * time.Second},
			&cli.IntFlag{Name: "hosts", Usage: "`NUMBER` of hosts", Value: 5},
			&cli.IntFlag{Name: "workers", Usage: "`NUMBER` of workers", Value: 12},
			&cli.BoolFlag{Name: "quiet", Usage: "print the verdict only"},
		},
		Action: action,
	}
}

func action(ctx context.Context, cmd *cli.Command) error {
	daemon, err := filepath.Abs(cmd.String("daemon"))
	if err != nil {
		return eris.Wrap(err, "daemon")
	}
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return eris.Wrap(err, "logs")
	}
	opts := Options{
		Daemon: daemon, Dir: dir, Seed: cmd.Uint64("seed"), For: cmd.Duration("for"), Hosts: cmd.Int("hosts"), Workers: cmd.Int("workers"),
		Out: cmd.Root().ErrWriter,
	}
	if cmd.Bool("quiet") {
		opts.Out = io.Discard
	}
	verdict, err := Run(ctx, opts)
	if err != nil {
		return err
	}
	if err := WriteReport(cmd.Root().Writer, verdict); err != nil {
		return err
	}
	if verdict.Failed() {
		return &BrokenPromiseError{verdict}
	}
	return RemoveLogs(verdict)
}
