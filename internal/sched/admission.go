package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/admission"
	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/internal/preemption"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// forecastInterval is the interval at which the wait of surplus work is predicted. It is a quarter of the time for which daemons use it.
const forecastInterval = 250 * time.Millisecond

// admissionState predicts the wait of jobs beyond their team's weight.
type admissionState struct {
	flows      map[flowKey]*admission.Flow
	forecasts  []admission.Forecast // without the time until the next token, which changes with each job
	computedAt time.Time
	counts     AdmissionCounts
}

// flowKey names the surplus work of a queue or, without a queue, of a whole service.
type flowKey struct {
	service ServiceID
	queue   ident.QueueID
}

// AdmissionCounts holds counters since the takeover. Of jobs that run once and whose tasks aren't long-running, NeverInTime counts those
// that ended past their last useful time. Forecast counts the jobs that were accepted although they were forecast to be too late, by daemons
// without the forecast, and ForecastInTime those of them that were completed in time.
type AdmissionCounts struct {
	NeverInTime, Forecast, ForecastInTime uint64
}

// AdmissionCounts returns the totals since the takeover.
func (s *Scheduler) AdmissionCounts() AdmissionCounts { return s.admission.counts }

// surplusWork is the waiting work of a group beyond its team's weight.
type surplusWork struct {
	service      ServiceID
	queue        ident.QueueID
	team         ident.TeamID
	priority     int
	level        pastuse.Level
	slack        time.Duration
	criticalPath time.Duration
	work         admission.Work
}

// admissionWork returns the expected work of a number of tasks of a step.
func (s *Scheduler) admissionWork(step *Step, tasks int) admission.Work {
	return admission.Work(tasks) * admission.Work(preemption.Work(step.Demand, s.durations.expect(step)))
}

// admissionFlows returns the flows that the surplus work of a queue is part of.
func (s *Scheduler) admissionFlows(q *Queue) [2]*admission.Flow {
	var flows [2]*admission.Flow
	for i, key := range [...]flowKey{{q.Service, ""}, {q.Service, q.ID}} {
		f := s.admission.flows[key]
		if f == nil {
			f = &admission.Flow{}
			s.admission.flows[key] = f
		}
		flows[i] = f
	}
	return flows
}

// noteSurplusStart counts the start of a task beyond its team's weight.
func (s *Scheduler) noteSurplusStart(p *run) {
	g := p.task.group
	if !s.options.Admission || !g.job.surplus || g.step.LongRunning || p.copied {
		return
	}
	w := s.admissionWork(g.step, 1)
	for _, f := range s.admissionFlows(g.job.queue) {
		f.Start(w)
	}
}

// waitingSurplus returns the work beyond the teams' weights that waits. Work that its team's limit holds back keeps no other work waiting.
func (s *Scheduler) waitingSurplus() []surplusWork {
	var out []surplusWork
	for _, g := range s.groups {
		if !g.job.surplus || g.step.LongRunning || g.job.state.Terminal() || !g.hasWaiting() {
			continue
		}
		t := s.team(g.job.spec.Team)
		if !t.Limit.IsZero() && !withinLimit(t.used.Add(g.step.Demand), t.Limit) {
			continue
		}
		q := g.job.queue
		r := s.rankOf(g, q)
		out = append(out, surplusWork{
			service: q.Service, queue: q.ID, team: t.ID, priority: r.priority, level: r.level, slack: r.slack,
			criticalPath: g.job.criticalPath, work: s.admissionWork(g.step, g.missing()),
		})
	}
	return out
}

// updateForecasts predicts the wait of new surplus jobs by queue and team.
func (s *Scheduler) updateForecasts() {
	a := &s.admission
	if !s.options.Admission || s.now.Sub(a.computedAt) < forecastInterval {
		return
	}
	waiting := s.waitingSurplus()
	present := map[flowKey]bool{}
	for i := range waiting {
		present[flowKey{waiting[i].service, ""}], present[flowKey{waiting[i].service, waiting[i].queue}] = true, true
	}
	for key, f := range a.flows {
		f.Observe(s.now, present[key])
	}
	for key := range present {
		if a.flows[key] == nil { // its work has waited without any start since the last observation
			a.flows[key] = &admission.Flow{}
			a.flows[key].Observe(s.now, true)
		}
	}
	a.computedAt, a.forecasts = s.now, s.predictWaits(waiting)
}

// predictWaits returns the forecasts of late jobs, those with the longest waits first.
func (s *Scheduler) predictWaits(waiting []surplusWork) []admission.Forecast {
	var out []admission.Forecast
	if len(waiting) == 0 {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(s.teams)) {
		for _, q := range s.queues {
			if f := s.forecast(s.teams[id], q, waiting); admission.Hopeless(f.Wait, f.LastUseful) {
				out = append(out, f)
			}
		}
	}
	slices.SortFunc(out, func(a, b admission.Forecast) int {
		return cmp.Or(cmp.Compare(b.Wait, a.Wait), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Queue, b.Queue))
	})
	return out[:min(len(out), admission.MaxForecasts)]
}

