package sched

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// invariantCheck collects the violated invariants of a scheduler's state: each run belongs to a server that is known, each task
// that has to run has a run or is waiting, and all counters equal the runs that they count.
type invariantCheck struct {
	s          *Scheduler
	violations []string
}

// violatedInvariants describes the violated invariants of a scheduler's state, in no fixed order.
func violatedInvariants(s *Scheduler) []string {
	c := invariantCheck{s: s}
	c.checkServices()
	used := map[ident.TeamID]resource.Vector{}
	for id, v := range s.servers {
		c.checkServer(id, v, used)
	}
	for id, t := range s.teams {
		if t.used != used[id] {
			c.report("team %s uses CPU %d of %d: %v, its runs %v", id, t.used.CPU, used[id].CPU, t.used, used[id])
		}
	}
	c.checkTracking()
	unknown := map[*task]int{}
	for _, v := range s.servers {
		for _, t := range v.unknownOutcomeTasks {
			unknown[t]++
		}
	}
	for _, j := range s.jobs {
		for _, o := range j.occurrences {
			for _, g := range o.groups {
				c.checkGroup(g, unknown)
			}
		}
	}
	return c.violations
}

func (c *invariantCheck) report(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, a...))
}

// checkServices checks that each server is listed once, by its service.
func (c *invariantCheck) checkServices() {
	listed := map[*server]int{}
	for id, servers := range c.s.services {
		for _, v := range servers {
			listed[v]++
			if v.info.Service != id {
				c.report("service %s lists %s, which is of %s", id, v.info.ID, v.info.Service)
			}
			if c.s.servers[v.info.ID] != v {
				c.report("service %s lists %s, which isn't known", id, v.info.ID)
			}
		}
	}
	for _, v := range c.s.servers {
		if listed[v] != 1 {
			c.report("%s is in %d lists of services", v.info.ID, listed[v])
		}
	}
}

// checkServer checks the runs of a server and its counters, and adds the demand of its runs to the usage of their teams.
func (c *invariantCheck) checkServer(id ServerID, v *server, teams map[ident.TeamID]resource.Vector) {
	if v.info.ID != id || v.removed {
		c.report("%s is known as %s, removed: %v", v.info.ID, id, v.removed)
	}
	if v.evacuated != c.s.evacuated[v.info.DataCentre] {
		c.report("%s of data centre %s counts as evacuated: %v", id, v.info.DataCentre, v.evacuated)
	}
	pending := func(p sentPoll) bool { return p.serial == v.pollSerial }
	if v.polling && !slices.ContainsFunc(v.unansweredPolls, pending) {
		c.report("%s: no reply to poll %d in progress is accepted", id, v.pollSerial)
	}
	var used resource.Vector
	finite, unanswered := 0, 0
	for key, p := range v.runs {
		if key != (runKey{p.task.id(), p.number}) || p.server != v {
			c.report("%s holds run %d of %v as %v", id, p.number, p.task.id(), key)
		}
		if !slices.Contains(p.task.runs, p) {
			c.report("%s holds run %d of %v, the task doesn't", id, p.number, p.task.id())
		}
		step := p.task.group.step
		used = used.Add(step.Charge())
		finite += boolToInt(!step.LongRunning)
		unanswered += boolToInt(p.phase == phaseStarting)
		team := p.task.group.job.spec.Team
		teams[team] = teams[team].Add(step.Demand)
	}
	if v.used != used {
		c.report("%s uses CPU %d of %d: %v, its runs %v", id, v.used.CPU, used.CPU, v.used, used)
	}
	if v.finiteRuns != finite {
		c.report("%s counts %d finite runs of %d", id, v.finiteRuns, finite)
	}
	if v.unansweredStarts != unanswered {
		c.report("%s counts %d unanswered starts of %d", id, v.unansweredStarts, unanswered)
	}
}

