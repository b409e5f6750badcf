package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/platform"
)

// logLine is one line of a host's log.
type logLine struct {
	at     time.Time
	host   string
	event  string
	job    string
	fields []string // key=value, in the order of the log
}

// siteEvents concern every job while they last, so that they are told with
// the lines of any job.
var siteEvents = []string{
	"start", "stop", "stop_requested", "ownership_won", "ownership_ended", "state_loaded", "store_lost", "store_regained",
	"authority_regained", "config_in_force", "data_centre_out", "commit_failed",
}

// ExplainJobCommand tells the story of a job from the logs of all hosts.
func ExplainJobCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-job",
		Usage:     "tell from the hosts' logs what happened to a job",
		ArgsUsage: "JOB [FILE...]",
		Description: `Reads log files, or standard input, in any order, and prints the lines about
the job, and those of the site while it lasted, in order of time. Lines may
have text before their "ts=".

EXAMPLES:
   fuchsiahill explain-job 5c0e7a21d94b36f8 host-*.log`,
		Action: explainJob,
	}
}

func explainJob(_ context.Context, cmd *cli.Command) error {
	id := cmd.Args().First()
	if id == "" {
		return &UsageError{Command: cmd.FullName(), Reason: "a job is missing"}
	}
	var lines []logLine
	files := cmd.Args().Tail()
	if len(files) == 0 {
		lines = readLog(cmd.Root().Reader)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "log")
		}
		lines = append(lines, readLog(f)...)
		_ = f.Close()
	}
	story := storyOf(id, lines)
	if len(story) == 0 {
		return &NotFoundError{Subject: "job " + id + " in the logs"}
	}
	for _, l := range story {
		fmt.Fprintf(cmd.Root().Writer, "%9.3fs %s %s %s\n", l.at.Sub(story[0].at).Seconds(), l.host, l.event, strings.Join(l.fields, " "))
	}
	return nil
}

// NotFoundError reports that what a command looks for is not there.
type NotFoundError struct{ Subject string }

func (e *NotFoundError) Error() string { return "no " + e.Subject }

// readLog reads the lines that it can; others are of no host.
func readLog(r io.Reader) []logLine {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil
	}
	var lines []logLine
	for text := range strings.Lines(string(data)) {
		if at := strings.Index(text, "ts="); at >= 0 {
			if l, ok := parseLine(text[at:]); ok {
				lines = append(lines, l)
			}
		}
	}
	return lines
}

func parseLine(text string) (logLine, bool) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	var l logLine
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "ts":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return l, false
				}
				l.at = at
			case "host":
				l.host = value
			case "event":
				l.event = value
			case "job":
				l.job = value
			default:
				l.fields = append(l.fields, fmt.Sprintf("%s=%q", key, value))
			}
		}
	}
	return l, d.Err() == nil && l.event != ""
}

// storyOf returns the lines of a job and those of the site between its first
// and last, in order of time.
func storyOf(id string, lines []logLine) []logLine {
	var first, last time.Time
	for _, l := range lines {
		if l.job != id {
			continue
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
	}
	story := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool {
		if l.job == id {
			return false
		}
		return first.IsZero() || l.at.Before(first) || l.at.After(last) || !slices.Contains(siteEvents, l.event)
	})
	slices.SortStableFunc(story, func(a, b logLine) int { return a.at.Compare(b.at) })
	return story
}

// CheckSettingsCommand checks a settings file of the users' platform.
func CheckSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-settings",
		Usage:     "check a settings file that the platform provides to a host",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return &UsageError{Command: cmd.FullName(), Reason: "one file is wanted"}
			}
			s, err := platform.LoadSettings(cmd.Args().First())
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.Root().Writer, "host %s in %s: callers %s, ready %s, store %s, %.2f cores, %d MB\n",
				s.Host, s.DataCentre, s.CallersAddress, s.ReadyAddress, s.StoreAddress, s.Cores, s.MemoryBytes>>20)
			return nil
		},
	}
}
