package sched

import (
	"bytes"
	"slices"
)

// maxListedBytes is the size up to which a record lists each occurrence with a bit for each done task. Daemons before ranges of
// occurrences read only such records.
const maxListedBytes = 128 << 10

// occurrenceEntryBytes is the size of the entry of an occurrence in a record, without its bits.
const occurrenceEntryBytes = 40

// progress returns the durable state of the job.
func (j *job) progress() Progress {
	if j.state.Terminal() {
		return Progress{State: j.state, Ended: j.endedAt, Begun: j.begun}
	}
	p := Progress{
		Begun: j.begun, Services: slices.Clone(j.services), DoneBefore: j.doneBefore, Occurrences: map[int]OccurrenceProgress{},
	}
	compact := j.listedBytes() > maxListedBytes
	saved := !j.refusedWrites.withoutCheckpoints
	for k, o := range j.occurrences {
		if !o.done && !o.untouched() {
			p.Occurrences[k] = o.progress(compact, saved)
		}
	}
	if compact {
		p.Idle, p.DoneAhead = j.recordedIdle(), slices.Clone(j.doneAhead)
		return p
	}
	for _, c := range j.idle {
		if slices.Contains(c.complete, true) {
			j.list(p, c.numbers, c.complete)
		}
	}
	j.list(p, j.doneAhead, slices.Repeat([]bool{true}, len(j.spec.Steps)))
	return p
}

// list adds an entry for each occurrence of a set with the given complete steps.
func (j *job) list(p Progress, numbers numberSet, complete []bool) {
	var done [][]byte
	for i := range j.spec.Steps {
		table := newTaskTable(nil, j.spec.Steps[i].Count)
		table.allDone = complete[i]
		done = append(done, table.doneBits())
	}
	for k := range numbers.ascending() {
		p.Occurrences[k] = OccurrenceProgress{Done: done}
	}
}

// listedBytes estimates the size of a record that lists all occurrences.
func (j *job) listedBytes() int {
	bits := 0
	for i := range j.spec.Steps {
		bits += j.spec.Steps[i].Count
	}
	listed := len(j.occurrences) + j.doneAhead.count()
	for _, c := range j.idle {
		if slices.Contains(c.complete, true) {
			listed += c.numbers.count()
		}
	}
	return listed * (occurrenceEntryBytes + bits/6 + 4*len(j.spec.Steps))
}

// recordedIdle returns the idle occurrences that aren't open and have complete steps.
func (j *job) recordedIdle() []IdleOccurrences {
	var out []IdleOccurrences
	for _, c := range j.sortedClasses() {
		if len(c.numbers) == 0 || !slices.Contains(c.complete, true) {
			continue
		}
		row := IdleOccurrences{Numbers: slices.Clone(c.numbers)}
		for i, complete := range c.complete {
			if complete {
				row.Complete = append(row.Complete, i)
			}
		}
		out = append(out, row)
	}
	return out
}

// untouched reports whether no task of the occurrence has been started.
func (o *occurrence) untouched() bool {
	return !slices.ContainsFunc(o.groups, func(g *group) bool { return g.used || g.done > 0 })
}

func (o *occurrence) progress(compact, saved bool) OccurrenceProgress {
	p := OccurrenceProgress{Failures: map[string][]RunNumber{}, Saved: map[string]Checkpoint{}}
	for _, g := range o.groups {
		if len(g.failedRuns) > 0 {
			p.Failures[taskKey(g.index, gangIndex)] = slices.Clone(g.failedRuns)
		}
		if compact && g.complete() {
			p.Complete = append(p.Complete, g.index)
			p.Done = append(p.Done, nil)
			continue
		}
		for t := range g.tasks.used() {
			if t.done {
				continue
			}
			if len(t.failedRuns) > 0 {
				p.Failures[taskKey(g.index, t.index)] = slices.Clone(t.failedRuns)
			}
			if saved && t.checkpoint != "" {
				p.Saved[taskKey(g.index, t.index)] = t.checkpoint
			}
		}
		bits := g.tasks.doneBits()
		if compact {
			bits = bytes.TrimRight(bits, "\x00")
		}
		p.Done = append(p.Done, bits)
	}
	return p
}

// restore applies recorded progress to a new job.
func (j *job) restore(p Progress) {
	j.doneBefore = p.DoneBefore
	for _, r := range p.DoneAhead {
		j.noteDone(r[0], r[1])
	}
	for _, row := range p.Idle {
		complete := make([]bool, len(j.spec.Steps))
		for _, i := range row.Complete {
			if i >= 0 && i < len(complete) {
				complete[i] = true
			}
		}
		c := j.class(complete)
		for _, r := range row.Numbers {
			c.numbers.add(r[0], r[1])
		}
	}
	for k, recorded := range p.Occurrences {
		o := j.create(k)
		o.restore(recorded)
		if !j.spec.HasSchedule() {
			continue
		}
		if o.done {
			j.occurrenceDone(o)
		} else if complete, idle := o.idleSteps(); idle {
			j.class(complete).numbers.add(k, k) // opened again if it is among the first or the last ones
			delete(j.occurrences, k)
		}
	}
}

// restore applies recorded progress to a newly created occurrence.
func (o *occurrence) restore(p OccurrenceProgress) {
	for i, bits := range p.Done {
		if i < len(o.groups) {
			o.groups[i].restoreDone(bits)
		}
	}
	for _, i := range p.Complete {
		if i >= 0 && i < len(o.groups) {
			o.groups[i].setComplete()
		}
	}
	for name, runs := range p.Failures {
		step, index, ok := parseTaskKey(name)
		if !ok || step < 0 || step >= len(o.groups) || index >= o.groups[step].tasks.len() {
			continue
		}
		g := o.groups[step]
		g.used = true
		if index == gangIndex {
			g.failedRuns = runs
			continue
		}
		if index >= 0 && !g.tasks.isDone(index) {
			g.tasks.at(index).failedRuns = runs
		}
	}
	for name, saved := range p.Saved {
		step, index, ok := parseTaskKey(name)
		if ok && step >= 0 && step < len(o.groups) && index >= 0 && index < o.groups[step].tasks.len() {
			g := o.groups[step]
			g.used = true
			g.tasks.at(index).checkpoint = saved
		}
	}
	o.done = o.allComplete()
}

// restoreDone applies the recorded bits of done tasks to a new group.
func (g *group) restoreDone(bits []byte) {
	g.done = g.tasks.restoreDone(bits)
	g.waiting = g.tasks.len() - g.done
	g.used = g.done > 0
}

// setComplete marks all tasks of a group without runs as done.
func (g *group) setComplete() {
	g.done, g.waiting = g.tasks.len(), 0
	g.tasks.dropAll()
}
