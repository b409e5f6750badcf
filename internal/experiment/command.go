package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
)

// OptionError reports an invalid value of an option.
type OptionError struct {
	Option string
	Cause  error
}

func (e *OptionError) Error() string { return "experiment: --" + e.Option + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OptionError) Unwrap() error { return e.Cause }

// Limits of the options.
const (
	maxWorkers = 2000
	maxLoad    = 10.0
	// urgentShare is the share of the jobs that are urgent in a calibration.
	urgentShare = 0.3
)

// Command returns the `experiment` command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "compare rankings of the waiting jobs under the same load, in virtual time",
		Description: `Simulates the dispatcher's decisions for random or recorded arrivals of batch jobs
and prints how many jobs end in time under each ranking. Serving and best-effort
work, failures and the cost of control are not modelled.

EXAMPLES:
   fuchsiahill experiment --workers 48 --load 0.8,1.2,1.6
   fuchsiahill experiment --workers 16 --for 30s --load 0.8,1.2,2 --calibrate 10
   fuchsiahill experiment --arrivals jobs.jsonl --svg worth.svg`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "workers", Usage: "`NUMBER` of workers of 16 cores", Value: 48},
			&cli.DurationFlag{Name: "for", Usage: "`TIME` in which jobs arrive", Value: 20 * time.Second},
			&cli.StringFlag{Name: "load", Usage: "offered load as a multiple of capacity, `LIST` of numbers", Value: "0.8,1.2,1.6"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of arrivals and run times", Value: 1},
			&cli.StringFlag{Name: "arrivals", Usage: "`FILE` of recorded arrivals, one JSON object with at_ms and steps per line, instead of random ones"},
			&cli.IntFlag{Name: "calibrate", Usage: "compare admission's predictions with the ends of jobs in two queues of different priority, and examine `NUMBER` of the rejected jobs"},
			&cli.StringFlag{Name: "svg", Usage: "write a chart of the worth earned to this `FILE`"},
		},
		Action: action,
	}
}

func action(_ context.Context, cmd *cli.Command) error {
	loads, err := parseLoads(cmd.String("load"))
	if err != nil {
		return err
	}
	c := Config{Workers: cmd.Int("workers"), For: cmd.Duration("for"), Seed: cmd.Uint64("seed")}
	if c.Workers < 1 || c.Workers > maxWorkers {
		return eris.Wrap(&OptionError{"workers", fmt.Errorf("must be 1 to %d", maxWorkers)}, "experiment")
	}
	if c.For <= 0 || c.For > time.Hour {
		return eris.Wrap(&OptionError{"for", errors.New("must be above 0 and at most 1h")}, "experiment")
	}
	draw := DrawArrivals
	if path := cmd.String("arrivals"); path != "" {
		recorded, err := readArrivals(path)
		if err != nil {
			return err
		}
		loads = loads[:1] // recorded arrivals have their own load
		draw = func(Config) []Arrival { return recorded }
	}
	if most := cmd.Int("calibrate"); most > 0 {
		c.Ranking, c.Admission, c.UrgentShare = dispatch.DefaultRanking, true, urgentShare
		return printCalibration(cmd.Root().Writer, c, loads, draw, most)
	}
	results, err := compareRankings(c, loads, draw)
	if err != nil {
		return err
	}
	if err := printTable(cmd.Root().Writer, results); err != nil {
		return err
	}
	if path := cmd.String("svg"); path != "" {
		return drawChart(path, results)
	}
	return nil
}

func parseLoads(text string) ([]float64, error) {
	var loads []float64
	for _, part := range strings.Split(text, ",") {
		load, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err == nil && (load <= 0 || load > maxLoad) {
			err = fmt.Errorf("%v must be above 0 and at most %v", load, maxLoad)
		}
		if err != nil {
			return nil, eris.Wrap(&OptionError{"load", err}, "experiment")
		}
		loads = append(loads, load)
	}
	return loads, nil
}

func readArrivals(path string) ([]Arrival, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(&OptionError{"arrivals", err}, "experiment")
	}
	defer file.Close()
	var all []Arrival
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		var a Arrival
		err := json.Unmarshal(lines.Bytes(), &a)
		if err == nil {
			err = a.check()
		}
		if err != nil {
			return nil, eris.Wrap(&OptionError{"arrivals", fmt.Errorf("line %d: %w", n, err)}, "experiment")
		}
		all = append(all, a)
	}
	if err := lines.Err(); err != nil {
		return nil, eris.Wrap(&OptionError{"arrivals", err}, "experiment")
	}
	return all, nil
}

// check returns an error if the simulation does not support the steps.
func (a Arrival) check() error {
	if len(a.Steps) == 0 {
		return errors.New("no steps")
	}
	for i, s := range a.Steps {
		if s.Count < 1 || s.EstimateMS < 1 || s.Need.MilliCores < 1 || s.Serving || s.BestEffort {
			return fmt.Errorf("step %d: n, need and est must be above 0, and the step neither serving nor best effort", i)
		}
		for _, before := range s.After {
			if before < 0 || before >= i {
				return fmt.Errorf("step %d: after names %d, which is not an earlier step", i, before)
			}
		}
	}
	return nil
}

// compareRankings simulates each load under each ranking.
func compareRankings(c Config, loads []float64, draw func(Config) []Arrival) ([]Result, error) {
	var results []Result
	for _, load := range loads {
		c.Load = load
		arrivals := draw(c)
		for _, ranking := range dispatch.Rankings() {
			c.Ranking = ranking
			r, err := Simulate(c, arrivals)
			if err != nil {
				return nil, err
			}
			results = append(results, r)
		}
	}
	return results, nil
}

func printTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\torder\tjobs\tin time\tlate\tworth\tserved\tlargest tenth\tnext fifth\tp50 s\tp99 s\t")
	for _, r := range results {
		fmt.Fprintf(w, "%.2f\t%s\t%d\t%d\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", r.Config.Load, r.Config.Ranking, r.Jobs, r.InTime, r.Late, r.Worth, r.Served, r.Largest, r.NextLargest, r.P50.Seconds(), r.P99.Seconds())
	}
	return eris.Wrap(w.Flush(), "experiment")
}
