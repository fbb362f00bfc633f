package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// The load is calls for the number of pending jobs beside thousands of jobs, most of which have ended. Guards against counting all
// jobs for each call: on bensalem-quotes-large quiet-1 that took a fifth of the leader's processor time.
func TestPendingDoesNotCountAllJobsForEachCall(t *testing.T) {
	const calls, jobs = 2000, 20000
	f := newFixture(t, nil)
	for i := range jobs {
		id := ident.JobID(fmt.Sprintf("j%05d", i))
		f.s.AddJob(f.now, &Job{ID: id, Queue: testQueue(), Accepted: f.now, Steps: []Step{{Count: 1, Demand: cores(1)}}}, Progress{}, false)
	}
	began := time.Now()
	for range calls {
		f.want("pending", f.s.Pending(f.now, "quotes"), jobs)
	}
	// Counting the jobs for each call takes over half a second, once a few milliseconds.
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("%d calls took %s", calls, took)
	}
	f.s.Cancel(f.now, "j00000")
	f.now = f.now.Add(pendingMaxAge + time.Millisecond)
	f.want("pending after a cancellation", f.s.Pending(f.now, "quotes"), jobs-1)
}
