package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/evacuation"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// JobExplanation describes a job and its incomplete steps for operators.
type JobExplanation struct {
	State   State `json:"state"`
	Surplus bool  `json:"surplus,omitempty"` // beyond its team's weight
	// NotBegun is the number of due occurrences that aren't open and of which nothing has started.
	NotBegun int               `json:"not-begun,omitempty"`
	Idle     []IdleOccurrences `json:"idle,omitempty"` // due occurrences that aren't open, some of each row always are
	Steps    []StepExplanation `json:"steps"`
}

// StepExplanation describes a step that is incomplete or has runs.
type StepExplanation struct {
	Occurrence int      `json:"occurrence"`
	Step       int      `json:"step"`
	Done       int      `json:"done"`
	Tasks      int      `json:"tasks"`
	Ready      bool     `json:"ready"`
	Running    []string `json:"running,omitempty"` // servers of the runs
	Allowed    int      `json:"allowed-servers"`
	Rank       string   `json:"rank,omitempty"`

	Runs           []RunDetail          `json:"runs,omitempty"` // at most maxExplainedRuns, those that may be stuck first
	Waiting        map[WaitReason]int   `json:"waiting,omitempty"`
	HeldBackBy     []ServerID           `json:"held-back-by,omitempty"` // servers that the waiting tasks may be running on or may have failed on
	Servers        map[ServerStatus]int `json:"servers,omitempty"`      // servers of the service, if tasks wait
	AdviceInFlight bool                 `json:"advice-in-flight,omitempty"`
	AdviceAge      string               `json:"advice-age,omitempty"`    // time since the start of the last advisor call
	MoveWithheld   evacuation.Reason    `json:"move-withheld,omitempty"` // why its tasks stay in an evacuated data centre
}

// maxExplainedRuns bounds the runs in the explanation of a step, which may have thousands.
const maxExplainedRuns = 100

// WaitReason is why a task isn't started.
type WaitReason string

// Reasons why tasks wait, in the order in which they are checked.
const (
	WaitPredecessors     WaitReason = "earlier-steps"         // earlier steps aren't complete
	WaitUntracked        WaitReason = "not-considered"        // a fault: scheduling passes don't consider the step
	WaitUnknownInventory WaitReason = "unknown-inventory"     // a server that hasn't told its inventory may be running the task
	WaitServiceRecord    WaitReason = "service-record"        // the queue was sent to another service, and the store doesn't have it for the job yet
	WaitPaused           WaitReason = "paused"                // a start of the step was refused as malformed
	WaitGangRuns         WaitReason = "former-gang"           // runs of the gang have to end first
	WaitLastAttempt      WaitReason = "last-attempt-in-doubt" // an unresponsive server may have seen the last attempt fail
	WaitTeamLimit        WaitReason = "team-limit"
	WaitAdvice           WaitReason = "no-advice"        // no server has a valid ticket
	WaitAdviceDeferred   WaitReason = "advice-deferred"  // the same, and tickets would expire before the starts, see ticketsWouldExpire
	WaitRoom             WaitReason = "no-room"          // see StepExplanation.Servers
	WaitFreedRoom        WaitReason = "room-being-freed" // the same, while runs are stopped for the step
	WaitReserved         WaitReason = "reserved"         // the servers with room are reserved for steps of a higher rank
	WaitStartWindow      WaitReason = "start-window"     // too many starts are unanswered
	WaitConfirmation     WaitReason = "confirmation"     // another daemon may lead and know the end of the run that was lost
	WaitCommandAnswer    WaitReason = "command-answer"   // its latest start had no answer, and a server that answers commands is sought
	WaitPass             WaitReason = "next-pass"        // nothing holds it back
)

// ServerStatus is what keeps a server from running a task of a step.
type ServerStatus string

// Statuses of a server, in the order in which they are checked.
const (
	ServerUnattached   ServerStatus = "inventory-unknown"
	ServerUnregistered ServerStatus = "unregistered"
	ServerDraining     ServerStatus = "draining"
	ServerUnresponsive ServerStatus = "unresponsive"
	ServerSlowReplies  ServerStatus = "slow-replies"
	ServerCordoned     ServerStatus = "cordoned"
	ServerEvacuated    ServerStatus = "evacuated" // its data centre is evacuated
	ServerUnrecorded   ServerStatus = "not-in-roster"
	ServerPaused       ServerStatus = "paused" // after a refused start or in quarantine
	ServerSuspected    ServerStatus = "suspected"
	ServerUnusable     ServerStatus = "unusable"
	ServerUnsuitable   ServerStatus = "unsuitable" // it lacks the label or the capacity, also when empty
	ServerFull         ServerStatus = "full"
	ServerHeld         ServerStatus = "held" // its room is held for a step that runs were stopped for
	ServerSpread       ServerStatus = "max-per-server"
	ServerNotAllowed   ServerStatus = "not-allowed" // the advisor doesn't allow it
	ServerNoTicket     ServerStatus = "no-ticket"
	ServerFree         ServerStatus = "free"
)

