package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Action is what is done to a preempted attempt.
type Action string

// Actions of preemption.
const (
	ActionCheckpoint Action = "checkpoint"
	ActionThrottle   Action = "throttle"
	ActionStop       Action = "stop"
)

// Constants of preemption.
const (
	// ThrottledCPUPercent is the part of its demanded CPU that a throttled attempt keeps.
	ThrottledCPUPercent = 25
	// PreemptionWindow is the longest time for which a host isn't chosen again after Victims, so that two urgent tasks don't
	// count on the same room, and for which the room is kept for urgent work. It is the bound of an urgent start, 2.2 s,
	// rounded up.
	PreemptionWindow = 3 * time.Second
	// maxVictimHosts bounds the hosts that are compared; more are searched only while none has enough lower work.
	maxVictimHosts = 64
	// maxVictimSearchNodes bounds the search for the cheapest set on one host; 8 slots per host give 256 sets.
	maxVictimSearchNodes = 512
)

// Costs of preempting one attempt. Their order matters, not their exact values: a throttled attempt goes on, a
// checkpointed one loses a moment, a stopped one loses its whole run. A request has a caller who waits for it, and a
// service has users.
const (
	costThrottle      = 1.0
	costCheckpoint    = 4.0
	costStop          = 16.0
	serviceCostFactor = 2.0
	requestCostFactor = 4.0
)

// Victim is an attempt to preempt.
type Victim struct {
	Host       ident.HostID
	Attempt    ident.AttemptID
	Action     Action
	CPUPercent int // of the demanded CPU that remains, for ActionThrottle
}

// victimCandidate is an attempt that may be preempted, with what that frees.
type victimCandidate struct {
	victim Victim
	freed  resource.Vector
	cost   float64
}

// SelectVictims returns the cheapest set of attempts on one host whose preemption makes room for the request. Only running,
// idempotent attempts of a lower priority are preempted; urgent ones only for an urgent request. Where only CPU is
// short they are throttled, otherwise checkpointed, and stopped only when the task refused the other actions (see
// Refused). It returns ErrNoVictims when there is no such set. No room is freed yet; the caller releases or throttles the
// attempts as the host confirms, and reports every end of a throttle call.
func (p *Pool) SelectVictims(r Request) ([]Victim, error) {
	if p.config.Baseline {
		return nil, ErrNoVictims
	}
	now := p.config.Now()
	var best []victimCandidate
	var chosen *host
	cost := math.Inf(1)
	found := 0
	start := p.nextRandom()
	for i := range p.shards {
		s := p.shards[(start+uint64(i))%uint64(len(p.shards))]
		s.mu.Lock()
		for j := range s.list {
			h := s.list[(int(start>>33)+j)%len(s.list)]
			if h.leaving || !r.Demand.Fits(h.capacity) || now.Before(h.preemptingUntil) ||
				slices.Contains(r.Avoid, h.info.ID) || p.config.BlockReason(h.info.ID) != "" {
				continue
			}
			if found++; found > maxVictimHosts && chosen != nil {
				break
			}
			if set, c := h.cheapestVictims(&r, now, cost); set != nil {
				best, cost, chosen = set, c, h
			}
		}
		s.mu.Unlock()
		if found > maxVictimHosts && chosen != nil {
			break
		}
	}
	if chosen == nil {
		return nil, ErrNoVictims
	}
	s := p.shardOf(chosen.info.ID)
	s.mu.Lock()
	chosen.preemptingUntil, chosen.urgentReserve = now.Add(PreemptionWindow), resource.Vector{}
	if r.Urgent {
		chosen.urgentReserve = r.Demand
	}
	victims := make([]Victim, len(best))
	for i, c := range best {
		victims[i] = c.victim
		if t, ok := chosen.attempts[c.victim.Attempt]; ok && c.victim.Action == ActionThrottle {
			t.pendingPercent, t.percentSetAt = c.victim.CPUPercent, now
		}
	}
	s.mu.Unlock()
	return victims, nil
}

