package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/preemption"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Action is the way in which an attempt is preempted.
type Action string

// Preemption actions.
const (
	ActionCheckpoint Action = "checkpoint"
	ActionThrottle   Action = "throttle"
	ActionStop       Action = "stop"
)

// Limits of preemption.
const (
	// ThrottledCPUPercent is the percentage of its demanded CPU that a throttled attempt keeps.
	ThrottledCPUPercent = 25
	// PreemptionWindow is the maximum time after SelectVictims for which the host is not selected again, so that two
	// urgent tasks do not rely on the same capacity, and for which the freed capacity is reserved for urgent work. It
	// is the 2.2 s bound of an urgent start, rounded up.
	PreemptionWindow = 3 * time.Second
	// maxVictimHosts bounds the hosts that are compared. More are examined only while none has enough lower-priority
	// work.
	maxVictimHosts = 64
)

// Costs of preempting one attempt, and the factors for its kind. Only their order matters: a throttled attempt continues,
// a checkpointed one loses little work, and a stopped one loses its whole run. A request has a waiting caller, and a
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

// victimCandidate is an attempt that may be preempted, with the capacity that this frees and its cost.
type victimCandidate struct {
	victim Victim
	freed  resource.Vector
	cost   float64
}

// SelectVictims returns the cheapest set of attempts on one host whose preemption frees enough capacity for the
// request, or ErrNoVictims. Only running, idempotent attempts of a lower priority are preempted, and urgent ones only
// for an urgent request. Attempts are throttled when only CPU is short and checkpointed otherwise; they are stopped
// only when the task refused the other actions (see RecordRefusedAction). No capacity is freed yet: the caller
// releases attempts as the host confirms their end, and reports the result of every throttle call.
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

// cheapestVictims returns the cheapest set of victims on the host that costs less than a bound, or nil. The caller
// holds the lock of the shard.
func (h *host) cheapestVictims(r *Request, now time.Time, below float64) ([]victimCandidate, float64) {
	shortfall := r.Demand.Sub(h.free)
	if shortfall.Max(resource.Vector{}).IsZero() {
		return nil, 0 // the demand already fits, so Place finds the host
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

// victimCandidates returns the attempts that may be preempted by throttling, or by ending them.
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
			// A stopped attempt loses its progress; one hour of it costs as much as the stop itself.
			c.victim.Action, c.cost = ActionStop, costStop*(1+max(now.Sub(t.Since), 0).Hours())
		}
		switch t.Kind {
		case api.KindService:
			c.cost *= serviceCostFactor
		case api.KindRequest:
			c.cost *= requestCostFactor
		}
		// Of attempts with equal cost, the one with the lower priority is preempted first.
		c.cost *= 1 + float64(t.Task.Priority)/(4*api.MaxPriority)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b victimCandidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.victim.Attempt, b.victim.Attempt))
	})
	return list
}

// cheapestSet returns the cheapest set of candidates that covers the shortfall and costs less than a bound, or nil.
func cheapestSet(list []victimCandidate, shortfall resource.Vector, below float64) ([]victimCandidate, float64) {
	candidates := make([]preemption.Candidate, len(list))
	for i, c := range list {
		candidates[i] = preemption.Candidate{Freed: c.freed, Cost: c.cost}
	}
	indexes, cost := preemption.CheapestSet(candidates, shortfall, below)
	var set []victimCandidate
	for _, i := range indexes {
		set = append(set, list[i])
	}
	return set, cost
}