// Explain returns what a job's steps that are incomplete or have runs are doing and waiting for.
func (s *Scheduler) Explain(id ident.JobID) (JobExplanation, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobExplanation{}, false
	}
	e := JobExplanation{State: j.state, Surplus: j.surplus, NotBegun: j.notBegun(), Idle: j.recordedIdle()}
	for _, o := range j.openOccurrences() {
		for _, g := range o.groups {
			if !g.complete() || g.live() > 0 {
				e.Steps = append(e.Steps, s.explainGroup(g))
			}
		}
	}
	return e, true
}

func (s *Scheduler) explainGroup(g *group) StepExplanation {
	row := StepExplanation{
		Occurrence: g.occurrence, Step: g.index, Done: g.done, Tasks: g.tasks.len(), Ready: g.ready, MoveWithheld: g.moveWithheld,
	}
	for t := range g.tasks.used() {
		for _, p := range t.runs {
			row.Running = append(row.Running, string(p.server.info.ID))
			row.Runs = append(row.Runs, s.runDetail(p))
		}
	}
	for id, ok := range g.advice.allowed {
		v := s.servers[id.server]
		row.Allowed += boolToInt(ok && v != nil && v.incarnationID() == id)
	}
	slices.Sort(row.Running)
	slices.SortStableFunc(row.Runs, func(a, b RunDetail) int {
		return cmp.Or(cmp.Compare(boolToInt(a.ServerKnown), boolToInt(b.ServerKnown)),
			cmp.Compare(boolToInt(a.Phase == phaseRunning.String()), boolToInt(b.Phase == phaseRunning.String())))
	})
	row.Runs = row.Runs[:min(len(row.Runs), maxExplainedRuns)]
	r := s.ranked(g)
	row.Rank = r.rank.String()
	if !g.job.state.Terminal() && g.waiting > 0 {
		s.explainWaiting(&row, &r)
	}
	return row
}

// ranked returns a group with its present rank.
func (s *Scheduler) ranked(g *group) rankedGroup {
	return rankedGroup{group: g, queue: g.job.queue, rank: s.rankOf(g, g.job.queue)}
}

// waitReasons returns a function that tells why a waiting task of a group isn't started.
func (s *Scheduler) waitReasons(r *rankedGroup) func(*task) WaitReason {
	held, unplaced, inDoubt := s.heldReason(r), s.unplacedReason(r), s.underFormerLongLease()
	return func(t *task) WaitReason {
		switch {
		case held != "":
			return held
		case inDoubt[t.id()]:
			return WaitUnknownInventory
		case s.now.Before(t.noStartsBefore):
			return WaitPaused
		case s.lossInDoubt(t):
			return WaitConfirmation
		case !r.group.step.Gang && t.attemptsMayBeExhausted(r.queue.MaxAttempts):
			return WaitLastAttempt
		case unplaced == WaitPass && !t.unansweredAt.IsZero():
			return WaitCommandAnswer
		}
		return unplaced
	}
}

// explainWaiting adds why the waiting tasks of a group aren't started.
func (s *Scheduler) explainWaiting(row *StepExplanation, r *rankedGroup) {
	g := r.group
	row.Waiting, row.Servers = map[WaitReason]int{}, map[ServerStatus]int{}
	held, reason := s.heldReason(r), s.waitReasons(r)
	unused := g.waiting
	for t := range g.tasks.used() {
		if t.waiting() {
			row.Waiting[reason(t)]++
			unused--
		}
	}
	if t := g.tasks.firstUnused(); t != nil && unused > 0 {
		row.Waiting[reason(t)] += unused
	}
	inGroup := func(t *task) bool { return t.group == g }
	for _, v := range s.sortedServers() {
		ofQueue := slices.Contains(g.job.possibleServices(r.queue.Service), v.info.Service)
		if held == WaitUnknownInventory && ofQueue && s.mayHoldUnknownRuns(v, g.step.LongRunning) ||
			row.Waiting[WaitUnknownInventory] > 0 && s.groupMayRunUnderLongLease(v, g) ||
			row.Waiting[WaitLastAttempt] > 0 && slices.ContainsFunc(v.unknownOutcomeTasks, inGroup) {
			row.HeldBackBy = append(row.HeldBackBy, v.info.ID)
		}
	}
	for _, v := range s.services[r.queue.Service] {
		row.Servers[s.serverStatus(r, v)]++
	}
	row.AdviceInFlight, row.AdviceAge = g.advice.inFlight, age(s.now, g.advice.lastCall)
}

