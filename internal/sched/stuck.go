package sched

import "time"

const (
	// maxCommandTime is the time from a command to the report of its outcome that a start may take in the mean of its attempts: the
	// adapter ends a call after 450 ms, and the coordinator holds the commands of an unconfirmed leader for up to 8.1 s in all before
	// it ends the term.
	maxCommandTime = 3500 * time.Millisecond
	// maxStartTime is the time after which a start is confirmed, refused or given up.
	maxStartTime = maxStartAttempts * maxCommandTime
	// maxStuckReports bounds the stuck runs that a check returns. Further ones are returned by the next check.
	maxStuckReports = 100
)

// maxStopTime returns the time after which a stopped run has been released. A server that falls silent at the stop fails its poll
// and gets no lease after it; its runs are released once the longest lease has expired and no reply can come any more.
func (o *Options) maxStopTime() time.Duration {
	lease := scale(max(o.RunLease, o.MaxRunLease), 1+clockDrift) + leaseMargin
	return o.PollWait + maxReplyTimeout + o.MaxSendDelay + lease + maxReplyDelay
}

// StuckKind is why a run counts as stuck.
type StuckKind string

// Kinds of stuck runs.
const (
	StuckUnknownServer StuckKind = "unknown-server"   // the scheduler has no such server, so no event will end the run
	StuckStart         StuckKind = "start-unanswered" // for longer than maxStartTime
	StuckStop          StuckKind = "stop-unfinished"  // for longer than Options.maxStopTime
)

// StuckKinds lists all kinds of stuck runs.
var StuckKinds = []StuckKind{StuckUnknownServer, StuckStart, StuckStop}

// StuckRun is a run that holds its task back for longer than the scheduler's timeouts allow. It shows a fault.
type StuckRun struct {
	Kind StuckKind
	Task TaskID
	RunDetail
}

// stuckRuns holds the result of the latest check.
type stuckRuns struct {
	check    uint64 // number of checks
	counts   map[StuckKind]int
	reported map[*run]StuckKind
}

// CheckRuns looks for stuck runs and returns those that no earlier check has returned. It changes nothing else.
func (s *Scheduler) CheckRuns(now time.Time) []StuckRun {
	s.now = now
	former := s.stuckRuns.reported
	s.stuckRuns = stuckRuns{check: s.stuckRuns.check + 1, counts: map[StuckKind]int{}, reported: map[*run]StuckKind{}}
	for _, v := range s.servers {
		v.history.knownAtCheck = s.stuckRuns.check // faster than a lookup for each run
	}
	var found []StuckRun
	for _, g := range s.groups {
		if g.running == 0 {
			continue
		}
		for t := range g.tasks.used() {
			for _, p := range t.runs {
				kind := s.stuckKind(p)
				if kind == "" {
					continue
				}
				s.stuckRuns.counts[kind]++
				if former[p] != kind {
					if len(found) >= maxStuckReports {
						continue
					}
					found = append(found, StuckRun{Kind: kind, Task: t.id(), RunDetail: s.runDetail(p)})
				}
				s.stuckRuns.reported[p] = kind
			}
		}
	}
	return found
}

// StuckRuns returns the number of stuck runs of a kind at the latest check.
func (s *Scheduler) StuckRuns(kind StuckKind) int { return s.stuckRuns.counts[kind] }

// stuckKind returns why a run counts as stuck, or "".
func (s *Scheduler) stuckKind(p *run) StuckKind {
	switch {
	case p.server.history.knownAtCheck != s.stuckRuns.check:
		return StuckUnknownServer
	case p.phase == phaseStarting && s.now.Sub(p.startedAt) > maxStartTime:
		return StuckStart
	case p.phase == phaseStopping && s.now.Sub(p.stoppingSince) > s.options.maxStopTime():
		return StuckStop
	}
	return ""
}
