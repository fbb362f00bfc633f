package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against expected durations that each task of a tail raises by a fifth, and against ones that stay behind when an image takes
// longer from some time on.
func TestTailLeavesExpectedDuration(t *testing.T) {
	step := &Step{Image: "i", Estimate: time.Second}
	for name, c := range map[string]struct {
		observe func(*imageDurations)
		low     time.Duration
		high    time.Duration
	}{
		"long run with more work":        {func(d *imageDurations) { d.observe(step, 7*time.Second, true) }, time.Second, time.Second},
		"long run without that evidence": {func(d *imageDurations) { d.observe(step, 7*time.Second, false) }, 1200 * time.Millisecond, 1200 * time.Millisecond},
		"usual run":                      {func(d *imageDurations) { d.observe(step, 2*time.Second, false) }, 1200 * time.Millisecond, 1200 * time.Millisecond},
		"all runs take longer": {func(d *imageDurations) {
			for range 50 {
				d.observe(step, 7*time.Second, true)
			}
		}, 6 * time.Second, 7 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDurations()
			for range 20 {
				d.observe(step, time.Second, false)
			}
			c.observe(&d)
			if got := d.expect(step); got < c.low || got > c.high {
				t.Errorf("expected duration %v, want %v to %v", got, c.low, c.high)
			}
		})
	}
}

// A run takes 5 times as long as expected. Guards against one that is stopped, or copied, or counts against its server, although the
// server's other runs are at their usual rate, and against a slow server that none of these show.
func TestLongRunBesideOthers(t *testing.T) {
	const expected = time.Second
	step := Step{Count: 1, Demand: cores(2), Estimate: expected, Image: "i"}
	copied := step
	copied.Speculative = true
	type beside int
	const (
		none beside = iota
		usual
		slow
	)
	for name, c := range map[string]struct {
		step    Step
		beside  beside
		silent  bool // the long run reports no progress
		suspect bool
		starts  int // copies
	}{
		"usual rate beside it":         {step: step, beside: usual},
		"slow rate beside it":          {step: step, beside: slow, suspect: true},
		"alone":                        {step: step},
		"copies, usual rate beside it": {step: copied, beside: usual},
		"copies, slow rate beside it":  {step: copied, beside: slow, suspect: true, starts: 2},
		"copies, alone":                {step: copied, starts: 1},
		"copies, no progress reported": {step: copied, beside: usual, silent: true, starts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.s.durations.seen[step.Image] = trustedRuns
			f.addServer("s1", 16)
			f.addJob("a", c.step)
			long := f.takeStarts()[0]
			rows := []ActiveRun{{Task: long.Task, Run: long.Run}}
			var other StartCommand
			if c.beside != none {
				f.addJob("b", c.step)
				other = f.takeStarts()[0]
				rows = append(rows, ActiveRun{Task: other.Task, Run: other.Run})
			}
			f.addServer("s2", 16)
			for elapsed := 200 * time.Millisecond; elapsed <= 1800*time.Millisecond; elapsed += 200 * time.Millisecond {
				f.advanceTime(200 * time.Millisecond)
				percent := int(20 * elapsed / expected)
				if !c.silent {
					rows[0].Percent = percent
				}
				inv := Inventory{}
				switch {
				case c.beside == slow:
					rows[1].Percent = percent
				case c.beside == usual && elapsed == expected:
					rows = rows[:1]
					inv.Finished = []FinishedRun{{Number: 1, Task: other.Task, Run: other.Run, Outcome: OutcomeDone}}
				case c.beside == usual && elapsed < expected:
					rows[1].Percent = 5 * percent
				}
				inv.Running = rows
				f.answerPoll("s1", inv)
				f.recordProgress()
				f.advanceTime(0)
			}
			f.want("suspected", f.s.servers["s1"].suspicions > 0, c.suspect)
			f.want("stopped", len(f.stops) > 0, c.suspect && !c.step.Speculative)
			f.want("copies", len(f.starts), c.starts)
		})
	}
}

// A suspected server is 3 times slower. Guards against a run with 7 times the usual work that is stopped there near its end, as if another
// server ended it in the usual time.
func TestRestartCountsWorkOfRun(t *testing.T) {
	const expected = time.Second
	step := Step{Count: 1, Demand: cores(2), Estimate: expected, Image: "i"}
	for name, c := range map[string]struct {
		percent int // of the run after 10 s, beside others that took 3 s
		want    bool
	}{
		"usual work, near its end": {percent: 95},
		"usual work, far behind":   {percent: 34, want: true}, // 29 s in all
		"7 times the work":         {percent: 48},             // 21 s in all
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.s.durations.seen[step.Image] = trustedRuns
			f.addServer("s1", 16)
			f.addJob("a", step)
			f.takeStarts()
			v := f.s.servers["s1"]
			p := f.s.jobs["a"].occurrences[0].groups[0].tasks.at(0).runs[0]
			for range 5 {
				f.s.notePace(p, 3*expected)
			}
			v.suspicions = 1
			f.s.now = f.now.Add(10 * expected)
			p.progressPercent, p.progressAt = c.percent, f.s.now
			f.want("worth restarting", f.s.worthRestarting(p), c.want)
		})
	}
}

// Guards against reservations, drains and polls that take a run which shows no progress for about to end once it has taken long, although
// its image is known to have a tail.
func TestRemainingTimeOfTail(t *testing.T) {
	step := Step{Count: 1, Demand: cores(2), Estimate: time.Second, Image: "i"}
	for name, c := range map[string]struct {
		tail    bool
		elapsed time.Duration
		low     time.Duration
		high    time.Duration
	}{
		"not long yet":  {tail: true, elapsed: 500 * time.Millisecond, low: 500 * time.Millisecond, high: 500 * time.Millisecond},
		"a bit late":    {tail: true, elapsed: 1500 * time.Millisecond},
		"long":          {tail: true, elapsed: 3 * time.Second, low: 3 * time.Second, high: 5 * time.Second},
		"past the tail": {tail: true, elapsed: 20 * time.Second},
		"no known tail": {elapsed: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			for i := range 200 {
				took := time.Second
				if c.tail && i%33 == 10 {
					took = 7 * time.Second
				}
				f.s.durations.observe(&step, took, true)
			}
			f.addJob(ident.JobID("a"), step)
			f.takeStarts()
			p := f.s.jobs["a"].occurrences[0].groups[0].tasks.at(0).runs[0]
			f.s.now = p.startedAt.Add(c.elapsed)
			if got := f.s.remaining(p); got < c.low || got > c.high {
				t.Errorf("remaining %v, want %v to %v", got, c.low, c.high)
			}
		})
	}
}
