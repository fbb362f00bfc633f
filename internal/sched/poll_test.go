package sched

import (
	"testing"
	"time"
)

// The load is a fleet that leaves a twentieth of all calls unanswered while short tasks run. Guards against ends that go
// unnoticed for the whole wait of a lost look: half of the chip orders of glwfse-spoke-grown trouble-3 were late for it.
func TestUnansweredPolls(t *testing.T) {
	short := Step{Count: 1, Demand: cores(1), Estimate: 500 * time.Millisecond}
	for name, check := range map[string]func(*fixture){
		"a look waits until shortly after the next expected end": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", short)
			f.takeStarts()
			if w := f.polls["s1"].Wait; w < 500*time.Millisecond || w > 700*time.Millisecond {
				t.Errorf("waits for %s", w)
			}
		},
		"a look at long tasks waits as long as it may": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", Step{Count: 1, Demand: cores(1), Estimate: time.Minute})
			f.takeStarts()
			f.want("wait", f.polls["s1"].Wait, time.Second)
		},
		"the first lost look is repeated at once, and without a wait": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", short)
			f.takeStarts()
			o := f.polls["s1"]
			delete(f.polls, "s1")
			f.s.PollFailed(f.now, "s1", o.Serial)
			f.collectCommands()
			again, ok := f.polls["s1"]
			f.want("repeated, with wait and lease", []any{ok, again.Wait, again.Deadline}, []any{true, time.Duration(0), time.Duration(0)})
		},
	} {
		t.Run(name, func(t *testing.T) { check(newFixture(t, nil)) })
	}
}
