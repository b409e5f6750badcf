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

const description = `Connects to any entry host. Changes carry an ID, so a command whose outcome
is unknown can safely be repeated with the same --change-id or --id.

EXIT CODES:
   0  success
   1  failed for another reason
   2  invalid command, argument, file or value
   3  not found
   4  conflict: another change or job came first
   5  unavailable: nothing was done; retry later
   6  unknown outcome: repeat with the same ID to learn the outcome
   7  not in force on all hosts before the timeout
   8  the token is unknown or lacks permission`

// New returns the root command, with the extra commands appended. Run executes
// it.
func New(version string, extra ...*cli.Command) *cli.Command {
	root := &cli.Command{
		Name:        "fuchsiahill",
		Usage:       "operate the scheduler and submit jobs",
		Description: description,
		Version:     version,
		HideVersion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: addressFlag, Usage: "`URL` of the operators' address of an entry host", Value: defaultAddress, Sources: cli.EnvVars("FUCHSIAHILL_ADDRESS")},
			&cli.StringFlag{Name: tokenFlag, Usage: "bearer `TOKEN`", Sources: cli.EnvVars("FUCHSIAHILL_TOKEN")},
			&cli.StringFlag{Name: tokenFileFlag, Usage: "`FILE` with the bearer token", Sources: cli.EnvVars("FUCHSIAHILL_TOKEN_FILE")},
			&cli.StringFlag{Name: caFlag, Usage: "`FILE` with the PEM certificates of trusted authorities", Sources: cli.EnvVars("FUCHSIAHILL_CA")},
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

// Run executes a root command, that of New or a daemon's, with args, the first
// of which is the program's name. It writes an error as one line to the
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

// returnErrors makes every command return its errors instead of printing help
// and exiting the process.
func returnErrors(cmd *cli.Command) {
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		// Drop the function name that package strconv adds to its errors.
		reason, _, _ := strings.Cut(err.Error(), ": strconv.")
		return &UsageError{Command: cmd.FullName(), Reason: reason}
	}
	for _, sub := range cmd.Commands {
		returnErrors(sub)
	}
}

// commandGroup returns a command that only holds subcommands.
func commandGroup(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: commands, Action: groupAction}
}

// groupAction runs when no subcommand of a group matches. It shows the help, or
// returns an error for an unknown subcommand.
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
	reason := fmt.Sprintf("unknown command %q, available commands: %s", cmd.Args().First(), strings.Join(names, ", "))
	return &UsageError{Command: cmd.FullName(), Reason: reason}
}

// examples returns the description of a command that lists examples.
func examples(lines ...string) string {
	return "EXAMPLES:\n   " + strings.Join(lines, "\n   ")
}

// arguments returns the positional arguments, or a UsageError unless there is
// one for each name.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) == len(names) {
		return args, nil
	}
	reason := "takes no arguments"
	if len(names) > 0 {
		reason = "expected arguments: " + strings.Join(names, " ")
	}
	return nil, &UsageError{Command: cmd.FullName(), Reason: reason}
}

// readFlags returns the extra flags of a command and the JSON flag.
func readFlags(extra ...cli.Flag) []cli.Flag {
	return slices.Concat(extra, []cli.Flag{&cli.BoolFlag{Name: jsonFlag, Usage: "print JSON"}})
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
