// Command fuchsiahill is the command-line client for operators and job callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/fuchsiahill/fuchsiahill/command"
	"github.com/fuchsiahill/fuchsiahill/internal/dev"
	"github.com/fuchsiahill/fuchsiahill/internal/experiment"
	"github.com/fuchsiahill/fuchsiahill/internal/soak"
)

// version is set when a release is built.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, command.New(version, dev.Command(), soak.Command(), experiment.Command(), command.ExplainJobCommand(), command.ExplainDayCommand(), command.CheckSettingsCommand(), command.CheckConfigCommand()), os.Args)
	stop()
	os.Exit(code)
}
