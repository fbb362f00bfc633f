package sched

import (
	"testing"
	"time"
)

// Guards against tasks that wait for the whole of a long lease after each takeover, 12 s, although the former leader knew that it
// ends sooner (TestRandomServerLosses, seeds 24257 and 24936).
func TestNextLeaderWaitsForTheRestOfALongLease(t *testing.T) {
	for name, c := range map[string]struct {
		entry    func(*fixture) RosterEntry
		min, max time.Duration
	}{
		"recorded at its begin": {func(f *fixture) RosterEntry {
			f.restartServer("s1")
			return f.recordRoster()["s1"]
		}, 12 * time.Second, 13 * time.Second},
		"recorded again after 5 s": {func(f *fixture) RosterEntry {
			f.restartServer("s1")
			f.recordRoster()
			f.advanceTime(5 * time.Second)
			return f.recordRoster()["s1"]
		}, 7 * time.Second, 8 * time.Second},
		"recorded again by a second leader": {func(f *fixture) RosterEntry {
			f.restartServer("s1")
			second := newFixtureWithLongLeases(f.T, 1000)
			second.s.RestoreServer(second.now, f.recordRoster()["s1"])
			second.advanceTime(4 * time.Second)
			return second.recordRoster()["s1"]
		}, 10 * time.Second, 11 * time.Second},
		"recorded by a leader that saw the restart before the inventory, when former ones may still send commands": {func(f *fixture) RosterEntry {
			second := newFixtureWithLongLeases(f.T, 1000)
			second.s.RestoreServer(second.now, f.recordRoster()["s1"])
			back := testServer("s1", 16)
			back.Incarnation = 2
			second.s.Register(second.now, back)
			second.recordRoster()
			second.advanceTime(time.Second)
			e := second.recordRoster()["s1"]
			f.want("rest covers the end of the overlap", e.LongLeaseLeft > 11*time.Second, true)
			return e
		}, 12 * time.Second, 13 * time.Second},
		"recorded by a leader that got the first inventory a second after it saw the restart": {func(f *fixture) RosterEntry {
			second := newFixtureWithLongLeases(f.T, 1000)
			second.s.RestoreServer(second.now, f.recordRoster()["s1"])
			back := testServer("s1", 16)
			back.Incarnation = 2
			second.s.Register(second.now, back)
			second.collectCommands()
			second.advanceTime(time.Second)
			second.s.Polled(second.now, "s1", second.polls["s1"].Serial, Inventory{Incarnation: 2, Clock: time.Second})
			second.advanceTime(100 * time.Millisecond)
			e := second.recordRoster()["s1"]
			f.want("rest counts from the inventory", e.LongLeaseLeft > 10*time.Second, true)
			return e
		}, 12 * time.Second, 13 * time.Second},
		"recorded by an older daemon": {func(*fixture) RosterEntry {
			return RosterEntry{Server: testServer("s1", 16), LongLease: true}
		}, 12 * time.Second, 13 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithLongLeases(t, 0)
			f.addServer("s1", 16)
			e := c.entry(f)
			e.LongRunning, e.LongRunningTasks = true, nil // all tasks wait
			for id, after := range startsAfterTakeover(t, e) {
				if after < c.min || after > c.max {
					t.Errorf("%s started after %s, want %s to %s", id, after, c.min, c.max)
				}
			}
		})
	}
}

// Guards against a long lease of which only the first record is ever written.
func TestRestOfALongLeaseIsRecordedEachSecond(t *testing.T) {
	f := newFixtureWithLongLeases(t, 0)
	f.addServer("s1", 16)
	f.restartServer("s1")
	last, writes := f.recordRoster()["s1"].LongLeaseLeft, 0
	for range 110 {
		f.advanceTime(100 * time.Millisecond)
		if e, written := f.recordRoster()["s1"]; written && e.LongLease {
			f.want("less is left", e.LongLeaseLeft < last, true)
			last, writes = e.LongLeaseLeft, writes+1
		}
	}
	f.want("writes during a lease of 10 s", writes, 10)
	f.want("left at the last one is less than the interval", last <= longLeaseWriteInterval, true)
}
