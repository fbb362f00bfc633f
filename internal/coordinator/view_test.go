package coordinator

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against inherited work that waits for a former leader whose process has certainly ended: on bensalem-quotes-grown
// scale-1 jobs stood still for two seconds longer after the leader was killed and restarted.
func TestPreviousLeaderStopped(t *testing.T) {
	leader := LeaderRecord{Member: "a", Incarnation: "i1", Epoch: 3}
	vacant := leader
	vacant.Vacant = true
	for name, c := range map[string]struct {
		leader  LeaderRecord
		members map[ident.MemberID]PresenceRecord
		stopped bool
	}{
		"its presence lapsed, it may be cut off":     {leader: leader, members: map[ident.MemberID]PresenceRecord{"b": {Incarnation: "i2"}}},
		"it is present":                              {leader: leader, members: map[ident.MemberID]PresenceRecord{"a": {Incarnation: "i1"}}},
		"another process runs on its host":           {leader: leader, members: map[ident.MemberID]PresenceRecord{"a": {Incarnation: "i2"}}, stopped: true},
		"it said that it has stopped":                {leader: vacant, members: map[ident.MemberID]PresenceRecord{"a": {Incarnation: "i1"}}, stopped: true},
		"it said that it has stopped and has lapsed": {leader: vacant, stopped: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := cellState{leader: c.leader, members: c.members}
			if got := s.previousLeaderStopped(); got != c.stopped {
				t.Errorf("ended %v, want %v", got, c.stopped)
			}
		})
	}
}
