package sched

import (
	"cmp"
	"slices"
	"time"
)

// cordonFailures is the number of consecutive failed polls after which a server is cordoned. The first failed poll is retried
// at once, as a single lost reply is common.
const cordonFailures = 2

// RosterEntry is the durable record of a server on which runs may be in progress. Before a later leader starts inherited
// tasks, it waits for the inventory of each server in the roster or for its leases to expire, as any of the tasks may be in
// progress there.
type RosterEntry struct {
	Server Server `json:"server"`
	// Cordoned reports that the server gets no starts, so that only Runs may be in progress there. Other tasks needn't wait
	// for the server.
	Cordoned bool `json:"closed,omitempty"`
	// Runs also holds runs of unknown jobs and ended runs whose progress isn't recorded.
	Runs []HeldRun `json:"runs,omitempty"`
	// LongLease reports that the server restarted recently, so that a command for its former incarnation may have given it a
	// lease of MaxRunLease.
	LongLease bool `json:"long-lease,omitempty"`
	// LongLeaseLeft is how long that lease may still have lasted when the entry was taken for its write. It is 0 in entries of daemons
	// before it: MaxRunLease.
	LongLeaseLeft time.Duration `json:"long-lease-left,omitempty"`
	// LongRunning reports that long-running tasks may be in progress there under such a lease: LongRunningTasks, or any if there are
	// none, as daemons before that list didn't write it. Others needn't wait for that lease.
	LongRunning      bool     `json:"long-running,omitempty"`
	LongRunningTasks []TaskID `json:"long-running-tasks,omitempty"`
	// UsualLease reports that the incarnation of Server has answered a poll and that no command for a former one can have given it
	// a longer lease. An entry without it says nothing.
	UsualLease bool `json:"usual-lease,omitempty"`
}

// HeldRun is a run that may be in progress on a server.
type HeldRun struct {
	Task TaskID    `json:"task"`
	Run  RunNumber `json:"run"`
}

// RosterChange is a change of the roster that has to be written to the store.
type RosterChange struct {
	Entry   RosterEntry
	Removed bool
	urgent  bool // the server awaits the roster
	change  uint64
}

// touchRoster marks the roster record of a server as outdated.
func (s *Scheduler) touchRoster(v *server) {
	s.rosterUrgent = s.rosterUrgent || v.awaitsRoster()
	s.lastRosterChange++ // not counted for each server, as an id may return after its server was removed
	v.rosterChange = s.lastRosterChange
	s.rosterDirty[v.info.ID] = v
}

// awaitsRoster reports whether the server gets no starts before it is recorded with its present address. Without an entry, the next
// leader doesn't wait for the runs there once the registration has lapsed.
func (v *server) awaitsRoster() bool { return !v.removed && v.rosterAddress != v.info.Address }

// HasUrgentRosterChanges reports whether servers that await the roster were added since the latest call of TakeRosterChanges.
func (s *Scheduler) HasUrgentRosterChanges() bool { return s.rosterUrgent }

// TakeRosterChanges returns up to limit changes of the roster. They are returned again unless RosterWritten is called for them.
// Only one batch may be in flight at a time.
func (s *Scheduler) TakeRosterChanges(limit int) []RosterChange {
	s.rosterUrgent = false
	var out []RosterChange
	for _, v := range s.rosterDirty {
		c := s.rosterChange(v)
		if v.longLease {
			c.Entry.LongLeaseLeft = max(v.longLeaseEnd().Sub(s.now), leaseMargin)
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b RosterChange) int {
		return cmp.Or(cmp.Compare(boolToInt(b.urgent), boolToInt(a.urgent)), cmp.Compare(a.Entry.Server.ID, b.Entry.Server.ID))
	})
	out = out[:min(limit, len(out))]
	for _, c := range out {
		v := s.rosterDirty[c.Entry.Server.ID]
		v.longLeaseTakenAt = s.now
		if c.Entry.Cordoned {
			v.cordonMayBeRecorded = true // the write may take effect even if its reply is lost
		}
	}
	return out
}

