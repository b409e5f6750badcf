package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/fuchsiahill/fuchsiahill/api"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/strictjson"
	"github.com/fuchsiahill/fuchsiahill/job"
)

func jobsCommand() *cli.Command {
	return commandGroup("jobs", "submit, show and cancel batch jobs", jobsSubmit(), jobsList(),
		singleJobCommand("show", "print the state of a job", (*api.Client).Get),
		singleJobCommand("cancel", "cancel a job", (*api.Client).Cancel))
}

func jobsSubmit() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a job; a repetition under the same ID has no further effect",
		ArgsUsage: "[COMMAND]",
		Description: examples("fuchsiahill jobs submit --organisation balkantrans --team fuel --class invoice-check \\",
			"   --tasks 10 --milli-cores 500 --memory-mb 256 'check march'",
			"fuchsiahill jobs submit --file job.json"),
		Flags: readFlags(
			&cli.StringFlag{Name: "id", Usage: "`ID` of the job; use the same one to repeat", DefaultText: "a new one"},
			&cli.StringFlag{Name: "organisation", Usage: "`NAME`"},
			&cli.StringFlag{Name: "team", Usage: "`NAME`"},
			&cli.StringFlag{Name: "class", Usage: "job class, `NAME`"},
			&cli.IntFlag{Name: "tasks", Usage: "`NUMBER` of tasks", Value: 1},
			&cli.Int64Flag{Name: "milli-cores", Usage: "thousandths of a core for each task"},
			&cli.Int64Flag{Name: "memory-mb", Usage: "memory for each task, in MB"},
			&cli.Int64Flag{Name: "accelerators", Usage: "accelerators for each task"},
			&cli.IntFlag{Name: "priority", Usage: "0 to 100; 90 and above is urgent", DefaultText: "from the settings"},
			&cli.StringSliceFlag{Name: "data-centre", Usage: "allowed data centre, `NAME`; repeat the flag for more", DefaultText: "all"},
			&cli.StringFlag{Name: fileFlag, Usage: "read the whole submission from `FILE`, - for standard input"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			spec, err := jobSpec(cmd)
			if err != nil {
				return err
			}
			c, err := client(cmd)
			if err != nil {
				return err
			}
			status, err := c.Submit(ctx, spec)
			if err != nil {
				return withJobID(err, spec.ID)
			}
			return printValue(cmd, status, func(w io.Writer) { printJob(w, status) })
		},
	}
}

func jobSpec(cmd *cli.Command) (job.Spec, error) {
	if cmd.Args().Len() > 1 {
		return job.Spec{}, &UsageError{Command: cmd.FullName(), Reason: "takes at most one command; quote it if it has spaces"}
	}
	spec, err := parseSpec(cmd)
	if err != nil {
		return job.Spec{}, err
	}
	id, err := newID(string(spec.ID))
	spec.ID = fleet.JobID(id)
	return spec, err
}

func parseSpec(cmd *cli.Command) (job.Spec, error) {
	if path := cmd.String(fileFlag); path != "" {
		return parseSpecFile(cmd, path)
	}
	spec := job.Spec{
		ID:           fleet.JobID(cmd.String("id")),
		Organisation: fleet.Organisation(cmd.String("organisation")),
		Team:         fleet.Team(cmd.String("team")),
		Class:        fleet.JobClass(cmd.String("class")),
		Tasks:        cmd.Int("tasks"),
		Resources: fleet.Resources{
			MilliCores:   cmd.Int64("milli-cores"),
			MemoryMB:     cmd.Int64("memory-mb"),
			Accelerators: cmd.Int64("accelerators"),
		},
		Command: cmd.Args().First(),
	}
	if cmd.IsSet("priority") {
		priority := cmd.Int("priority")
		spec.Priority = &priority
	}
	for _, dc := range cmd.StringSlice("data-centre") {
		spec.DataCentres = append(spec.DataCentres, fleet.DataCentre(dc))
	}
	return spec, nil
}

