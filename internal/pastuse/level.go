package pastuse

import (
	"math"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// levelStep is the ratio of use between two levels. Teams within a quarter of each other count as equal, so that the slack of their jobs
	// decides: the order would otherwise change with each end of a run.
	levelStep = 1.25
	// freeUse is the use against the weight up to which a team counts as one without use: ten seconds of the whole fleet at the mean weight.
	freeUse ShareSeconds = 10
)

// Weight is a team's weight relative to the mean weight of all teams.
type Weight float64

// Level is how much a team has used against its weight, in steps. Work of teams with lower levels comes first.
type Level int

// Level returns the level of a team with a weight. A weight that isn't positive counts as 1.
func (l Ledger) Level(t ident.TeamID, w Weight) Level {
	if !(w > 0) {
		w = 1
	}
	against := l.teams[t].Total / ShareSeconds(w)
	if against <= freeUse {
		return 0
	}
	return Level(1 + math.Floor(math.Log(float64(against/freeUse))/math.Log(levelStep)))
}

// Weights returns the weights of teams relative to their mean. A team without a weight is entitled to any rate, so it counts with the
// largest weight of the others.
func Weights(configured map[ident.TeamID]float64) map[ident.TeamID]Weight {
	sum, largest, n := 0.0, 0.0, 0
	for _, w := range configured {
		if w > 0 {
			sum, largest, n = sum+w, max(largest, w), n+1
		}
	}
	relative := make(map[ident.TeamID]Weight, len(configured))
	for t, w := range configured {
		switch {
		case n == 0:
			relative[t] = 1
		case w > 0:
			relative[t] = Weight(w * float64(n) / sum)
		default:
			relative[t] = Weight(largest * float64(n) / sum)
		}
	}
	return relative
}
