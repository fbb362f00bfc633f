package sched

import (
	"fmt"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// checkProgressQueue reports a difference between the jobs that wait for a write and those with unrecorded progress and no write in
// flight, and servers whose ends would never be acknowledged.
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
	for id, v := range s.servers {
		if listed := slices.Contains(s.endsToRecord, v); listed != v.endsToRecord || len(v.unrecordedEnds) > 0 && !listed {
			t.Errorf("%s with %d ends to record is listed: %v, counts as listed: %v", id, len(v.unrecordedEnds), listed, v.endsToRecord)
		}
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

// Guards against ends that are never acknowledged, since the progress that they belong to was recorded after others.
func TestEndsAreAcknowledgedOnceRecorded(t *testing.T) {
	f := newFixture(t, nil)
	for n := range 3 {
		f.addServer(ServerID(fmt.Sprintf("s%d", n)), 1)
		f.addJob(ident.JobID(fmt.Sprintf("j%d", n)), Step{Count: 1, Demand: cores(1)})
	}
	for _, start := range f.takeStarts() {
		f.endRun(start, OutcomeDone)
	}
	updates := f.s.TakeProgressUpdates(10)
	f.want("updates", len(updates), 3)
	acknowledged := func() []uint64 {
		checkProgressQueue(t, f.s)
		out := []uint64{}
		for _, v := range f.s.sortedServers() {
			out = append(out, v.recordedUpTo)
		}
		slices.Sort(out)
		return out
	}
	f.want("recorded before a write", acknowledged(), []uint64{0, 0, 0})
	f.s.ProgressWritten(f.now, updates[:1])
	f.want("recorded after the first write", acknowledged(), []uint64{0, 0, 1})
	f.s.ProgressWriteFailed(updates[1:])
	f.want("recorded after a failed write", acknowledged(), []uint64{0, 0, 1})
	f.s.ProgressWritten(f.now, f.s.TakeProgressUpdates(10))
	f.want("recorded after its repetition", acknowledged(), []uint64{1, 1, 1})
	f.want("servers with ends to record", len(f.s.endsToRecord), 0)
}

// BenchmarkProgressWritten measures a record of progress, of which there are hundreds a second, on a large site without further ends.
func BenchmarkProgressWritten(b *testing.B) {
	s := New(Options{}, epochStart)
	for n := range 1100 {
		s.Register(epochStart, testServer(ServerID(fmt.Sprintf("s%04d", n)), 16))
	}
	for b.Loop() {
		s.ProgressWritten(epochStart, nil)
	}
}
