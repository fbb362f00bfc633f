//go:build review

// Command 8 shows that a timed job with many due occurrences takes each leader over its memory.
package main

import (
	"fmt"
	"time"

	lab "github.com/rosemaryspoke/rosemaryspoke/review/lab-2"
)

const (
	timedJob                 = "ffffffffffffffff"
	seconds                  = time.Second
	trafficBegin, trafficEnd = 4 * seconds, 44 * seconds
	finish                   = 14 * seconds // finish_s
	wait                     = 3 * seconds  // time limit of requesters
	burst                    = 10 * seconds
	days                     = 2
)

func main() {
	l := lab.Start()
	l.Listed = func(job string) bool { return job != timedJob }
	shop, other := lab.Tenant{Name: "shop", Key: "key-shop"}, lab.Tenant{Name: "other", Key: "key-other"}
	l.Configure(1, []lab.Queue{{Name: "orders", Service: "desk"}}, shop, other)
	for range 3 {
		l.AddDaemon()
	}
	for i := range 4 {
		l.AddWorker(fmt.Sprintf("w%d", i+1), "desk", 16000, 0)
	}
	l.WaitReady()
	go l.KillAboveMemory()
	if l.Trouble {
		go func() {
			l.Until(burst)
			handInTimedJob(l, other)
		}()
	}
	requester := &lab.Requester{Lab: l, Tenant: shop, Queue: "orders"}
	var jobs []string
	for at := trafficBegin; at < trafficEnd; at += seconds {
		l.Until(at)
		id := fmt.Sprintf("%016x", len(jobs)+1)
		if requester.Submit(l.Daemons[len(jobs)%3], id, lab.Job{Spec: "700,700", Steps: []lab.Step{
			{Count: 2, CPU: 1000, EstimateMs: 700}, {Count: 2, CPU: 1000, EstimateMs: 700, After: []int{0}},
		}}, wait) == 200 {
			jobs = append(jobs, id)
		}
	}
	l.Until(trafficEnd + finish)
	for i, id := range jobs {
		requester.State(l.Daemons[i%3], id, wait)
	}
	l.Finish(judge(l))
}

// handInTimedJob hands in a job of five steps of 84 tasks, the largest of the site, that is due each minute since two days ago.
func handInTimedJob(l *lab.Lab, tenant lab.Tenant) {
	job := lab.Job{
		Spec: "4500,4500,4500,4500,4500", StartAtMs: time.Now().Add(-days * 24 * time.Hour).UnixMilli(), IntervalMs: 60_000,
		Repetitions: 30 * 24 * 60,
	}
	for i := range 5 {
		step := lab.Step{Count: 84, CPU: 3300, EstimateMs: 4500}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	requester := &lab.Requester{Lab: l, Tenant: tenant, Queue: "orders"}
	if code := requester.Submit(l.Daemons[0], timedJob, job, wait); code != 200 {
		l.NotRun(fmt.Sprintf("the timed job was answered with %d", code))
	}
	l.Record("requester of %s: timed job %s is accepted with 200: due each minute since %d days ago", tenant.Name, timedJob, days)
}

// judge returns the violation if processes of two machines or more ended by themselves three times.
func judge(l *lab.Lab) []string {
	machines := 0
	for _, d := range l.Daemons {
		if d.OwnEnds() >= 3 {
			machines++
		}
	}
	if machines < 2 {
		return nil
	}
	return []string{fmt.Sprintf("on %d of %d machines processes ended by themselves three times or more", machines, len(l.Daemons))}
}
