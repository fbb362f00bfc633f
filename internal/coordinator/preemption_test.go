package coordinator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/preemption"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// Guards against a stop that can't be explained from the log: ids, inputs and outcome are in one line for each decision.
func TestPreemptionsAreLogged(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	tm := &term{config: Config{Log: log}}
	tm.logPreemptions([]sched.PreemptionDecision{
		{
			Job: "u", Step: 1, Reason: preemption.Preempts, Waiting: 3, Missing: 2, Slack: time.Second, Server: "s7", Places: 2, Lost: 1.5,
			Stopped: []sched.StoppedRun{{Task: sched.TaskID{Job: "b", Index: 4}, Run: 9}, {Task: sched.TaskID{Job: "c", Step: 1}, Run: 2}},
		},
		{Job: "v", Reason: preemption.TooCostly},
	}, 3)
	for i, want := range [][]string{
		{"runs preempted", `"job"="u"`, `"step"=1`, `"reason"="preempts"`, `"missing"=2`, `"server"="s7"`, `"stopped"="b/0/0/4#9 c/0/1/0#2"`, `"slack"="1s"`},
		{"no run preempted", `"job"="v"`, `"reason"="too-costly"`},
		{"decisions not logged", `"count"=3`},
	} {
		if i >= len(lines) {
			t.Fatalf("got %d lines", len(lines))
		}
		for _, part := range want {
			if !strings.Contains(lines[i], part) {
				t.Errorf("line %d lacks %s: %s", i, part, lines[i])
			}
		}
	}
}

// Guards against metrics of preemption that are missing, or fail while another daemon leads.
func TestPreemptionMetrics(t *testing.T) {
	set := metrics.NewSet()
	c := &Coordinator{config: Config{Metrics: set}}
	c.registerPreemptionGauges()
	var b bytes.Buffer
	set.WritePrometheus(&b)
	for _, want := range []string{
		`rosemaryspoke_preemption{kind="stops"} 0`, `rosemaryspoke_preemption{kind="lost-core-seconds"} 0`,
		`rosemaryspoke_preemption_decisions{reason="too-costly"} 0`, `rosemaryspoke_preempted_runs 0`, `rosemaryspoke_held_places 0`,
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %s in:\n%s", want, b.String())
		}
	}
}
