package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/admission"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// admissionFixture returns a fixture with two teams of weight 1 and a server that ends four tasks a second.
func admissionFixture(t *testing.T, on bool) *fixture {
	f := newFixture(t, func(o *Options) { o.Admission = on })
	f.s.Configure(f.now, Config{
		Queues: map[ident.QueueID]Queue{"quotes": testQueue()},
		Teams:  map[ident.TeamID]Team{"busy": {ID: "busy", Weight: 1}, "quiet": {ID: "quiet", Weight: 1}},
	})
	f.addServer("s1", 4)
	return f
}

// overload submits jobs of one team beyond what the server ends, and the other team's share, for some seconds.
func (f *fixture) overload(seconds int) (quietStarts int) {
	f.Helper()
	for range seconds {
		n := f.now.Unix() * 100
		f.addSurplus("busy", int(n%1e6), 12)
		f.addSurplus("quiet", int(n%1e6), 1)
		quietStarts += f.serve("s1", time.Second)["quiet"]
	}
	return quietStarts
}

// takeToken submits a job that takes the token that the busy team has earned during the last second, and waits for the next forecast.
func (f *fixture) takeToken() {
	f.addSurplus("busy", 900_001, 1)
	f.advanceTime(300 * time.Millisecond)
}

func (f *fixture) verdict(team ident.TeamID) admission.Verdict {
	s := f.s.AdmissionStatement(f.now)
	if s == nil {
		return admission.Verdict{}
	}
	return s.Decide(s.Age, team, "quotes", 0, 0)
}

// Guards against a team within its weight that is refused because of another one, against refusals while the backlog can still be served in
// time, and against ones after it has drained.
func TestOnlyTheSurplusOfABusyTeamIsRefused(t *testing.T) {
	f := admissionFixture(t, true)
	f.overload(9)
	f.want("rejected before there is a rate", f.verdict("busy").Rejected, false)
	quiet := f.overload(16)
	f.takeToken()
	s := f.s.AdmissionStatement(f.now)
	if s == nil {
		t.Fatal("no forecast under overload")
	}
	for _, p := range s.Forecasts {
		f.want("team of a forecast", p.Team, "busy")
		f.want("last useful time", p.LastUseful, 9*time.Second)
	}
	f.want("starts of the team within its weight", quiet >= 15, true)
	f.want("rejected", f.verdict("busy").Rejected, true)
	f.want("the other team is rejected", f.verdict("quiet").Rejected, false)
	waiting := f.s.Loads()[0].Waiting
	// Of four tasks a second, each team has one within its weight. The forecast must not be longer than the other two take for all that waits.
	if v := f.verdict("busy"); v.Wait > time.Duration(waiting)*time.Second/2 {
		t.Errorf("predicted wait %s with %d waiting tasks of a second, of which 2 start a second", v.Wait, waiting)
	}
	f.serve("s1", time.Duration(waiting/4-8)*time.Second)
	f.want("some work still waits", f.s.Loads()[0].Waiting > 0, true)
	f.want("forecasts once the backlog has drained", len(f.s.admission.forecasts), 0)
}

// Guards against a forecast that a new leader makes of work that it has just read, without having seen it start.
func TestNewLeaderAcceptsUntilItHasARate(t *testing.T) {
	f := admissionFixture(t, true)
	f.addSurplus("busy", 0, 400)
	f.serve("s1", 9*time.Second)
	f.want("forecasts", len(f.s.admission.forecasts), 0)
	f.serve("s1", 5*time.Second) // the same work is forecast once its rate is known
	f.want("forecasts", len(f.s.admission.forecasts), 1)
}

// Guards against forecasts, and so additional bytes in replies, where the setting is off.
func TestNoForecastsWhenOff(t *testing.T) {
	f := admissionFixture(t, false)
	f.overload(25)
	f.want("forecasts", len(f.s.admission.forecasts), 0)
	f.want("statement", f.s.AdmissionStatement(f.now), (*admission.Statement)(nil))
	f.want("counts", f.s.AdmissionCounts(), AdmissionCounts{})
	f.want("flows", len(f.s.admission.flows), 0)
}

// Guards against work that its own team's limit holds back and that is taken for a backlog in the way of others.
func TestWorkHeldBackByALimitIsNoBacklog(t *testing.T) {
	f := admissionFixture(t, true)
	f.s.Configure(f.now, Config{
		Queues: map[ident.QueueID]Queue{"quotes": testQueue()},
		Teams:  map[ident.TeamID]Team{"busy": {ID: "busy", Weight: 1, Limit: cores(2)}, "quiet": {ID: "quiet", Weight: 1}},
	})
	f.addSurplus("busy", 0, 400)
	for i := range 20 {
		f.addSurplus("quiet", 10*i, 2)
		f.serve("s1", time.Second)
	}
	f.want("forecasts", len(f.s.admission.forecasts), 0)
}

// Guards against wrong forecasts that nobody sees: jobs that a daemon accepted without the forecast show whether they would have been late.
func TestOutcomesOfForecastsAreCounted(t *testing.T) {
	f := admissionFixture(t, true)
	f.overload(25)
	f.takeToken()
	f.want("rejected", f.verdict("busy").Rejected, true)
	f.addSurplus("busy", 900_000, 1)
	f.serve("s1", 100*time.Second)
	c := f.s.AdmissionCounts()
	f.want("late jobs", c.NeverInTime > 0, true)
	f.want("jobs that were forecast to be late", c.Forecast > 0, true)
	f.want("of them in time", c.ForecastInTime, 0)
	f.want("end of the job", f.state("busy-900000"), StateCompleted)

	early := f.s.AdmissionCounts()
	f.s.jobs["in-time"] = newJob(&Job{ID: "in-time", Steps: []Step{{Count: 1}}, Queue: testQueue(), Accepted: f.now}, Progress{}, false)
	j := f.s.jobs["in-time"]
	j.queue, j.forecastLate = f.s.queueOf(j.spec), true
	f.s.finish(j, StateCompleted)
	f.want("wrong forecasts", f.s.AdmissionCounts().ForecastInTime, early.ForecastInTime+1)
}

// Guards against a last useful time for work that has none, which would then be refused.
func TestHasLastUsefulTime(t *testing.T) {
	for name, c := range map[string]struct {
		job  Job
		want bool
	}{
		"runs once":       {Job{Steps: []Step{{Count: 1}}}, true},
		"on a schedule":   {Job{Steps: []Step{{Count: 1}}, Repetitions: 2}, false},
		"long-running":    {Job{Steps: []Step{{Count: 1}, {Count: 1, LongRunning: true}}}, false},
		"end of a record": {Job{}, false},
	} {
		if got := c.job.HasLastUsefulTime(); got != c.want {
			t.Errorf("%s: got %t", name, got)
		}
	}
	j := Job{Queue: testQueue(), Steps: []Step{{Count: 3, Estimate: time.Second}, {Count: 1, Estimate: 2 * time.Second, After: []int{0}}}}
	if got, want := fmt.Sprint(LastUsefulTime(&j)), "21s"; got != want {
		t.Errorf("last useful time %s, want %s", got, want)
	}
}
