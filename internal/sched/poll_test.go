package sched

import (
	"testing"
	"time"
)

// A fleet with short tasks leaves a twentieth of all calls unanswered. Guards against ended runs that are noticed only after
// the full wait of a lost poll, which made half of the chip orders of glwfse-spoke-grown trouble-3 late.
func TestUnansweredPolls(t *testing.T) {
	short := Step{Count: 1, Demand: cores(1), Estimate: 500 * time.Millisecond}
	for name, check := range map[string]func(*fixture){
		"a poll waits until shortly after the next expected end": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", short)
			f.takeStarts()
			if w := f.polls["s1"].Wait; w < 500*time.Millisecond || w > 700*time.Millisecond {
				t.Errorf("poll waits for %s, want 500ms to 700ms", w)
			}
		},
		"a poll of long tasks waits for the maximum time": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", Step{Count: 1, Demand: cores(1), Estimate: time.Minute})
			f.takeStarts()
			f.want("wait", f.polls["s1"].Wait, time.Second)
		},
		"the first lost poll is repeated at once without a wait": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", short)
			f.takeStarts()
			poll := f.polls["s1"]
			delete(f.polls, "s1")
			f.s.PollFailed(f.now, "s1", poll.Serial)
			f.collectCommands()
			again, ok := f.polls["s1"]
			f.want("repeated, with wait and lease", []any{ok, again.Wait, again.Deadline}, []any{true, time.Duration(0), time.Duration(0)})
		},
	} {
		t.Run(name, func(t *testing.T) { check(newFixture(t, nil)) })
	}
}
