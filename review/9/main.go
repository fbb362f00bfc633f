//go:build review

// Command 9 shows that a lasting task isn't run any more after it has failed often and the leader was killed.
package main

import (
	"fmt"
	"time"

	lab "github.com/rosemaryspoke/rosemaryspoke/review/lab-2"
)

const (
	seconds   = time.Second
	wait      = 3 * seconds
	lasting   = "00000000000000a1"
	burst     = 70 * seconds
	burstTime = 8 * seconds
	killed    = 75 * seconds
	end       = 103 * seconds
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
	orders := &lab.Requester{Lab: l, Tenant: tenant, Queue: "orders"}
	l.Until(2 * seconds)
	go trickle(l, orders)
	l.Until(4 * seconds)
	// Each run of the lasting task fails after 20 ms.
	watch := &lab.Requester{Lab: l, Tenant: tenant, Queue: "watch"}
	if code := watch.Submit(l.Daemons[0], lasting, lab.Job{
		Spec: "lasts 20 1000", Steps: []lab.Step{{Count: 1, CPU: 1000, EstimateMs: 1000, Lasts: true}},
	}, wait); code != 200 {
		l.NotRun(fmt.Sprintf("the lasting job was answered with %d", code))
	}
	l.Until(burst)
	if l.Trouble {
		// Urgent jobs fill the workers, so the lasting task has no run when the leader is killed.
		l.Record("a burst begins: two urgent jobs of 84 tasks of half a core and %s", burstTime)
		for _, id := range []string{"b000000000000000", "b000000000000001"} {
			orders.Submit(l.Daemons[0], id, lab.Job{
				Spec: fmt.Sprint(burstTime.Milliseconds()), Steps: []lab.Step{{Count: 84, CPU: 500, EstimateMs: int(burstTime.Milliseconds())}},
			}, wait)
		}
		l.Until(killed)
		l.Leader().Kill()
	}
	l.Until(end)
	watch.State(l.Daemons[0], lasting, wait)
	l.Finish(judge(l))
}

// trickle hands in seven small jobs a second, so that most runs on each worker end well.
func trickle(l *lab.Lab, orders *lab.Requester) {
	for n := 1; l.Now() < end; n++ {
		go orders.Submit(l.Daemons[n%3], fmt.Sprintf("c%015x", n), lab.Job{Spec: "100", Steps: []lab.Step{
			{Count: 20, CPU: 500, EstimateMs: 100},
		}}, wait)
		time.Sleep(seconds / 7)
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
		if r.End == 0 || r.End > end-idleTime {
			l.Record("task %s was at work in the last 3 s, with run %d on %s", r.Task, r.Number, r.Worker)
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
