package coordinator

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against inherited jobs that wait for a former leader whose process has certainly ended. On bensalem-quotes-grown
// scale-1 they waited two seconds longer than needed after the leader was killed and restarted.
func TestFormerLeaderStopped(t *testing.T) {
	leader := LeaderRecord{Member: "a", Incarnation: "i1", Epoch: 3}
	vacant := leader
	vacant.Vacant = true
	for name, c := range map[string]struct {
		leader  LeaderRecord
		members map[ident.MemberID]PresenceRecord
		stopped bool
	}{
		"lease expired":         {leader: leader, members: map[ident.MemberID]PresenceRecord{"b": {Incarnation: "i2"}}},
		"present":               {leader: leader, members: map[ident.MemberID]PresenceRecord{"a": {Incarnation: "i1"}}},
		"replaced process":      {leader: leader, members: map[ident.MemberID]PresenceRecord{"a": {Incarnation: "i2"}}, stopped: true},
		"vacant":                {leader: vacant, members: map[ident.MemberID]PresenceRecord{"a": {Incarnation: "i1"}}, stopped: true},
		"vacant, lease expired": {leader: vacant, stopped: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := cellState{leader: c.leader, members: c.members}
			if got := s.formerLeaderStopped(); got != c.stopped {
				t.Errorf("stopped %v, want %v", got, c.stopped)
			}
		})
	}
}
