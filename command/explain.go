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

// logLine is a parsed line of a host's log.
type logLine struct {
	timestamp time.Time
	host      string
	event     string
	job       string
	fields    []string // key=value, in the order of the log
}

// systemEvents are the log events that may affect every job. They are included
// in the timeline of any job.
var systemEvents = []string{
	"start", "stop", "stop_requested", "ownership_won", "ownership_ended", "state_loaded", "store_lost", "store_regained",
	"authority_regained", "config_in_force", "data_centre_out", "commit_failed",
}

// ExplainJobCommand returns the command that prints the timeline of a job from
// the logs of all hosts.
func ExplainJobCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-job",
		Usage:     "show from the hosts' logs what happened to a job",
		ArgsUsage: "JOB [FILE...]",
		Description: `Reads log files in any order, or standard input, and prints the lines about
the job, and system-wide events during its time, in order of time. Lines may
have text before their "ts=".

EXAMPLES:
   fuchsiahill explain-job 5c0e7a21d94b36f8 host-*.log`,
		Action: explainJob,
	}
}

func explainJob(_ context.Context, cmd *cli.Command) error {
	id := cmd.Args().First()
	if id == "" {
		return &UsageError{Command: cmd.FullName(), Reason: "missing argument: JOB"}
	}
	lines, err := readLogs(cmd.Root().Reader, cmd.Args().Tail())
	if err != nil {
		return err
	}
	timeline := jobTimeline(id, lines)
	if len(timeline) == 0 {
		return &NotFoundError{Subject: "job " + id + " in the logs"}
	}
	for _, l := range timeline {
		fmt.Fprintf(cmd.Root().Writer, "%9.3fs %s %s %s\n", l.timestamp.Sub(timeline[0].timestamp).Seconds(), l.host, l.event, strings.Join(l.fields, " "))
	}
	return nil
}

// NotFoundError reports that the subject of a command was not found.
type NotFoundError struct{ Subject string }

func (e *NotFoundError) Error() string { return "no " + e.Subject }

// readLogs returns the log records of the named files, or of in if there are none.
func readLogs(in io.Reader, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(in)
	}
	var all []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "log")
		}
		lines, err := readLog(f)
		_ = f.Close() // nothing was written
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog returns the lines that parse as log records of a host, and skips all
// others.
func readLog(r io.Reader) ([]logLine, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, eris.Wrap(err, "log")
	}
	var lines []logLine
	for text := range strings.Lines(string(data)) {
		if at := strings.Index(text, "ts="); at >= 0 {
			if l, ok := parseLine(text[at:]); ok {
				lines = append(lines, l)
			}
		}
	}
	return lines, nil
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
				l.timestamp = at
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

// jobTimeline returns the lines of a job, and the system events between its
// first and last line, in order of time.
func jobTimeline(id string, lines []logLine) []logLine {
	var first, last time.Time
	for _, l := range lines {
		if l.job != id {
			continue
		}
		if first.IsZero() || l.timestamp.Before(first) {
			first = l.timestamp
		}
		if l.timestamp.After(last) {
			last = l.timestamp
		}
	}
	timeline := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool {
		if l.job == id {
			return false
		}
		return first.IsZero() || l.timestamp.Before(first) || l.timestamp.After(last) || !slices.Contains(systemEvents, l.event)
	})
	slices.SortStableFunc(timeline, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	return timeline
}

// CheckSettingsCommand returns the command that checks a settings file of the
// users' platform.
func CheckSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-settings",
		Usage:     "check a settings file that the platform provides to a host",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return &UsageError{Command: cmd.FullName(), Reason: "expected arguments: FILE"}
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
