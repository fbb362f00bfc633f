// Package preemption decides which running work gives way to an urgent step. Inputs and verdict are values: it has neither a clock
// nor I/O, and the caller stops the runs.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// urgentPriority is the priority of the queues whose steps may preempt others.
	urgentPriority = 0
	// MaxTimesGivenWay is how often a task may give way, so that it makes progress under lasting contention.
	MaxTimesGivenWay = 2
	// coresPerGPU is the processor time that a second of a GPU counts for.
	coresPerGPU = 8
	// maxPlacesPerServer bounds the tasks that room is made for on one server in one decision.
	maxPlacesPerServer = 4
)

// CoreSeconds is an amount of processor time.
type CoreSeconds float64

// Work returns the processor time of a demand over a time. A GPU counts as coresPerGPU cores.
func Work(v resource.Vector, d time.Duration) CoreSeconds {
	return CoreSeconds((float64(v.CPU)/1000 + coresPerGPU*float64(v.GPUs)) * d.Seconds())
}

// Step is a step that has found no room.
type Step struct {
	Priority int
	Surplus  bool // beyond its team's weight
	GaveWay  bool // a task of its job has given way
	Charge   resource.Vector
	Work     time.Duration // expected duration of a task
	Waiting  int           // tasks without a run and without room that is being freed for them
	Slack    time.Duration // time until it must start to be on time; negative if it is late
	// SafeSlack is the time until it should start to be on time despite the spread of the work of its tasks, and with its share of the
	// slack that later steps of its job need as well.
	SafeSlack time.Duration
	// Ahead is the demand of the work that starts before it, and FreePlaces is how many of its tasks have room now, on any server.
	Ahead      resource.Vector
	FreePlaces int
	Released   *Forecast // of its service
}

// Run is a running task, or all members of a gang, of which some are on the server.
type Run struct {
	Priority      int
	LongRunning   bool
	Copy          bool            // one of two runs of a speculative task
	Surplus       bool            // beyond its team's weight
	PastUse       bool            // its result is of no use to its caller any more
	TimesGivenWay int             // of the task, or the most of the members
	Gang          int             // numbers the gangs of a decision, which may have members on several servers; 0 for a single task
	Freed         resource.Vector // charge on the server
	Stops         int             // runs that end; more than 1 only for a gang
	Lost          CoreSeconds     // processor time lost, of all members
	Remaining     time.Duration   // expected time until it ends; of a gang, that of its first member to end
	// Slack is the time for which its job can wait for room after the loss and still be on time, and Wait how long it is expected to wait.
	Slack, Wait time.Duration
}

// Server is a server on which the step may start once there is room, with the runs there.
type Server struct {
	Free   resource.Vector // may be negative
	Places int             // the most tasks of the step that it admits beside those that it has
	Runs   []Run
}

// Limits bound a decision.
type Limits struct {
	StopTime time.Duration // from the decision until the room of a stopped run can be used
	Stops    int           // the most runs to stop
}

// Reason is why a step preempts or not.
type Reason int

// Reasons.
const (
	Preempts      Reason = iota
	NotUrgent            // of a queue with a lower priority, surplus, or of a job that has given way itself
	Late                 // it can't start in time, also with a stop
	RoomInTime           // running work is expected to release the room in time
	NothingYields        // no server has runs that may give way and free enough
	TooCostly            // the loss would be more than the work that it makes room for
	TooManyStops         // the limit of stops is reached
	reasonCount
)

// Reasons lists all reasons.
var Reasons = [reasonCount]Reason{Preempts, NotUrgent, Late, RoomInTime, NothingYields, TooCostly, TooManyStops}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"preempts", "not-urgent", "late", "room-in-time", "nothing-yields", "too-costly", "too-many-stops"}[r]
}

// Plan is what to stop on one server, and for how many tasks that makes room, with the room that is free already.
type Plan struct {
	Server int   // index of the server
	Runs   []int // indexes of its runs
	Stops  int
	Places int
	Lost   CoreSeconds // processor time lost
	Gained CoreSeconds // processor time of the tasks that it makes room for
}

// Verdict is a decision: the plans, those that lose least for each task first, or why there are none.
type Verdict struct {
	Reason  Reason
	Missing int // tasks that would start too late without a stop
	Plans   []Plan
}

// Missing returns how many tasks of a step would start too late without a stop, or why the step doesn't preempt.
func Missing(s *Step, stopTime time.Duration) (int, Reason) {
	switch {
	case s.Priority != urgentPriority || s.Surplus || s.GaveWay || s.Waiting <= 0:
		return 0, NotUrgent
	case s.Slack < stopTime:
		return 0, Late
	}
	room := s.Released.Released(max(s.SafeSlack, stopTime)).Add(s.Charge.Times(int64(s.FreePlaces))).Sub(s.Ahead)
	if n := s.Waiting - places(room, s.Charge, s.Waiting); n > 0 {
		return n, Preempts
	}
	return 0, RoomInTime
}

