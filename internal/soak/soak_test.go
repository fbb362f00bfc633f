package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/runhost"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// regressionSeeds are seeds that led to a violation within regressionDuration in the past.
var regressionSeeds = map[string]uint64{
	"seed 9":  9,  // finished runs were acknowledged by numbers of a server's earlier incarnation; also see KNOWN-RED.txt
	"seed 24": 24, // finished runs were acknowledged by numbers of a server's earlier incarnation
	"seed 31": 31, // connections of a simulated server stayed open after its crash
}

const (
	shortDuration      = 6 * time.Second
	regressionDuration = 12 * time.Second
)

// Guards against violations of the product's guarantees under faults from outside, with the built program in separate
// processes.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rosemaryspoke")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/rosemaryspoke")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatalf("build the program: %v", err)
	}
	type soakRun struct {
		seed     uint64
		duration time.Duration
	}
	runs := map[string]soakRun{"seed 1": {1, shortDuration}, "seed 2": {2, shortDuration}}
	for name, seed := range regressionSeeds {
		runs[name] = soakRun{seed, regressionDuration}
	}
	dir := t.TempDir()
	for name, p := range runs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := p.seed
			o := Options{Binary: binary, Dir: dir, FaultDuration: p.duration, Daemons: 3, Servers: 6, Callers: 6}
			r, err := Run(context.Background(), o, seed)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(r)
			for _, violation := range r.Violations {
				t.Error(violation)
			}
			if r.Accepted == 0 || r.Starts == 0 {
				t.Error("no job was accepted, or no task was started")
			}
		})
	}
}

// Guards against a seed that gives another plan when it is run again, and against a fault that no plan has.
func TestPlanIsDeterministic(t *testing.T) {
	a, b := newPlan(9, 20*time.Second, 3, 6), newPlan(9, 20*time.Second, 3, 6)
	if !slices.Equal(a, b) {
		t.Errorf("two plans of a seed differ:\n%v\n%v", a, b)
	}
	seen := map[fault]bool{}
	for seed := range uint64(60) {
		for _, f := range newPlan(seed, 20*time.Second, 3, 6) {
			seen[f.Fault] = true
		}
	}
	for _, w := range faultWeights {
		if !seen[w.fault] {
			t.Errorf("no plan of 60 seeds has the fault %s", w.fault)
		}
	}
}

// Guards against checks that can't fail: every kind of violation must be reported.
func TestChecksReportViolations(t *testing.T) {
	task := func(step, index int) sched.TaskID { return sched.TaskID{Job: "j", Step: step, Index: index} }
	steps := []sched.Step{{Count: 2, Demand: taskDemand}, {Count: 1, Demand: taskDemand, After: []int{0}}}
	start := func(f *runhost.Fleet, server sched.ServerID, id sched.TaskID, run sched.RunNumber) {
		deadline := 2 * time.Hour // after the current reading of the host's clock, which starts at one hour
		_, _ = f.Client().Start(context.Background(), 1, sched.StartCommand{
			Server: sched.Server{ID: server}, Task: id, Run: run, Deadline: deadline,
		})
	}
	for name, c := range map[string]struct {
		violate func(*workload)
		want    string
	}{
		"task that runs on two hosts": {func(w *workload) {
			start(w.cell.fleet, "s0", task(0, 0), 1)
			start(w.cell.fleet, "s1", task(0, 0), 2)
		}, "runs on"},
		"start after the task has succeeded": {func(w *workload) {
			start(w.cell.fleet, "s0", task(0, 0), 1)
			time.Sleep(60 * time.Millisecond)
			start(w.cell.fleet, "s1", task(0, 0), 2)
		}, "after its end"},
		"step that starts before its prerequisite": {func(w *workload) { start(w.cell.fleet, "s0", task(1, 0), 1) }, "before the end"},
		"demand above the capacity of a host": {func(w *workload) {
			start(w.cell.fleet, "s0", task(0, 0), 1)
			start(w.cell.fleet, "s0", task(0, 1), 1)
		}, "over its capacity"},
		"refused job that runs": {func(w *workload) {
			w.jobs["j"].refused = true
			start(w.cell.fleet, "s0", task(0, 0), 1)
			w.checkRefusedJobs()
		}, "refused as not run"},
		"cancelled job that keeps running": {func(w *workload) {
			w.jobs["j"].cancelConfirmed = time.Now().Add(-time.Minute)
			start(w.cell.fleet, "s0", task(0, 0), 1)
			w.checkCancelledJobs()
		}, "after its cancellation"},
		"team above its limit": {func(w *workload) {
			w.jobs["j"].team = limitedTeam
			for i := range teamLimitCores + 1 {
				start(w.cell.fleet, "large", task(0, i), 1)
			}
		}, "team red has"},
		"completed job with a task that hasn't succeeded": {func(w *workload) { w.checkAllTasksRan(w.jobs["j"]) }, "hasn't succeeded"},
	} {
		t.Run(name, func(t *testing.T) {
			f := runhost.New(
				func(sched.TaskID) time.Duration { return 50 * time.Millisecond },
				func(sched.TaskID) resource.Vector { return taskDemand })
			for i := range 2 {
				f.Add(sched.Server{ID: sched.ServerID(fmt.Sprintf("s%d", i)), Capacity: taskDemand})
			}
			f.Add(sched.Server{ID: "large", Capacity: taskDemand.Times(100)})
			w := newWorkload(&cell{fleet: f})
			w.jobs["j"] = &jobRecord{id: "j", steps: steps}
			f.SetPrerequisites(w.prerequisites)
			f.SetTeamLimit(w.teamLimit)
			c.violate(w)
			all := strings.Join(append(f.Violations(), w.violations...), "\n")
			if !strings.Contains(all, c.want) {
				t.Errorf("violations %q, want one with %q", all, c.want)
			}
		})
	}
}

// Guards against a soak that hangs: the checks held the lock of the jobs while they waited for that of the servers, whose starts
// read the jobs.
func TestChecksDuringStarts(t *testing.T) {
	f := runhost.New(
		func(sched.TaskID) time.Duration { return time.Millisecond },
		func(sched.TaskID) resource.Vector { return taskDemand })
	f.Add(sched.Server{ID: "s0", Service: serviceName, Capacity: taskDemand.Times(100)})
	w := newWorkload(&cell{fleet: f})
	w.jobs["j"] = &jobRecord{id: "j", refused: true, steps: []sched.Step{{Count: 1000, Demand: taskDemand}}}
	f.SetPrerequisites(w.prerequisites)
	f.SetTeamLimit(w.teamLimit)
	var group sync.WaitGroup
	for n := range 1000 {
		group.Go(func() {
			_, _ = f.Client().Start(context.Background(), 1, sched.StartCommand{
				Server: sched.Server{ID: "s0"}, Task: sched.TaskID{Job: "j", Index: n}, Run: 1, Deadline: 2 * time.Hour,
			})
		})
		group.Go(func() {
			w.checkRefusedJobs()
			w.checkCancelledJobs()
		})
	}
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		t.Fatal("deadlock")
	}
}
