package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// pastUseInterval is the interval at which the use of runs in progress is counted and the order of teams follows it.
const pastUseInterval = time.Second

// pastUse is what the teams have used of the fleet. It is off without a half-life.
type pastUse struct {
	on        bool
	ledger    pastuse.Ledger
	updatedAt time.Time
	// changes counts what was added to or removed from the ledger. Decay isn't counted, as a reader of the record decays it.
	changes uint64

	capacity        resource.Vector // of the fleet, for capacityVersion
	capacityVersion uint64
	weights         map[ident.TeamID]pastuse.Weight
}

func newPastUse(halfLife time.Duration, now time.Time) pastUse {
	return pastUse{on: halfLife > 0, ledger: pastuse.New(halfLife), updatedAt: now}
}

// fleetCapacity returns the capacity of all servers. Removed ones count until the next update.
func (s *Scheduler) fleetCapacity() resource.Vector {
	u := &s.pastUse
	if u.capacityVersion != s.fleetVersion {
		s.sumCapacity()
	}
	return u.capacity
}

func (s *Scheduler) sumCapacity() {
	u := &s.pastUse
	u.capacity, u.capacityVersion = resource.Vector{}, s.fleetVersion
	for _, v := range s.servers {
		u.capacity = u.capacity.Add(v.info.Capacity)
	}
}

// countUse counts what the runs of a team have used since the last call. It comes before each change of the team's runs.
func (s *Scheduler) countUse(t *team) {
	if !s.pastUse.on {
		return
	}
	d := s.now.Sub(t.usedSince)
	if d <= 0 { // the caller read the clock before it waited for the lock
		return
	}
	t.usedSince = s.now
	if t.used.IsZero() {
		return
	}
	d = min(d, pastuse.MaxGap)
	share := min(t.used.DominantShare(s.fleetCapacity()), 1) // runs on removed servers may exceed the capacity
	s.addUse(t.ID, pastuse.Use{Total: pastuse.ShareSeconds(share * d.Seconds())})
}

func (s *Scheduler) addUse(id ident.TeamID, u pastuse.Use) {
	if id == "" || u == (pastuse.Use{}) {
		return
	}
	s.pastUse.ledger.Add(id, u)
	s.pastUse.changes++
}

// countEnd names the use of an ended run if it was a copy or gave no result. Its use itself is counted with that of its team.
func (s *Scheduler) countEnd(p *run, useful bool) {
	g := p.task.group
	if !s.pastUse.on || g.step.LongRunning || useful && !p.copied {
		return
	}
	share := g.step.Demand.DominantShare(s.fleetCapacity())
	used := pastuse.ShareSeconds(share * max(s.now.Sub(p.startedAt), 0).Seconds())
	if p.copied {
		s.addUse(g.job.spec.Team, pastuse.Use{Copies: used})
	} else {
		s.addUse(g.job.spec.Team, pastuse.Use{Discarded: used})
	}
}

// hasResult reports whether an ended run gives a result or a checkpoint that its job can use. All members of a gang end for its result.
func hasResult(t *task, f FinishedRun) bool {
	g := t.group
	switch {
	case f.Outcome != OutcomeDone:
		return f.Checkpoint != ""
	case g.step.Gang && g.complete():
		return true
	}
	return !t.done && !g.job.state.Terminal()
}

// isCopy reports whether a run that is about to start is a copy beside another run of its task.
func (t *task) isCopy() bool {
	if !t.group.step.Speculative {
		return false
	}
	for _, o := range t.runs {
		if o.phase != phaseStopping {
			return true
		}
	}
	return false
}

// updatePastUse counts the use of all runs in progress, once each interval.
func (s *Scheduler) updatePastUse() {
	if s.now.Sub(s.pastUse.updatedAt) >= pastUseInterval {
		s.countAllUse()
	}
}

// countAllUse counts the use of all runs in progress up to now.
func (s *Scheduler) countAllUse() {
	u := &s.pastUse
	if !u.on {
		return
	}
	for _, t := range s.teams {
		s.countUse(t)
	}
	if d := s.now.Sub(u.updatedAt); d > 0 {
		u.ledger.Decay(d)
		u.updatedAt = s.now
	}
	s.sumCapacity()
	s.updateLevels()
}

// updateLevels computes the levels of all teams, so that each pass ranks groups without computing them.
func (s *Scheduler) updateLevels() {
	for id, t := range s.teams {
		t.level = s.pastUse.ledger.Level(id, s.pastUse.weights[id])
	}
}

// configurePastUse applies the configured weights.
func (s *Scheduler) configurePastUse(teams map[ident.TeamID]Team) {
	configured := make(map[ident.TeamID]float64, len(teams))
	for id, t := range teams {
		configured[id] = t.Weight
	}
	s.pastUse.weights = pastuse.Weights(configured)
	s.updateLevels()
}

// RestorePastUse replaces the past use with what the former leader recorded, decayed by the time since then. Runs that this leader knows
// already count from now on.
func (s *Scheduler) RestorePastUse(now time.Time, l pastuse.Ledger, age time.Duration) {
	s.now = now
	if !s.pastUse.on {
		return
	}
	l = l.Clone()
	l.Decay(age)
	s.pastUse.ledger, s.pastUse.updatedAt = l, now
	for _, t := range s.teams {
		t.usedSince = now
	}
	s.updateLevels()
}

// PastUse returns a copy of the past use up to now, and a number that grows with each change other than decay.
func (s *Scheduler) PastUse(now time.Time) (l pastuse.Ledger, changes uint64) {
	s.now = now
	s.countAllUse()
	return s.pastUse.ledger.Clone(), s.pastUse.changes
}

// ResetPastUse forgets the past use of a team, and returns it. It reports false if the team is neither configured nor has used anything.
func (s *Scheduler) ResetPastUse(now time.Time, id ident.TeamID) (pastuse.Use, bool) {
	s.now = now
	t, known := s.teams[id]
	if known {
		s.countUse(t)
	}
	_, configured := s.pastUse.weights[id]
	former := s.pastUse.ledger.Use(id)
	if s.pastUse.ledger.Reset(id) {
		s.pastUse.changes++
		s.updateLevels()
		return former, true
	}
	return former, configured
}

// TeamUse is a team's past use and its place in the order.
type TeamUse struct {
	pastuse.Use
	Weight pastuse.Weight `json:"weight"` // relative to the mean of all teams
	Level  pastuse.Level  `json:"level"`  // teams with lower levels come first
}

// TeamUses returns the past use of each team that has any, as of the latest count.
func (s *Scheduler) TeamUses() map[ident.TeamID]TeamUse {
	uses := make(map[ident.TeamID]TeamUse, s.pastUse.ledger.Len())
	for _, id := range s.pastUse.ledger.Teams() {
		uses[id] = s.teamUse(id)
	}
	return uses
}

func (s *Scheduler) teamUse(id ident.TeamID) TeamUse {
	w, ok := s.pastUse.weights[id]
	if !ok {
		w = 1
	}
	return TeamUse{Use: s.pastUse.ledger.Use(id), Weight: w, Level: s.pastUse.ledger.Level(id, w)}
}
