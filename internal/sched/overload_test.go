package sched

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// overload is a load simulation with a leader that handles replies one after the other, so that they queue up once they take more time
// than there is. Some runs fail, and leaders are replaced. Servers and their links are sound.
type overload struct {
	*loadSimulation
	replyCost   time.Duration // processor time for a reply
	passCost    time.Duration // and for a pass
	busyUntil   time.Time     // when all replies so far are handled
	failPercent int
	epoch       int
	specs       []*Job
	recorded    map[ident.JobID]Progress
	roster      map[ServerID]RosterEntry
	infos       []Server
	proxies     int
	config      Config
	nextPass    time.Time
	hosts       map[ServerID]*overloadServer
	byID        map[ident.JobID]*Job
}

// overloadServer is a server of an overload.
type overloadServer struct {
	simulatedServer
	waiting []waitingPoll
}

// waitingPoll is a poll that waits at a server for the end of a run.
type waitingPoll struct {
	s    *Scheduler
	poll PollCommand
	sent time.Time
}

// newOverload returns a simulation in which a first leader has just taken over.
func newOverload(t *testing.T, seed uint64, proxies int, kinds []workload, servers []Server) *overload {
	p := &overload{
		loadSimulation: newLoadSimulation(seed, 0, kinds, nil), infos: servers, proxies: proxies, failPercent: 3,
		recorded: map[ident.JobID]Progress{}, roster: map[ServerID]RosterEntry{}, config: Config{Queues: map[ident.QueueID]Queue{}},
		hosts: map[ServerID]*overloadServer{}, byID: map[ident.JobID]*Job{},
	}
	p.t, p.events = t, nil // its own timers follow
	for _, k := range kinds {
		p.config.Queues[k.queue.ID] = k.queue
	}
	for _, v := range servers {
		p.hosts[v.ID] = &overloadServer{simulatedServer: simulatedServer{runs: map[runKey]time.Time{}}}
	}
	p.takeOver()
	p.every(100*time.Millisecond, func() { p.s.Tick(p.now) })
	p.every(recordInterval, p.record)
	p.every(passInterval, p.pass)
	return p
}

// takeOver replaces the leader by one that knows what is recorded.
func (p *overload) takeOver() {
	p.epoch++
	p.busyUntil, p.freeAdvisorCalls = p.now, p.proxies
	o := Options{
		RunBase: RunNumber(p.epoch-1) * 1000, RunLease: 4 * time.Second, MaxFormerLease: 4 * time.Second, MaxRunLease: 10 * time.Second,
		LeaderOverlap: 2 * time.Second, PollWait: time.Second, MaxStopTime: 200 * time.Millisecond, Retention: time.Hour,
	}
	p.s = New(o, p.now)
	p.s.Configure(p.now, p.config)
	for _, j := range p.specs {
		p.s.AddJob(p.now, j, p.recorded[j.ID], true)
	}
	for _, v := range p.infos {
		if e, ok := p.roster[v.ID]; ok {
			p.s.RestoreServer(p.now, e)
		}
	}
	for _, v := range p.infos {
		p.s.Register(p.now, v)
	}
}

// record writes progress and the roster. What a former leader writes late is refused.
func (p *overload) record() {
	s := p.s
	if u := s.TakeProgressUpdates(1000); len(u) > 0 {
		p.after(oneWayDelay, func() {
			if s != p.s {
				return
			}
			for _, x := range u {
				p.recorded[x.Job] = x.Progress
			}
			p.toLeader(s, func() { s.ProgressWritten(p.now, u) })
		})
	}
	if changes := s.TakeRosterChanges(1000); len(changes) > 0 {
		for _, c := range changes {
			p.roster[c.Entry.Server.ID] = c.Entry
		}
		s.RosterWritten(p.now, changes)
	}
}

// pass runs a scheduling pass, with the pauses of the coordinator.
func (p *overload) pass() {
	if p.now.Before(p.nextPass) {
		return
	}
	p.s.Schedule(p.now)
	p.requestAdvice()
	p.busyUntil = latest(p.busyUntil, p.now).Add(p.passCost)
	p.nextPass = p.now.Add(5 * p.passCost)
}

// toLeader delivers a reply to the leader that has asked for it, once all before it are handled.
func (p *overload) toLeader(s *Scheduler, handle func()) {
	p.after(oneWayDelay, func() {
		if s != p.s {
			return
		}
		p.busyUntil = latest(p.busyUntil, p.now).Add(p.replyCost)
		p.after(p.busyUntil.Sub(p.now), func() {
			if s == p.s {
				handle()
			}
		})
	})
}

func (p *overload) requestAdvice() {
	for p.freeAdvisorCalls > 0 {
		request, ok := p.s.NextAdviceRequest(p.now, 0, 0)
		if !ok {
			return
		}
		p.freeAdvisorCalls--
		s := p.s
		p.after(request.Cost, func() {
			p.toLeader(s, func() {
				p.freeAdvisorCalls++
				s.AdviceReceived(p.now, request, p.granted(request), p.now)
				p.requestAdvice()
			})
		})
	}
}

