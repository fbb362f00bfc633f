package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// preemptionSnapshot returns what an explanation must not change.
func (f *preemptionFixture) preemptionSnapshot() string {
	out := fmt.Sprintf("%+v %+v %d %d %d %+v %d %d %t", f.s.preemption.counts, f.s.preemption.log, f.s.preemption.stopping, len(f.s.preemption.holds),
		len(f.s.preemption.services), f.s.counts, f.s.passes, len(f.s.commands), f.s.passNeeded)
	if n := f.s.preemption.services["pool"]; n != nil {
		out += fmt.Sprintf(" %+v", *n)
	}
	for _, v := range f.s.services["pool"] {
		out += fmt.Sprintf(" %v %v", v.used, v.hold)
	}
	for _, g := range f.s.groups {
		out += fmt.Sprintf(" %d %d %v", g.waiting, g.heldPlaces, g.nextPreemption)
	}
	return out + fmt.Sprint(f.s.team("blue").used)
}

func urgentQuery(step Step) PlacementQuery {
	return PlacementQuery{Queue: "urgent", Team: "blue", Steps: []Step{step}}
}

// Guards against an explanation that names other runs than the next pass stops, or another reason, and against one that changes the state.
func TestExplainedPreemptionIsThatOfThePass(t *testing.T) {
	const lots = time.Minute
	for name, c := range map[string]struct {
		options func(*Options)
		batch   func(*Step)
		batches func(*Queue)
		prepare func(*preemptionFixture)
		urgent  Step
		stops   int
		reason  string
	}{
		"one task":       {urgent: urgentStep(1), stops: 1},
		"several tasks":  {urgent: urgentStep(3), stops: 2}, // a decision makes one plan for each server
		"room for some":  {urgent: urgentStep(3), stops: 1, prepare: func(f *preemptionFixture) { f.addServer("free", 16) }},
		"a gang":         {urgent: urgentStep(2), stops: 2, batch: func(s *Step) { s.Count, s.Gang = 2, true }},
		"room for all":   {urgent: urgentStep(2), reason: "room-now", prepare: func(f *preemptionFixture) { f.addServer("free", 16) }},
		"off":            {urgent: urgentStep(1), reason: "off", options: func(o *Options) { o.Preemption = nil }},
		"late":           {urgent: urgentStep(1), reason: "late", prepare: func(f *preemptionFixture) { f.urgent.Target = -time.Second }},
		"there is time":  {urgent: urgentStep(1), reason: "deferred", prepare: func(f *preemptionFixture) { f.urgent.Target = lots }},
		"not urgent":     {urgent: urgentStep(1), reason: "not-urgent", prepare: func(f *preemptionFixture) { f.urgent.Priority = 1 }},
		"equal priority": {urgent: urgentStep(1), reason: "nothing-yields", batches: func(q *Queue) { q.Priority = 0 }},
		"no checkpoints": {urgent: urgentStep(1), reason: "too-costly", batch: func(s *Step) { s.Checkpointing = false }},
		"urgent gang":    {urgent: Step{Count: 2, Demand: cores(8), Estimate: time.Second, Gang: true}, reason: "gang"},
		"long-running":   {urgent: Step{Count: 1, Demand: cores(8), LongRunning: true}, reason: "long-running"},
		"team's limit": {urgent: urgentStep(1), reason: "held", prepare: func(f *preemptionFixture) {
			f.s.team("blue").Limit = resource.Vector{CPU: resource.Cores(32)}
		}},
		"limit after the room": {urgent: urgentStep(3), reason: "team-limit", prepare: func(f *preemptionFixture) {
			f.addServer("free", 16)
			f.s.team("blue").Limit = resource.Vector{CPU: resource.Cores(48)}
		}},
		"too many stops": {urgent: urgentStep(1), reason: "too-many-stops", prepare: func(f *preemptionFixture) { f.s.preemption.stopping = maxStopping }},
		"an urgent step ahead": {urgent: urgentStep(2), stops: 1, // room is held on the other server
			prepare: func(f *preemptionFixture) {
				f.add("first", f.urgent, urgentStep(1))
				f.stops = nil
			}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPreemptionFixture(t, c.options)
			b := batchStep(4)
			if c.batch != nil {
				c.batch(&b)
			}
			if c.batches != nil {
				c.batches(&f.batch)
			}
			f.configure()
			f.addServer("s1", 16)
			f.addServer("s2", 16)
			if b.Gang { // on a server each, as all members would otherwise have to end for one
				f.add("batch-2", f.batch, b)
			}
			f.add("batch", f.batch, b)
			f.advanceTime(time.Second)
			if c.prepare != nil {
				c.prepare(f)
				limit := f.s.team("blue").Limit
				f.configure()
				f.s.team("blue").Limit = limit
				f.collectCommands()
			}
			before := f.preemptionSnapshot()
			e := f.explain(urgentQuery(c.urgent))
			f.want("state", f.preemptionSnapshot(), before)
			f.want("reason", e.NotPreempted, c.reason)
			f.add("u", f.urgent, c.urgent)
			var stopped []TaskID
			for _, cmd := range f.stops {
				stopped = append(stopped, cmd.Task)
			}
			slices.SortFunc(stopped, func(a, b TaskID) int { return compareTasks(a, b, 0, 0) })
			f.want("stops", len(stopped), c.stops)
			f.want("explained", fmt.Sprint(e.Preempted), fmt.Sprint(stopped))
		})
	}
}

// Guards against an explanation of a waiting step that repeats a decision which is carried out already.
func TestExplainedPreemptionUnderWay(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	f.add("u", f.urgent, urgentStep(1))
	f.want("stops", len(f.stops), 1)
	before := f.preemptionSnapshot()
	e := f.explain(PlacementQuery{Job: "u"})
	f.want("explained", fmt.Sprint(e.Preempted, e.NotPreempted), "[]"+notPreemptedHasFreed)
	f.want("state", f.preemptionSnapshot(), before)
}

// Guards against a comparison of all servers and runs of a large installation, which a pass doesn't make.
func TestExplainedPreemptionIsBounded(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	for i := range 150 {
		f.addServer(ServerID(fmt.Sprintf("s%03d", i)), 16)
	}
	f.add("batch", f.batch, batchStep(300))
	for range 50 {
		f.advanceTime(20 * time.Millisecond)
	}
	e := f.explain(urgentQuery(urgentStep(100)))
	f.want("stops, reason", fmt.Sprint(len(e.Preempted), e.NotPreempted), fmt.Sprint(maxStopsPerPass, ""))
}
