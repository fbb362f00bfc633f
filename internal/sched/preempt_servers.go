package sched

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/preemption"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// preemptionServer is a server that is compared, with what stands behind its runs in the input of the decision.
type preemptionServer struct {
	server *server
	runs   []*run // with runs of a gang, one of its members
}

// preemptionServers fills preemption.servers and preemption.candidates with the servers on which a group may start once there is room.
// Its ticket has to be valid then.
func (p *pass) preemptionServers(r *rankedGroup, missing int) {
	st := &p.preemption
	st.servers, st.candidates = st.servers[:0], st.candidates[:0]
	g := r.group
	freeBy := p.now.Add(p.stopTime())
	all := p.candidates(g, r.queue)
	if len(all) == 0 {
		return
	}
	first := int(p.passes) % len(all) // not always the same servers of a large service
	for i := range min(len(all), maxPreemptionServersRead) {
		v := all[(first+i)%len(all)]
		p.counts.ServersRead++
		if v.hold != nil || !v.usable(p.now) || p.reserved[v.info.ID] || !eligible(g.step, v) || len(v.unknownRuns) > 0 ||
			v.failedStart(p.now) || v.info.Rack != p.requiredRack(g, v) || r.queue.Advisor != nil && g.advice.ticket(v, freeBy) == "" {
			continue
		}
		places := 0
		for places < missing && g.allowsAnother(v, places) {
			places++
		}
		if places > 0 && p.addPreemptionServer(v, places) && len(st.servers) == maxPreemptionServers {
			return
		}
	}
}

// requiredRack returns the rack of a server on which a group may preempt runs: one where its tasks read remote data isn't worth a stop.
func (p *pass) requiredRack(g *group, v *server) ident.Rack {
	if rack := g.rackInUse(nil); rack != "" {
		return rack
	}
	if g.step.Rack != "" {
		return g.step.Rack
	}
	return v.info.Rack
}

// addPreemptionServer adds a server to those that are compared, if it has runs of lower priority. It reuses the memory of earlier
// decisions.
func (p *pass) addPreemptionServer(v *server, places int) bool {
	st := &p.preemption
	n := len(st.servers)
	if st.servers == nil {
		st.servers, st.candidates = make([]preemption.Server, 0, maxPreemptionServers), make([]preemptionServer, 0, maxPreemptionServers)
	}
	st.servers, st.candidates = st.servers[:n+1], st.candidates[:n+1]
	in, out := &st.servers[n], &st.candidates[n]
	in.Runs, out.runs = in.Runs[:0], out.runs[:0]
	for _, x := range v.runs {
		if mayYield(x) {
			out.runs = append(out.runs, x)
		}
	}
	slices.SortFunc(out.runs, compareRuns)
	for _, x := range out.runs {
		in.Runs = append(in.Runs, p.preemptible(x))
	}
	in.Free, in.Places, out.server = v.info.Capacity.Sub(v.used), places, v
	if len(in.Runs) == 0 {
		st.servers, st.candidates = st.servers[:n], st.candidates[:n]
		return false
	}
	return true
}

// mayYield reports whether a run may give way to an urgent one at all.
func mayYield(x *run) bool {
	g := x.task.group
	return g.job.queue.Priority > 0 && !g.step.LongRunning && !g.step.Gang && len(x.task.runs) == 1 && x.steady()
}

// preemptible returns the input of the decision for a run.
func (p *pass) preemptible(x *run) preemption.Run {
	g := x.task.group
	q := g.job.queue
	rank := p.rankOf(g, q)
	step := g.step
	done := max(p.durations.expect(step)-p.remaining(x), 0)
	lost, atMost := done, done
	if step.Checkpointing {
		// A stop makes a checkpoint, so that what the run does until it has ended is lost. Should the stop come too late for one, the
		// latest regular one counts, which only the job's slack has to allow for.
		lost, atMost = min(done, p.options.MaxStopTime), min(done, p.options.Preemption.CheckpointInterval)
	}
	restore := p.options.Preemption.RestoreTime
	return preemption.Run{
		Priority: q.Priority, Surplus: rank.class == surplus, PastUse: rank.class == pastDeadline, TimesGivenWay: x.task.timesGivenWay,
		Freed: step.Charge(), Stops: 1, Lost: preemption.Work(step.Demand, lost+restore), Remaining: p.remaining(x),
		Slack: slackAfterLoss(rank, done-atMost) - restore,
	}
}

// slackAfterLoss returns the slack of a job of which a run that has done some work that isn't lost is stopped. The rank counts the
// whole step as left.
func slackAfterLoss(r rank, kept time.Duration) time.Duration {
	if r.class != onTime {
		return -neverFree
	}
	return r.slack + kept
}

// steady reports whether a run is in progress for certain, so that a stop frees its room soon.
func (p *run) steady() bool {
	return p.phase == phaseRunning && !p.unlisted && !p.confirmInDoubt && !p.task.done && p.server.failures == 0
}

// carryOut stops the runs of a plan and holds the room for the group.
func (p *pass) carryOut(r *rankedGroup, plan *preemption.Plan, step *preemption.Step, l *preemption.Limits) {
	c := &p.preemption.candidates[plan.Server]
	v, g := c.server, r.group
	h := &roomHold{group: g, server: v, places: plan.Places, freeBy: p.now.Add(l.StopTime), endsAt: p.now.Add(l.StopTime + holdMargin)}
	v.hold = h
	p.preemption.holds = append(p.preemption.holds, h)
	g.heldPlaces += plan.Places
	var stopped []StoppedRun
	for _, i := range plan.Runs {
		x := c.runs[i]
		stopped = append(stopped, StoppedRun{Task: x.task.id(), Run: x.number, Lost: p.preemption.servers[plan.Server].Runs[i].Lost})
		p.stopToMakeRoom(x, h)
	}
	counts := &p.preemption.counts
	counts.Stops += uint64(plan.Stops)
	counts.Places += uint64(plan.Places)
	counts.Lost += float64(plan.Lost)
	counts.Gained += float64(plan.Gained)
	p.logPlan(g, plan, step, l, v.info.ID, stopped)
}

// stopToMakeRoom stops a run for a hold.
func (p *pass) stopToMakeRoom(x *run, h *roomHold) {
	x.preempted = true
	p.preemption.stopping++
	p.preemption.stops++
	if x.server == h.server {
		x.madeRoom = h
		h.stops++
	}
	x.task.timesGivenWay++
	x.task.group.job.gaveWay = true
	p.stop(x, "makes room for an urgent step")
}
