package command

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	defaultDayInterval = 5 * time.Second
	minDayInterval     = time.Second
	dayChartWidth      = 16 * vg.Centimeter
	dayChartHeight     = 9 * vg.Centimeter
)

// obstacles are the keys of a job_outlook line that count the workers by what keeps a
// waiting task from them.
var obstacles = []string{"closed", "no_memory", "no_processor", "would_press", "open"}

// uses are the kinds of use of the capacity, in the order of the table.
var uses = []string{"lasting", "ordinary", "best-effort", "idle"}

// dayInterval summarises one interval of a day.
type dayInterval struct {
	from                      time.Duration // since the first line
	samples                   int           // room lines
	jobsWaiting, tasksWaiting float64       // means of the samples
	uses                      [4]float64    // mean shares of the capacity; see uses
	refused                   int           // submissions that were turned away
	outlooks                  int           // jobs that became late or lost
	obstacles                 [5]float64    // mean workers; see obstacles
	overCap, behindShares     int           // jobs that began to wait for the cap, or the share, of their workspace
}

// ExplainDayCommand returns the command that summarises a day from the logs of all
// hosts.
func ExplainDayCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-day",
		Usage:     "show from the hosts' logs what limited the work, by interval",
		ArgsUsage: "[FILE...]",
		Description: `Reads log files in any order, or standard input, and prints for each interval the
jobs and tasks that waited, the use of the capacity of the workers that take work, the
submissions that were refused, and, for the jobs that became late or lost, on how many
workers each obstacle kept their next task from starting. If workspaces are configured, the
last columns count the jobs that began to wait for the cap or the share of theirs. Lines may have text before
their "ts=". Best-effort tasks run on what others leave idle, so shares may add up to
more than 100%.

EXAMPLES:
   fuchsiahill explain-day host-*.log
   fuchsiahill explain-day --interval 1s --svg day.svg host-*.log`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "interval", Usage: "`TIME` per line, at least 1s", Value: defaultDayInterval},
			&cli.StringFlag{Name: "svg", Usage: "write a chart of the use of the capacity to this `FILE`"},
		},
		Action: explainDay,
	}
}

func explainDay(_ context.Context, cmd *cli.Command) error {
	interval := cmd.Duration("interval")
	if interval < minDayInterval {
		return &UsageError{Command: cmd.FullName(), Reason: "--interval must be at least " + minDayInterval.String()}
	}
	lines, err := readLogs(cmd.Root().Reader, cmd.Args().Slice())
	if err != nil {
		return err
	}
	day := summariseDay(lines, interval)
	if len(day) == 0 {
		return &NotFoundError{Subject: "lines of waiting work in the logs"}
	}
	if err := printDay(cmd.Root().Writer, day); err != nil {
		return err
	}
	if path := cmd.String("svg"); path != "" {
		return drawDay(path, day)
	}
	return nil
}

// summariseDay returns the intervals in which work waited, was refused or became late.
func summariseDay(lines []logLine, interval time.Duration) []dayInterval {
	if len(lines) == 0 {
		return nil
	}
	first := slices.MinFunc(lines, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) }).timestamp
	byIndex := make(map[int]*dayInterval)
	for _, l := range lines {
		index := int(l.timestamp.Sub(first) / interval)
		d := byIndex[index]
		if d == nil {
			d = &dayInterval{from: time.Duration(index) * interval}
		}
		if d.add(l) {
			byIndex[index] = d
		}
	}
	day := make([]dayInterval, 0, len(byIndex))
	for _, d := range byIndex {
		day = append(day, d.mean())
	}
	slices.SortFunc(day, func(a, b dayInterval) int { return int(a.from - b.from) })
	return day
}

