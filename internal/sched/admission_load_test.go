package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/admission"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// daemonCopy is a daemon's copy of a statement, see admissionCopy in internal/entry.
type daemonCopy struct {
	statement  admission.Statement
	computedAt time.Time
}

// overloadThroughDaemons submits jobs of a one-second task through daemons in turn, which reject by their copies: 25 a second of the busy team
// and 1 of the quiet one, which is entitled to it. Rejected jobs don't return. The server ends four tasks a second. It returns the numbers of
// rejected jobs by team and of the backlog at the end.
func (f *fixture) overloadThroughDaemons(daemons int, d time.Duration) (rejected map[ident.TeamID]int, waiting int) {
	f.Helper()
	rejected = map[ident.TeamID]int{}
	copies := make([]daemonCopy, daemons)
	n := 0
	submit := func(team ident.TeamID) {
		n++
		c := &copies[n%daemons]
		if c.statement.Decide(f.now.Sub(c.computedAt), team, "quotes", 0, 0).Rejected {
			rejected[team]++
			f.want("team without a token", f.s.team(team).nextToken(f.now) > 0, true)
			return
		}
		f.addSurplus(team, n, 1)
		*c = daemonCopy{computedAt: f.now}
		if s := f.s.AdmissionStatement(f.now); s != nil {
			*c = daemonCopy{statement: *s, computedAt: f.now.Add(-s.Age)}
		}
	}
	for i := range int(d / (100 * time.Millisecond)) {
		for range 2 + i%2 {
			submit("busy")
		}
		if i%10 == 5 {
			submit("quiet")
		}
		f.advanceTime(100 * time.Millisecond)
		if i%10 == 9 {
			f.endAll("s1")
		}
	}
	return rejected, f.s.Loads()[0].Waiting
}

// endAll ends all runs of a server.
func (f *fixture) endAll(id ServerID) {
	f.Helper()
	var ends []FinishedRun
	for _, p := range sortedRuns(f.s.servers[id]) {
		f.endNumbers[id]++
		ends = append(ends, FinishedRun{Number: f.endNumbers[id], Task: p.task.id(), Run: p.number, Outcome: OutcomeDone})
	}
	f.answerPoll(id, Inventory{Finished: ends})
	f.recordProgress()
	f.takeStarts()
}

// Guards against rejections that come too late or too seldom to keep half of the backlog of an overload away, against ones of a team that has
// a token at that moment, and against forecasts of jobs that are then served in time.
func TestRejectionsHalveTheBacklog(t *testing.T) {
	const lasts = 2 * time.Minute
	off := admissionFixture(t, false)
	rejected, waitingWithout := off.overloadThroughDaemons(8, lasts)
	off.want("rejected with the setting off", len(rejected), 0)

	on := admissionFixture(t, true)
	rejected, waiting := on.overloadThroughDaemons(8, lasts)
	counts := on.s.AdmissionCounts()
	t.Logf("backlog after %s: %d jobs, %d with the setting off; rejected %v; %+v", lasts, waiting, waitingWithout, rejected, counts)
	on.want("rejected of the quiet team", rejected["quiet"], 0)
	on.want("jobs forecast to be late that were in time", counts.ForecastInTime, 0)
	if waiting >= waitingWithout/2 {
		t.Errorf("%d jobs wait, %d with the setting off", waiting, waitingWithout)
	}
}
