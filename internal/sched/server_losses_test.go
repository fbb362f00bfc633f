package sched

import (
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// serverLosses adds to a faultSimulation what a platform does to its servers: they end for good, new ones replace them, addresses
// and ids are used again, and registrations lag behind. Its queues have advisors, and its jobs gangs and steps that last.
type serverLosses struct {
	*faultSimulation
	listening        map[string]*faultyServer // by address
	entries          map[ServerID]Server      // registrations in the store
	launched         []*faultyServer          // in order, also those that have ended
	queues           map[ident.QueueID]Queue
	addressCount     int
	freeAdvisorCalls int
	tickets          map[Ticket]issuedTicket
	calmFrom         time.Time // end of the last impairment so far
	lastRan          map[TaskID]time.Time
	script           *serverScript // nil if faults are random
}

const (
	// faultsFrom and faultsUntil bound the time in which faults begin.
	faultsFrom  = 2 * time.Second
	faultsUntil = 12 * time.Second
	// heartbeatInterval is the interval at which servers renew their registrations.
	heartbeatInterval = 500 * time.Millisecond
	maxLossJobs       = 36
	advisedQueueID    = "advised"
	floorQueueID      = "floor"
)

func newServerLosses(w *faultSimulation) *serverLosses {
	l := &serverLosses{
		faultSimulation: w, listening: map[string]*faultyServer{}, entries: map[ServerID]Server{}, tickets: map[Ticket]issuedTicket{},
		calmFrom: epochStart, lastRan: map[TaskID]time.Time{}, queues: lossQueues(),
	}
	w.losses = l
	for i := range 9 {
		service := ServiceID("pool")
		if i >= 6 {
			service = "floor"
		}
		l.launch(service, l.newAddress()).started = epochStart.Add(-time.Hour)
	}
	w.takeOver()
	return l
}

func lossQueues() map[ident.QueueID]Queue {
	quotes, advised, floor := testQueue(), testQueue(), testQueue()
	advised.ID, floor.ID, floor.Service = advisedQueueID, floorQueueID, "floor"
	advised.Advisor = &Advisor{BaseTime: 40 * time.Millisecond, TimePerServer: time.Millisecond, TicketValidity: 2 * time.Second}
	floor.Advisor = &Advisor{BaseTime: 300 * time.Millisecond, TimePerServer: 4 * time.Millisecond, TicketValidity: 1500 * time.Millisecond}
	return map[ident.QueueID]Queue{quotes.ID: quotes, advisedQueueID: advised, floorQueueID: floor}
}

// takeOver gives a new leader the registrations and no advisor calls.
func (l *serverLosses) takeOver() {
	l.freeAdvisorCalls = 4
	for _, v := range l.launched {
		if info, ok := l.entries[v.info.ID]; ok {
			l.s.Register(l.leaderNow(), info)
		}
	}
}

func (l *serverLosses) alive(v *faultyServer) bool { return l.listening[v.info.Address] == v }

// live returns the servers that haven't ended, of one service or of all, in the order of their launch.
func (l *serverLosses) live(service ServiceID) []*faultyServer {
	var out []*faultyServer
	for _, v := range l.launched {
		if l.alive(v) && (service == "" || v.info.Service == service) {
			out = append(out, v)
		}
	}
	return out
}

// newAddress returns an address that no server has used.
func (l *serverLosses) newAddress() string {
	l.addressCount++
	return fmt.Sprintf("a%d:1", l.addressCount)
}

// launch starts a new server and registers it.
func (l *serverLosses) launch(service ServiceID, address string) *faultyServer {
	info := testServer(ServerID(fmt.Sprintf("s%d", len(l.launched))), 8)
	info.Service, info.Address, info.Rack = service, address, ident.Rack(fmt.Sprintf("r%d", len(l.launched)%3))
	if service == "floor" {
		info.Capacity.CPU = resource.Cores(16)
	}
	v := l.addServer(info)
	l.launched = append(l.launched, v)
	l.listening[address] = v
	l.register(v)
	return v
}

// register writes a server's registration, of which the leader learns a little later.
func (l *serverLosses) register(v *faultyServer) {
	l.entries[v.info.ID] = v.info
	l.announce(v.info.ID)
}

func (l *serverLosses) unregister(id ServerID) {
	delete(l.entries, id)
	l.announce(id)
}

// announce tells the leader the state of a registration.
func (l *serverLosses) announce(id ServerID) {
	l.later(l.upTo(200*time.Millisecond), func() {
		l.toLeader(func() {
			if info, ok := l.entries[id]; ok {
				l.s.Register(l.leaderNow(), info)
			} else {
				l.s.Unregister(l.leaderNow(), id)
			}
		})
	})
}

// upTo returns a random duration.
func (l *serverLosses) upTo(d time.Duration) time.Duration {
	return time.Duration(l.random.IntN(int(d/time.Millisecond))) * time.Millisecond
}

// later calls a function that belongs to an impairment, which lasts until then.
func (l *serverLosses) later(d time.Duration, do func()) {
	l.impaired(d)
	l.after(d, do)
}

// impaired notes that an impairment lasts for a time.
func (l *serverLosses) impaired(d time.Duration) { l.calmFrom = latest(l.calmFrom, l.now.Add(d)) }

// calm reports whether no further impairment comes. Calls are neither lost nor late then.
func (l *serverLosses) calm() bool {
	return l != nil && (l.script != nil || l.now.Sub(epochStart) >= faultsUntil && !l.now.Before(l.calmFrom))
}

// reach returns the server that a command for a server reaches, or nil and its answer, if there is any: a server with another id
// at the address rejects the command, and where there is none, the connection may be refused.
func (w *faultSimulation) reach(meant Server, refused func()) (*faultyServer, func()) {
	if w.losses == nil {
		return w.servers[meant.ID], nil
	}
	v := w.losses.listening[meant.Address]
	switch {
	case v == nil && w.random.IntN(2) == 0:
		return nil, refused
	case v == nil || w.now.Before(v.silentUntil):
		return nil, nil
	case v.info.ID != meant.ID:
		return nil, func() {
			w.s.ServerReplaced(w.leaderNow(), meant)
			if refused != nil {
				refused()
			}
		}
	}
	return v, nil
}

// step ends the runs that are due, adds jobs and faults, and checks that all work goes on.
func (l *serverLosses) step() {
	for _, v := range l.live("") {
		l.endDueRuns(v)
		if l.now.Sub(epochStart)%heartbeatInterval == 0 && !l.now.Before(v.silentUntil) {
			if info, ok := l.entries[v.info.ID]; ok {
				l.toLeader(func() { l.s.Register(l.leaderNow(), info) })
			}
		}
	}
	elapsed := l.now.Sub(epochStart)
	if elapsed < faultsUntil && len(l.specs) < maxLossJobs && l.random.IntN(30) == 0 {
		l.addJob()
	}
	if elapsed >= faultsFrom && elapsed < faultsUntil {
		l.injectFault()
	}
	if elapsed%(100*time.Millisecond) == 0 && l.script == nil {
		l.checkLongRunning()
	}
}

// addJob adds a job with one to three steps, of which one may be a gang and the last one may last.
func (l *serverLosses) addJob() {
	queue := l.queues[[]ident.QueueID{"quotes", advisedQueueID, advisedQueueID, floorQueueID}[l.random.IntN(4)]]
	var steps []Step
	for i := range 1 + l.random.IntN(3) {
		step := Step{Count: 1 + l.random.IntN(4), Demand: cores(1 + l.random.Int64N(2))}
		if i > 0 {
			step.After = []int{i - 1}
		}
		if l.random.IntN(6) == 0 {
			step.Gang, step.Count, step.MaxPerServer = true, 2, 1
		}
		steps = append(steps, step)
	}
	if last := &steps[len(steps)-1]; l.random.IntN(4) == 0 {
		last.Gang, last.LongRunning, last.Count, last.Demand = false, true, 1+l.random.IntN(2), cores(1)
	}
	id := ident.JobID(fmt.Sprintf("j%03d", len(l.specs)))
	l.specs[id] = &Job{ID: id, Team: "blue", Queue: queue, Steps: steps, Accepted: l.now}
	l.s.AddJob(l.leaderNow(), l.specs[id], Progress{}, false)
}

// started makes a new run last, if its step does, or wait for the other members of its gang.
func (l *serverLosses) started(v *faultyServer, key runKey) {
	if l == nil {
		return
	}
	step, r := &l.specs[key.task.Job].Steps[key.task.Step], v.runs[key]
	switch {
	case step.LongRunning:
		r.end, r.outcome = epochStart.Add(time.Hour), OutcomeFailed
	case step.Gang:
		r.aloneUntil = l.now.Add(gangTimeout)
	default:
		return
	}
	due := r.end
	if step.Gang {
		r.end = epochStart.Add(time.Hour)
	}
	v.runs[key] = r
	members := l.gangMembers(key)
	if !step.Gang || len(members) < step.Count {
		return
	}
	for _, m := range members {
		m.server.runs[m.key] = faultyServerRun{end: due, outcome: r.outcome}
	}
}

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangMember is a run of a gang on a server.
type gangMember struct {
	server *faultyServer
	key    runKey
}

// gangMembers returns the members of the gang that a run belongs to.
func (l *serverLosses) gangMembers(key runKey) []gangMember {
	var out []gangMember
	for _, v := range l.live("") {
		for _, k := range v.runKeys() {
			if k.task.Job == key.task.Job && k.task.Step == key.task.Step && k.run == key.run {
				out = append(out, gangMember{v, k})
			}
		}
	}
	return out
}

// endGang ends the other members of a gang, all as done or as broken.
func (l *serverLosses) endGang(key runKey, outcome Outcome) {
	if l == nil || !l.specs[key.task.Job].Steps[key.task.Step].Gang || outcome == OutcomeGangBroken {
		return
	}
	if outcome != OutcomeDone {
		outcome = OutcomeGangBroken
	}
	for _, m := range l.gangMembers(key) {
		if _, here := m.server.runs[m.key]; here {
			l.finish(m.server, m.key, outcome)
		}
	}
}