func parseSpecFile(cmd *cli.Command, path string) (job.Spec, error) {
	data, err := readFile(cmd, path)
	if err != nil {
		return job.Spec{}, err
	}
	var spec job.Spec
	if err := strictjson.Decode(data, &spec); err != nil {
		return job.Spec{}, &FileError{Path: path, Cause: decodeCause(err)}
	}
	return spec, nil
}

func decodeCause(err error) error {
	var syntax *strictjson.SyntaxError
	var value *strictjson.ValueError
	switch {
	case errors.As(err, &syntax):
		return syntax
	case errors.As(err, &value):
		return value
	}
	return err
}

// withJobID adds the job ID, under which the submission can be repeated, to an
// error of unknown outcome.
func withJobID(err error, id fleet.JobID) error {
	if ExitCode(err) != ExitUnknown {
		return err
	}
	return &UnknownSubmissionError{ID: id, Cause: err}
}

// UnknownSubmissionError reports a submission whose outcome is unknown: the job
// may or may not have been accepted.
type UnknownSubmissionError struct {
	ID    fleet.JobID
	Cause error
}

func (e *UnknownSubmissionError) Error() string {
	return fmt.Sprintf("%s; repeat it with --id %s", message(e.Cause), e.ID)
}

// Unwrap returns the cause.
func (e *UnknownSubmissionError) Unwrap() error { return e.Cause }

func jobsList() *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "list the jobs of a team",
		ArgsUsage:   "TEAM",
		Description: examples("fuchsiahill jobs list fuel --limit 20"),
		Flags: readFlags(
			&cli.StringFlag{Name: "after", Usage: "continue after the page that ended with `NEXT`"},
			&cli.IntFlag{Name: "limit", Usage: "at most `N` jobs", Value: 100},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "TEAM")
			if err != nil {
				return err
			}
			c, err := client(cmd)
			if err != nil {
				return err
			}
			page, err := c.List(ctx, job.ListQuery{Team: fleet.Team(args[0]), After: cmd.String("after"), Limit: cmd.Int("limit")})
			if err != nil {
				return err
			}
			return printValue(cmd, page, func(w io.Writer) { printJobs(w, page) })
		},
	}
}

func printJobs(w io.Writer, page job.Page) {
	fmt.Fprintf(w, "JOB\tCLASS\tSTATE\tTASKS\tFINISHED\tRUNNING\tFAILED\tEVICTIONS\n")
	for _, s := range page.Jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", s.Spec.ID, s.Spec.Class, s.State, s.Spec.Tasks,
			s.Finished, s.Running, s.Failed, s.Evictions)
	}
	if page.Next != "" {
		fmt.Fprintf(w, "more: --after %s\n", page.Next)
	}
}

func singleJobCommand(name, usage string, call func(*api.Client, context.Context, fleet.Team, fleet.JobID) (job.Status, error)) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		ArgsUsage:   "TEAM JOB",
		Description: examples("fuchsiahill jobs " + name + " fuel march-7"),
		Flags:       readFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "TEAM", "JOB")
			if err != nil {
				return err
			}
			c, err := client(cmd)
			if err != nil {
				return err
			}
			status, err := call(c, ctx, fleet.Team(args[0]), fleet.JobID(args[1]))
			if err != nil {
				return err
			}
			return printValue(cmd, status, func(w io.Writer) { printJob(w, status) })
		},
	}
}

func printJob(w io.Writer, s job.Status) {
	fmt.Fprintf(w, "job %s: %s", s.Spec.ID, s.State)
	if s.Reason != "" {
		fmt.Fprintf(w, ", %s", s.Reason)
	}
	fmt.Fprintf(w, "\ntasks %d: queued %d, delegated %d, running %d, finished %d, failed %d, cancelled %d\n",
		s.Spec.Tasks, s.Queued, s.Delegated, s.Running, s.Finished, s.Failed, s.Cancelled)
	if s.Evictions > 0 {
		fmt.Fprintf(w, "evictions %d\n", s.Evictions)
	}
	if s.LastError != "" {
		fmt.Fprintf(w, "last error: %s\n", s.LastError)
	}
}