// forecast predicts the wait of a team's new surplus job of a queue, as the shorter one by the work of the service and by that of the queue:
// small tasks may start past large ones of other queues. Its wait is 0 without a rate, and for teams without waiting work in the queue, which
// keeps statements short.
func (s *Scheduler) forecast(t *team, q *Queue, waiting []surplusWork) admission.Forecast {
	f := admission.Forecast{Team: t.ID, Queue: q.ID}
	var inService, inQueue admission.Work
	path, waits := time.Duration(0), false
	for i := range waiting {
		w := &waiting[i]
		if w.service != q.Service {
			continue
		}
		if w.queue == q.ID {
			path, waits = max(path, w.criticalPath), waits || w.team == t.ID
		}
		// The slack of a new job is at least the queue's target, so that work with less certainly comes first.
		if cmp.Or(cmp.Compare(w.priority, q.Priority), cmp.Compare(w.level, t.level), cmp.Compare(w.slack, q.Target)) >= 0 {
			continue
		}
		inService += w.work
		if w.queue == q.ID {
			inQueue += w.work
		}
	}
	if !waits || inQueue == 0 {
		return f
	}
	flows := s.admissionFlows(q)
	byService, ok := flows[0].Wait(inService)
	byQueue, okQueue := flows[1].Wait(inQueue)
	if ok && okQueue {
		f.Wait, f.LastUseful = min(byService, byQueue), lateFactor*q.objective(path)
	}
	return f
}

// nextToken returns the time until a job of the team is within its weight again; 0 means now.
func (t *team) nextToken(now time.Time) time.Duration {
	if t.Weight <= 0 || t.refilledAt.IsZero() {
		return 0
	}
	tokens := t.tokens + t.Weight*max(now.Sub(t.refilledAt).Seconds(), 0)
	if tokens >= 1 {
		return 0
	}
	return convert.Duration(math.Ceil((1 - tokens) / t.Weight * float64(time.Second)))
}

// AdmissionStatement returns the forecasts of late jobs for the teams that have used up their weights, or nil if there are none.
func (s *Scheduler) AdmissionStatement(now time.Time) *admission.Statement {
	st := &admission.Statement{Age: max(now.Sub(s.admission.computedAt), 0)}
	for _, f := range s.admission.forecasts {
		if next := s.team(f.Team).nextToken(now); next > 0 {
			f.NextToken = st.Age + next
			st.Forecasts = append(st.Forecasts, f)
		}
	}
	if len(st.Forecasts) == 0 {
		return nil
	}
	return st
}

// isForecastLate reports whether a new job is covered by a forecast that is still in use.
func (s *Scheduler) isForecastLate(j *job) bool {
	if !j.surplus || j.inherited || !j.spec.HasLastUsefulTime() {
		return false
	}
	st := s.AdmissionStatement(s.now)
	return st != nil && st.Decide(st.Age, j.spec.Team, j.queue.ID, LastUsefulTime(j.spec), 0).Rejected
}

// countAdmission counts an ended job by whether it was served in time.
func (s *Scheduler) countAdmission(j *job) {
	if !s.options.Admission || !j.spec.HasLastUsefulTime() {
		return
	}
	c := &s.admission.counts
	inTime := s.now.Sub(j.spec.Accepted) <= lateFactor*j.queue.objective(s.criticalPath(j, nil, j.queue, true))
	if !inTime {
		c.NeverInTime++
	}
	if j.forecastLate {
		c.Forecast++
		if inTime && j.state == StateCompleted {
			c.ForecastInTime++
		}
	}
}

// objective returns the time in which a job with the given critical path should end.
func (q *Queue) objective(criticalPath time.Duration) time.Duration {
	return scale(criticalPath, q.Stretch) + q.Target
}

// HasLastUsefulTime reports whether the job's result is of no use after some time: it runs once, and none of its tasks is long-running.
func (j *Job) HasLastUsefulTime() bool {
	return !j.HasSchedule() && len(j.Steps) > 0 && !slices.ContainsFunc(j.Steps, func(st Step) bool { return st.LongRunning })
}

// LastUsefulTime returns the time after its acceptance from which on a job's result is of no use, by the job's own estimates.
func LastUsefulTime(j *Job) time.Duration {
	var s Scheduler // has learned no durations
	return lateFactor * j.Queue.objective(s.criticalPath(&job{spec: j}, nil, &j.Queue, true))
}