// checkTracking checks that the tracked groups are listed once.
func (c *invariantCheck) checkTracking() {
	listed := map[*group]bool{}
	for _, g := range c.s.groups {
		if listed[g] {
			c.report("%s is listed twice", g.name())
		}
		if !g.tracked {
			c.report("%s is listed, but not tracked", g.name())
		}
		listed[g] = true
	}
	for _, j := range c.s.jobs {
		for _, o := range j.occurrences {
			for _, g := range o.groups {
				if g.tracked && !listed[g] {
					c.report("%s is tracked, but not listed", g.name())
				}
			}
		}
	}
}

// checkGroup checks the counters of a group and that each of its tasks that has to run has a run or is waiting.
func (c *invariantCheck) checkGroup(g *group, unknown map[*task]int) {
	waiting, running, done := 0, 0, 0
	for t := range readTasks(g) {
		waiting += boolToInt(t.waiting())
		running += len(t.runs)
		done += boolToInt(t.done)
		for _, p := range t.runs {
			if c.s.servers[p.server.info.ID] != p.server {
				c.report("run %d of %v (%v) is on %s, which isn't known", p.number, t.id(), p.phase, p.server.info.ID)
			}
			if p.server.runs[runKey{t.id(), p.number}] != p {
				c.report("run %d of %v isn't held by %s", p.number, t.id(), p.server.info.ID)
			}
			if p.task != t {
				c.report("run %d of %v is of %v", p.number, t.id(), p.task.id())
			}
		}
		if t.unknownOutcomes != unknown[t] {
			c.report("%v counts %d unknown outcomes, servers %d", t.id(), t.unknownOutcomes, unknown[t])
		}
		if t.waiting() && g.ready && !g.job.state.Terminal() && (!g.tracked || g.waiting == 0) {
			c.report("%v neither runs nor waits", t.id())
		}
	}
	if g.waiting != waiting {
		c.report("%s counts %d waiting tasks of %d", g.name(), g.waiting, waiting)
	}
	if g.running != running {
		c.report("%s counts %d runs of %d", g.name(), g.running, running)
	}
	if g.done != done {
		c.report("%s counts %d done tasks of %d", g.name(), g.done, done)
	}
	if running > 0 && !g.tracked {
		c.report("%s has runs and isn't tracked", g.name())
	}
}

// name returns the job, the occurrence and the index of a group's step, for messages.
func (g *group) name() string {
	return fmt.Sprintf("step %s.%d.%d", g.job.spec.ID, g.occurrence, g.index)
}

// checkInvariants checks the scheduler's state, unless the simulation runs in a benchmark.
func (p *loadSimulation) checkInvariants() {
	if p.t == nil {
		return
	}
	checkProgressQueue(p.t, p.s)
	for _, violation := range violatedInvariants(p.s) {
		p.t.Errorf("after %v: %s", p.now.Sub(epochStart), violation)
	}
}

