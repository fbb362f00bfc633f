//go:build review

// Command 6 shows that a task runs twice after its queue was sent to another service and back and the leader was killed.
package main

import (
	"fmt"
	"time"

	lab "github.com/rosemaryspoke/rosemaryspoke/review/lab-2"
)

const (
	job     = "00000000000000a1"
	seconds = time.Second
)

func main() {
	l := lab.Start()
	tenant := lab.Tenant{Name: "gyms", Key: "key-gyms"}
	l.Configure(1, []lab.Queue{{Name: "quotes", Service: "service-a"}}, tenant)
	for range 3 {
		l.AddDaemon()
	}
	for i := range 2 {
		l.AddWorker(fmt.Sprintf("a%d", i+1), "service-a", 16000, 0)
		l.AddWorker(fmt.Sprintf("b%d", i+1), "service-b", 16000, 8*time.Millisecond) // in the other region
	}
	l.WaitReady()
	l.Until(3 * seconds)

	// Step 0 works for 2 s, the four tasks of step 1 for 9 s.
	requester := &lab.Requester{Lab: l, Tenant: tenant, Queue: "quotes"}
	code := requester.Submit(l.Daemons[0], job, lab.Job{Spec: "2000,9000", Steps: []lab.Step{
		{Count: 1, CPU: 1000, EstimateMs: 2000}, {Count: 4, CPU: 1000, EstimateMs: 9000, After: []int{0}},
	}}, 3*seconds)
	if code != 200 {
		l.NotRun(fmt.Sprintf("the job was answered with %d", code))
	}
	if l.Trouble {
		l.Until(3500 * time.Millisecond)
		l.Configure(2, []lab.Queue{{Name: "quotes", Service: "service-b"}}, tenant)
		l.Until(6 * seconds)
		l.Configure(3, []lab.Queue{{Name: "quotes", Service: "service-a"}}, tenant)
		l.Until(9 * seconds)
		l.Leader().Kill()
	}
	l.Until(25 * seconds)
	requester.State(l.Daemons[0], job, 3*seconds)
	l.Finish(twice(l.Runs()))
}

// twice returns the pairs of runs of one task that were at work at the same time. No worker went down.
func twice(runs []lab.Run) []string {
	var found []string
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.Task == b.Task && b.Start < a.End {
				found = append(found, fmt.Sprintf("task %s: run %d on %s from %.3f to %.3f s, run %d on %s from %.3f to %.3f s", a.Task,
					a.Number, a.Worker, a.Start.Seconds(), a.End.Seconds(), b.Number, b.Worker, b.Start.Seconds(), b.End.Seconds()))
			}
		}
	}
	return found
}
