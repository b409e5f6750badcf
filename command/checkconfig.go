package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/configcheck"
	"github.com/fuchsiahill/fuchsiahill/platform"
)

const (
	inForceFlag  = "in-force"
	storeFlag    = "store"
	settingsFlag = "settings"
)

// ConfigErrorsError reports a configuration with errors, which have been printed.
type ConfigErrorsError struct {
	Path   string
	Errors int
}

func (e *ConfigErrorsError) Error() string {
	return fmt.Sprintf("%s: %d errors, do not send it", e.Path, e.Errors)
}

// UnreadableError reports a configuration that could not be read.
type UnreadableError struct {
	Source string
	Cause  error
}

func (e *UnreadableError) Error() string { return fmt.Sprintf("%s: %v", e.Source, e.Cause) }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// CheckConfigCommand returns the command that checks a configuration of the users' platform
// before it is sent.
func CheckConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a configuration before it is sent to the hosts",
		ArgsUsage: "FILE",
		Description: `Prints errors, warnings and, if the version in force is named, changes, one a
line. Exits with 0 if there are no errors, 1 if there are, and 2 if it could
not read the configuration. Keys are never printed.

` + examples("fuchsiahill check-config new.json --in-force old.json", "fuchsiahill check-config new.json --store 10.1.0.1:7400 --json"),
		Flags: readFlags(
			&cli.StringFlag{Name: inForceFlag, Usage: "compare with the version in `FILE`"},
			&cli.StringFlag{Name: storeFlag, Usage: "compare with the version in the store at `ADDRESS`"},
			&cli.StringFlag{Name: settingsFlag, Usage: "take from a host's settings `FILE` whether callers have keys"},
		),
		Action: func(_ context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "FILE")
			if err != nil {
				return err
			}
			return checkConfig(cmd, args[0])
		},
	}
}

// configReport is the output as JSON.
type configReport struct {
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Changes  int                   `json:"changes"`
	Findings []configcheck.Finding `json:"findings"`
}

func checkConfig(cmd *cli.Command, path string) error {
	draft, err := readDraft(cmd, path)
	if err != nil {
		return err
	}
	in, err := checkInput(cmd)
	if err != nil {
		return err
	}
	report := configReport{Findings: configcheck.Check(draft, in)}
	for _, f := range report.Findings {
		switch f.Severity {
		case configcheck.SeverityError:
			report.Errors++
		case configcheck.SeverityWarning:
			report.Warnings++
		case configcheck.SeverityChange:
			report.Changes++
		}
	}
	if err := printValue(cmd, report, func(w io.Writer) { printFindings(w, report.Findings) }); err != nil {
		return err
	}
	if report.Errors > 0 {
		return &ConfigErrorsError{Path: path, Errors: report.Errors}
	}
	return nil
}

func printFindings(w io.Writer, findings []configcheck.Finding) {
	if len(findings) == 0 {
		fmt.Fprintln(w, "nothing to say")
	}
	for _, f := range findings {
		path := f.Path
		if path == "" {
			path = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", f.Severity, path, f.Problem, f.Text)
	}
}

func readDraft(cmd *cli.Command, path string) (*configcheck.Draft, error) {
	data, err := readFile(cmd, path)
	if err != nil {
		return nil, err
	}
	draft, err := platform.DecodeDraft(data)
	if err != nil {
		return nil, &UnreadableError{Source: path, Cause: err}
	}
	return draft, nil
}

// checkInput returns what the flags name to check a configuration against.
func checkInput(cmd *cli.Command) (in configcheck.Input, err error) {
	file, address := cmd.String(inForceFlag), cmd.String(storeFlag)
	switch {
	case file != "" && address != "":
		return in, &UsageError{Command: cmd.FullName(), Reason: "--in-force and --store exclude each other"}
	case file != "":
		if in.InForce, err = readDraft(cmd, file); err != nil {
			return in, err
		}
		if in.InForce.Config == nil {
			return in, &UnreadableError{Source: file, Cause: &ContentError{Reason: "hosts can't decode it, so it is not in force"}}
		}
	case address != "":
		entry, err := platform.NewStore(address).Get(platform.ConfigKey)
		if err != nil {
			return in, &UnreadableError{Source: "store " + address, Cause: err}
		}
		if in.InForce, err = platform.DecodeDraft(entry.Value); err != nil {
			return in, &UnreadableError{Source: "store " + address, Cause: err}
		}
		if in.InForce.Config == nil {
			return in, &UnreadableError{Source: "store " + address, Cause: &ContentError{Reason: "hosts can't decode the configuration there"}}
		}
	}
	if path := cmd.String(settingsFlag); path != "" {
		s, err := platform.LoadSettings(path)
		if err != nil {
			return in, err
		}
		in.KeysRequired = s.HasWorkspaces
	}
	return in, nil
}
