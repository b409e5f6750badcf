package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/store"
)

func settingsHistory() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the audit records, newest first",
		Description: examples("fuchsiahill settings history --limit 5",
			"fuchsiahill settings history --before 120 --json"),
		Flags: readFlags(
			&cli.IntFlag{Name: "limit", Usage: "at most `N` records", Value: defaultRecords},
			&cli.Int64Flag{Name: "before", Usage: "only records of revisions below `REVISION`"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			c, err := client(cmd)
			if err != nil {
				return err
			}
			page, err := c.History(ctx, store.Revision(cmd.Int64("before")), cmd.Int("limit"))
			if err != nil {
				return err
			}
			return printValue(cmd, page, func(w io.Writer) { printHistory(w, page) })
		},
	}
}

func printHistory(w io.Writer, page api.History) {
	fmt.Fprintf(w, "REVISION\tWHEN\tWHO\tPATH\tOLD\tNEW\tCHANGE\n")
	for _, r := range page.Records {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Revision, r.Time.UTC().Format(time.RFC3339), r.Actor,
			r.Path, truncate(formatValue(r.Old)), truncate(formatValue(r.New)), r.ID)
	}
	if page.Next != 0 {
		fmt.Fprintf(w, "older: --before %d\n", page.Next)
	}
}

const maxColumnCharacters = 40

// truncate limits a value to the width of a column. The JSON output has it in
// full.
func truncate(text string) string {
	runes := []rune(text)
	if len(runes) <= maxColumnCharacters {
		return text
	}
	return string(runes[:maxColumnCharacters]) + "..."
}

func settingsWait() *cli.Command {
	return &cli.Command{
		Name:        "wait",
		Usage:       "wait until a revision or a higher one is in force on all hosts",
		Description: examples("fuchsiahill settings wait --revision 120 --timeout 5s"),
		Flags: readFlags(
			&cli.Int64Flag{Name: revisionFlag, Usage: "`REVISION` to wait for", DefaultText: "the one in force on the contacted host"},
			&cli.DurationFlag{Name: timeoutFlag, Usage: "maximum `TIME` to wait, up to 1m", Value: defaultTimeout},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			c, err := client(cmd)
			if err != nil {
				return err
			}
			w, err := c.Wait(ctx, store.Revision(cmd.Int64(revisionFlag)), cmd.Duration(timeoutFlag))
			if err != nil {
				return err
			}
			return printWait(cmd, w)
		},
	}
}

func printWait(cmd *cli.Command, w api.WaitResult) error {
	err := printValue(cmd, w, func(out io.Writer) {
		if w.InForce {
			fmt.Fprintf(out, "revision %d is in force on %d hosts\n", w.Revision, w.Hosts)
		}
	})
	if err != nil {
		return err
	}
	if !w.InForce {
		return &LaggingError{Revision: w.Revision, Laggards: w.Laggards}
	}
	return nil
}
