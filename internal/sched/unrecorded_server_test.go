package sched

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a task that runs twice: a new server got starts before it was in the roster. The leader was lost before that write, and
// the server's registration lapsed in the same cut, so that the next leader didn't know the server.
func TestServerGetsNoStartsBeforeItIsInTheRoster(t *testing.T) {
	f := newFixture(t, nil)
	f.rosterDelayed = true
	f.addServer("s1", 16)
	spec := f.addJob("j", Step{Count: 1, Demand: cores(1)})
	f.advanceTime(time.Second)
	if len(f.takeStarts()) > 0 {
		next := f.successor(spec, Progress{})
		next.addServer("s2", 16)
		t.Fatalf("started on s1, and %d times by a leader that doesn't know s1", len(next.takeStarts()))
	}
	f.recordRoster()
	f.want("starts once the server is recorded", len(f.takeStarts()), 1)

	moved := testServer("s1", 16)
	moved.Address = "elsewhere:1"
	f.s.Register(f.now, moved)
	f.collectCommands()
	f.addJob("k", Step{Count: 1, Demand: cores(1)})
	f.want("starts before the new address is recorded", len(f.takeStarts()), 0)
	f.recordRoster()
	f.want("starts once it is recorded", len(f.takeStarts()), 1)
}

// Guards against a new server that gets no starts for long, because the other changes of the roster fill each write.
func TestNewServersComeFirstInTheRoster(t *testing.T) {
	f := newFixture(t, nil)
	f.rosterDelayed = true
	for i := range 5 {
		f.addServer(ServerID(fmt.Sprint("a", i)), 16)
	}
	f.recordRoster()
	for i := range 5 {
		f.s.touchRoster(f.s.servers[ServerID(fmt.Sprint("a", i))])
	}
	f.addServer("b", 16)
	f.want("first change", f.s.TakeRosterChanges(2)[0].Entry.Server.ID, "b")
}
