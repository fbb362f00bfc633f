package command

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"golang.org/x/term"

	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// maxPollWait bounds one call that waits for the end of a job, so that progress is shown between calls.
const maxPollWait = 2 * time.Second

func (o *options) client() *client.Client { return client.New(o.address, o.key, o.http) }

func (o *options) withTimeout(c *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), o.timeout)
}

// specFlags holds the values of the flags that describe a job or request.
type specFlags struct {
	spec        api.Spec
	team        string
	queue       string
	requestID   string
	payload     string
	payloadFile string
	cores       float64
	memoryMB    int64
	gpus        int64
	runTime     time.Duration
	deadline    time.Duration
}

func (s *specFlags) register(f *pflag.FlagSet) {
	f.StringVar(&s.team, "team", "", "team that the work counts against")
	f.StringVar(&s.queue, "queue", "", "queue that takes the work")
	f.StringVar(&s.requestID, "request-id", "", "identifier of the request, unique per team")
	f.IntVar(&s.spec.Tasks, "tasks", 1, "number of tasks")
	f.IntVar(&s.spec.Priority, "priority", 0, "priority inside the team, 0 to 100")
	f.BoolVar(&s.spec.NonIdempotent, "non-idempotent", false, "run at most once")
	f.StringVar(&s.payload, "payload", "", "payload of the work")
	f.StringVar(&s.payloadFile, "payload-file", "", "file with the payload, - for standard input")
	f.Float64Var(&s.cores, "cores", 1, "cores per task")
	f.Int64Var(&s.memoryMB, "memory-mb", 256, "memory per task in MB")
	f.Int64Var(&s.gpus, "gpus", 0, "GPUs per task")
	f.DurationVar(&s.runTime, "run-time", 0, "declared run time per task")
	f.DurationVar(&s.deadline, "deadline", 0, "how long the caller waits")
}

func (s *specFlags) toSpec(c *cobra.Command) (api.Spec, error) {
	spec := s.spec
	spec.Team, spec.Queue, spec.Request = ident.TeamID(s.team), ident.QueueID(s.queue), ident.RequestID(s.requestID)
	milliCPU := s.cores * 1000
	if !convert.FitsInt64(milliCPU) {
		return spec, usageError{fmt.Errorf("--cores: %g is out of range", s.cores)}
	}
	spec.Demand = resource.Vector{
		CPU: resource.MilliCPU(milliCPU), Memory: resource.Megabytes(s.memoryMB), GPUs: resource.Count(s.gpus),
	}
	spec.RunTime, spec.Deadline = api.Millis(s.runTime.Milliseconds()), api.Millis(s.deadline.Milliseconds())
	spec.Payload = []byte(s.payload)
	if s.payloadFile != "" {
		text, err := readFile(s.payloadFile, c.InOrStdin())
		if err != nil {
			return spec, err
		}
		spec.Payload = text
	}
	return spec, nil
}

func newJobCommand(o *options) *cobra.Command {
	job := &cobra.Command{Use: "job", Short: "Submit and follow jobs"}
	job.AddCommand(
		newJobSubmitCommand(o), newJobRunCommand(o), newJobGetCommand(o), newJobWaitCommand(o),
		newJobCancelCommand(o), newJobListCommand(o), newJobExplainCommand(o),
	)
	return job
}

func newRequestCommand(o *options) *cobra.Command {
	s := &specFlags{}
	c := &cobra.Command{
		Use: "request", Short: "Run a synchronous request and print its answer", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			spec, err := s.toSpec(c)
			if err != nil {
				return err
			}
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			a, err := o.client().Request(ctx, spec)
			if err != nil {
				return err
			}
			t := table{header: []string{"OUTCOME", "REQUEST", "HOST", "WAITED", "ANSWER", "REASON"}, rows: [][]string{{
				string(a.Outcome), string(a.Request), string(a.Host), a.Waited.Duration().String(), string(a.Payload), a.Reason,
			}}}
			if err := o.printResult(c, a, t); err != nil {
				return err
			}
			if a.Outcome != api.Answered {
				return &outcomeError{a.Outcome, a.Reason}
			}
			return nil
		},
	}
	s.register(c.Flags())
	return c
}

func jobTable(jobs ...api.Job) table {
	t := table{header: []string{"JOB", "TEAM", "QUEUE", "KIND", "PHASE", "OUTCOME", "TASKS", "HOSTS"}}
	for _, j := range jobs {
		hosts := ""
		for i, task := range j.Tasks {
			if i < 4 && task.Host != "" {
				hosts += string(task.Host) + " "
			}
		}
		t.rows = append(t.rows, []string{
			string(j.ID), string(j.Spec.Team), string(j.Spec.Queue), string(j.Kind), string(j.Phase), string(j.Outcome),
			strconv.Itoa(len(j.Tasks)), hosts,
		})
	}
	return t
}

