package command

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// placementFlags are the flags of explain-placement.
type placementFlags struct {
	job, file, queue, team string
	step                   int
	tasks                  int
	cores                  float64
	memory, gpus           int64
}

func newExplainPlacementCommand(o *options) *cobra.Command {
	var p placementFlags
	c := &cobra.Command{
		Use: "explain-placement", Short: "Show where work would go now and why, on a platform that keeps all state", Args: noArgs,
		Long: "Asks the leader, through any daemon's operator port, where the work of a job would go now and why. The job is one that waits\n" +
			"(--job), one described in a file (--file, JSON with queue, team and steps), or one step of a queue (--queue, --team, --tasks,\n" +
			"--cores, --memory-mb, --gpus). Nothing is started, stopped or reserved.",
		RunE: func(c *cobra.Command, _ []string) error {
			method, path, body, err := p.request(c)
			if err != nil {
				return err
			}
			e, err := o.askPlacement(c, method, path, body)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return o.printResult(c, e, table{})
			}
			return writePlacement(c.OutOrStdout(), &e)
		},
	}
	f := c.Flags()
	f.StringVar(&p.job, "job", "", "id of a job with a waiting step")
	f.IntVar(&p.step, "step", -1, "number of the step, from 0; by default the first that waits")
	f.StringVar(&p.file, "file", "", "file with a job as JSON, - for standard input")
	f.StringVar(&p.queue, "queue", "", "id of a queue")
	f.StringVar(&p.team, "team", "", "id of the team that would send the job")
	f.IntVar(&p.tasks, "tasks", 1, "number of tasks")
	f.Float64Var(&p.cores, "cores", 1, "cores of a task")
	f.Int64Var(&p.memory, "memory-mb", 0, "memory of a task in MB")
	f.Int64Var(&p.gpus, "gpus", 0, "GPUs of a task")
	return c
}

// request returns the method, path and body of the query that the flags describe.
func (p *placementFlags) request(c *cobra.Command) (method, path string, body []byte, err error) {
	given := 0
	for _, v := range []string{p.job, p.file, p.queue} {
		if v != "" {
			given++
		}
	}
	if given != 1 {
		return "", "", nil, usageError{errors.New("one of --job, --file and --queue is needed")}
	}
	if p.file != "" {
		if body, err = readFile(p.file, c.InOrStdin()); err != nil {
			return "", "", nil, err
		}
		var query sched.PlacementQuery
		d := json.NewDecoder(bytes.NewReader(body))
		d.DisallowUnknownFields()
		if err := d.Decode(&query); err != nil {
			return "", "", nil, usageError{fmt.Errorf("read the job in %s: %w", p.file, err)}
		}
		return http.MethodPost, "/explain-placement", body, nil
	}
	values := url.Values{}
	if p.step >= 0 {
		values.Set("step", strconv.Itoa(p.step))
	}
	if p.job != "" {
		values.Set("job", p.job)
	} else {
		values.Set("queue", p.queue)
		values.Set("team", p.team)
		values.Set("tasks", strconv.Itoa(p.tasks))
		values.Set("milli-cpu", strconv.FormatInt(int64(p.cores*1000), 10))
		values.Set("memory-mb", strconv.FormatInt(p.memory, 10))
		values.Set("gpus", strconv.FormatInt(p.gpus, 10))
	}
	return http.MethodGet, "/explain-placement?" + values.Encode(), nil, nil
}

// maxPlacementBytes bounds the answer, which lists at most 80 servers.
const maxPlacementBytes = 1 << 20

// askPlacement sends a query to the operator port. On such a platform the port has neither credentials nor problem bodies.
func (o *options) askPlacement(c *cobra.Command, method, path string, body []byte) (sched.PlacementExplanation, error) {
	ctx, cancel := o.withTimeout(c)
	defer cancel()
	var e sched.PlacementExplanation
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(o.operatorAddress, "/")+path, bytes.NewReader(body))
	if err != nil {
		return e, usageError{fmt.Errorf("create the request: %w", err)}
	}
	reply, err := o.http.Do(r)
	if err != nil {
		return e, fmt.Errorf("call the operator port: %w: %w", client.ErrNoAnswer, err)
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxPlacementBytes))
	if err != nil {
		return e, fmt.Errorf("read the answer: %w: %w", client.ErrNoAnswer, err)
	}
	if reply.StatusCode != http.StatusOK {
		var problem struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(text, &problem) != nil || problem.Error == "" {
			return e, fmt.Errorf("%s: status %d; is this a daemon on a platform that keeps all state?", o.operatorAddress, reply.StatusCode)
		}
		if reply.StatusCode == http.StatusBadRequest || reply.StatusCode == http.StatusNotFound {
			return e, usageError{errors.New(problem.Error)}
		}
		return e, errors.New(problem.Error)
	}
	if err := json.Unmarshal(text, &e); err != nil {
		return e, fmt.Errorf("decode the answer: %w", err)
	}
	return e, nil
}