// run runs the simulation up to a virtual time.
func (p *overload) run(until time.Duration) {
	for len(p.events) > 0 && p.events[0].at.Sub(epochStart) < until {
		e := heap.Pop(&p.events).(timedEvent)
		p.now = e.at
		e.do()
		p.deliverCommands()
	}
	p.now = epochStart.Add(until)
}

func (p *overload) deliverCommands() {
	s, sent := p.s, p.now
	for _, cmd := range s.TakeCommands() {
		switch cmd := cmd.(type) {
		case StartCommand:
			p.after(oneWayDelay, func() { p.start(s, cmd, sent) })
		case StopCommand:
			p.after(oneWayDelay, func() {
				p.end(cmd.Server.ID, runKey{cmd.Task, cmd.Run}, OutcomeStopped)
				p.toLeader(s, func() { s.Stopped(p.now, sent, cmd.Server.ID, cmd.Task, cmd.Run, p.clock()) })
			})
		case PollCommand:
			p.after(cmd.Delay, func() {
				if s != p.s || cmd.Delay > 0 && !s.IsPollCurrent(cmd.Server.ID, cmd.Serial) {
					return
				}
				p.after(cmd.Timeout, func() {
					if s == p.s {
						s.PollFailed(p.now, cmd.Server.ID, cmd.Serial)
					}
				})
				p.after(oneWayDelay, func() { p.receivePoll(s, cmd, p.now) })
			})
		}
	}
}

// start carries out a start. The caller waits for the answer as long as the platform's client.
func (p *overload) start(s *Scheduler, cmd StartCommand, sent time.Time) {
	v, key := p.hosts[cmd.Server.ID], runKey{cmd.Task, cmd.Run}
	p.starts++
	answered := false
	answer := func(handle func()) {
		p.toLeader(s, func() {
			if !answered {
				answered = true
				handle()
			}
		})
	}
	p.after(commandTimeout+2*cmd.CommonDelay, func() {
		if !answered && s == p.s {
			answered = true
			s.StartUnanswered(p.now, cmd.Server.ID, cmd.Task, cmd.Run, true)
		}
	})
	if !p.ticketValid(cmd) {
		answer(func() { s.StartRefused(p.now, sent, cmd.Server.ID, cmd.Task, cmd.Run, RefusedTicket, p.clock()) })
		return
	}
	if cmd.Deadline > 0 && p.clock() > cmd.Deadline {
		answer(func() { s.StartRefused(p.now, sent, cmd.Server.ID, cmd.Task, cmd.Run, RefusedLeaseExpired, p.clock()) })
		return
	}
	if _, here := v.runs[key]; !here && !slices.ContainsFunc(v.finished, func(f FinishedRun) bool { return f.Task == key.task && f.Run >= key.run }) {
		v.runs[key] = p.now
		outcome := OutcomeDone
		if p.random.IntN(100) < p.failPercent {
			outcome = OutcomeFailed
		}
		work := p.spec(cmd.Task.Job).Steps[cmd.Task.Step].Estimate
		p.after(scale(work, 0.7+0.6*p.random.Float64()), func() { p.end(cmd.Server.ID, key, outcome) })
	}
	answer(func() { s.Started(p.now, sent, cmd.Server.ID, cmd.Task, cmd.Run, p.clock()) })
}

// ticketValid reports whether the ticket of a start is valid. Tickets name the end of their validity.
func (p *overload) ticketValid(cmd StartCommand) bool {
	if p.config.Queues[p.spec(cmd.Task.Job).Queue.ID].Advisor == nil {
		return true
	}
	until, err := time.Parse(time.RFC3339Nano, string(cmd.Ticket))
	return err == nil && p.now.Before(until)
}

func (p *overload) granted(request AdviceRequest) map[ServerID]Ticket {
	out := map[ServerID]Ticket{}
	for _, id := range request.Servers {
		h := fnv.New32a()
		_, _ = fmt.Fprintf(h, "%s %d %s", request.Job, request.Step, id)
		if h.Sum32()%100 < p.allowedPercent[p.spec(request.Job).Queue.ID] {
			out[id] = ""
		}
	}
	validity := p.config.Queues[p.spec(request.Job).Queue.ID].Advisor.TicketValidity
	for id := range out {
		out[id] = Ticket(p.now.Add(validity).Format(time.RFC3339Nano))
	}
	return out
}

func (p *overload) spec(id ident.JobID) *Job { return p.byID[id] }

func (p *overload) end(id ServerID, key runKey, outcome Outcome) {
	v := p.hosts[id]
	if _, here := v.runs[key]; !here {
		return
	}
	delete(v.runs, key)
	v.lastEnd++
	v.finished = append(v.finished, FinishedRun{Number: v.lastEnd, Task: key.task, Run: key.run, Outcome: outcome})
	p.answerWaiting(id)
}

