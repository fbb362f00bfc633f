package admission

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against refusals on a guess: by a stale statement, for another team or queue, after the next token, within the margin, or for a job
// whose own result stays useful for longer.
func TestDecide(t *testing.T) {
	long := Forecast{Team: "busy", Queue: "q", Wait: 20 * time.Second, LastUseful: 10 * time.Second, NextToken: time.Second}
	change := func(f func(*Forecast)) Statement {
		c := long
		f(&c)
		return Statement{Forecasts: []Forecast{c}}
	}
	s := Statement{Forecasts: []Forecast{long}}
	for name, c := range map[string]struct {
		statement  Statement
		age        time.Duration
		team       ident.TeamID
		queue      ident.QueueID
		lastUseful time.Duration
		rejected   bool
	}{
		"too late":                 {statement: s, team: "busy", queue: "q", rejected: true},
		"no statement":             {team: "busy", queue: "q"},
		"other team":               {statement: s, team: "quiet", queue: "q"},
		"other queue":              {statement: s, team: "busy", queue: "r"},
		"just before the token":    {statement: s, age: time.Second - 1, team: "busy", queue: "q", rejected: true},
		"next token":               {statement: s, age: time.Second, team: "busy", queue: "q"},
		"oldest":                   {statement: change(func(f *Forecast) { f.NextToken = time.Hour }), age: MaxAge, team: "busy", queue: "q", rejected: true},
		"stale":                    {statement: change(func(f *Forecast) { f.NextToken = time.Hour }), age: MaxAge + 1, team: "busy", queue: "q"},
		"from the future":          {statement: s, age: -1, team: "busy", queue: "q"},
		"within the margin":        {statement: change(func(f *Forecast) { f.Wait = 15 * time.Second }), team: "busy", queue: "q"},
		"drained since":            {statement: change(func(f *Forecast) { f.Wait = 15500 * time.Millisecond }), age: 600 * time.Millisecond, team: "busy", queue: "q"},
		"job that may take longer": {statement: s, team: "busy", queue: "q", lastUseful: 14 * time.Second},
		"no last useful time":      {statement: change(func(f *Forecast) { f.LastUseful = 0 }), team: "busy", queue: "q"},
	} {
		t.Run(name, func(t *testing.T) {
			if v := c.statement.Decide(c.age, c.team, c.queue, c.lastUseful, 0); v.Rejected != c.rejected {
				t.Errorf("got %+v", v)
			}
		})
	}
}

// Guards against retries that arrive together, also where all waits exceed the bound, and against ones at once or after minutes.
func TestRetriesAreSpread(t *testing.T) {
	for name, c := range map[string]struct{ wait, least, most time.Duration }{
		"nearly drained": {10*time.Second + 1, time.Second, 1500 * time.Millisecond},
		"usual":          {18 * time.Second, 8 * time.Second, 12 * time.Second},
		"very long":      {time.Hour, 20 * time.Second, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			within := func(got, want time.Duration) bool { return (got - want).Abs() < time.Millisecond }
			first, middle, last := retryAfter(c.wait-10*time.Second, 0), retryAfter(c.wait-10*time.Second, 0.5), retryAfter(c.wait-10*time.Second, 1-1e-9)
			if !within(first, c.least) || !within(middle, (c.least+c.most)/2) || !within(last, c.most) || last > MaxRetryAfter {
				t.Errorf("got %s, %s, %s; want %s to %s", first, middle, last, c.least, c.most)
			}
		})
	}
}

// Guards against a rate where there is none: too few starts, a window that has just begun, work that hasn't waited all the time (its rate is
// that of its arrival), and a leader that paused.
func TestFlowKnowsWhenItHasNoRate(t *testing.T) {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		observations, startsEach int
		noneWaitsAt, pauseAt     int // observations; 0 means never
		want                     time.Duration
		ok                       bool
	}{
		"steady":               {observations: 60, startsEach: 1, want: 25 * time.Second, ok: true},
		"just taken over":      {observations: 40, startsEach: 1},
		"no starts":            {observations: 60},
		"work ran out":         {observations: 60, startsEach: 1, noneWaitsAt: 30},
		"leader paused":        {observations: 60, startsEach: 1, pauseAt: 30},
		"ran out before":       {observations: 100, startsEach: 1, noneWaitsAt: 30, want: 25 * time.Second, ok: true},
		"twice as fast":        {observations: 60, startsEach: 2, want: 12500 * time.Millisecond, ok: true},
		"nothing was observed": {},
	} {
		t.Run(name, func(t *testing.T) {
			var f Flow
			now := start
			for i := 1; i <= c.observations; i++ {
				now = now.Add(250 * time.Millisecond)
				if i == c.pauseAt {
					now = now.Add(2 * time.Second)
				}
				for range c.startsEach {
					f.Start(2)
				}
				f.Observe(now, i != c.noneWaitsAt)
			}
			if got, ok := f.Wait(200); got != c.want || ok != c.ok {
				t.Errorf("got %s, %t; want %s, %t", got, ok, c.want, c.ok)
			}
		})
	}
	var f Flow
	for i := range 60 { // fifteen starts in the window
		if i%4 == 0 && i >= 4 {
			f.Start(2)
		}
		f.Observe(start.Add(time.Duration(i)*250*time.Millisecond), true)
	}
	if got, ok := f.Wait(200); ok {
		t.Errorf("a rate from few starts: %s", got)
	}
}
