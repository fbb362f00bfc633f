package pastuse

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against an order that ignores the weight, that small differences change, or that sets back a team with hardly any use.
func TestLevelOrder(t *testing.T) {
	for name, c := range map[string]struct {
		a, b             ShareSeconds
		weightA, weightB Weight
		want             int // sign of the level of a less that of b
	}{
		"equal":                       {1000, 1000, 1, 1, 0},
		"within a step":               {1000, 1080, 1, 1, 0},
		"twice as much":               {2000, 1000, 1, 1, 1},
		"twice as much, twice weight": {2000, 1000, 2, 1, 0},
		"as much, a fifth the weight": {1000, 1000, 0.2, 1, 1},
		"nothing and hardly anything": {0, 9, 1, 1, 0},
		"nothing and much":            {0, 1000, 1, 1, -1},
		"weight of zero":              {1000, 1000, 0, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(halfLife)
			l.Add("a", Use{Total: c.a})
			l.Add("b", Use{Total: c.b})
			got := l.Level("a", c.weightA) - l.Level("b", c.weightB)
			if (got > 0) != (c.want > 0) || (got < 0) != (c.want < 0) {
				t.Errorf("levels %d and %d", l.Level("a", c.weightA), l.Level("b", c.weightB))
			}
		})
	}
}

// Guards against teams without a weight, which are entitled to any rate, that come behind all others, and against a division by zero.
func TestWeights(t *testing.T) {
	for name, c := range map[string]struct {
		configured map[ident.TeamID]float64
		want       map[ident.TeamID]Weight
	}{
		"none":            {nil, map[ident.TeamID]Weight{}},
		"no weights":      {map[ident.TeamID]float64{"a": 0, "b": 0}, map[ident.TeamID]Weight{"a": 1, "b": 1}},
		"equal weights":   {map[ident.TeamID]float64{"a": 7, "b": 7}, map[ident.TeamID]Weight{"a": 1, "b": 1}},
		"unequal weights": {map[ident.TeamID]float64{"a": 3, "b": 1}, map[ident.TeamID]Weight{"a": 1.5, "b": 0.5}},
		"one without":     {map[ident.TeamID]float64{"a": 3, "b": 1, "c": 0}, map[ident.TeamID]Weight{"a": 1.5, "b": 0.5, "c": 1.5}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Weights(c.configured); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against past use that excludes a team for ever: after ten hours of heavy use and then equal use, two teams of equal weight are
// served alike again within a few half-lives, and a team that is new today isn't ahead for longer than it takes to use as much.
func TestConvergence(t *testing.T) {
	l := New(halfLife)
	pass := func(d time.Duration, shares map[ident.TeamID]ShareSeconds) {
		for range d / time.Minute {
			for id, share := range shares {
				l.Add(id, Use{Total: share * 60})
			}
			l.Decay(time.Minute)
		}
	}
	pass(10*time.Hour, map[ident.TeamID]ShareSeconds{"busy": 0.9, "quiet": 0.05})
	if l.Level("busy", 1) <= l.Level("quiet", 1) {
		t.Error("ten hours of heavy use don't count")
	}
	pass(6*halfLife, map[ident.TeamID]ShareSeconds{"busy": 0.45, "quiet": 0.45, "new": 0.1})
	if d := l.Level("busy", 1) - l.Level("quiet", 1); d < 0 || d > 1 {
		t.Errorf("a day later the levels differ by %d", d)
	}
	pass(4*time.Hour, map[ident.TeamID]ShareSeconds{"new": 1})
	if l.Level("new", 1) < l.Level("quiet", 1) {
		t.Error("a team that was new is ahead after four hours of the whole fleet")
	}
}
