//go:build review

// Command 7 shows that one timed job with many open occurrences keeps the ends of all other jobs from being taken note of.
package main

import (
	"fmt"
	"time"

	lab "github.com/rosemaryspoke/rosemaryspoke/review/lab-2"
)

const (
	timedJob                 = "ffffffffffffffff"
	seconds                  = time.Second
	trafficBegin, trafficEnd = 8 * seconds, 43 * seconds
	finish                   = 14 * seconds
	idleTime                 = 3 * seconds
	workers                  = 4
	tasks                    = 4           // of a job of the shop
	capacity                 = 16000       // thousandths of a core
	between                  = seconds / 7 // jobs of the shop, 21 in the 3 s of the poison
	poison                   = 12 * seconds
	hours                    = 12
	wait                     = 3 * seconds // of a requester for an answer
)

func main() {
	l := lab.Start()
	l.Listed = func(job string) bool { return job != timedJob }
	shop, other := lab.Tenant{Name: "shop", Key: "key-shop"}, lab.Tenant{Name: "other", Key: "key-other"}
	l.Configure(1, []lab.Queue{{Name: "orders", Service: "desk"}}, shop, other)
	for range 3 {
		l.AddDaemon()
	}
	for i := range workers {
		l.AddWorker(fmt.Sprintf("w%d", i+1), "desk", capacity, 0)
	}
	l.WaitReady()
	if l.Trouble {
		go func() {
			l.Until(poison)
			handInTimedJob(l, other)
		}()
	}
	requester := &lab.Requester{Lab: l, Tenant: shop, Queue: "orders"}
	var jobs []string
	for at := trafficBegin; at < trafficEnd; at += between {
		l.Until(at)
		id := fmt.Sprintf("%016x", len(jobs)+1)
		code := requester.Submit(l.Daemons[len(jobs)%3], id, lab.Job{Spec: "700,700", Steps: []lab.Step{
			{Count: 2, CPU: 1000, EstimateMs: 700}, {Count: 2, CPU: 1000, EstimateMs: 700, After: []int{0}},
		}}, wait)
		if code == 200 {
			jobs = append(jobs, id)
		}
	}
	l.Until(trafficEnd + finish)
	l.Finish(judge(l, requester, jobs))
}

// handInTimedJob hands in a job for each second since this morning. Its second step needs a GPU, which no worker has.
func handInTimedJob(l *lab.Lab, tenant lab.Tenant) {
	requester := &lab.Requester{Lab: l, Tenant: tenant, Queue: "orders"}
	code := requester.Submit(l.Daemons[0], timedJob, lab.Job{
		Spec: "20,700", StartAtMs: time.Now().Add(-hours * time.Hour).UnixMilli(), IntervalMs: 1000, Repetitions: 24 * 3600,
		Steps: []lab.Step{{Count: 1, CPU: 100, EstimateMs: 20}, {Count: 1, CPU: 100, GPU: 1, EstimateMs: 700, After: []int{0}}},
	}, wait)
	if code != 200 {
		l.NotRun(fmt.Sprintf("the timed job was answered with %d", code))
	}
	l.Record("requester of %s: timed job %s is accepted with 200: due each second since %d hours ago", tenant.Name, timedJob, hours)
}

// judge returns the accepted jobs of the shop that aren't known or get no answer, and those with a task whose turn has come that have
// had nothing running for the last 3 s, while less than half of the workers was in use.
func judge(l *lab.Lab, requester *lab.Requester, jobs []string) []string {
	from := l.Now() - idleTime
	used := l.MostInUse(from)
	running, done := map[string]bool{}, map[string]map[string]bool{}
	for _, r := range l.Runs() {
		job := lab.JobOf(r.Task)
		running[job] = running[job] || r.End == 0 || r.End > from
		if done[job] == nil {
			done[job] = map[string]bool{}
		}
		if r.How == "done" {
			done[job][r.Task] = true
		}
	}
	l.Record("at most %d of %d thousandths of a core were in use in the last 3 s", used, workers*capacity)
	var broken []string
	for i, id := range jobs {
		code, state := requester.State(l.Daemons[i%3], id, wait)
		// The steps follow one another, so a task's turn has come as long as not all are done.
		idle := len(done[id]) < tasks && !running[id] && used < workers*capacity/2
		if code != 200 || idle {
			broken = append(broken, fmt.Sprintf("job %s has nothing running and is answered with %d %q, %d of its %d tasks have ended done",
				id, code, state, len(done[id]), tasks))
		}
	}
	for _, w := range l.Workers {
		unacked, listed := w.Unacked()
		l.Record("worker %s: %d of the %d ends that it has listed aren't taken note of", w.ID, unacked, listed)
	}
	return broken
}
