package coordinator_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	serversPerDataCentre = 2
	submitInterval       = 1500 * time.Millisecond
	shortestTask         = 300 * time.Millisecond
	longestTask          = 10 * time.Second
	// registrationLease is how long the registration of a server that the store doesn't hear from stays.
	registrationLease = 4500 * time.Millisecond
	logTime           = "15:04:05.000"
)

// site is a data centre with a number of daemons.
type site struct {
	dataCentre ident.DataCentre
	daemons    int
}

// cutCell is a cell of several data centres whose daemons all take in jobs.
type cutCell struct {
	*testCell
	network *cutNetwork
	sites   map[ident.MemberID]ident.DataCentre
	servers map[ident.DataCentre][]sched.Server

	mu       sync.Mutex
	tasks    map[ident.JobID][]int // number of tasks of each step
	accepted []ident.JobID
	jobCount int
}

// newCutCell returns a cell with daemons in each data centre. Clocks of daemons and of servers are 2 % apart. A function returns the
// duration of each task.
func newCutCell(t *testing.T, sites []site, duration func(sched.TaskID) time.Duration, changes ...func(*testCell)) *cutCell {
	t.Helper()
	c := &cutCell{
		testCell: newCellOfTasks(t, serversPerDataCentre*len(sites), duration), network: newCutNetwork(),
		sites: map[ident.MemberID]ident.DataCentre{}, servers: map[ident.DataCentre][]sched.Server{}, tasks: map[ident.JobID][]int{},
	}
	for _, change := range changes {
		change(c.testCell)
	}
	c.fleet.SetPrerequisites(c.prerequisites)
	client, clockRates := c.serverClient, [serversPerDataCentre]float64{0.99, 1.01}
	serverSites := map[sched.ServerID]ident.DataCentre{}
	for i, s := range sites {
		for k, rate := range clockRates {
			server := testServer(serversPerDataCentre*i + k)
			server.DataCentre = s.dataCentre
			c.register(server)
			serverSites[server.ID] = s.dataCentre
			c.servers[s.dataCentre] = append(c.servers[s.dataCentre], server)
			c.fleet.SetClockRate(server.ID, rate)
		}
		serverSites[spareServer(sites, s.dataCentre).ID] = s.dataCentre
	}
	siteOf := func(id sched.ServerID) ident.DataCentre { return serverSites[id] }
	for _, s := range sites {
		for i := range s.daemons {
			member, rate, base := ident.MemberID(fmt.Sprintf("%s-%d", s.dataCentre, i+1)), clockRates[i%len(clockRates)], time.Now()
			c.clock = func() time.Time { return base.Add(time.Duration(float64(time.Since(base)) * rate)) }
			c.peerDial = c.network.dialFrom(s.dataCentre)
			c.serverClient = c.logged(member, c.network.serverClient(client, s.dataCentre, siteOf))
			c.sites[member], c.dataCentre = s.dataCentre, s.dataCentre
			d := c.startWithStore(distantStore{c.store, c.network, s.dataCentre}, member, 50*time.Millisecond)
			c.network.addDaemon(d.address, s.dataCentre)
		}
	}
	t.Cleanup(func() {
		for _, s := range sites {
			c.network.setCutOff(s.dataCentre, false)
		}
	})
	return c
}

// spareServer returns a server in a data centre that isn't part of a new cell.
func spareServer(sites []site, dc ident.DataCentre) sched.Server {
	i := slices.IndexFunc(sites, func(s site) bool { return s.dataCentre == dc })
	return testServer(serversPerDataCentre*len(sites) + i)
}

// durationOf returns a duration between shortestTask and longestTask that depends on the task's id; short ones are frequent.
func durationOf(task sched.TaskID) time.Duration {
	h := fnv.New32a()
	fmt.Fprint(h, task)
	share := float64(h.Sum32()) / math.MaxUint32
	return time.Duration(float64(shortestTask) * math.Pow(float64(longestTask/shortestTask), share))
}

// prerequisites returns the tasks of the earlier steps.
func (c *cutCell) prerequisites(task sched.TaskID) []sched.TaskID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []sched.TaskID
	for step, count := range c.tasks[task.Job][:task.Step] {
		for i := range count {
			all = append(all, sched.TaskID{Job: task.Job, Step: step, Index: i})
		}
	}
	return all
}