// Guards against a check of the invariants that can't fail.
func TestViolatedInvariants(t *testing.T) {
	for name, corrupt := range map[string]struct {
		change func(s *Scheduler, p *run)
		want   string
	}{
		"run on a removed server":        {func(s *Scheduler, p *run) { s.remove(p.server, CauseReplaced, 1) }, "run 1 of {j 0 0 0} (running) is on s1, which isn't known"},
		"run that its server lacks":      {func(_ *Scheduler, p *run) { clear(p.server.runs) }, "run 1 of {j 0 0 0} isn't held by s1"},
		"run that its task lacks":        {func(_ *Scheduler, p *run) { p.task.runs = nil }, "s1 holds run 1 of {j 0 0 0}, the task doesn't"},
		"run of another task":            {func(_ *Scheduler, p *run) { p.task = p.task.group.tasks.at(1) }, "run 1 of {j 0 0 0} is of {j 0 0 1}"},
		"run under another key":          {func(_ *Scheduler, p *run) { p.number = 7 }, "s1 holds run 7 of {j 0 0 0} as {{j 0 0 0} 1}"},
		"server under another id":        {func(_ *Scheduler, p *run) { p.server.info.ID = "s9" }, "s9 is known as s1, removed: false"},
		"removed server that is known":   {func(_ *Scheduler, p *run) { p.server.removed = true }, "s1 is known as s1, removed: true"},
		"list with an unknown server":    {func(s *Scheduler, _ *run) { delete(s.servers, "s2") }, "service pool lists s2, which isn't known"},
		"list of another service":        {func(_ *Scheduler, p *run) { p.server.info.Service = "x" }, "service pool lists s1, which is of x"},
		"server in no list":              {func(s *Scheduler, _ *run) { clear(s.services) }, "s1 is in 0 lists of services"},
		"server in a list twice":         {func(s *Scheduler, p *run) { s.services["pool"] = append(s.services["pool"], p.server) }, "s1 is in 2 lists of services"},
		"poll whose reply is dropped":    {func(_ *Scheduler, p *run) { p.server.polling, p.server.unansweredPolls = true, nil }, "s1: no reply to poll 2 in progress is accepted"},
		"usage of a server":              {func(_ *Scheduler, p *run) { p.server.used.CPU += 1000 }, "s1 uses CPU 2000 of 1000: "},
		"finite runs":                    {func(_ *Scheduler, p *run) { p.server.finiteRuns++ }, "s1 counts 2 finite runs of 1"},
		"unanswered starts":              {func(_ *Scheduler, p *run) { p.server.unansweredStarts++ }, "s1 counts 1 unanswered starts of 0"},
		"usage of a team":                {func(s *Scheduler, _ *run) { s.team("blue").used.CPU += 1000 }, "team blue uses CPU 2000 of 1000: "},
		"group that is listed twice":     {func(s *Scheduler, _ *run) { s.groups = append(s.groups, s.groups[0]) }, "step j.0.0 is listed twice"},
		"listed group without the mark":  {func(s *Scheduler, _ *run) { s.groups[0].tracked = false }, "step j.0.0 is listed, but not tracked"},
		"tracked group that isn't there": {func(s *Scheduler, _ *run) { s.groups = nil }, "step j.0.0 is tracked, but not listed"},
		"task that nobody starts":        {func(s *Scheduler, _ *run) { s.groups[0].tracked = false }, "{j 0 0 1} neither runs nor waits"},
		"waiting tasks":                  {func(s *Scheduler, _ *run) { s.groups[0].waiting++ }, "step j.0.0 counts 2 waiting tasks of 1"},
		"running tasks":                  {func(s *Scheduler, _ *run) { s.groups[0].running++ }, "step j.0.0 counts 2 runs of 1"},
		"done tasks":                     {func(s *Scheduler, _ *run) { s.groups[0].done++ }, "step j.0.0 counts 1 done tasks of 0"},
		"runs of a group without a mark": {func(s *Scheduler, _ *run) { s.groups[0].tracked = false }, "step j.0.0 has runs and isn't tracked"},
		"unknown outcomes":               {func(_ *Scheduler, p *run) { p.task.unknownOutcomes++ }, "{j 0 0 0} counts 1 unknown outcomes, servers 0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 1)
			f.addJob("j", Step{Count: 2, Demand: cores(1)})
			f.takeStarts()
			f.s.Register(f.now, testServer("s2", 0))
			if got := violatedInvariants(f.s); len(got) > 0 {
				t.Fatalf("before the change: %q", got)
			}
			corrupt.change(f.s, f.s.jobs["j"].occurrences[0].groups[0].tasks.at(0).runs[0])
			got := violatedInvariants(f.s)
			if !slices.ContainsFunc(got, func(v string) bool { return strings.HasPrefix(v, corrupt.want) }) {
				t.Errorf("got %q, want %q", got, corrupt.want)
			}
		})
	}
}

// readTasks iterates over all tasks of a group without keeping those that were never used.
func readTasks(g *group) iter.Seq[*task] {
	return func(yield func(*task) bool) {
		used := map[int]*task{}
		for t := range g.tasks.used() {
			used[t.index] = t
		}
		for i := range g.tasks.len() {
			t := used[i]
			if t == nil {
				t = g.tasks.unused(i)
			}
			if !yield(t) {
				return
			}
		}
	}
}
