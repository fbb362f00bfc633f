package runhost

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// GangTimeout is the time for which a member of a gang waits for the others.
const GangTimeout = 3 * time.Second

// gangKey identifies a run of a gang, whose members have the same run number.
type gangKey struct {
	step   sched.TaskID // with index 0
	number sched.RunNumber
}

// gang is a run of a step whose tasks work only together.
type gang struct {
	key     gangKey
	size    int
	members map[sched.TaskID]gangMember
	end     time.Time // zero until all members are there
}

type gangMember struct {
	host   *host
	joined time.Time
}

// gangTimeout is an end of a member that waited in vain for the others.
type gangTimeout struct {
	task   sched.TaskID
	joined time.Time
}

// started reports whether all members are there, so that they work.
func (g *gang) started() bool { return !g.end.IsZero() }

// joinGang adds a run to its gang, whose work begins with the last member.
func (f *Fleet) joinGang(h *host, task sched.TaskID, r *run, size int, now time.Time) {
	key := gangKey{step: task, number: r.number}
	key.step.Index = 0
	g := f.gangs[key]
	if g == nil {
		g = &gang{key: key, size: size, members: map[sched.TaskID]gangMember{}}
		f.gangs[key] = g
	}
	r.gang = g
	g.members[task] = gangMember{host: h, joined: now}
	if len(g.members) < g.size {
		return
	}
	// The members take equally long and end together.
	g.end = now.Add(f.taskDuration(key.step))
	for t, m := range g.members {
		if member := m.host.runs[t]; member != nil {
			member.duration, member.end = g.end.Sub(now), g.end
		}
	}
}

// breakGang ends the other members of a gang after one has ended.
func (f *Fleet) breakGang(g *gang, ended sched.TaskID) {
	if g == nil {
		return
	}
	delete(f.gangs, g.key)
	delete(g.members, ended)
	for t, m := range g.members {
		if r := m.host.runs[t]; r != nil && r.gang == g {
			f.finishRun(m.host, t, r.number, sched.OutcomeGangBroken)
		}
	}
	clear(g.members)
}

// endDueGangs ends the gangs that have completed, and those with a member whose lease expired or that waited too long.
func (f *Fleet) endDueGangs(now time.Time) {
	for _, g := range f.gangs {
		task, outcome := g.failedMember(now)
		switch {
		case outcome != "":
			m := g.members[task]
			if outcome == sched.OutcomeGangIncomplete {
				f.gangTimeouts = append(f.gangTimeouts, gangTimeout{task, m.joined})
			}
			f.finishRun(m.host, task, g.key.number, outcome)
			f.breakGang(g, task)
		case g.started() && !now.Before(g.end):
			delete(f.gangs, g.key)
			for t, m := range g.members {
				f.succeed(m.host, t, g.key.number)
			}
		}
	}
}

// failedMember returns the member whose lease expired first or that waited too long, or an empty outcome if there is none.
func (g *gang) failedMember(now time.Time) (failed sched.TaskID, outcome sched.Outcome) {
	at := now
	if g.started() && g.end.Before(at) {
		at = g.end
	}
	for t, m := range g.members {
		if m.host.leaseEnd.Before(at) {
			failed, outcome, at = t, sched.OutcomeLeaseExpired, m.host.leaseEnd
		}
		if alone := m.joined.Add(GangTimeout); !g.started() && alone.Before(at) {
			failed, outcome, at = t, sched.OutcomeGangIncomplete, alone
		}
	}
	return failed, outcome
}

// GangTimeouts returns the tasks that waited in vain for the other members of their gang and were started after a time.
func (f *Fleet) GangTimeouts(startedAfter time.Time) []sched.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endDueGangs(time.Now())
	var tasks []sched.TaskID
	for _, x := range f.gangTimeouts {
		if x.joined.After(startedAfter) {
			tasks = append(tasks, x.task)
		}
	}
	return tasks
}
