// Command fuchsiahilld is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/config"
	"github.com/fuchsiahill/fuchsiahill/host"
)

// version is set when a release is built.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	daemon := &cli.Command{
		Name:    "fuchsiahilld",
		Usage:   "serve requests and jobs on an entry host",
		Version: version,
		Flags:   config.Flags(),
		Action:  serve,
	}
	if err := daemon.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fuchsiahilld:", err)
		os.Exit(1)
	}
}

// serve runs the host until the process is told to end.
func serve(ctx context.Context, cmd *cli.Command) error {
	cfg, err := config.Load(cmd)
	if err != nil {
		return err
	}
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
	h, err := host.New(cfg, host.Options{Logger: logger})
	if err != nil {
		return err
	}
	return h.Serve(ctx)
}
