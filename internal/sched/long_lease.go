package sched

import (
	"maps"
	"slices"
	"time"
)

// longLeaseWriteInterval is the interval at which the rest of a long lease is recorded. The next leader waits up to that much longer
// than needed.
const longLeaseWriteInterval = time.Second

// longLeaseTasks are the long-running tasks that may be in progress on a server under a lease of MaxRunLease. The roster names them,
// so that only these wait for the end of that lease if the next leader finds the server silent.
type longLeaseTasks struct {
	named    map[TaskID]bool
	recorded map[TaskID]bool // those of named that the roster has for certain
	unnamed  bool            // any task may be in progress: a restart showed before the inventory, or the entry of an older daemon names none
}

// any reports whether a long-running task may be in progress.
func (l *longLeaseTasks) any() bool { return l.unnamed || len(l.named) > 0 }

// list returns the named tasks in a fixed order, or none if others may be in progress too.
func (l *longLeaseTasks) list() []TaskID {
	if l.unnamed {
		return nil
	}
	return slices.SortedFunc(maps.Keys(l.named), func(a, b TaskID) int { return compareTasks(a, b, 0, 0) })
}

// name adds a task and reports whether it is new.
func (l *longLeaseTasks) name(id TaskID) bool {
	if l.named[id] {
		return false
	}
	if l.named == nil {
		l.named = map[TaskID]bool{}
	}
	l.named[id] = true
	return true
}

// drop removes a task. The roster may still name it, or stop to name it at any time.
func (l *longLeaseTasks) drop(id TaskID) {
	delete(l.named, id)
	delete(l.recorded, id)
}

// noteRecorded notes that the roster has an entry of the server.
func (l *longLeaseTasks) noteRecorded(e RosterEntry) {
	l.recorded = map[TaskID]bool{}
	for _, id := range e.LongRunningTasks {
		if l.named[id] {
			l.recorded[id] = true
		}
	}
}

// restoredLongLeaseTasks returns the tasks of a former leader's roster entry.
func restoredLongLeaseTasks(e RosterEntry) longLeaseTasks {
	var l longLeaseTasks
	for _, id := range e.LongRunningTasks {
		l.name(id)
	}
	l.recorded = maps.Clone(l.named)
	l.unnamed = e.LongRunning && len(l.named) == 0
	return l
}

// longRunningTasks returns the long-running tasks with a run on a server.
func (v *server) longRunningTasks() longLeaseTasks {
	var l longLeaseTasks
	for _, p := range v.runs {
		if p.task.group.step.LongRunning {
			l.name(p.task.id())
		}
	}
	return l
}

// nameUnderLongLease names a task that may be in progress on a server, if it is long-running and the server has a long lease.
func (s *Scheduler) nameUnderLongLease(v *server, t *task) {
	if v.longLease && t.group.step.LongRunning && v.longLeaseTasks.name(t.id()) {
		s.touchRoster(v)
	}
}

// longLeaseEnd returns when no run that was commanded for a former incarnation is in progress on this one any more.
func (v *server) longLeaseEnd() time.Time {
	if v.inventoryKnown {
		return v.formerIncarnationBound
	}
	return latest(v.formerIncarnationBound, v.formerLeaderBound) // former leaders may still send such commands
}

// restoredLongLeaseBound returns the end of the long lease in a former leader's roster entry. The entry was taken before this leader
// took over, so no clocks are compared.
func (s *Scheduler) restoredLongLeaseBound(e RosterEntry) time.Time {
	bound := s.longestFormerLeaseBound()
	if e.LongLeaseLeft <= 0 {
		return bound
	}
	if b := s.started.Add(s.options.formerSendTime() + e.LongLeaseLeft + leaseMargin); b.Before(bound) {
		return b
	}
	return bound
}

// updateLongLease records that a server no longer has a long lease, once that has expired, how long it still lasts, and which tasks
// aren't in progress under it any more.
func (s *Scheduler) updateLongLease(v *server) {
	switch {
	case !v.longLease:
	case s.serverLeaseEnded(v, v.longLeaseEnd()):
		v.longLease, v.longLeaseTasks = false, longLeaseTasks{}
		s.touchRoster(v)
	case s.now.Sub(v.longLeaseTakenAt) >= longLeaseWriteInterval:
		s.touchRoster(v)
	}
	if !v.usualLease && !v.longLease && !v.usualLeaseFrom.IsZero() && !s.now.Before(v.usualLeaseFrom) {
		v.usualLease = true
		s.touchRoster(v)
	}
	if !v.inventoryKnown {
		return
	}
	for id := range v.longLeaseTasks.named {
		if t := s.lookup(id); t == nil || !t.runsOn(v) && (!t.waiting() || t.group.job.state.Terminal()) {
			v.longLeaseTasks.drop(id)
			s.touchRoster(v)
		}
	}
}

// runsOn reports whether the task has a run on a server.
func (t *task) runsOn(v *server) bool {
	return slices.ContainsFunc(t.runs, func(p *run) bool { return p.server == v })
}

// admitsLongRunning reports whether a long-running task may start on a server. It doesn't while the server may have a long lease,
// unless the roster names the task: the next leader wouldn't wait for that lease then, or would hold all long-running tasks back.
func (v *server) admitsLongRunning(id TaskID) bool {
	return !v.longLease || v.longLeaseTasks.recorded[id]
}

// requestLongRunning names as many waiting tasks of a group as a server has capacity for, from a given one on, so that they may start
// there once the roster names them. Those before it have another server or must not start yet.
func (s *Scheduler) requestLongRunning(v *server, g *group, first *task) {
	coming := 0
	for t := range g.tasks.waiting() {
		if t.index < first.index {
			continue
		}
		if !v.fits(g.step.Charge().Times(int64(coming+1))) || !g.allowsAnother(v, coming) {
			return
		}
		coming++
		s.nameUnderLongLease(v, t)
	}
}

// underFormerLongLease returns the long-running tasks that may be in progress on servers of unknown inventory under a long lease, so
// that they must not start yet.
func (s *Scheduler) underFormerLongLease() map[TaskID]bool {
	var tasks map[TaskID]bool
	for _, v := range s.sortedServers() {
		for id := range v.longLeaseTasks.named {
			if t := s.lookup(id); t != nil && s.mayRunUnderLongLease(v, t) {
				if tasks == nil {
					tasks = map[TaskID]bool{}
				}
				tasks[id] = true
			}
		}
	}
	return tasks
}

// groupMayRunUnderLongLease reports whether mayRunUnderLongLease holds for a task of a group.
func (s *Scheduler) groupMayRunUnderLongLease(v *server, g *group) bool {
	for id := range v.longLeaseTasks.named {
		if t := s.lookup(id); t != nil && t.group == g && s.mayRunUnderLongLease(v, t) {
			return true
		}
	}
	return false
}

// mayRunUnderLongLease reports whether a former leader may have started a long-running task on a server of unknown inventory, under
// its long lease.
func (s *Scheduler) mayRunUnderLongLease(v *server, t *task) bool {
	return !v.inventoryKnown && !v.cordoned && !t.group.step.Speculative && v.longLeaseTasks.named[t.id()] &&
		!s.serverLeaseEnded(v, v.formerLeaderBound)
}
