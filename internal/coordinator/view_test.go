package coordinator

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against inherited jobs that wait for a former leader whose process has certainly ended, and against a takeover that doesn't wait
// for the leader before it. On bensalem-quotes-grown scale-1 they waited two seconds longer than needed after the leader was killed and
// restarted.
func TestFormerLeadersStopped(t *testing.T) {
	leader := LeaderRecord{Member: "a", Incarnation: "i1", Epoch: 3}
	vacant, first := leader, leader
	vacant.Vacant = true
	first.Epoch = 1
	replaced := map[ident.MemberID]PresenceRecord{"a": {Incarnation: "i2"}}
	for name, c := range map[string]struct {
		leader  LeaderRecord
		settled ident.Epoch
		members map[ident.MemberID]PresenceRecord
		stopped bool
	}{
		"lease expired":                 {leader: leader, settled: 3, members: map[ident.MemberID]PresenceRecord{"b": {Incarnation: "i2"}}},
		"present":                       {leader: leader, settled: 3, members: map[ident.MemberID]PresenceRecord{"a": {Incarnation: "i1"}}},
		"replaced process":              {leader: leader, settled: 3, members: replaced, stopped: true},
		"vacant":                        {leader: vacant, settled: 3, members: map[ident.MemberID]PresenceRecord{"a": {Incarnation: "i1"}}, stopped: true},
		"vacant, lease expired":         {leader: vacant, settled: 3, stopped: true},
		"replaced process, not settled": {leader: leader, settled: 2, members: replaced},
		"vacant, not settled":           {leader: vacant, settled: 2},
		"first leader":                  {leader: first, members: replaced, stopped: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := cellState{leader: c.leader, settledEpoch: c.settled, members: c.members}
			if got := s.formerLeadersStopped(); got != c.stopped {
				t.Errorf("stopped %v, want %v", got, c.stopped)
			}
		})
	}
}
