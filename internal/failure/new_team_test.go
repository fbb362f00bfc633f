package failure

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// storeDownNewTeam guards against a team whose requests can't start while the store is down, because no daemon had an
// allocation of its limit before.
func storeDownNewTeam(s *harness) {
	s.waitFor("every daemon has an allocation of the team's limit", func() bool {
		return !slices.ContainsFunc(allDaemons, func(m ident.MemberID) bool { return s.usableAllocation(m, quotingTeam) < 1 })
	})
	s.demoCell.Standins.KV.SetDown(true)
	for _, m := range allDaemons {
		s.sendRequest(quoteRequest(ident.RequestID("new-"+string(m)), false, 100*time.Millisecond), m)
	}
	s.checkOutcomes(api.Answered)
}

// usableAllocation returns the allocation of a team's limit that a daemon may use, or 0 if the daemon doesn't answer.
func (s *harness) usableAllocation(m ident.MemberID, team ident.TeamID) int {
	state, _ := s.fetchState(m)
	var limits struct {
		Teams []struct {
			Team   ident.TeamID
			Usable int
		}
	}
	_ = json.Unmarshal(state.Limits, &limits) // a daemon that doesn't answer has no allocation
	for _, t := range limits.Teams {
		if t.Team == team {
			return t.Usable
		}
	}
	return 0
}
