package command

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

const (
	addressFlag   = "address"
	tokenFlag     = "token"
	tokenFileFlag = "token-file"
	caFlag        = "ca"
	jsonFlag      = "json"

	defaultAddress = "http://127.0.0.1:7402"
)

const description = `Talks to any entry host. Changes carry an ID, so that a command whose
outcome is unknown can be repeated with the same --change-id or --id.

EXIT CODES:
   0  done
   1  failed for another reason
   2  wrong command, argument, file or value
   3  not found
   4  conflict: another change or job was first
   5  unavailable: nothing was done, try again later
   6  unknown outcome: repeat with the same ID to learn it
   7  not in force on all hosts within the time given
   8  the token is unknown or does not allow it`

// New returns the command line, with extra commands at its end. Run it with
// Run.
func New(version string, extra ...*cli.Command) *cli.Command {
	root := &cli.Command{
		Name:        "fuchsiahill",
		Usage:       "operate the scheduler and submit jobs",
		Description: description,
		Version:     version,
		HideVersion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: addressFlag, Usage: "`URL` of an entry host's operators' address", Value: defaultAddress, Sources: cli.EnvVars("FUCHSIAHILL_ADDRESS")},
			&cli.StringFlag{Name: tokenFlag, Usage: "bearer `TOKEN`", Sources: cli.EnvVars("FUCHSIAHILL_TOKEN")},
			&cli.StringFlag{Name: tokenFileFlag, Usage: "`FILE` with the bearer token", Sources: cli.EnvVars("FUCHSIAHILL_TOKEN_FILE")},
			&cli.StringFlag{Name: caFlag, Usage: "`FILE` with the PEM certificates that hosts are trusted by", Sources: cli.EnvVars("FUCHSIAHILL_CA")},
		},
		Commands: []*cli.Command{
			settingsCommand(),
			dataCentreCommand(),
			hostsCommand(),
			shardsCommand(),
			servicesCommand(),
			jobsCommand(),
			statusCommand(),
			versionCommand(version),
		},
		Action: groupAction,
	}
	root.Commands = append(root.Commands, extra...)
	return root
}

// Run runs a command line, that of New or a daemon's, with args, the first of
// which is the program's name. It writes a failure as one line to the
// command's ErrWriter and returns the exit code.
func Run(ctx context.Context, root *cli.Command, args []string) int {
	returnErrors(root)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(root.ErrWriter, "%s: %s\n", root.Name, message(err))
	return ExitCode(err)
}

// returnErrors makes every command return its errors instead of printing
// help and ending the process.
func returnErrors(cmd *cli.Command) {
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		// Parsers of numbers add the name of their function.
		reason, _, _ := strings.Cut(err.Error(), ": strconv.")
		return &UsageError{Command: cmd.FullName(), Reason: reason}
	}
	for _, sub := range cmd.Commands {
		returnErrors(sub)
	}
}

// group returns a command that only holds others.
func group(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: commands, Action: groupAction}
}

// groupAction is called when no command of a group matches.
func groupAction(_ context.Context, cmd *cli.Command) error {
	switch {
	case cmd.Args().Present():
	case cmd == cmd.Root():
		return cli.ShowRootCommandHelp(cmd)
	default:
		return cli.ShowSubcommandHelp(cmd)
	}
	var names []string
	for _, sub := range cmd.Commands {
		if !sub.Hidden && sub.Name != "help" {
			names = append(names, sub.Name)
		}
	}
	reason := fmt.Sprintf("no command %q, one of: %s", cmd.Args().First(), strings.Join(names, ", "))
	return &UsageError{Command: cmd.FullName(), Reason: reason}
}

// examples is the description of a command by examples.
func examples(lines ...string) string {
	return "EXAMPLES:\n   " + strings.Join(lines, "\n   ")
}

// arguments returns the positional arguments if there are as many as names.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) == len(names) {
		return args, nil
	}
	reason := "takes no arguments"
	if len(names) > 0 {
		reason = "needs exactly: " + strings.Join(names, " ")
	}
	return nil, &UsageError{Command: cmd.FullName(), Reason: reason}
}

// readFlags returns the flags of a read and its own.
func readFlags(own ...cli.Flag) []cli.Flag {
	return slices.Concat(own, []cli.Flag{&cli.BoolFlag{Name: jsonFlag, Usage: "print JSON"}})
}

func versionCommand(version string) *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Flags: readFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			value := struct {
				Version string `json:"version"`
			}{version}
			return printValue(cmd, value, func(w io.Writer) { fmt.Fprintf(w, "fuchsiahill %s\n", version) })
		},
	}
}
