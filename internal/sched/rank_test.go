package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// One team sends several times its weight while another stays within its own. Guards against a team that crowds out the
// others, and against a takeover that loses track of which jobs were beyond the weight. The latter was seen in trouble-3,
// where all daemons crash while 1,500 jobs wait.
func TestTeamOverItsWeight(t *testing.T) {
	accepted := func(i int, team ident.TeamID) *Job {
		return &Job{
			ID: ident.JobID(fmt.Sprintf("%s%02d", team, i)), Team: team, Queue: testQueue(),
			Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: epochStart.Add(time.Duration(i) * 10 * time.Millisecond),
		}
	}
	for name, inherited := range map[string]bool{"as jobs arrive": false, "after a takeover": true} {
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
			for _, start := range f.starts {
				calm += boolToInt(start.Task.Job[0] == 'c')
			}
			// The hot team is entitled to a full token bucket: 8 jobs, two seconds of its weight.
			f.want("starts, and starts of the calm team", []int{len(f.starts), calm}, []int{13, 5})
		})
	}
}

// Guards against jobs whose result is of no use any more and that start before jobs whose result still is.
func TestRankOrder(t *testing.T) {
	f := newFixture(t, nil)
	now := epochStart.Add(time.Minute)
	add := func(id ident.JobID, age time.Duration, priority int) {
		q := testQueue()
		q.ID, q.Priority = ident.QueueID(id), priority
		f.s.AddJob(now, &Job{ID: id, Queue: q, Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: now.Add(-age)}, Progress{}, false)
	}
	// The objective of the test queue is twice the expected second of work plus one second.
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
