package sched

import (
	"math"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/preemption"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// maxPreemptionDecisions bounds the decisions kept until TakePreemptions is called; further ones are counted only.
	maxPreemptionDecisions = 256
	// maxRefusalsPerSecond bounds the decisions against a stop that are kept in a second: under contention there are hundreds.
	maxRefusalsPerSecond = 5
)

// PreemptionCounts counts preemption since the takeover.
type PreemptionCounts struct {
	Decisions [len(preemption.Reasons)]uint64 // by preemption.Reason
	Deferred  uint64                          // decisions put off, as there is time
	Stops     uint64                          // runs stopped
	Places    uint64                          // tasks that room was made for
	Started   uint64                          // tasks that started in the room made for them
	Unused    uint64                          // tasks for which the room was given up: they started elsewhere, or too late
	Lost      float64                         // core seconds that the stopped runs lose
	Gained    float64                         // core seconds of the tasks that room was made for
}

// PreemptionDecision is a decision to stop runs on a server for a step, or not to stop any. The caller logs it.
type PreemptionDecision struct {
	Job        ident.JobID
	Occurrence int
	Step       int
	Reason     preemption.Reason

	// What the decision is based on.
	Waiting     int           // tasks of the step without room
	Missing     int           // those of them that would start too late without a stop
	Slack       time.Duration // until the step must start
	SafeSlack   time.Duration // see preemption.Step
	StopTime    time.Duration
	Wait        time.Duration // for room, of a task that ranks last
	FreePlaces  int
	AheadCores  float64 // demand of the work that starts before the step
	ForecastAge time.Duration
	Stopping    int // preempted runs whose end isn't listed

	// The outcome.
	Server  ServerID
	Places  int
	Lost    preemption.CoreSeconds
	Gained  preemption.CoreSeconds
	Stopped []StoppedRun
}

// StoppedRun is a run that gives way.
type StoppedRun struct {
	Task TaskID
	Run  RunNumber
	Lost preemption.CoreSeconds // of a gang, by all members
}

// preemptionLog holds decisions until TakePreemptions is called.
type preemptionLog struct {
	decisions    []PreemptionDecision
	dropped      int
	refusals     int // kept since refusalsFrom
	refusalsFrom time.Time
}

// PreemptionCounts returns the totals since the takeover.
func (s *Scheduler) PreemptionCounts() PreemptionCounts { return s.preemption.counts }

// PreemptedRuns returns the number of runs that were stopped to make room and whose end isn't listed.
func (s *Scheduler) PreemptedRuns() int { return s.preemption.stopping }

// HeldRoom returns the number of tasks for which room is held.
func (s *Scheduler) HeldRoom() int {
	n := 0
	for _, h := range s.preemption.holds {
		n += h.places
	}
	return n
}

// TakePreemptions returns the decisions since the last call, and the number of those that weren't kept.
func (s *Scheduler) TakePreemptions() ([]PreemptionDecision, int) {
	l := &s.preemption.log
	decisions, dropped := l.decisions, l.dropped
	l.decisions, l.dropped = nil, 0
	return decisions, dropped
}

// logPlan keeps a decision to stop runs.
func (p *pass) logPlan(
	g *group, plan *preemption.Plan, step *preemption.Step, l *preemption.Limits, v ServerID, stopped []StoppedRun,
) {
	d := p.describePreemption(g, step, l)
	d.Server, d.Places, d.Lost, d.Gained, d.Stopped = v, plan.Places, plan.Lost, plan.Gained, stopped
	d.Missing, d.Reason = preemption.Missing(step, l.StopTime)
	p.keepPreemption(d)
}

// logRefusal keeps a decision not to stop runs, at most maxRefusalsPerSecond of them.
func (p *pass) logRefusal(g *group, step *preemption.Step, l *preemption.Limits, verdict *preemption.Verdict) {
	log := &p.preemption.log
	if p.now.Sub(log.refusalsFrom) >= time.Second {
		log.refusals, log.refusalsFrom = 0, p.now
	}
	if verdict.Reason == preemption.RoomInTime || log.refusals >= maxRefusalsPerSecond {
		return // without contention that is the usual case; it is counted
	}
	log.refusals++
	d := p.describePreemption(g, step, l)
	d.Missing, d.Reason = verdict.Missing, verdict.Reason
	p.keepPreemption(d)
}

func (p *pass) describePreemption(g *group, step *preemption.Step, l *preemption.Limits) PreemptionDecision {
	return PreemptionDecision{
		Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.index, Waiting: step.Waiting, Slack: step.Slack, SafeSlack: step.SafeSlack, StopTime: l.StopTime,
		Wait: p.longestWait(g), FreePlaces: step.FreePlaces, AheadCores: float64(step.Ahead.CPU) / 1000,
		ForecastAge: p.since(p.preemptionOf(g.job.queue.Service).forecastAt), Stopping: p.preemption.stopping,
	}
}

// longestWait returns how long a stopped task of the lowest rank is expected to wait for room in a group's service.
func (p *pass) longestWait(g *group) time.Duration {
	return p.preemptionOf(g.job.queue.Service).expectedWait(rank{class: pastDeadline, priority: math.MaxInt, slack: neverFree})
}

func (p *pass) keepPreemption(d PreemptionDecision) {
	log := &p.preemption.log
	if len(log.decisions) >= maxPreemptionDecisions {
		log.dropped++
		return
	}
	log.decisions = append(log.decisions, d)
}