// writePlacement writes an explanation for people.
func writePlacement(out io.Writer, e *sched.PlacementExplanation) error {
	what := "a job that isn't submitted"
	if e.Job != "" {
		what = "job " + string(e.Job)
	}
	weight, limit := "no weight", "no limit"
	if e.Team.Weight > 0 {
		weight = fmt.Sprintf("weight %g jobs/s, %.1f left now", e.Team.Weight, e.Team.Left)
	}
	if e.Team.Surplus {
		weight += " (the job is beyond it)"
	}
	if !e.Team.Limit.IsZero() {
		limit = "limit " + shortVector(e.Team.Limit)
	}
	u := e.Team.PastUse
	rows := [][]string{
		{"work", fmt.Sprintf("%s, step %d: %d tasks of %s", what, e.Step, e.Tasks, shortVector(e.Demand))},
		{"queue", fmt.Sprintf("%s, service %s, priority %d", e.Queue.ID, e.Queue.Service, e.Queue.Priority)},
		{"team", fmt.Sprintf("%s: %s; %s, %s in use", e.Team.ID, weight, limit, shortVector(e.Team.Used))},
		{"past use", fmt.Sprintf("%.1f share-seconds (copies %.1f, discarded %.1f), level %d", u.Total, u.Copies, u.Discarded, u.Level)},
		{"rank", e.Rank},
		{"order", fmt.Sprintf("%d steps with %d tasks come first, %d steps after", e.StepsFirst, e.TasksFirst, e.StepsAfter)},
		{"now", placementVerdict(e)},
		{"servers", countsByStatus(e.Servers)},
		{"preempted", preempted(e)},
	}
	if e.Note != "" {
		rows = append(rows, []string{"note", e.Note})
	}
	if e.Truncated {
		rows = append(rows, []string{"note", "more steps wait than were compared"})
	}
	if err := (table{[]string{"WHAT", "VALUE"}, rows}).write(out); err != nil {
		return err
	}
	rows = nil
	for _, s := range e.Candidates {
		rows = append(rows, []string{string(s.Server), "could take " + strconv.Itoa(s.Tasks), strconv.FormatFloat(s.Score, 'f', 2, 64)})
	}
	for _, s := range e.Others {
		rows = append(rows, []string{string(s.Server), string(s.Status), ""})
	}
	_, _ = fmt.Fprintln(out)
	return table{[]string{"SERVER", "STATUS", "SCORE"}, rows}.write(out)
}

func placementVerdict(e *sched.PlacementExplanation) string {
	room := fmt.Sprintf("there is room for %d of %d tasks", e.Room, e.Tasks)
	if e.HeldBy != "" {
		return "waits: " + string(e.HeldBy) + "; " + room
	}
	if e.TasksFirst > 0 {
		return room + ", of which those that come first may take some"
	}
	return room
}

// preempted formats the tasks that would lose their runs, or why none would.
func preempted(e *sched.PlacementExplanation) string {
	if len(e.Preempted) == 0 {
		return "nothing (" + e.NotPreempted + ")"
	}
	var names []string
	for _, t := range e.Preempted {
		names = append(names, fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index))
	}
	return strings.Join(names, ", ")
}

// shortVector formats a vector without the kinds of resource that it has none of.
func shortVector(v resource.Vector) string {
	var parts []string
	if v.CPU != 0 {
		parts = append(parts, fmt.Sprintf("%g cores", float64(v.CPU)/1000))
	}
	if v.Memory != 0 {
		parts = append(parts, fmt.Sprintf("%d MB", v.Memory))
	}
	if v.GPUs != 0 {
		parts = append(parts, fmt.Sprintf("%d GPUs", v.GPUs))
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// countsByStatus formats the numbers of servers by status, in alphabetic order.
func countsByStatus(counts map[sched.ServerStatus]int) string {
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[status], status))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