func (s *Scheduler) rosterChange(v *server) RosterChange {
	c := RosterChange{
		Entry: RosterEntry{
			Server: v.info, Cordoned: v.cordoned, LongLease: v.longLease, UsualLease: v.usualLease,
			LongRunning: v.longLeaseTasks.any(), LongRunningTasks: v.longLeaseTasks.list(),
		},
		Removed: v.removed, urgent: v.awaitsRoster(), change: v.rosterChange,
	}
	if v.cordoned {
		for _, p := range sortedRuns(v) {
			c.Entry.Runs = append(c.Entry.Runs, HeldRun{Task: p.task.id(), Run: p.number})
		}
		for _, key := range sortedKeys(v.unknownRuns) {
			c.Entry.Runs = append(c.Entry.Runs, HeldRun{Task: key.task, Run: key.run})
		}
		for _, e := range v.unrecordedEnds {
			if !s.isRecorded(e) {
				c.Entry.Runs = append(c.Entry.Runs, HeldRun{Task: e.run.task, Run: e.run.run})
			}
		}
	}
	return c
}

// RosterWritten reports that the store has the changes.
func (s *Scheduler) RosterWritten(now time.Time, written []RosterChange) {
	s.now = now
	for _, c := range written {
		id := c.Entry.Server.ID
		v := s.rosterDirty[id]
		if v == nil {
			continue
		}
		v.cordonMayBeRecorded = c.Entry.Cordoned
		v.rosterAddress = ""
		if !c.Removed {
			v.rosterAddress = c.Entry.Server.Address
		}
		if c.Entry.LongLease {
			v.longLeaseRecorded = max(v.longLeaseRecorded, c.change)
		}
		v.longLeaseTasks.noteRecorded(c.Entry)
		if v.rosterChange == c.change && v.removed == c.Removed {
			delete(s.rosterDirty, id)
		}
		s.passNeeded = true
	}
}

// RestoreServer adds a server from the roster of the former leader. Runs may still be in progress on a server that
// is no longer registered.
func (s *Scheduler) RestoreServer(now time.Time, e RosterEntry) {
	s.now = now
	s.addServer(e.Server, CauseRoster)
	s.Register(now, e.Server)
	s.Unregister(now, e.Server.ID)
	delete(s.rosterDirty, e.Server.ID)
	v := s.servers[e.Server.ID]
	v.history.registeredAt = time.Time{}
	v.rosterAddress = e.Server.Address
	if !v.restored {
		v.restored = true
		s.formerReach.listed++
	}
	v.usualLease = e.UsualLease && !e.LongLease
	if e.LongLease {
		v.longLease, v.formerIncarnationBound = true, s.restoredLongLeaseBound(e)
		v.leaseBound = latest(v.leaseBound, v.formerIncarnationBound)
		v.formerLeaderBound = latest(v.formerLeaderBound, v.formerIncarnationBound)
		v.longLeaseTasks = restoredLongLeaseTasks(e)
		if v.longLeaseTasks.unnamed {
			v.formerLongRunningBound = v.formerLeaderBound
		}
	}
	if !e.Cordoned {
		return
	}
	v.cordoned, v.cordonMayBeRecorded = true, true
	for _, h := range e.Runs {
		if t := s.lookup(h.Task); t != nil && !t.done && !t.group.job.state.Terminal() {
			s.adopt(v, ActiveRun{Task: h.Task, Run: h.Run})
		} else {
			v.unknownRuns[runKey{h.Task, h.Run}] = true
		}
	}
}

// updateCordon cordons a draining or unresponsive server, and uncordons it once it is neither. A server whose runs aren't
// known, or that may hide ends of runs of former leaders, can't be cordoned.
func (s *Scheduler) updateCordon(v *server) {
	open := v.attached && v.failures == 0 && !v.info.Draining
	known := !v.formerEndsHidden && (v.attached || s.serverLeaseEnded(v, v.leaseBound))
	switch {
	case v.cordoned && open:
		v.cordoned = false
	case !v.cordoned && known && (v.info.Draining || v.failures >= cordonFailures):
		v.cordoned = true
	default:
		return
	}
	s.touchRoster(v)
}
