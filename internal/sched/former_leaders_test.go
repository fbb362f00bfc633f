package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against tasks that run twice (review/13): a leader that the former one may not know starts inherited tasks again while that one goes
// on, as it reaches half of the servers or more.
func TestLeaderUnknownToTheFormerOne(t *testing.T) {
	const servers = 6
	for name, play := range map[string]struct {
		reached  int
		aware    bool
		earliest time.Duration // of the start of an inherited task
		latest   time.Duration
	}{
		"reaches more than half":                {5, false, 6 * time.Second, 6500 * time.Millisecond},
		"reaches half":                          {3, false, TiedIsolation + 6*time.Second, TiedIsolation + 7*time.Second},
		"reaches fewer":                         {2, false, MaxIsolation + 6*time.Second, MaxIsolation + 2*time.Minute},
		"reaches fewer, but was known":          {2, true, 6 * time.Second, 6500 * time.Millisecond},
		"reaches more than half, and was known": {5, true, 6 * time.Second, 6500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.RunBase, o.FormerUnaware = 1000, !play.aware })
			f.s.AddJob(f.now, &Job{ID: "j", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now.Add(-time.Minute)}, Progress{}, true)
			var ids []ServerID
			for i := range servers {
				ids = append(ids, ServerID(fmt.Sprintf("s%d", i)))
				f.s.RestoreServer(f.now, RosterEntry{Server: testServer(ids[i], 16)})
			}
			for _, id := range ids[:play.reached] {
				f.s.Register(f.now, testServer(id, 16))
			}
			f.collectCommands()
			step := 100 * time.Millisecond
			if play.latest > time.Hour {
				step = 10 * time.Second
			}
			started := time.Duration(0)
			for at := time.Duration(0); at <= play.latest && started == 0; at += step {
				for _, id := range ids[:play.reached] {
					if _, polled := f.polls[id]; polled {
						f.answerPoll(id, Inventory{})
					}
				}
				if at == 5*time.Second || step > time.Second && at == 3*step {
					f.addJob("new", Step{Count: 1, Demand: cores(1)})
					f.want("starts of a new job", len(f.takeStarts()), 1)
				}
				f.now = f.now.Add(step)
				f.s.Tick(f.now)
				f.collectCommands()
				for _, cmd := range f.takeStarts() {
					if cmd.Task.Job == ident.JobID("j") {
						started = at + step
					}
				}
			}
			if started < play.earliest || started > play.latest {
				t.Errorf("inherited task started after %s, want %s to %s", started, play.earliest, play.latest)
			}
		})
	}
}

// Guards against a leader without the store that counts itself among those that reach the servers by answers of servers which have restarted, and
// so don't know its successor, or which the successor's roster may not have.
func TestServersReached(t *testing.T) {
	for name, play := range map[string]struct {
		change             func(*fixture)
		wantHalf, wantMore bool
	}{
		"all answer": {func(*fixture) {}, true, true},
		"half of them answer": {func(f *fixture) {
			f.s.servers["s0"].incarnationSeenAt = time.Time{}
			f.s.servers["s1"].incarnationSeenAt = time.Time{}
		}, true, false},
		"one answers": {func(f *fixture) {
			for _, id := range []ServerID{"s0", "s1", "s2"} {
				f.s.servers[id].incarnationSeenAt = time.Time{}
			}
		}, false, false},
		"half have restarted":  {func(f *fixture) { f.s.servers["s0"].restartedAt = f.now; f.s.servers["s1"].restartedAt = f.now }, true, false},
		"half aren't recorded": {func(f *fixture) { f.s.servers["s0"].rosterAddress = ""; f.s.servers["s1"].rosterAddress = "" }, true, false},
		"others may be recorded": {func(f *fixture) {
			for _, id := range []ServerID{"r0", "r1", "r2", "r3"} {
				f.s.rosterDirty[id] = &server{removed: true}
			}
		}, true, false},
		"more may be recorded": {func(f *fixture) {
			for _, id := range []ServerID{"r0", "r1", "r2", "r3", "r4"} {
				f.s.rosterDirty[id] = &server{removed: true}
			}
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			for i := range 4 {
				f.addServer(ServerID(fmt.Sprintf("s%d", i)), 16)
			}
			recordServers(f.s)
			since := f.now
			f.now = f.now.Add(time.Second)
			f.s.now = f.now
			clear(f.s.rosterDirty)
			play.change(f)
			half, more := f.s.ServersReachedAt(f.now, since)
			f.want("half", !half.IsZero(), play.wantHalf)
			f.want("more than half", !more.IsZero(), play.wantMore)
		})
	}
}

// Guards against a leader that can't tell for lack of replies whether it is cut off from the servers too: idle ones are usually polled
// every 30 s.
func TestIdleServersArePolledWhileTheStoreIsSilent(t *testing.T) {
	f, storeAnswers := newStoreFixture(t)
	*storeAnswers = false
	polls := 0
	for range 40 {
		f.advanceTime(100 * time.Millisecond)
		if _, ok := f.polls["s1"]; ok {
			polls++
			f.answerPoll("s1", Inventory{})
		}
	}
	f.want("at least 6 polls in 4 s", polls >= 6, true)
}
