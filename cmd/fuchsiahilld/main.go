// Command fuchsiahilld is the daemon of an entry host.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/command"
	"github.com/fuchsiahill/fuchsiahill/config"
	"github.com/fuchsiahill/fuchsiahill/host"
	"github.com/fuchsiahill/fuchsiahill/node"
	"github.com/fuchsiahill/fuchsiahill/platform"
)

// version is set when a release is built.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	daemon := &cli.Command{
		Name:    "fuchsiahilld",
		Usage:   "serve requests and jobs on an entry host",
		Version: version,
		Flags:   config.Flags(),
		Action:  serve,
		Commands: []*cli.Command{{
			Name:   "node",
			Usage:  "serve on a host of the users' platform, with the settings file that the platform provides",
			Action: serveNode,
		}},
	}
	code := command.Run(ctx, daemon, os.Args)
	stop()
	os.Exit(code)
}

// serveNode runs the daemon on a host of the users' platform until SIGTERM or
// SIGINT.
func serveNode(context.Context, *cli.Command) error {
	return node.Run(os.Getenv(platform.SettingsVariable), version)
}

// serve runs the host until ctx ends, which SIGTERM and SIGINT cause.
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