// cheapestVictims returns the cheapestVictims set on the host below a cost, or nil; the shard is locked.
func (h *host) cheapestVictims(r *Request, now time.Time, below float64) ([]victimCandidate, float64) {
	shortfall := r.Demand.Sub(h.free)
	if shortfall.Max(resource.Vector{}).IsZero() {
		return nil, 0 // has room already; Pick finds it
	}
	otherThanCPU := shortfall
	otherThanCPU.CPU = 0
	var set []victimCandidate
	if otherThanCPU.Max(resource.Vector{}).IsZero() {
		set, below = cheapestSet(h.victimCandidates(r, now, true), shortfall, below)
	}
	if other, cost := cheapestSet(h.victimCandidates(r, now, false), shortfall, below); other != nil {
		set, below = other, cost
	}
	return set, below
}

// victimCandidates returns the attempts that may be preempted, with throttling or with ending them.
func (h *host) victimCandidates(r *Request, now time.Time, throttle bool) []victimCandidate {
	var list []victimCandidate
	for _, t := range h.attempts {
		if t.Task.NonIdempotent || !t.Running || t.Task.Priority >= r.Priority || t.Urgent && !r.Urgent {
			continue
		}
		c := victimCandidate{victim: Victim{Host: h.info.ID, Attempt: t.Task.Attempt}, freed: t.charge()}
		switch {
		case throttle:
			if t.refusesThrottle || t.CPUPercent > 0 || t.pendingPercent > 0 || t.percentUncertain {
				continue
			}
			c.victim.Action, c.victim.CPUPercent, c.cost = ActionThrottle, ThrottledCPUPercent, costThrottle
			left := *t
			left.CPUPercent = ThrottledCPUPercent
			c.freed = c.freed.Sub(left.charge())
		case !t.refusesCheckpoint:
			c.victim.Action, c.cost = ActionCheckpoint, costCheckpoint
		default:
			// Stopping loses what was done; an hour of it counts as much as the stop itself.
			c.victim.Action, c.cost = ActionStop, costStop*(1+max(now.Sub(t.Since), 0).Hours())
		}
		switch t.Kind {
		case api.KindService:
			c.cost *= serviceCostFactor
		case api.KindRequest:
			c.cost *= requestCostFactor
		}
		// Among equals the lower priority goes first.
		c.cost *= 1 + float64(t.Task.Priority)/(4*api.MaxPriority)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b victimCandidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.victim.Attempt, b.victim.Attempt))
	})
	return list
}

// cheapestSet returns the set of candidates with the least cost below a bound that frees what is short, or nil. It is a
// depth-first search that drops branches that cost too much or can't free enough, bounded by maxVictimNodes.
func cheapestSet(list []victimCandidate, shortfall resource.Vector, below float64) ([]victimCandidate, float64) {
	rest := make([]resource.Vector, len(list)+1) // what the candidates from i on free together
	for i := len(list) - 1; i >= 0; i-- {
		rest[i] = rest[i+1].Add(list[i].freed)
	}
	var best, set []victimCandidate
	nodes := 0
	var visit func(i int, short resource.Vector, cost float64)
	visit = func(i int, shortfall resource.Vector, cost float64) {
		if nodes++; cost >= below || nodes > maxVictimSearchNodes {
			return
		}
		if shortfall.Max(resource.Vector{}).IsZero() {
			best, below = slices.Clone(set), cost
			return
		}
		if i == len(list) || !shortfall.Fits(rest[i].Max(resource.Vector{})) {
			return
		}
		if reducesShortfall(list[i].freed, shortfall) {
			set = append(set, list[i])
			visit(i+1, shortfall.Sub(list[i].freed), cost+list[i].cost)
			set = set[:len(set)-1]
		}
		visit(i+1, shortfall, cost)
	}
	visit(0, shortfall, 0)
	return best, below
}

// reducesShortfall reports whether the gain frees some of what is short.
func reducesShortfall(freed, shortfall resource.Vector) bool {
	return freed.CPU > 0 && shortfall.CPU > 0 || freed.Memory > 0 && shortfall.Memory > 0 || freed.GPUs > 0 && shortfall.GPUs > 0 ||
		freed.Slots > 0 && shortfall.Slots > 0 || freed.Connections > 0 && shortfall.Connections > 0
}
