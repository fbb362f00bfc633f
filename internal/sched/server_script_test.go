package sched

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// serverScript makes the faults of a serverLosses those of a test instead of random ones. All other calls are answered promptly.
type serverScript struct {
	refusals map[ServerID]Refusal                    // reasons for which servers refuse all starts
	lateBy   map[ServerID]time.Duration              // how late servers carry out commands, without an answer
	onStart  func(cmd StartCommand, v *faultyServer) // called when a start is sent
	starts   []StartCommand
	// storeDownUntil is the end of an outage of the store, in which nothing is recorded.
	storeDownUntil time.Time
}

// commandTimeout is the time after which a command counts as unanswered, as in the platform's client.
const commandTimeout = 450 * time.Millisecond

// newScriptedLosses returns a simulation without random faults, with some servers of the service pool.
func newScriptedLosses(t *testing.T, servers int) *serverLosses {
	w := emptyFaultSimulation(t, 0)
	w.now = epochStart.Add(faultsUntil) // no random jobs and faults
	l := &serverLosses{
		faultSimulation: w, listening: map[string]*faultyServer{}, entries: map[ServerID]Server{}, tickets: map[Ticket]issuedTicket{},
		calmFrom: w.now, lastRan: map[TaskID]time.Time{}, queues: lossQueues(),
		script: &serverScript{refusals: map[ServerID]Refusal{}, lateBy: map[ServerID]time.Duration{}},
	}
	w.losses = l
	for range servers {
		l.launch("pool", l.newAddress()).started = epochStart.Add(-time.Hour)
	}
	w.takeOver()
	l.advance(time.Second)
	return l
}

// advance runs the simulation for a time.
func (l *serverLosses) advance(d time.Duration) {
	for until := l.now.Add(d); l.now.Before(until) && !l.Failed(); {
		l.faultSimulation.step()
	}
}

// addLongRunningJob adds a job with one long-running task and returns the task's id.
func (l *serverLosses) addLongRunningJob(queue ident.QueueID) TaskID {
	return TaskID{Job: l.addJobWithStep(queue, Step{Count: 1, Demand: cores(1), LongRunning: true})}
}

// addJobWithStep adds a job with one step and returns the job's id.
func (l *serverLosses) addJobWithStep(queue ident.QueueID, step Step) ident.JobID {
	id := ident.JobID(fmt.Sprintf("j%03d", len(l.specs)))
	l.specs[id] = &Job{ID: id, Team: "blue", Queue: l.queues[queue], Accepted: l.now, Steps: []Step{step}}
	l.s.AddJob(l.leaderNow(), l.specs[id], Progress{}, false)
	return id
}

// serverOf returns the server on which a task runs, or nil.
func (l *serverLosses) serverOf(task TaskID) *faultyServer {
	for _, v := range l.live("") {
		for _, key := range v.runKeys() {
			if key.task == task {
				return v
			}
		}
	}
	return nil
}

// othersThan returns the live servers of a server's service without itself, by id, as the scheduler prefers them if they are equal.
func (l *serverLosses) othersThan(v *faultyServer) []*faultyServer {
	out := slices.DeleteFunc(l.live(v.info.Service), func(o *faultyServer) bool { return o == v })
	slices.SortFunc(out, func(a, b *faultyServer) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return out
}

// noteStart records a start that is sent.
func (l *serverLosses) noteStart(cmd StartCommand) {
	if l == nil || l.script == nil {
		return
	}
	l.script.starts = append(l.script.starts, cmd)
	if v := l.servers[cmd.Server.ID]; v != nil && l.script.onStart != nil {
		l.script.onStart(cmd, v)
	}
}

// storeIsDown reports whether the store is down by the script.
func (l *serverLosses) storeIsDown() bool {
	return l != nil && l.script != nil && l.now.Before(l.script.storeDownUntil)
}

// scriptedRefusal returns why a server refuses all starts, or "".
func (l *serverLosses) scriptedRefusal(v *faultyServer) Refusal {
	if l == nil || l.script == nil {
		return ""
	}
	return l.script.refusals[v.info.ID]
}

// deliverScripted delivers a command to a server if faults are scripted, and reports whether they are.
func (l *serverLosses) deliverScripted(id ServerID, effect func() (answer func()), lost func()) bool {
	if l == nil || l.script == nil {
		return false
	}
	s, answered, late := l.s, false, l.script.lateBy[id]
	l.after(commandTimeout, l.toSender(s, func() {
		if !answered && lost != nil {
			lost()
		}
	}))
	l.after(maxOneWayDelay+late, func() {
		answer := effect()
		if answer == nil || late > 0 {
			return
		}
		l.after(maxOneWayDelay, l.toSender(s, func() {
			answered = true
			answer()
		}))
	})
	return true
}
