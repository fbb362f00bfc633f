//go:build review

// Command 9 shows that a lasting task isn't run any more after it has failed often and the leader was killed.
package main

import (
	"fmt"
	"time"

	lab "github.com/rosemaryspoke/rosemaryspoke/review/lab-2"
)

const (
	seconds = time.Second
	wait    = 3 * seconds
	lasting = "00000000000000a1"
	// Each run of the lasting task fails after 20 ms until recovered, in seconds.
	recovered = 72
	burst     = 70 * seconds
	burstTime = 8 * seconds
	killed    = 75 * seconds
	end       = 108 * seconds
	capacity  = 32000 // thousandths of a core of each of the two workers
	turnAfter = 6 * seconds
	idleTime  = 3 * seconds
)

func main() {
	l := lab.Start()
	l.Listed = func(job string) bool { return job == lasting && (l.Now() < 5*seconds || l.Now() > burst-seconds) }
	tenant := lab.Tenant{Name: "shop", Key: "key-shop"}
	l.Configure(1, []lab.Queue{{Name: "watch", Service: "desk", Priority: 1}, {Name: "orders", Service: "desk"}}, tenant)
	for range 3 {
		l.AddDaemon()
	}
	for i := range 2 {
		l.AddWorker(fmt.Sprintf("w%d", i+1), "desk", capacity, 0)
	}
	l.WaitReady()
	l.Until(2 * seconds)
	watch := &lab.Requester{Lab: l, Tenant: tenant, Queue: "watch"}
	if code := watch.Submit(l.Daemons[0], lasting, lab.Job{
		Spec: fmt.Sprintf("lasts 20 %d", recovered), Steps: []lab.Step{{Count: 1, CPU: 1000, EstimateMs: 1000, Lasts: true}},
	}, wait); code != 200 {
		l.NotRun(fmt.Sprintf("the lasting job was answered with %d", code))
	}
	orders := &lab.Requester{Lab: l, Tenant: tenant, Queue: "orders"}
	go trickle(l, orders)
	l.Until(burst)
	if l.Trouble {
		// Urgent jobs fill the workers, so the lasting task has no run when the leader is killed.
		l.Record("a burst of urgent jobs begins, 160 tasks of half a core and %s", burstTime)
		orders.Submit(l.Daemons[0], "b000000000000000", lab.Job{
			Spec: fmt.Sprint(burstTime.Milliseconds()), Steps: []lab.Step{{Count: 160, CPU: 500, EstimateMs: int(burstTime.Milliseconds())}},
		}, wait)
		l.Until(killed)
		l.Leader().Kill()
	}
	l.Until(end)
	watch.State(l.Daemons[0], lasting, wait)
	l.Finish(judge(l))
}

// trickle hands in small jobs, so that most runs on each worker end well.
func trickle(l *lab.Lab, orders *lab.Requester) {
	for n := 1; l.Now() < end; n++ {
		go orders.Submit(l.Daemons[n%3], fmt.Sprintf("c%015x", n), lab.Job{Spec: "100", Steps: []lab.Step{
			{Count: 20, CPU: 500, EstimateMs: 100},
		}}, wait)
		time.Sleep(200 * time.Millisecond)
	}
}

// judge returns the violation if the lasting task has had no run at work for 3 s up to the end, more than 6 s after its last one,
// although the workers were less than half in use.
func judge(l *lab.Lab) []string {
	lastEnd, runs := time.Duration(0), 0
	for _, r := range l.Runs() {
		if lab.JobOf(r.Task) != lasting {
			continue
		}
		if r.End == 0 {
			l.Record("task %s is at work since %.3f s", r.Task, r.Start.Seconds())
			return nil
		}
		runs++
		lastEnd = max(lastEnd, r.End)
	}
	used := l.MostInUse(end - idleTime)
	l.Record("at most %d of %d thousandths of a core were in use in the last 3 s", used, 2*capacity)
	if lastEnd+turnAfter > end-idleTime || used >= capacity {
		return nil
	}
	return []string{fmt.Sprintf("task %s.0.0.0 has had no run since %.3f s, after %d runs", lasting, lastEnd.Seconds(), runs)}
}