func (p *overload) receivePoll(s *Scheduler, poll PollCommand, sent time.Time) {
	v := p.hosts[poll.Server.ID]
	for len(v.finished) > 0 && v.finished[0].Number <= poll.Acknowledged {
		v.finished = v.finished[1:]
	}
	v.waiting = append(v.waiting, waitingPoll{s, poll, sent})
	if len(v.finished) > 0 || poll.Wait == 0 {
		p.answerWaiting(poll.Server.ID)
		return
	}
	p.after(poll.Wait, func() { p.answerWaiting(poll.Server.ID) })
}

// answerWaiting answers all polls that wait at a server.
func (p *overload) answerWaiting(id ServerID) {
	v := p.hosts[id]
	for _, w := range v.waiting {
		inv := Inventory{Incarnation: 1, Clock: p.clock(), Finished: slices.Clone(v.finished)}
		for key, began := range v.runs {
			done := float64(p.now.Sub(began)) / float64(p.spec(key.task.Job).Steps[key.task.Step].Estimate)
			inv.Running = append(inv.Running, ActiveRun{Task: key.task, Run: key.run, Percent: int(100 * min(done/1.3, 0.99))})
		}
		p.toLeader(w.s, func() {
			inv.Delay = max(p.now.Sub(w.sent)-w.poll.Wait, 0)
			w.s.Polled(p.now, id, w.poll.Serial, inv)
		})
	}
	v.waiting = nil
}

// addArrivals schedules jobs of a kind that arrive over a time.
func (p *overload) addArrivals(k workload, duration time.Duration) {
	at := time.Duration(0)
	for n := 0; at < duration; n++ {
		at += time.Duration(p.random.ExpFloat64() / k.rate * float64(time.Second))
		id := ident.JobID(fmt.Sprintf("%s-%05d", k.queue.ID, n))
		p.after(at, func() {
			j := &Job{ID: id, Queue: k.queue, Payload: "p", Accepted: p.now}
			demand, apart := k.demand, p.random.IntN(100) < 12
			demand.CPU = resource.MilliCPU(float64(demand.CPU) * (0.4 + 1.2*p.random.Float64()))
			for i := range p.drawSteps(k) {
				step := Step{Count: 1 + p.random.IntN(2*k.width-1), Demand: demand, Estimate: k.work, Image: string(k.queue.ID)}
				if apart {
					step.MaxPerServer = 1
				}
				if i > 0 {
					step.After = []int{i - 1}
				}
				j.Steps = append(j.Steps, step)
			}
			p.specs, p.byID[id] = append(p.specs, j), j
			p.s.AddJob(p.now, j, Progress{}, false)
		})
	}
}

// inUse returns the share of the processor time that runs in progress take, which the leader learns late.
func (p *overload) inUse() float64 {
	var used, whole resource.Vector
	for _, info := range p.infos {
		whole = whole.Add(info.Capacity)
		for key := range p.hosts[info.ID].runs {
			used = used.Add(p.spec(key.task.Job).Steps[key.task.Step].Demand)
		}
	}
	return share(int64(used.CPU), int64(whole.CPU))
}

// idleJobs returns the jobs that haven't ended and have no run in progress, while less than half of the servers is in use.
func (p *overload) idleJobs() map[ident.JobID]bool {
	out := map[ident.JobID]bool{}
	if p.inUse() >= 0.5 {
		return out
	}
	for _, j := range p.specs {
		if !p.recorded[j.ID].State.Terminal() {
			out[j.ID] = true
		}
	}
	for _, v := range p.hosts {
		for key := range v.runs {
			delete(out, key.task.Job)
		}
	}
	return out
}

// quoting returns a third of the load of Bensalem's quotes on the large site, with some wide steps.
func quoting() ([]workload, []Server) {
	ms := time.Millisecond
	kinds := []workload{
		{
			queue: advisedQueue("price", "quoting", 0, 1.5, 300*ms, 16*ms, 2*time.Second), rate: 20, steps: 1, width: 13,
			demand: resource.Vector{CPU: 4200, Memory: 12000}, work: 560 * ms, allowedPercent: 70,
		},
		{
			queue: advisedQueue("quote", "quoting", 2, 4, 3000*ms, 140*ms, 2*time.Second), rate: 1.3, steps: 2, width: 54,
			demand: resource.Vector{CPU: 4750, Memory: 5536}, work: 3600 * ms, allowedPercent: 45,
		},
	}
	var servers []Server
	for i := range 260 {
		id := ServerID(fmt.Sprintf("q%03d", i))
		servers = append(servers, Server{
			ID: id, Incarnation: 1, Address: string(id), Service: "quoting", Capacity: resource.Vector{CPU: resource.Cores(16), Memory: 65536},
		})
	}
	return kinds, servers
}

// drawSteps returns the number of steps of a job: one to five.
func (p *overload) drawSteps(k workload) int {
	n := 1
	for k.steps > 1 && n < 5 && p.random.IntN(2) == 0 {
		n++
	}
	return n
}
