package member

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TestIsolated guards against a member that renews leases of backend servers although it may have been removed, and
// against one that stops renewing them during an outage in which no member can be removed.
func TestIsolated(t *testing.T) {
	cases := map[string]struct {
		down     []ident.MemberID // dead members, which don't answer sfax-1
		linkLost bool             // the region link is lost
		want     bool
	}{
		"only the store is down":                               {},
		"store down and a member dead":                         {down: []ident.MemberID{"sfax-2"}},
		"store down and region link lost":                      {linkLost: true},
		"no other member answers":                              {down: both[1:], want: true},
		"region link lost and a member of its own region dead": {linkLost: true, down: []ident.MemberID{"sfax-2"}, want: true},
		"half of the members answer":                           {down: []ident.MemberID{"sfax-2", "tunis-1", "tunis-2"}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			s.joinMembers(both...)
			s.server.SetDown(true)
			s.update(kill, c.down...)
			s.setLinkLost(c.linkLost)
			s.runSteps(2 * ttlSteps)
			g := s.node("sfax-1").Group
			g.isolated.Store(g.checkIsolation(t.Context()))
			if got := g.Isolated(); got != c.want {
				t.Errorf("isolated %v, want %v", got, c.want)
			}
			s.server.SetDown(false)
			s.update(func(n *node) { n.dead = false }, c.down...)
			s.setLinkLost(false)
			s.runSteps(2 * ttlSteps)
			if g.Isolated() {
				t.Error("still isolated after the store answers")
			}
		})
	}
}

// TestRemovalNeedsHalfOfActiveMembers guards against a removal by a member that reaches only a minority, while the removed
// one may reach the others and continue.
func TestRemovalNeedsHalfOfActiveMembers(t *testing.T) {
	s := newCluster(t)
	s.joinMembers(sfax...)
	s.joinMembers("sfax-4", "sfax-5")
	s.update(kill, "sfax-3", "sfax-4", "sfax-5")
	s.runSteps(convergenceSteps)
	s.expectMembers("two of five answer", allActive("sfax-1", "sfax-2", "sfax-3", "sfax-4", "sfax-5"))
	s.joinMembers("sfax-6")
	s.runSteps(convergenceSteps)
	s.expectMembers("three of six answer", allActive("sfax-1", "sfax-2", "sfax-6"))
}