// add counts a line and reports whether it says anything about the interval.
func (d *dayInterval) add(l logLine) bool {
	switch l.event {
	case "room":
		return d.addRoom(l)
	case "job_outlook":
		if outlook := l.value("outlook"); outlook != "late" && outlook != "lost" || l.value("image") == "" && l.value("closed") == "" {
			return false
		}
		d.outlooks++
		for i, key := range obstacles {
			d.obstacles[i] += l.number(key)
		}
		return true
	case "job_held":
		if strings.HasPrefix(l.value("why"), "over") {
			d.overCap++
		} else {
			d.behindShares++
		}
		return true
	case "answer":
		if status := l.value("status"); l.value("method") == "POST" && (status == "429" || status == "503") {
			d.refused++
			return true
		}
	}
	return false
}

// addRoom counts a sample of the use of the capacity.
func (d *dayInterval) addRoom(l logLine) bool {
	capacity := l.number("capacity_millicores")
	if capacity <= 0 {
		return false
	}
	d.samples++
	d.jobsWaiting += l.number("jobs_waiting")
	d.tasksWaiting += l.number("tasks_waiting")
	serving, used := l.number("serving"), l.number("used")
	for i, share := range []float64{serving, used - serving, l.number("filling"), l.number("free_to_fill")} {
		d.uses[i] += share / capacity
	}
	return true
}

// mean returns the interval with sums replaced by means.
func (d *dayInterval) mean() dayInterval {
	m := *d
	samples, outlooks := float64(max(d.samples, 1)), float64(max(d.outlooks, 1))
	m.jobsWaiting /= samples
	m.tasksWaiting /= samples
	for i := range m.uses {
		m.uses[i] /= samples
	}
	for i := range m.obstacles {
		m.obstacles[i] /= outlooks
	}
	return m
}

// value returns the value of a field, or "".
func (l logLine) value(key string) string {
	for _, f := range l.fields {
		if quoted, ok := strings.CutPrefix(f, key+"="); ok {
			if text, err := strconv.Unquote(quoted); err == nil {
				return text
			}
			return quoted
		}
	}
	return ""
}

// number returns the numeric value of a field, or 0.
func (l logLine) number(key string) float64 {
	n, err := strconv.ParseFloat(l.value(key), 64)
	if err != nil {
		return 0 // the line lacks the field: an earlier version wrote it
	}
	return n
}

func printDay(out io.Writer, day []dayInterval) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := obstacles
	hasWorkspaces := slices.ContainsFunc(day, func(d dayInterval) bool { return d.overCap+d.behindShares > 0 })
	if hasWorkspaces {
		columns = append(slices.Clone(columns), "over its workspace's cap", "behind workspaces with a larger share owed")
	}
	fmt.Fprintf(w, "from\tjobs waiting\ttasks waiting\t%s\trefused\tlate or lost\t%s\t\n", strings.Join(uses, "\t"), strings.Join(columns, "\t"))
	for _, d := range day {
		fmt.Fprintf(w, "%v\t%.0f\t%.0f\t", d.from, d.jobsWaiting, d.tasksWaiting)
		for _, share := range d.uses {
			fmt.Fprintf(w, "%.0f%%\t", 100*share)
		}
		fmt.Fprintf(w, "%d\t%d\t", d.refused, d.outlooks)
		for _, workers := range d.obstacles {
			fmt.Fprintf(w, "%.1f\t", workers)
		}
		if hasWorkspaces {
			fmt.Fprintf(w, "%d\t%d\t", d.overCap, d.behindShares)
		}
		fmt.Fprintln(w)
	}
	return eris.Wrap(w.Flush(), "explain-day")
}

// drawDay writes an SVG chart of the use of the capacity over the day.
func drawDay(path string, day []dayInterval) error {
	p := plot.New()
	p.Title.Text = "use of the capacity while work waits"
	p.X.Label.Text = "seconds since the first line"
	p.Y.Label.Text = "share"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, name := range uses {
		points := make(plotter.XYs, 0, len(day))
		for _, d := range day {
			if d.samples > 0 {
				points = append(points, plotter.XY{X: d.from.Seconds(), Y: d.uses[i]})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "explain-day: chart")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return eris.Wrap(p.Save(dayChartWidth, dayChartHeight, path), "explain-day: chart")
}