// places returns how many times a charge fits into room, at most limit.
func places(room, charge resource.Vector, limit int) int {
	n := 0
	for n < limit && charge.Times(int64(n+1)).Fits(room) {
		n++
	}
	return n
}

// Decide returns the runs that give way to a step, and for which of the servers.
func Decide(s *Step, servers []Server, l Limits) Verdict {
	missing, reason := Missing(s, l.StopTime)
	v := Verdict{Reason: reason, Missing: missing}
	if reason != Preempts {
		return v
	}
	v.Reason = NothingYields
	var plans []Plan
	for i := range servers {
		plan, why := cheapestPlan(s, &servers[i], missing, l)
		if why != Preempts {
			v.Reason = max(v.Reason, why)
			continue
		}
		plan.Server = i
		plans = append(plans, plan)
	}
	slices.SortStableFunc(plans, func(a, b Plan) int { return cmp.Compare(a.lostPerPlace(), b.lostPerPlace()) })
	for _, p := range plans {
		if missing <= 0 {
			break
		}
		if p.Places > missing { // room for more than is missing has no gain
			p.Places = missing
			p.Gained = Work(s.Charge.Times(int64(missing)), s.Work)
			if p.Lost >= p.Gained {
				continue
			}
		}
		if p.Stops > l.Stops {
			v.Reason = max(v.Reason, TooManyStops)
			continue
		}
		if sharesGang(servers, v.Plans, p) {
			continue // it gives way already, and would be counted twice
		}
		l.Stops -= p.Stops
		missing -= p.Places
		v.Plans = append(v.Plans, p)
	}
	if len(v.Plans) > 0 {
		v.Reason = Preempts
	}
	return v
}

// sharesGang reports whether a plan stops a gang that an earlier plan stops.
func sharesGang(servers []Server, earlier []Plan, p Plan) bool {
	for _, i := range p.Runs {
		gang := servers[p.Server].Runs[i].Gang
		if gang == 0 {
			continue
		}
		for _, e := range earlier {
			if slices.ContainsFunc(e.Runs, func(j int) bool { return servers[e.Server].Runs[j].Gang == gang }) {
				return true
			}
		}
	}
	return false
}

func (p *Plan) lostPerPlace() CoreSeconds { return p.Lost / CoreSeconds(p.Places) }

// cheapestPlan returns the plan for a server that loses least for each of up to missing tasks, or why there is none.
func cheapestPlan(s *Step, v *Server, missing int, l Limits) (Plan, Reason) {
	order := make([]int, 0, len(v.Runs))
	for i := range v.Runs {
		if v.Runs[i].yields(s, l.StopTime) {
			order = append(order, i)
		}
	}
	if len(order) == 0 || v.Places <= 0 {
		return Plan{}, NothingYields
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(v.Runs[a].Lost, v.Runs[b].Lost) })
	candidates := make([]Candidate, len(order))
	for i, n := range order {
		candidates[i] = Candidate{Freed: v.Runs[n].Freed, Cost: float64(v.Runs[n].Lost)}
	}
	limit := min(missing, v.Places)
	reason := NothingYields
	var best Plan
	for n := 1; n <= min(limit, maxPlacesPerServer); n++ {
		shortfall := s.Charge.Times(int64(n)).Sub(v.Free)
		if shortfall.Max(resource.Vector{}).IsZero() {
			continue // has room without a stop
		}
		everything := Work(s.Charge.Times(int64(limit)), s.Work)
		set, lost := CheapestSet(candidates, shortfall, float64(everything))
		if set == nil {
			if _, lost := CheapestSet(candidates, shortfall, maxLoss); lost < maxLoss {
				reason = TooCostly
			}
			break
		}
		p := Plan{Lost: CoreSeconds(lost)}
		room := v.Free
		for _, i := range set {
			r := &v.Runs[order[i]]
			p.Runs, p.Stops, room = append(p.Runs, order[i]), p.Stops+r.Stops, room.Add(r.Freed)
		}
		p.Places = places(room, s.Charge, limit) - places(v.Free, s.Charge, limit)
		p.Gained = Work(s.Charge.Times(int64(p.Places)), s.Work)
		if p.Lost >= p.Gained {
			reason = TooCostly
			continue
		}
		if best.Places == 0 || p.lostPerPlace() < best.lostPerPlace() {
			best = p
		}
	}
	if best.Places == 0 {
		return Plan{}, reason
	}
	return best, Preempts
}

// maxLoss is more than any loss.
const maxLoss = 1e18

// yields reports whether a run may give way to a step.
func (r *Run) yields(s *Step, stopTime time.Duration) bool {
	if r.Priority <= s.Priority || r.LongRunning || r.Copy || r.TimesGivenWay >= MaxTimesGivenWay || r.Remaining < stopTime {
		return false
	}
	return r.Surplus || r.PastUse || r.Slack >= r.Wait
}
