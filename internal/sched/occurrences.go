package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A job that runs on a schedule may have any number of due occurrences. One takes memory of its own only while it differs from others: an
// occurrence of which each step is either complete or was never started is idle, and idle occurrences with the same complete steps are
// kept as ranges of numbers. Some of each such class are open, so that their tasks can start. Once one has, another is opened, so an
// occurrence whose next step can't run keeps no other from going on.

const (
	// maxOpenIdle bounds the idle occurrences of a class that are open, at the lower and at the upper end of its numbers: the oldest ones
	// come first among those that are late, the newest ones can still be on time.
	maxOpenIdle = 16
	// openIdleTasks bounds the tasks of the open idle occurrences of a job, at each end.
	openIdleTasks = 2048
)

// idleClass are the idle occurrences with the same complete steps.
type idleClass struct {
	complete []bool    // by step
	numbers  numberSet // those that aren't open
}

// classKey identifies a class by its complete steps.
func classKey(complete []bool) string {
	key := make([]byte, len(complete))
	for i, c := range complete {
		key[i] = byte('0' + boolToInt(c))
	}
	return string(key)
}

// class returns the class with the given complete steps.
func (j *job) class(complete []bool) *idleClass {
	key := classKey(complete)
	c := j.idle[key]
	if c == nil {
		c = &idleClass{complete: complete}
		j.idle[key] = c
	}
	return c
}

// sortedClasses returns the classes in a fixed order.
func (j *job) sortedClasses() []*idleClass {
	out := make([]*idleClass, 0, len(j.idle))
	for _, key := range slices.Sorted(maps.Keys(j.idle)) {
		out = append(out, j.idle[key])
	}
	return out
}

// notBegun returns the number of due occurrences that aren't open and of which nothing has started.
func (j *job) notBegun() int {
	c := j.idle[classKey(make([]bool, len(j.spec.Steps)))]
	if c == nil {
		return 0
	}
	return c.numbers.count()
}

// anyIdle reports whether occurrences of the job are kept as ranges.
func (j *job) anyIdle() bool {
	for _, c := range j.idle {
		if len(c.numbers) > 0 {
			return true
		}
	}
	return false
}

// maxSummedOccurrences bounds the occurrences of which demands are summed up, so that the sums can't overflow. No fleet runs as many.
const maxSummedOccurrences = 1 << 20

// unfinishedSteps calls a function with each step that isn't complete of the occurrences that are kept as ranges, and their number, which is
// at most maxSummedOccurrences.
func (j *job) unfinishedSteps(visit func(step *Step, occurrences int)) {
	for _, c := range j.idle {
		n := min(c.numbers.count(), maxSummedOccurrences)
		for i := range j.spec.Steps {
			if n > 0 && !c.complete[i] {
				visit(&j.spec.Steps[i], n)
			}
		}
	}
}

// idleSteps returns the complete steps of an occurrence, or false if it isn't idle.
func (o *occurrence) idleSteps() ([]bool, bool) {
	complete := make([]bool, len(o.groups))
	for i, g := range o.groups {
		complete[i] = g.complete()
		if g.running > 0 || !complete[i] && (g.used || g.advice.inFlight) {
			return nil, false
		}
	}
	return complete, true
}

// dueOccurrences returns how many occurrences of a job are due.
func (s *Scheduler) dueOccurrences(j *job) int {
	count := max(j.spec.Repetitions, 1)
	if !j.spec.HasSchedule() {
		return count
	}
	since := s.now.Add(s.options.EarlyStart).Sub(j.spec.StartAt)
	switch {
	case since < 0:
		return 0
	case j.spec.Interval <= 0:
		return count
	}
	return int(min(int64(since/j.spec.Interval)+1, int64(count)))
}

// openOccurrences opens the occurrences that are due and marks the groups that can start as ready.
func (s *Scheduler) openOccurrences(j *job) {
	if due := s.dueOccurrences(j); due > j.due {
		if j.spec.HasSchedule() {
			j.addDue(due)
		} else if j.occurrences[0] == nil {
			j.create(0)
		}
		j.due = due
	}
	s.balanceOccurrences(j)
	for _, o := range j.openOccurrences() {
		if o.number < j.due {
			s.readyGroups(j, o)
		}
	}
}

// addDue adds the occurrences up to a number that are due now, except those with progress: a former leader, or runs that servers
// listed, may be ahead of this daemon's clock.
func (j *job) addDue(due int) {
	c := j.class(make([]bool, len(j.spec.Steps)))
	c.numbers.add(max(j.due, j.doneBefore), due-1)
	for _, x := range j.idle {
		if x != c {
			c.numbers.removeAll(x.numbers)
		}
	}
	c.numbers.removeAll(j.doneAhead)
	for k := range j.occurrences {
		c.numbers.remove(k, k)
	}
}

