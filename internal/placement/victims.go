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
	// ThrottlePercent is the part of its demanded CPU that a throttled attempt keeps.
	ThrottlePercent = 25
	// VictimHold is the longest time for which a host isn't chosen again after Victims, so that two urgent tasks don't
	// count on the same room, and for which the room is kept for urgent work. It is the bound of an urgent start, 2.2 s,
	// rounded up.
	VictimHold = 3 * time.Second
	// maxVictimHosts bounds the hosts that are compared; more are searched only while none has enough lower work.
	maxVictimHosts = 64
	// maxVictimNodes bounds the search for the cheapest set on one host; 8 slots per host give 256 sets.
	maxVictimNodes = 512
)

// Costs of preempting one attempt. Their order matters, not their exact values: a throttled attempt goes on, a
// checkpointed one loses a moment, a stopped one loses its whole run. A request has a caller who waits for it, and a
// service has users.
const (
	costThrottle   = 1.0
	costCheckpoint = 4.0
	costStop       = 16.0
	costService    = 2.0
	costRequest    = 4.0
)

// Victim is an attempt to preempt.
type Victim struct {
	Host    ident.HostID
	Attempt ident.AttemptID
	Action  Action
	Percent int // of the demanded CPU that remains, for ActionThrottle
}

// candidate is an attempt that may be preempted, with what that frees.
type candidate struct {
	victim Victim
	gain   resource.Vector
	cost   float64
}

// Victims returns the cheapest set of attempts on one host whose preemption makes room for the request. Only running,
// idempotent attempts of a lower priority are preempted; urgent ones only for an urgent request. Where only CPU is
// short they are throttled, otherwise checkpointed, and stopped only when the task refused the other actions (see
// Refused). It returns ErrNoVictims when there is no such set. No room is freed yet; the caller releases or throttles the
// attempts as the host confirms, and reports every end of a throttle call.
func (p *Pool) Victims(r Request) ([]Victim, error) {
	if p.config.Baseline {
		return nil, ErrNoVictims
	}
	now := p.config.Now()
	var best []candidate
	var chosen *host
	cost := math.Inf(1)
	found := 0
	start := p.next()
	for i := range p.shards {
		s := p.shards[(start+uint64(i))%uint64(len(p.shards))]
		s.mu.Lock()
		for j := range s.list {
			h := s.list[(int(start>>33)+j)%len(s.list)]
			if h.leaving || !r.Demand.Fits(h.capacity) || now.Before(h.marked) ||
				slices.Contains(r.Avoid, h.info.ID) || p.config.Blocked(h.info.ID) != "" {
				continue
			}
			if found++; found > maxVictimHosts && chosen != nil {
				break
			}
			if set, c := h.cheapest(&r, now, cost); set != nil {
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
	chosen.marked, chosen.kept = now.Add(VictimHold), resource.Vector{}
	if r.Urgent {
		chosen.kept = r.Demand
	}
	victims := make([]Victim, len(best))
	for i, c := range best {
		victims[i] = c.victim
		if t, ok := chosen.attempts[c.victim.Attempt]; ok && c.victim.Action == ActionThrottle {
			t.calling, t.changed = c.victim.Percent, now
		}
	}
	s.mu.Unlock()
	return victims, nil
}

// cheapest returns the cheapest set on the host below a cost, or nil; the shard is locked.
func (h *host) cheapest(r *Request, now time.Time, below float64) ([]candidate, float64) {
	short := r.Demand.Sub(h.free)
	if short.Max(resource.Vector{}).IsZero() {
		return nil, 0 // has room already; Pick finds it
	}
	rest := short
	rest.CPU = 0
	var set []candidate
	if rest.Max(resource.Vector{}).IsZero() {
		set, below = smallest(h.candidates(r, now, true), short, below)
	}
	if other, cost := smallest(h.candidates(r, now, false), short, below); other != nil {
		set, below = other, cost
	}
	return set, below
}

// candidates returns the attempts that may be preempted, with throttling or with ending them.
func (h *host) candidates(r *Request, now time.Time, throttle bool) []candidate {
	var list []candidate
	for _, t := range h.attempts {
		if t.Task.NonIdempotent || !t.Running || t.Task.Priority >= r.Priority || t.Urgent && !r.Urgent {
			continue
		}
		c := candidate{victim: Victim{Host: h.info.ID, Attempt: t.Task.Attempt}, gain: t.charge()}
		switch {
		case throttle:
			if t.noThrottle || t.Throttled > 0 || t.calling > 0 || t.unsure {
				continue
			}
			c.victim.Action, c.victim.Percent, c.cost = ActionThrottle, ThrottlePercent, costThrottle
			left := *t
			left.Throttled = ThrottlePercent
			c.gain = c.gain.Sub(left.charge())
		case !t.noCheckpoint:
			c.victim.Action, c.cost = ActionCheckpoint, costCheckpoint
		default:
			// Stopping loses what was done; an hour of it counts as much as the stop itself.
			c.victim.Action, c.cost = ActionStop, costStop*(1+max(now.Sub(t.Since), 0).Hours())
		}
		switch t.Kind {
		case api.KindService:
			c.cost *= costService
		case api.KindRequest:
			c.cost *= costRequest
		}
		// Among equals the lower priority goes first.
		c.cost *= 1 + float64(t.Task.Priority)/(4*api.MaxPriority)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.victim.Attempt, b.victim.Attempt))
	})
	return list
}

// smallest returns the set of candidates with the least cost below a bound that frees what is short, or nil. It is a
// depth-first search that drops branches that cost too much or can't free enough, bounded by maxVictimNodes.
func smallest(list []candidate, short resource.Vector, below float64) ([]candidate, float64) {
	rest := make([]resource.Vector, len(list)+1) // what the candidates from i on free together
	for i := len(list) - 1; i >= 0; i-- {
		rest[i] = rest[i+1].Add(list[i].gain)
	}
	var best, set []candidate
	nodes := 0
	var visit func(i int, short resource.Vector, cost float64)
	visit = func(i int, short resource.Vector, cost float64) {
		if nodes++; cost >= below || nodes > maxVictimNodes {
			return
		}
		if short.Max(resource.Vector{}).IsZero() {
			best, below = slices.Clone(set), cost
			return
		}
		if i == len(list) || !short.Fits(rest[i].Max(resource.Vector{})) {
			return
		}
		if helps(list[i].gain, short) {
			set = append(set, list[i])
			visit(i+1, short.Sub(list[i].gain), cost+list[i].cost)
			set = set[:len(set)-1]
		}
		visit(i+1, short, cost)
	}
	visit(0, short, 0)
	return best, below
}

// helps reports whether the gain frees some of what is short.
func helps(gain, short resource.Vector) bool {
	return gain.CPU > 0 && short.CPU > 0 || gain.Memory > 0 && short.Memory > 0 || gain.GPUs > 0 && short.GPUs > 0 ||
		gain.Slots > 0 && short.Slots > 0 || gain.Connections > 0 && short.Connections > 0
}
