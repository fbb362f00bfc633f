package sched

import (
	"iter"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/preemption"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// preemptionServer is a server that is compared, with what stands behind its runs in the input of the decision.
type preemptionServer struct {
	server *server
	runs   []*run // with runs of a gang, one of its members
}

// preemptionServers fills preemption.servers and preemption.candidates with servers on which a group may start once there is room.
func (p *pass) preemptionServers(r *rankedGroup, missing int) {
	st := &p.preemption
	st.servers, st.candidates, st.gangs = st.servers[:0], st.candidates[:0], st.gangs[:0]
	g := r.group
	freeBy := p.now.Add(p.stopTime())
	read := 0
	for v := range p.rotated(r) {
		if read++; read > maxPreemptionServersRead {
			return
		}
		p.counts.ServersRead++
		if v.hold != nil || !v.usable(p.now) || p.reserved[v.info.ID] || !eligible(g.step, v) || len(v.unknownRuns) > 0 ||
			v.failedStart(p.now) || v.info.Rack != p.requiredRack(g, v) || !p.mayHaveTicket(r, v, freeBy) {
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

// rotated returns the servers on which a group may start: those that its advisor allows, or all of the service, from another one on in
// each pass.
func (p *pass) rotated(r *rankedGroup) iter.Seq[*server] {
	if r.queue.Advisor != nil {
		return p.allowedServers(r.group, r.queue, p.now)
	}
	return func(yield func(*server) bool) {
		all := p.services[r.queue.Service]
		for i := range all {
			if !yield(all[(int(p.passes)+i)%len(all)]) {
				return
			}
		}
	}
}

// mayHaveTicket reports whether a group has a ticket for an allowed server that is valid at a time, or can have one by then: a call is made
// while the stops are under way, see heldTicketDue.
func (p *pass) mayHaveTicket(r *rankedGroup, v *server, at time.Time) bool {
	return r.queue.Advisor == nil || r.group.advice.ticket(v, at) != "" ||
		p.now.Add(r.queue.Advisor.CallTime(1)+renewalLead).Before(at) && !p.ticketsWouldExpire(r.queue)
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
	out.runs = slices.CompactFunc(out.runs, func(a, b *run) bool { // one run stands for all members of a gang on the server
		return a.task.group == b.task.group && a.task.group.step.Gang
	})
	for _, x := range out.runs {
		if x.task.group.step.Gang {
			in.Runs = append(in.Runs, p.preemptibleGang(x))
		} else {
			in.Runs = append(in.Runs, p.preemptible(x))
		}
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
	if g.job.queue.Priority <= 0 || g.step.LongRunning || len(x.task.runs) != 1 || !x.steady() {
		return false
	}
	return !g.step.Gang || g.steadyGang()
}

// steadyGang reports whether all members of a gang are in progress for certain. It gives way whole or not at all.
func (g *group) steadyGang() bool {
	n := 0
	for t := range g.tasks.used() {
		if len(t.runs) != 1 || t.runs[0].number != g.gangRun || !t.runs[0].steady() {
			return false
		}
		n++
	}
	return n == g.tasks.len()
}

// preemptibleGang returns the input of the decision for a gang with a member on a server.
func (p *pass) preemptibleGang(x *run) preemption.Run {
	g, st := x.task.group, &p.preemption
	out := p.preemptible(x)
	out.Freed, out.Stops, out.Lost = resource.Vector{}, 0, 0
	for t := range g.tasks.used() {
		member := p.preemptible(t.runs[0])
		if t.runs[0].server == x.server {
			out.Freed = out.Freed.Add(member.Freed)
		}
		out.Stops, out.Lost, out.TimesGivenWay = out.Stops+1, out.Lost+member.Lost, max(out.TimesGivenWay, member.TimesGivenWay)
		out.Remaining, out.Slack = min(out.Remaining, member.Remaining), min(out.Slack, member.Slack)
	}
	i := slices.Index(st.gangs, g)
	if i < 0 {
		i = len(st.gangs)
		st.gangs = append(st.gangs, g)
	}
	out.Gang = i + 1
	return out
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
		Slack: slackAfterLoss(rank, done-atMost) - restore, Wait: p.stopTime() + p.preemptionOf(q.Service).expectedWait(rank),
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
		if !x.task.group.step.Gang {
			p.stopToMakeRoom(x, h)
			continue
		}
		for t := range x.task.group.tasks.used() {
			p.stopToMakeRoom(t.runs[0], h)
		}
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
