package sched

import (
	"fmt"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// checkProgressQueue reports a difference between the jobs that wait for a write and those with unrecorded progress and no write in
// flight.
func checkProgressQueue(t *testing.T, s *Scheduler) {
	t.Helper()
	some, ended := 0, 0
	for id, j := range s.dirtyJobs {
		if j.writeInFlight {
			continue
		}
		some++
		if s.toWrite.jobs[id] != j {
			t.Errorf("the progress of job %s isn't written", id)
		}
		ended += boolToInt(j.state.Terminal())
	}
	if len(s.toWrite.jobs) != some || s.toWrite.ended != ended {
		t.Errorf("%d jobs with %d ends wait for a write, want %d and %d", len(s.toWrite.jobs), s.toWrite.ended, some, ended)
	}
}

// Guards against progress that is never written, or an end whose write isn't asked for, after writes that fail or that are overtaken by
// further progress.
func TestProgressWaitsForWrites(t *testing.T) {
	f := newFixture(t, nil)
	for n := range 3 {
		j := f.addJob(ident.JobID(fmt.Sprintf("j%d", n)), Step{Count: 2, Demand: cores(1)})
		f.s.markDirty(f.s.jobs[j.ID])
	}
	check := func(wantSome, wantEnded bool) {
		t.Helper()
		checkProgressQueue(t, f.s)
		if some, ended := f.s.HasProgressUpdates(); some != wantSome || ended != wantEnded {
			t.Errorf("progress to write: %v, of ended jobs: %v; want %v and %v", some, ended, wantSome, wantEnded)
		}
	}
	check(true, false)
	first := f.s.TakeProgressUpdates(10)
	check(false, false)
	f.s.ProgressWriteFailed(first)
	check(true, false)
	first = f.s.TakeProgressUpdates(10)
	f.s.Cancel(f.now, "j0")
	check(false, false) // the end of j0 waits for the write in flight
	f.s.ProgressWritten(f.now, first)
	check(true, true)
	f.s.Cancel(f.now, "j1")
	check(true, true)
	last := f.s.TakeProgressUpdates(10)
	check(false, false)
	f.s.ProgressWritten(f.now, last)
	check(false, false)
}

// BenchmarkHasProgressUpdates measures what each reply of a server asks for, while the progress of 1,000 jobs waits for a write.
func BenchmarkHasProgressUpdates(b *testing.B) {
	s := New(Options{}, epochStart)
	for n := range 1000 {
		s.AddJob(epochStart, &Job{ID: ident.JobID(fmt.Sprintf("j%d", n)), Queue: testQueue(), Steps: []Step{{Count: 1}}}, Progress{}, false)
	}
	for _, j := range s.jobs {
		s.markDirty(j)
	}
	for b.Loop() {
		s.HasProgressUpdates()
	}
}
