package member

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TestIsolated guards against a member that renews leases of backend servers although it may have been removed, and
// against one that gives them up during an outage in which nobody can be removed.
func TestIsolated(t *testing.T) {
	cases := map[string]struct {
		down []ident.MemberID // members that answer nobody, as seen by sfax-1
		cut  bool             // the region link is lost
		want bool
	}{
		"store down alone":                         {},
		"store down and one member dead":           {down: []ident.MemberID{"sfax-2"}},
		"store down and region link lost":          {cut: true},
		"cut off from everybody":                   {down: both[1:], want: true},
		"link lost and a member of the own region": {cut: true, down: []ident.MemberID{"sfax-2"}, want: true},
		"half of the members answer":               {down: []ident.MemberID{"sfax-2", "tunis-1", "tunis-2"}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCell(t)
			s.start(both...)
			s.server.SetDown(true)
			s.set(kill, c.down...)
			s.cutOff(c.cut)
			s.steps(2 * ttlSteps)
			g := s.node("sfax-1").Group
			g.isolated.Store(g.cutOff(t.Context()))
			if got := g.Isolated(); got != c.want {
				t.Errorf("isolated %v, want %v", got, c.want)
			}
			s.server.SetDown(false)
			s.set(func(n *node) { n.dead = false }, c.down...)
			s.cutOff(false)
			s.steps(2 * ttlSteps)
			if g.Isolated() {
				t.Error("still isolated after the store answers")
			}
		})
	}
}

// TestRemovalNeedsHalf guards against a removal by a member that reaches only a minority, while the removed one may
// reach the others and go on.
func TestRemovalNeedsHalf(t *testing.T) {
	s := newCell(t)
	s.start(sfax...)
	s.start("sfax-4", "sfax-5")
	s.set(kill, "sfax-3", "sfax-4", "sfax-5")
	s.steps(manySteps)
	s.want("two of five answer", active("sfax-1", "sfax-2", "sfax-3", "sfax-4", "sfax-5"))
	s.start("sfax-6")
	s.steps(manySteps)
	s.want("three of six answer", active("sfax-1", "sfax-2", "sfax-6"))
}