// adviceDeferredMemory is how long after a pass that deferred the advice of a group this counts as the reason why it waits. It exceeds the
// longest pause between passes.
const adviceDeferredMemory = 500 * time.Millisecond

// heldReason returns why no task of a group may start, or "". With unplacedReason it makes the checks of pass.place.
func (s *Scheduler) heldReason(r *rankedGroup) WaitReason {
	g := r.group
	switch {
	case !g.ready:
		return WaitPredecessors
	case !g.tracked:
		return WaitUntracked
	case !g.step.Speculative && !g.job.serviceRecorded(r.queue.Service):
		return WaitServiceRecord
	case g.job.inherited && !g.step.Speculative && slices.ContainsFunc(g.job.possibleServices(r.queue.Service), func(id ServiceID) bool {
		return s.hasUnknownInventory(id, g.step.LongRunning)
	}):
		return WaitUnknownInventory
	case s.now.Before(g.noStartsBefore):
		return WaitPaused
	case g.step.Gang && g.live() > 0:
		return WaitGangRuns
	}
	return ""
}

// unplacedReason returns why a task of a group that isn't held, or a gang, has no server.
func (s *Scheduler) unplacedReason(r *rankedGroup) WaitReason {
	g := r.group
	p := pass{Scheduler: s, reserved: map[ServerID]bool{}}
	var tasks []*task
	for t := range g.tasks.waiting() {
		tasks = append(tasks, t)
		if !g.step.Gang {
			break // whether there will be a server doesn't depend on the task
		}
	}
	if !p.withinLimit(g, len(tasks)) {
		return WaitTeamLimit
	}
	if r.queue.Advisor != nil && len(p.candidates(g, r.queue)) == 0 {
		if s.now.Sub(g.advice.deferredAt) < adviceDeferredMemory {
			return WaitAdviceDeferred
		}
		return WaitAdvice
	}
	taken := tentative{}
	for _, t := range tasks {
		v := p.pickServer(r, t, taken)
		if v == nil && g.heldPlaces > 0 {
			return WaitFreedRoom
		}
		if v == nil {
			return WaitRoom
		}
		taken[v]++
	}
	if s.startWindowFull() {
		return WaitStartWindow
	}
	if s.passNeeded {
		return WaitPass
	}
	return WaitReserved
}

// serverStatus returns what keeps a server from running a task of a group.
func (s *Scheduler) serverStatus(r *rankedGroup, v *server) ServerStatus {
	g := r.group
	if !v.usable(s.now) {
		return v.unusableStatus(s.now)
	}
	allowed, answered := g.advice.allowed[v.incarnationID()]
	switch {
	case !eligible(g.step, v):
		return ServerUnsuitable
	case !v.fits(g.step.Charge()):
		return ServerFull
	case !v.admits(g, g.step.Charge()):
		return ServerHeld
	case !g.allowsAnother(v, 0):
		return ServerSpread
	case r.queue.Advisor != nil && answered && !allowed:
		return ServerNotAllowed
	case r.queue.Advisor != nil && g.advice.ticket(v, s.now) == "":
		return ServerNoTicket
	}
	return ServerFree
}

// unusableStatus returns why no runs may be placed on a server that isn't usable.
func (v *server) unusableStatus(now time.Time) ServerStatus {
	switch {
	case !v.attached:
		return ServerUnattached
	case !v.registered:
		return ServerUnregistered
	case v.info.Draining:
		return ServerDraining
	case v.failures > 0:
		return ServerUnresponsive
	case !v.answersPromptly():
		return ServerSlowReplies
	case v.cordoned || v.cordonMayBeRecorded:
		return ServerCordoned
	case v.evacuated:
		return ServerEvacuated
	case v.awaitsRoster() || v.awaitsLongLeaseRecord():
		return ServerUnrecorded
	case now.Before(v.refusedUntil), now.Before(v.noStartsBefore):
		return ServerPaused
	case v.suspicions > 0:
		return ServerSuspected
	}
	return ServerUnusable
}
