//go:build review

// Command 10 shows that a job whose cancelling was acknowledged with 410 is accepted and run afterwards.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	lab "github.com/rosemaryspoke/rosemaryspoke/review/lab-2"
)

const (
	seconds     = time.Second
	wait        = 3 * seconds            // time limit of requesters
	hurried     = 500 * time.Millisecond // of the quarter of them that leave early (give_up, share 0.25)
	lossBegin   = 6 * seconds
	lossTime    = 4500 * time.Millisecond // for_s
	lossShare   = 0.3                     // x
	latest      = 6 * seconds             // after which a write is carried out whose answer was lost
	firstLate   = 1 * seconds
	cancelTime  = 3 * seconds
	contactTime = 3 * seconds
)

// cancelling is a job whose submission got no 2xx and that its requester then cancelled.
type cancelling struct {
	job   string
	code  int           // of the acknowledgement
	acked time.Duration // since the start of the record
}

func main() {
	l := lab.Start()
	tenant := lab.Tenant{Name: "gyms", Key: "key-gyms"}
	l.Configure(1, []lab.Queue{{Name: "quotes", Service: "quoting"}}, tenant)
	for range 3 {
		l.AddDaemon()
	}
	for i := range 4 {
		l.AddWorker(fmt.Sprintf("w%d", i+1), "quoting", 16000, 0)
	}
	l.WaitReady()
	l.Until(lossBegin)
	if l.Trouble {
		l.Store.LoseAnswers(loss(l))
	}
	requester := &lab.Requester{Lab: l, Tenant: tenant, Queue: "quotes"}
	var (
		mu         sync.Mutex
		cancelled  []cancelling
		submitting sync.WaitGroup
	)
	for n := 0; l.Now() < lossBegin+lossTime; n++ {
		submitting.Go(func() {
			id, limit := fmt.Sprintf("%016x", n+1), wait
			if n%4 == 0 {
				limit = hurried
			}
			if requester.Submit(l.Daemons[n%3], id, chain(), limit) == 200 || limit == wait {
				return
			}
			for try := 1; try <= 4; try++ {
				if code := requester.Cancel(l.Daemons[(n+try)%3], id, wait); code == 200 || code == 410 {
					mu.Lock()
					defer mu.Unlock()
					cancelled = append(cancelled, cancelling{id, code, l.Now()})
					return
				}
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	submitting.Wait()
	l.Until(lossBegin + lossTime + latest + 16*seconds)
	l.Finish(startedLater(l, cancelled))
}

// chain returns a job of six steps, one after the other, each of one task that works for 2 s.
func chain() lab.Job {
	job := lab.Job{Spec: "2000,2000,2000,2000,2000,2000"}
	for n := range 6 {
		step := lab.Step{Count: 1, CPU: 500, EstimateMs: 2000}
		if n > 0 {
			step.After = []int{n - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// loss returns how late the store carries out a write whose answer it loses: 1 to 6 s for a share of the writes, for a time.
func loss(l *lab.Lab) func() time.Duration {
	return func() time.Duration {
		if l.Now() > lossBegin+lossTime || rand.Float64() >= lossShare {
			return 0
		}
		return firstLate + rand.N(latest-firstLate)
	}
}

// startedLater returns the starts of cancelled jobs later than cancel_ms after the acknowledgement, when all machines are in touch.
func startedLater(l *lab.Lab, cancelled []cancelling) []string {
	inTouch := lossBegin + lossTime + latest + contactTime
	var broken []string
	for _, c := range cancelled {
		for _, r := range l.Runs() {
			if lab.JobOf(r.Task) == c.job && r.Start > max(c.acked+cancelTime, inTouch) {
				broken = append(broken, fmt.Sprintf("task %s starts at %.3f s, its job's cancelling was acknowledged with %d at %.3f s",
					r.Task, r.Start.Seconds(), c.code, c.acked.Seconds()))
			}
		}
	}
	return broken
}
