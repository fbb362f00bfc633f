package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// The load is a hot team that sends several times its weight while others send their usual. Guards against a hot team that
// crowds the others out, and against a takeover that forgets which of its jobs were beyond its weight, seen on the
// trouble-3 days, where all daemons die while 1,500 jobs wait.
func TestTeamOverItsWeight(t *testing.T) {
	accepted := func(i int, team ident.TeamID) *Job {
		return &Job{
			ID: ident.JobID(fmt.Sprintf("%s%02d", team, i)), Team: team, Queue: testQueue(),
			Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: epochStart.Add(time.Duration(i) * 10 * time.Millisecond),
		}
	}
	for name, inherited := range map[string]bool{"as jobs come": false, "after a takeover": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.s.Configure(f.now, Config{
				Queues: map[ident.QueueID]Queue{"quotes": testQueue()},
				Teams:  map[ident.TeamID]Team{"hot": {ID: "hot", Weight: 4}, "calm": {ID: "calm", Weight: 4}},
			})
			for i := range 20 {
				f.s.AddJob(f.now, accepted(i, "hot"), Progress{}, inherited)
			}
			for i := range 5 {
				f.s.AddJob(f.now, accepted(20+i, "calm"), Progress{}, inherited)
			}
			f.addServer("s1", 13)
			calm := 0
			for _, o := range f.starts {
				calm += boolToInt(o.Task.Job[0] == 'c')
			}
			// The hot team is owed its weight and the burst that it saved up, 8 jobs.
			f.want("starts and calm ones among them", []int{len(f.starts), calm}, []int{13, 5})
		})
	}
}

// Guards against work that is of no use any more and takes the place of work that still is.
func TestRankOrder(t *testing.T) {
	f := newFixture(t, nil)
	now := epochStart.Add(time.Minute)
	add := func(id ident.JobID, age time.Duration, priority int) {
		q := testQueue()
		q.ID, q.Priority = ident.QueueID(id), priority
		f.s.AddJob(now, &Job{ID: id, Queue: q, Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: now.Add(-age)}, Progress{}, false)
	}
	// The objective of the test queue is twice a second of work and a second more.
	add("past", 30*time.Second, 0)
	add("late", 5*time.Second, 0)
	add("tight", 1500*time.Millisecond, 0)
	add("fresh", 0, 0)
	add("low", 1500*time.Millisecond, 2)
	f.now = now
	f.s.now = now
	var order []ident.JobID
	for _, r := range f.s.rankedGroups() {
		order = append(order, r.group.job.spec.ID)
	}
	f.want("order", order, []ident.JobID{"tight", "fresh", "late", "low", "past"})
}
