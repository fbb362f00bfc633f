package sched

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

type simulatedServer struct {
	runs        map[runKey]time.Time     // start of each run
	took        map[runKey]time.Duration // how long each run takes, if loadSimulation.moreWork is set
	speed       float64                  // multiple of the usual speed; 0 means 1
	slowdown    float64                  // multiple of the usual run time; 0 means 1
	pendingPoll *PollCommand
	finished    []FinishedRun
	lastEnd     uint64
}

// simulatedCheckpoints is how servers stop runs. The zero value stops them at once and makes no checkpoints.
type simulatedCheckpoints struct {
	stopTime time.Duration // of each stop, which makes a checkpoint as it begins
	restore  time.Duration
	shares   map[Checkpoint]float64 // of the work that is done
	runs     map[runKey]*simulatedRun
	stopped  int
}

// simulatedRun is the progress of a run.
type simulatedRun struct {
	from  time.Time     // when its work begins, after the restore
	share float64       // done then
	work  time.Duration // of the whole task
	saved Checkpoint
}

// resume begins a run of a task that takes a time from its start, and returns how long the run takes.
func (c *simulatedCheckpoints) resume(cmd StartCommand, now time.Time, work time.Duration) time.Duration {
	if c.stopTime == 0 {
		return work
	}
	if c.runs == nil {
		c.runs, c.shares = map[runKey]*simulatedRun{}, map[Checkpoint]float64{}
	}
	r := &simulatedRun{from: now, work: work}
	if cmd.Checkpoint != "" {
		r.share, r.from = c.shares[cmd.Checkpoint], now.Add(c.restore)
	}
	c.runs[runKey{cmd.Task, cmd.Run}] = r
	return r.from.Sub(now) + scale(work, 1-r.share)
}

// done returns the share of a run's work that is done.
func (c *simulatedCheckpoints) done(key runKey, now time.Time) float64 {
	r := c.runs[key]
	return r.share + max(float64(now.Sub(r.from)), 0)/float64(max(r.work, 1))
}

// save returns the checkpoint that a stop has made.
func (c *simulatedCheckpoints) save(key runKey) Checkpoint {
	if c.stopTime == 0 {
		return ""
	}
	return c.runs[key].saved
}

// stop begins the stop of a run.
func (p *loadSimulation) stop(id ServerID, key runKey) {
	c := &p.checkpoints
	if _, here := p.servers[id].runs[key]; c.stopTime == 0 || !here {
		p.end(id, key, OutcomeStopped)
		return
	}
	c.stopped++
	if p.s.jobs[key.task.Job].spec.Steps[key.task.Step].Checkpointing {
		saved := Checkpoint(fmt.Sprint(key))
		c.runs[key].saved, c.shares[saved] = saved, c.done(key, p.now)
	}
	p.after(c.stopTime, func() { p.end(id, key, OutcomeStopped) })
}

// workFactor returns the work of a task as a multiple of its estimate. With checkpoints it depends on the task only, so that the same
// load can be played again with other decisions.
func (p *loadSimulation) workFactor(id TaskID) float64 {
	if p.checkpoints.stopTime == 0 {
		return 0.7 + 0.6*p.random.Float64()
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, id)
	return 0.7 + 0.6*float64(h.Sum32()%1000)/1000
}

func (p *loadSimulation) deliverCommands() {
	sent := p.now
	for _, cmd := range p.s.TakeCommands() {
		switch cmd := cmd.(type) {
		case StartCommand:
			p.after(oneWayDelay, func() { p.start(cmd, sent) })
		case StopCommand:
			p.after(oneWayDelay, func() { p.stop(cmd.Server.ID, runKey{cmd.Task, cmd.Run}) })
			p.after(2*oneWayDelay, func() { p.s.Stopped(p.now, sent, cmd.Server.ID, cmd.Task, cmd.Run, p.clock()) })
		case PollCommand:
			p.after(cmd.Delay+oneWayDelay, func() { p.receivePoll(cmd) })
		}
	}
}

func (p *loadSimulation) clock() time.Duration { return p.now.Sub(epochStart) + time.Hour }

func (p *loadSimulation) start(cmd StartCommand, sent time.Time) {
	v := p.servers[cmd.Server.ID]
	p.starts++
	key := runKey{cmd.Task, cmd.Run}
	v.runs[key] = p.now
	work := p.s.jobs[cmd.Task.Job].spec.Steps[cmd.Task.Step].Estimate
	took := p.checkpoints.resume(cmd, p.now, scale(work, p.workOf(cmd.Task)*v.durationFactor()*p.workFactor(cmd.Task)))
	if p.moreWork != nil {
		v.took[key] = took
	}
	p.after(took, func() { p.end(cmd.Server.ID, key, OutcomeDone) })
	p.after(oneWayDelay, func() { p.s.Started(p.now, sent, cmd.Server.ID, cmd.Task, cmd.Run, p.clock()) })
}

func (p *loadSimulation) end(id ServerID, key runKey, outcome Outcome) {
	v := p.servers[id]
	began, here := v.runs[key]
	if !here {
		return
	}
	delete(v.runs, key)
	delete(v.took, key)
	if outcome == OutcomeStopped {
		p.stopped = append(p.stopped, stoppedRun{key, p.now.Sub(began)})
	}
	v.lastEnd++
	f := FinishedRun{Number: v.lastEnd, Task: key.task, Run: key.run, Outcome: outcome}
	if outcome == OutcomeStopped {
		f.Checkpoint = p.checkpoints.save(key)
	}
	v.finished = append(v.finished, f)
	p.answerPoll(id)
}

func (p *loadSimulation) receivePoll(poll PollCommand) {
	v := p.servers[poll.Server.ID]
	for len(v.finished) > 0 && v.finished[0].Number <= poll.Acknowledged {
		v.finished = v.finished[1:]
	}
	v.pendingPoll = &poll
	if len(v.finished) > 0 || poll.Wait == 0 {
		p.answerPoll(poll.Server.ID)
		return
	}
	p.after(poll.Wait, func() {
		if v.pendingPoll == &poll {
			p.answerPoll(poll.Server.ID)
		}
	})
}

func (p *loadSimulation) answerPoll(id ServerID) {
	v := p.servers[id]
	if v.pendingPoll == nil {
		return
	}
	poll := *v.pendingPoll
	v.pendingPoll = nil
	inv := Inventory{Incarnation: 1, Clock: p.clock(), Finished: append([]FinishedRun(nil), v.finished...)}
	for key, at := range v.runs {
		step := p.s.jobs[key.task.Job].spec.Steps[key.task.Step]
		share := min(float64(p.now.Sub(at))/float64(step.Estimate)/v.durationFactor(), 0.99)
		if took, known := v.took[key]; known {
			share = min(float64(p.now.Sub(at))/float64(took), 0.99)
		}
		if p.checkpoints.stopTime > 0 {
			share = min(p.checkpoints.done(key, p.now), 0.99)
		}
		inv.Running = append(inv.Running, ActiveRun{Task: key.task, Run: key.run, Percent: int(100 * share)})
	}
	slices.SortFunc(inv.Running, func(a, b ActiveRun) int { return compareTasks(a.Task, b.Task, a.Run, b.Run) })
	p.after(oneWayDelay, func() {
		p.s.Polled(p.now, id, poll.Serial, inv)
		p.recordCompletions(inv.Finished)
	})
}

func (p *loadSimulation) recordCompletions(ends []FinishedRun) {
	for _, f := range ends {
		if j := p.jobs[f.Task.Job]; j.done.IsZero() && p.s.jobs[f.Task.Job].state == StateCompleted {
			j.done = p.now
		}
	}
}