func newJobSubmitCommand(o *options) *cobra.Command {
	s := &specFlags{}
	c := &cobra.Command{
		Use: "submit", Short: "Record a job and print its id", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			j, err := o.submit(c, s)
			if err != nil {
				return err
			}
			return o.printResult(c, j, jobTable(j))
		},
	}
	s.register(c.Flags())
	return c
}

func (o *options) submit(c *cobra.Command, s *specFlags) (api.Job, error) {
	spec, err := s.toSpec(c)
	if err != nil {
		return api.Job{}, err
	}
	ctx, cancel := o.withTimeout(c)
	defer cancel()
	return o.client().Submit(ctx, spec)
}

func newJobRunCommand(o *options) *cobra.Command {
	s := &specFlags{}
	c := &cobra.Command{
		Use: "run", Short: "Submit a job and wait for its end", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			j, err := o.submit(c, s)
			if err != nil {
				return err
			}
			return o.waitForJob(c, j.ID)
		},
	}
	s.register(c.Flags())
	return c
}

// waitForJob waits for the end of a job, prints it, and shows progress if standard error is a terminal.
func (o *options) waitForJob(c *cobra.Command, id ident.JobID) error {
	ctx, cancel := o.withTimeout(c)
	defer cancel()
	terminal := term.IsTerminal(2)
	for {
		j, err := o.client().Wait(ctx, id, maxPollWait)
		if err != nil {
			return err
		}
		if terminal {
			_, _ = fmt.Fprintf(c.ErrOrStderr(), "\rjob %s: %s    ", id, j.Phase)
		}
		if j.Phase.Done() {
			if terminal {
				_, _ = fmt.Fprintln(c.ErrOrStderr())
			}
			if err := o.printResult(c, j, jobTable(j)); err != nil {
				return err
			}
			if j.Outcome != api.Answered {
				return &outcomeError{j.Outcome, fmt.Sprintf("job %s ended as %s", id, j.Phase)}
			}
			return nil
		}
		if ctx.Err() != nil {
			return &outcomeError{api.Unknown, fmt.Sprintf("job %s is still %s: %v", id, j.Phase, ctx.Err())}
		}
	}
}

// newJobActionCommand returns a command that makes one call for a job and prints the job.
func newJobActionCommand(
	o *options, use, short string, call func(ctx context.Context, id ident.JobID) (api.Job, error),
) *cobra.Command {
	return &cobra.Command{
		Use: use + " JOB", Short: short, Args: oneArg("the job's id"),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			j, err := call(ctx, ident.JobID(args[0]))
			if err != nil {
				return err
			}
			return o.printResult(c, j, jobTable(j))
		},
	}
}

func newJobGetCommand(o *options) *cobra.Command {
	return newJobActionCommand(o, "get", "Print a job", func(ctx context.Context, id ident.JobID) (api.Job, error) {
		return o.client().Get(ctx, id)
	})
}

func newJobCancelCommand(o *options) *cobra.Command {
	return newJobActionCommand(o, "cancel", "End a job", func(ctx context.Context, id ident.JobID) (api.Job, error) {
		return o.client().Cancel(ctx, id)
	})
}

func newJobWaitCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "wait JOB", Short: "Wait for the end of a job", Args: oneArg("the job's id"),
		RunE: func(c *cobra.Command, args []string) error { return o.waitForJob(c, ident.JobID(args[0])) },
	}
}

func newJobListCommand(o *options) *cobra.Command {
	var team string
	c := &cobra.Command{
		Use: "list", Short: "List the jobs of a team", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if team == "" {
				return usageError{errors.New("--team must be set")}
			}
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			jobs, err := o.client().List(ctx, ident.TeamID(team))
			if err != nil {
				return err
			}
			return o.printResult(c, jobs, jobTable(jobs...))
		},
	}
	c.Flags().StringVar(&team, "team", "", "team whose jobs are listed")
	return c
}

func newJobExplainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "explain JOB", Short: "Print why a job waits, or where and why it ran", Args: oneArg("the job's id"),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			e, err := o.client().Explain(ctx, ident.JobID(args[0]))
			if err != nil {
				return err
			}
			t := table{header: []string{"TIME", "TASK", "DECISION", "HOST", "DAEMON", "REASON"}}
			for _, d := range e.Decisions {
				t.rows = append(t.rows, []string{
					d.At.Format(time.TimeOnly + ".000"), strconv.Itoa(d.Task), d.What, string(d.Host), string(d.Member), d.Reason,
				})
			}
			return o.printResult(c, e, t)
		},
	}
}