// balanceOccurrences opens idle occurrences, so that some of each class are open, and closes those beyond that number.
func (s *Scheduler) balanceOccurrences(j *job) {
	j.unbalanced = false
	if !j.spec.HasSchedule() || j.state.Terminal() {
		return
	}
	open := map[*idleClass][]*occurrence{}
	for _, o := range j.openOccurrences() {
		if o.done {
			if o.live() == 0 {
				delete(j.occurrences, o.number)
			}
			continue
		}
		if complete, ok := o.idleSteps(); ok && o.number < j.due {
			c := j.class(complete)
			open[c] = append(open[c], o)
		}
	}
	closed := false
	for _, c := range j.sortedClasses() {
		limit := j.openLimit(c)
		if len(c.numbers) == 0 {
			if len(open[c]) == 0 {
				delete(j.idle, classKey(c.complete))
			}
			if len(open[c]) <= 2*limit {
				continue
			}
		}
		for _, o := range open[c] {
			c.numbers.add(o.number, o.number)
		}
		keep := c.numbers.ends(limit)
		for _, o := range open[c] {
			if _, ok := slices.BinarySearch(keep, o.number); !ok {
				j.close(o)
				closed = true
			}
		}
		for _, k := range keep {
			c.numbers.remove(k, k)
			if j.occurrences[k] == nil {
				s.readyGroups(j, j.open(k, c))
			}
		}
	}
	if closed {
		s.groups = slices.DeleteFunc(s.groups, func(g *group) bool { return !g.tracked })
	}
}

// openLimit returns how many idle occurrences of a class are open at each end of its numbers.
func (j *job) openLimit(c *idleClass) int {
	tasks := len(j.spec.Steps)
	for i, step := range j.spec.Steps {
		if !c.complete[i] && !slices.ContainsFunc(step.After, func(a int) bool { return !c.complete[a] }) {
			tasks += step.Count
		}
	}
	return max(1, min(maxOpenIdle, openIdleTasks/(tasks*max(1, len(j.idle)))))
}

// open creates the runtime state of an idle occurrence.
func (j *job) open(k int, c *idleClass) *occurrence {
	o := j.create(k)
	for i, g := range o.groups {
		if c.complete[i] {
			g.setComplete()
		}
	}
	return o
}

// close releases the runtime state of an idle occurrence.
func (j *job) close(o *occurrence) {
	for _, g := range o.groups {
		g.tracked = false
	}
	delete(j.occurrences, o.number)
}

// occurrence returns an occurrence that isn't done, or nil. It opens one that is idle: servers may list runs of it that a former leader
// started, also before it is due by this daemon's clock.
func (s *Scheduler) occurrence(j *job, k int) *occurrence {
	if o := j.occurrences[k]; o != nil {
		return o
	}
	if !j.spec.HasSchedule() || j.dropped || k < j.doneBefore || k >= j.spec.Repetitions || j.doneAhead.contains(k) {
		return nil
	}
	c := j.class(make([]bool, len(j.spec.Steps)))
	for _, x := range j.idle {
		if x.numbers.contains(k) {
			c = x
		}
	}
	c.numbers.remove(k, k)
	o := j.open(k, c)
	if k < j.due && !j.state.Terminal() {
		s.readyGroups(j, o)
	}
	return o
}

// occurrenceDone notes that all tasks of an occurrence are done.
func (j *job) occurrenceDone(o *occurrence) {
	o.done = true
	j.noteDone(o.number, o.number)
	if j.spec.HasSchedule() && o.live() == 0 {
		delete(j.occurrences, o.number)
	}
}

// noteDone notes that the occurrences from first to last are done.
func (j *job) noteDone(first, last int) {
	j.doneAhead.add(first, last)
	if r := j.doneAhead[0]; r[0] <= j.doneBefore {
		j.doneBefore = max(j.doneBefore, r[1]+1)
		j.doneAhead = j.doneAhead[1:]
	}
}

// live counts the runs of an occurrence that hold capacity.
func (o *occurrence) live() int {
	n := 0
	for _, g := range o.groups {
		n += g.live()
	}
	return n
}

// openOccurrences returns the occurrences that are kept in memory, in order.
func (j *job) openOccurrences() []*occurrence {
	return slices.SortedFunc(maps.Values(j.occurrences), func(a, b *occurrence) int { return cmp.Compare(a.number, b.number) })
}

// dueAt returns the scheduled start of an occurrence.
func (j *job) dueAt(k int) time.Time {
	if !j.spec.HasSchedule() {
		return j.spec.Accepted
	}
	return j.spec.StartAt.Add(time.Duration(k) * j.spec.Interval)
}

// balanceSchedules balances the open occurrences of the jobs with a schedule where that is needed, and reports whether it was.
func (s *Scheduler) balanceSchedules() bool {
	balanced := false
	for _, j := range s.scheduledJobs {
		if j.unbalanced {
			s.balanceOccurrences(j)
			balanced = true
		}
	}
	return balanced
}
