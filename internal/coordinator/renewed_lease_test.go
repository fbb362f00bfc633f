package coordinator_test

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against tasks that run twice: a leader that was cut off counted the lease of a server that it hadn't reached for a while as
// expired and started the tasks again, though its successor had renewed that lease.
func TestIsolatedLeaderStartsNothingAfterALeaseThatItsSuccessorRenewed(t *testing.T) {
	for name, c := range map[string]struct {
		ofPredecessor bool          // the silent servers are beside the leader's predecessor, which is cut off with them
		silentFor     time.Duration // before the leader is cut off and the silent servers are reachable again
	}{
		// The leader takes the lease for expired 3 s to 4.2 s after its last poll. It may send commands for 2.7 s after it is cut off,
		// and its successor takes over after 1 s.
		"runs that the leader started": {false, 1750 * time.Millisecond},
		// The predecessor extends the lease to 6.6 s after it is cut off. The leader takes it for expired after 7.1 s.
		"runs that its predecessor started": {true, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playRenewedLease(t, c.ofPredecessor, c.silentFor)
		})
	}
}

func playRenewedLease(t *testing.T, ofPredecessor bool, silentFor time.Duration) {
	sites := []site{{"duluth-a", 1}, {"toledo-a", 1}, {"cleveland-b", 1}}
	c := newCutCell(t, sites, func(sched.TaskID) time.Duration { return time.Minute })
	for _, d := range c.daemons {
		c.await("leader", 10*time.Second, func() bool { return d.leader() != "" && d.configured() })
	}
	const tasks = 20 // of the cell's 24, so some in each data centre
	c.mustSubmit(c.daemons["duluth-a-1"], 1, tasks)
	c.await("starts", 5*time.Second, func() bool { return c.fleet.RunningTasks(jobID(0)) == tasks })
	leader := c.leaderSite()
	silent := leader
	if !ofPredecessor {
		silent = otherSite(sites, leader)
		c.addSpare(sites, leader)
	}
	c.network.setCutOff(silent, true)
	silentAt := time.Now()
	if ofPredecessor {
		c.await("takeover", 5*time.Second, func() bool { return c.leaderSite() != silent })
		leader = c.leaderSite()
		c.addSpare(sites, leader)
	}
	time.Sleep(time.Until(silentAt.Add(silentFor)))
	c.network.setCutOff(leader, true)
	c.network.setCutOff(silent, false)
	time.Sleep(4 * time.Second)
	if c.leaderSite() == leader {
		t.Errorf("no daemon has taken over from %s", leader)
	}
	for _, v := range c.fleet.Violations() {
		t.Error(v)
	}
}

// addSpare adds a server with room to a data centre and waits until the leader uses it.
func (c *cutCell) addSpare(sites []site, dc ident.DataCentre) {
	spare := spareServer(sites, dc)
	c.fleet.Add(spare)
	c.register(spare)
	time.Sleep(time.Second)
}

func otherSite(sites []site, than ident.DataCentre) ident.DataCentre {
	if sites[0].dataCentre != than {
		return sites[0].dataCentre
	}
	return sites[1].dataCentre
}