// logged returns a client that logs the starts of a daemon.
func (c *cutCell) logged(member ident.MemberID, client coordinator.ServerClient) coordinator.ServerClient {
	start := client.Start
	client.Start = func(ctx context.Context, f sched.FencingToken, cmd sched.StartCommand) (time.Duration, error) {
		sent := time.Now()
		clock, err := start(ctx, f, cmd)
		if ctx.Err() == nil { // else the test may have ended
			c.t.Logf("%s start %v run %d on %s by %s, epoch %d, deadline %s, clock %s, took %s: %v", sent.Format(logTime), cmd.Task, cmd.Run,
				cmd.Server.ID, member, f, cmd.Deadline, clock, time.Since(sent), err)
		}
		return clock, err
	}
	return client
}

// submitUntil submits jobs to a daemon until a channel is closed.
func (c *cutCell) submitUntil(done <-chan struct{}, d *daemon) {
	for {
		select {
		case <-done:
			return
		case <-time.After(submitInterval):
		}
		c.mu.Lock()
		c.jobCount++
		id := jobID(c.jobCount)
		counts := []int{1 + c.jobCount%2}
		if c.jobCount%4 == 0 {
			counts = append(counts, 1)
		}
		c.tasks[id] = counts
		c.mu.Unlock()
		job := &sched.Job{}
		for i, count := range counts {
			step := sched.Step{Count: count, Demand: resource.Vector{CPU: resource.Cores(1), Memory: 100}, Estimate: 3 * time.Second}
			if i > 0 {
				step.After = []int{i - 1}
			}
			job.Steps = append(job.Steps, step)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		r := d.gateway.Submit(ctx, request(id), func(ident.JobID) (*sched.Job, error) { return job, nil })
		cancel()
		if r.Kind == entry.Accepted {
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.mu.Unlock()
		}
	}
}

// leaderSite returns the data centre of the daemon that leads according to the store.
func (c *cutCell) leaderSite() ident.DataCentre {
	var l coordinator.LeaderRecord
	for _, d := range c.daemons {
		if r, ok := d.coordinator.Leader(); ok && r.Epoch > l.Epoch {
			l = r
		}
	}
	return c.sites[l.Member]
}

// cutOff cuts a data centre off from all others and the store for a time, in which the registrations of its servers expire.
func (c *cutCell) cutOff(dc ident.DataCentre, cut time.Duration) {
	c.t.Logf("%s cut off %s", time.Now().Format(logTime), dc)
	c.network.setCutOff(dc, true)
	time.Sleep(min(cut, registrationLease))
	if cut > registrationLease {
		for _, s := range c.servers[dc] {
			c.store.Delete("servers/" + string(s.ID))
		}
		time.Sleep(cut - registrationLease)
	}
	c.t.Logf("%s connect %s", time.Now().Format(logTime), dc)
	c.network.setCutOff(dc, false)
	for _, s := range c.servers[dc] {
		c.register(s)
	}
}

// playCuts cuts off the leader's data centre several times while all daemons take in jobs.
func (c *cutCell) playCuts(count int, cut, pause time.Duration) {
	c.t.Helper()
	var submitters sync.WaitGroup
	done := make(chan struct{})
	for _, d := range c.daemons {
		c.await("leader", 10*time.Second, func() bool { return d.leader() != "" && d.configured() })
		submitters.Go(func() { c.submitUntil(done, d) })
	}
	time.Sleep(pause)
	for range count {
		c.cutOff(c.leaderSite(), cut)
		time.Sleep(pause)
	}
	close(done)
	submitters.Wait()
}

// awaitAccepted waits for the completion of all accepted jobs.
func (c *cutCell) awaitAccepted(limit time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for _, id := range c.accepted {
		for {
			state := sched.State("")
			for _, d := range c.daemons {
				if r := d.read(id); r.State != "" {
					state = r.State
					break
				}
			}
			if state == sched.StateCompleted {
				break
			}
			if time.Now().After(deadline) {
				c.t.Errorf("accepted job %s is %q %s after the last cut", id, state, limit)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Guards against tasks that run twice while data centres lose the store and each other in turn, the leader's first, and all daemons and
// servers inside each of them go on reaching each other.
func TestTasksRunOnceWhileDataCentresAreCutOffInTurn(t *testing.T) {
	t.Parallel()
	c := newCutCell(t, []site{{"duluth-a", 3}, {"toledo-a", 3}, {"cleveland-b", 2}}, durationOf)
	c.playCuts(2, 9*time.Second, 3*time.Second)
	c.awaitAccepted(30 * time.Second)
	for _, v := range c.fleet.Violations() {
		t.Error(v)
	}
	starts, tasks := c.fleet.StartCounts()
	t.Logf("%d accepted jobs, %d starts of %d tasks", len(c.accepted), starts, tasks)
}
