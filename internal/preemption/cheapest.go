package preemption

import (
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// maxSearchNodes bounds the search for the cheapest set on one server; 8 candidates give 256 sets.
const maxSearchNodes = 512

// Candidate is work on a server that may give way, with the room that this frees there and its cost.
type Candidate struct {
	Freed resource.Vector
	Cost  float64
}

// CheapestSet returns the indexes of the cheapest set of candidates that covers the shortfall and costs less than a bound, with its
// cost, or nil and the bound. The candidates should be sorted by cost. It is a depth-first search that prunes branches that cost too
// much or can't free enough, bounded by maxSearchNodes.
func CheapestSet(list []Candidate, shortfall resource.Vector, below float64) ([]int, float64) {
	rest := make([]resource.Vector, len(list)+1) // room that the candidates from index i on free together
	for i := len(list) - 1; i >= 0; i-- {
		rest[i] = rest[i+1].Add(list[i].Freed)
	}
	var best, set []int
	nodes := 0
	var visit func(i int, shortfall resource.Vector, cost float64)
	visit = func(i int, shortfall resource.Vector, cost float64) {
		if nodes++; cost >= below || nodes > maxSearchNodes {
			return
		}
		if shortfall.Max(resource.Vector{}).IsZero() {
			best, below = slices.Clone(set), cost
			return
		}
		if i == len(list) || !shortfall.Fits(rest[i].Max(resource.Vector{})) {
			return
		}
		if reducesShortfall(list[i].Freed, shortfall) {
			set = append(set, i)
			visit(i+1, shortfall.Sub(list[i].Freed), cost+list[i].Cost)
			set = set[:len(set)-1]
		}
		visit(i+1, shortfall, cost)
	}
	visit(0, shortfall, 0)
	return best, below
}

// reducesShortfall reports whether the freed room includes a resource that is short.
func reducesShortfall(freed, shortfall resource.Vector) bool {
	return freed.CPU > 0 && shortfall.CPU > 0 || freed.Memory > 0 && shortfall.Memory > 0 || freed.GPUs > 0 && shortfall.GPUs > 0 ||
		freed.Slots > 0 && shortfall.Slots > 0 || freed.Connections > 0 && shortfall.Connections > 0
}
