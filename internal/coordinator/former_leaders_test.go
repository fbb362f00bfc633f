package coordinator

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against a new leader that counts on an isolated one to ask it whether it leads, although that one may not know it.
func TestFormerLeaderMayNotKnowItsSuccessor(t *testing.T) {
	leader := LeaderRecord{Member: "a", Incarnation: "a1", Epoch: 5}
	for name, play := range map[string]struct {
		state cellState
		known bool
		want  formerLeaders
	}{
		"known to the leader":           {cellState{leader: leader, settledEpoch: 5}, true, formerAware},
		"unknown to the leader":         {cellState{leader: leader, settledEpoch: 5}, false, formerUnaware},
		"a leader before it may go on":  {cellState{leader: leader, settledEpoch: 3}, true, formerUnaware},
		"known to the first leader":     {cellState{leader: LeaderRecord{Member: "a", Epoch: 1}}, true, formerAware},
		"it has handed over":            {cellState{leader: LeaderRecord{Member: "a", Epoch: 5, Vacant: true}, settledEpoch: 5}, false, formerStopped},
		"it handed over, not settled":   {cellState{leader: LeaderRecord{Member: "a", Epoch: 5, Vacant: true}, settledEpoch: 3}, true, formerUnaware},
		"its host runs another process": {cellState{leader: leader, settledEpoch: 5, members: map[ident.MemberID]PresenceRecord{"a": {Incarnation: "a2"}}}, false, formerStopped},
	} {
		t.Run(name, func(t *testing.T) {
			if got := play.state.formerLeaders(play.known); got != play.want {
				t.Errorf("%s, want %s", got, play.want)
			}
		})
	}
}

// Guards against a daemon that counts as known to a leader which has seen an earlier presence record of it, or to another leader.
func TestKnownToOneLeaderByOneRecord(t *testing.T) {
	var k knownTo
	k.set(5, 70)
	for name, play := range map[string]struct {
		epoch    ident.Epoch
		revision platform.Revision
		want     bool
	}{"the same": {5, 70, true}, "another leader": {6, 70, false}, "another record": {5, 90, false}, "no leader": {0, 70, false}} {
		if got := k.holds(play.epoch, play.revision); got != play.want {
			t.Errorf("%s: %t, want %t", name, got, play.want)
		}
	}
}

// Guards against a leader that is confirmed again a minute into a cut: a daemon that had left before the cut, and may have taken over since,
// was forgotten.
func TestDepartedDaemonIsNotForgottenDuringACut(t *testing.T) {
	now := time.Now()
	c := &Coordinator{config: Config{Member: "a"}, now: func() time.Time { return now }, view: newView(nil, logr.Discard())}
	departed := map[ident.MemberID]departure{"b": {address: "b:1", at: now.Add(-10 * time.Minute)}}
	for name, play := range map[string]struct {
		viewAge time.Duration
		want    int
	}{"cut off since": {9*time.Minute + 30*time.Second, 1}, "view up to date": {time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			c.view.state = cellState{confirmedAt: now.Add(-play.viewAge), departed: departed, members: map[ident.MemberID]PresenceRecord{"a": {}}}
			if peers, _ := c.possibleLeaders(); len(peers) != play.want {
				t.Errorf("asks %v, want %d daemons", peers, play.want)
			}
		})
	}
}
