package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

const (
	changeIDFlag = "change-id"
	expectFlag   = "expect"
	waitFlag     = "wait"
	fileFlag     = "file"
	timeoutFlag  = "timeout"
	revisionFlag = "revision"

	defaultTimeout = 10 * time.Second
	defaultRecords = 20
)

func settingsCommand() *cli.Command {
	return commandGroup("settings", "read and change the settings tree",
		settingsGet(), settingsSet(), settingsUnset(), settingsExplain(),
		settingsValidate(), settingsHistory(), settingsWait())
}

// changeFlags returns the extra flags of a command and those of every settings
// change.
func changeFlags(extra ...cli.Flag) []cli.Flag {
	return readFlags(append(extra,
		&cli.StringFlag{Name: changeIDFlag, Usage: "`ID` of the change; use the same one to repeat it", DefaultText: "a new one"},
		&cli.Int64Flag{Name: expectFlag, Usage: "reject the change unless the tree is at `REVISION`"},
		&cli.DurationFlag{Name: waitFlag, Usage: "wait up to `TIME` until the change is in force on all hosts"},
	)...)
}

func settingsGet() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the settings tree in force, or a part of it",
		ArgsUsage: "[PATH]",
		Description: examples("fuchsiahill settings get",
			"fuchsiahill settings get values.objective_ms",
			"fuchsiahill settings get organisations.balkantrans --json"),
		Flags: readFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() > 1 {
				return &UsageError{Command: cmd.FullName(), Reason: "takes at most one path"}
			}
			c, err := client(cmd)
			if err != nil {
				return err
			}
			v, err := c.Settings(ctx, cmd.Args().First())
			if err != nil {
				return err
			}
			return printValue(cmd, v, func(w io.Writer) { fmt.Fprintln(w, indentJSON(v.Value)) })
		},
	}
}

func indentJSON(value json.RawMessage) string {
	var v any
	if json.Unmarshal(value, &v) != nil {
		return string(value)
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return string(value)
	}
	return string(data)
}

func settingsSet() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "set a path to a JSON value or a word",
		ArgsUsage: "PATH VALUE",
		Description: examples("fuchsiahill settings set values.objective_ms 80",
			"fuchsiahill settings set organisations.balkantrans.data_centres.sofia-1.services.reclaim.objective_ms 40 --wait 5s",
			"fuchsiahill settings set teams.fuel --file fuel.json"),
		Flags: changeFlags(&cli.StringFlag{Name: fileFlag, Usage: "read the value from `FILE`, - for standard input"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path, value, err := setArguments(cmd)
			if err != nil {
				return err
			}
			return runChange(ctx, cmd, func(c *api.Client, id string, expect store.Revision) (settings.Record, error) {
				return c.Set(ctx, api.SetRequest{ID: id, Path: path, Value: value, Expect: expect})
			})
		},
	}
}

func setArguments(cmd *cli.Command) (string, json.RawMessage, error) {
	file := cmd.String(fileFlag)
	if file == "" {
		args, err := arguments(cmd, "PATH", "VALUE")
		if err != nil {
			return "", nil, err
		}
		value, err := parseValue(cmd, args[1])
		return args[0], value, err
	}
	args, err := arguments(cmd, "PATH")
	if err != nil {
		return "", nil, err
	}
	data, err := readFile(cmd, file)
	if err != nil {
		return "", nil, err
	}
	if !json.Valid(data) {
		return "", nil, &FileError{Path: file, Cause: &ContentError{Reason: "not valid JSON"}}
	}
	return args[0], data, nil
}

var wordPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]*$`)

// parseValue returns text if it is JSON, and a word without quotes as a JSON
// string.
func parseValue(cmd *cli.Command, text string) (json.RawMessage, error) {
	switch {
	case json.Valid([]byte(text)):
		return json.RawMessage(text), nil
	case wordPattern.MatchString(text):
		return json.Marshal(text)
	}
	return nil, &UsageError{Command: cmd.FullName(), Reason: fmt.Sprintf("VALUE %q is neither JSON nor a word", text)}
}

func settingsUnset() *cli.Command {
	return &cli.Command{
		Name:        "unset",
		Usage:       "remove a path, which then inherits from the level above",
		ArgsUsage:   "PATH",
		Description: examples("fuchsiahill settings unset organisations.balkantrans.values.priority"),
		Flags:       changeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "PATH")
			if err != nil {
				return err
			}
			return runChange(ctx, cmd, func(c *api.Client, id string, expect store.Revision) (settings.Record, error) {
				return c.Unset(ctx, api.UnsetRequest{ID: id, Path: args[0], Expect: expect})
			})
		},
	}
}

// runChange applies a change, prints its record and, if the wait flag is set,
// waits until it is in force on all hosts.
func runChange(ctx context.Context, cmd *cli.Command, apply func(*api.Client, string, store.Revision) (settings.Record, error)) error {
	c, err := client(cmd)
	if err != nil {
		return err
	}
	id, err := newID(cmd.String(changeIDFlag))
	if err != nil {
		return err
	}
	rec, err := apply(c, id, store.Revision(cmd.Int64(expectFlag)))
	if err != nil {
		return withChangeID(err, id)
	}
	if err := printValue(cmd, rec, func(w io.Writer) { fmt.Fprintln(w, formatRecord(rec)) }); err != nil {
		return err
	}
	if !cmd.IsSet(waitFlag) {
		return nil
	}
	return awaitInForce(ctx, c, rec.Revision, cmd.Duration(waitFlag))
}

// withChangeID adds the change ID, under which the change can be repeated, to an
// error of unknown outcome.
func withChangeID(err error, id string) error {
	if ExitCode(err) != ExitUnknown {
		return err
	}
	return &UnknownChangeError{ID: id, Cause: err}
}

// UnknownChangeError reports a change whose outcome is unknown: it may or may
// not have been applied.
type UnknownChangeError struct {
	ID    string
	Cause error
}

func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("%s; repeat it with --change-id %s", message(e.Cause), e.ID)
}

// Unwrap returns the cause.
func (e *UnknownChangeError) Unwrap() error { return e.Cause }

func formatRecord(r settings.Record) string {
	return fmt.Sprintf("revision %d: %s: %s -> %s (change %s)", r.Revision, r.Path, formatValue(r.Old), formatValue(r.New), r.ID)
}

func formatValue(value json.RawMessage) string {
	if len(value) == 0 {
		return "unset"
	}
	return string(value)
}

func awaitInForce(ctx context.Context, c *api.Client, revision store.Revision, timeout time.Duration) error {
	w, err := c.Wait(ctx, revision, timeout)
	if err != nil {
		return err
	}
	if !w.InForce {
		return &LaggingError{Revision: w.Revision, Laggards: w.Laggards}
	}
	return nil
}

func settingsExplain() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "show the level that each value in force at a leaf comes from",
		Description: examples("fuchsiahill settings explain --organisation balkantrans --data-centre sofia-1 --service reclaim"),
		Flags: readFlags(
			&cli.StringFlag{Name: "organisation", Usage: "`NAME`"},
			&cli.StringFlag{Name: "data-centre", Usage: "`NAME`"},
			&cli.StringFlag{Name: "service", Usage: "`NAME`"},
			&cli.StringFlag{Name: "job-class", Usage: "`NAME`"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			c, err := client(cmd)
			if err != nil {
				return err
			}
			e, err := c.Explain(ctx, settings.Leaf{
				Organisation: fleet.Organisation(cmd.String("organisation")),
				DataCentre:   fleet.DataCentre(cmd.String("data-centre")),
				Service:      fleet.Service(cmd.String("service")),
				JobClass:     fleet.JobClass(cmd.String("job-class")),
			})
			if err != nil {
				return err
			}
			return printValue(cmd, e, func(w io.Writer) { printExplanation(w, e) })
		},
	}
}

func printExplanation(w io.Writer, e api.Explanation) {
	fmt.Fprintf(w, "VALUE\tIN FORCE\tLEVEL\tPATH\n")
	for _, o := range e.Values {
		path := o.Path
		if path == "" {
			path = "-"
		}
		fmt.Fprintf(w, "%s\t%v\t%s\t%s\n", o.Name, formatOriginValue(o.Value), o.Level, path)
	}
}

func settingsValidate() *cli.Command {
	return &cli.Command{
		Name:        "validate",
		Usage:       "check a file with a complete settings tree, without a host",
		ArgsUsage:   "FILE",
		Description: examples("fuchsiahill settings validate tree.json"),
		Flags:       readFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "FILE")
			if err != nil {
				return err
			}
			data, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			if _, err := settings.Decode(data); err != nil {
				return err
			}
			return printValue(cmd, api.Validation{Valid: true}, func(w io.Writer) { fmt.Fprintln(w, "valid") })
		},
	}
}

// formatOriginValue returns a value in force as text for a column. The host sends
// the table of guarantees as a JSON object.
func formatOriginValue(value any) string {
	object, ok := value.(map[string]any)
	if !ok {
		return fmt.Sprint(value)
	}
	guarantees := make(settings.Guarantees, len(object))
	for window, percent := range object {
		guarantees[settings.Window(window)], _ = percent.(float64)
	}
	return guarantees.String()
}
