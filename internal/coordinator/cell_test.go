package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/testr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/cell"
	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/runhost"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	testHost   = "quotes.example"
	testPrefix = "/q/"
	testKey    = "k"
	configKey  = "config"
	taskTime   = 150 * time.Millisecond
)

// taskDemand is the demand of each task.
var taskDemand = resource.Vector{CPU: resource.Cores(1), Memory: 100}

// testCell is a store, a simulated fleet and daemons that communicate over loopback.
type testCell struct {
	t     *testing.T
	store *txstore.Store
	fleet *runhost.Fleet
	// serverClient calls the servers of the fleet, in process unless a test replaces it.
	serverClient coordinator.ServerClient
	// onLeading is called at the start and the end of terms; it may be nil.
	onLeading func(leading bool)
	// region, dataCentre, peerDial and clock are those of the daemons that are started next; peerDial and clock may be nil.
	region     ident.Region
	dataCentre ident.DataCentre
	peerDial   func(ctx context.Context, network, address string) (net.Conn, error)
	clock      func() time.Time
	// evacuationPrefix is that of the daemons' configuration.
	evacuationPrefix string
	// maxDirectServers is that of the daemons' configuration. With more servers than that the leader calls none itself.
	maxDirectServers int
	pastUseHalfLife  time.Duration // of the daemons that are started next; 0 means that past use is off
	admission        bool          // of the daemons that are started next
	teamWeight       float64       // in the configuration of the daemons that are started next

	mu      sync.Mutex
	daemons map[ident.MemberID]*daemon
}

// daemon is a daemon of a testCell.
type daemon struct {
	member      ident.MemberID
	address     string // for peers
	coordinator *coordinator.Coordinator
	gateway     *entry.Gateway
	configured  func() bool // whether it has read the configuration
	stop        func()
	stopped     sync.Once
}

// newCell returns a cell without daemons. Each task takes the given time.
func newCell(t *testing.T, hosts int, work time.Duration) *testCell {
	return newCellOfTasks(t, hosts, func(sched.TaskID) time.Duration { return work })
}

// newCellOfTasks returns a cell without daemons. A function returns the duration of each task.
func newCellOfTasks(t *testing.T, hosts int, duration func(sched.TaskID) time.Duration) *testCell {
	return newCellInStore(t, txstore.New(time.Now), hosts, duration)
}

// newCellInStore is newCellOfTasks with a given store.
func newCellInStore(t *testing.T, store *txstore.Store, hosts int, duration func(sched.TaskID) time.Duration) *testCell {
	c := &testCell{t: t, store: store, daemons: map[ident.MemberID]*daemon{}, maxDirectServers: 100}
	c.fleet = runhost.New(duration, func(sched.TaskID) resource.Vector { return taskDemand })
	for i := range hosts {
		v := testServer(i)
		c.fleet.Add(v)
		c.register(v)
	}
	c.serverClient = c.fleet.Client()
	c.store.Put(configKey, []byte("1"))
	return c
}

// testServer returns a server of a new cell.
func testServer(i int) sched.Server {
	return sched.Server{
		ID: sched.ServerID(fmt.Sprintf("s%d", i)), Incarnation: 1, Address: fmt.Sprintf("s%d:1", i), Service: "pool",
		Capacity: resource.Vector{CPU: resource.Cores(4), Memory: 1000},
	}
}

// register writes the registration of a server to the store.
func (c *testCell) register(v sched.Server) {
	c.t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Put("servers/"+string(v.ID), raw)
}

func decodePolicy([]byte) (*policy.Policy, error) {
	return &policy.Policy{
		Version: 1,
		Routes: []policy.Route{{Host: testHost, Prefix: testPrefix, Queue: sched.Queue{
			ID: "q", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second,
		}}},
		Keys: map[string]ident.TeamID{testKey: "blue"}, Teams: map[ident.TeamID]sched.Team{"blue": {ID: "blue"}},
	}, nil
}

func decodeServer(_ string, value []byte) (sched.Server, error) {
	var v sched.Server
	err := json.Unmarshal(value, &v)
	return v, err
}

// start runs a daemon with an election delay.
func (c *testCell) start(name ident.MemberID, electionDelay time.Duration) *daemon {
	return c.startWithStore(c.store, name, electionDelay)
}

// startWithStore runs a daemon that reaches the store through s.
func (c *testCell) startWithStore(s platform.TransactionalStore, name ident.MemberID, electionDelay time.Duration) *daemon {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	weight := c.teamWeight
	watcher := policy.NewWatcher(s, configKey, func(raw []byte) (*policy.Policy, error) {
		p, err := decodePolicy(raw)
		p.Teams["blue"] = sched.Team{ID: "blue", Weight: weight}
		return p, err
	}, logr.Discard())
	node, err := peer.New(peer.Config{
		Self:    func() wire.Sender { return wire.Sender{Member: name} },
		Address: func(ident.MemberID) (string, bool) { return "", false },
		Dial:    c.peerDial,
		Log:     logr.Discard(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	bounds := cell.Bounds{
		MaxRunLease: 10 * time.Second, MaxStopTime: 100 * time.Millisecond, Retention: time.Minute, MaxRevocationDelay: 5 * time.Second,
		GracePeriod: 5 * time.Second, MinStoreLease: 800 * time.Millisecond,
	}
	scheduling := bounds.SchedulingOptions()
	scheduling.PastUseHalfLife, scheduling.Admission = c.pastUseHalfLife, c.admission
	coord, err := coordinator.New(coordinator.Config{
		Member: name, DataCentre: c.dataCentre, Region: c.region, Address: l.Addr().String(), ElectionDelay: electionDelay, Store: s, Policy: watcher, Peer: node,
		Registry: coordinator.Registry{Prefix: "servers/", Decode: decodeServer}, ServerClient: c.serverClient,
		Scheduling: scheduling, PresenceTTL: 800 * time.Millisecond, OnLeading: c.onLeading,
		MaxDirectServers: c.maxDirectServers, EvacuationPrefix: c.evacuationPrefix,
		Log: testr.NewWithOptions(c.t, testr.Options{LogTimestamp: true}).WithName(string(name)),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	if c.clock != nil {
		coord.SetClock(c.clock)
	}
	var group sync.WaitGroup
	group.Go(func() { _ = watcher.Run(ctx) })
	group.Go(func() { _ = node.Serve(ctx, l) })
	group.Go(func() { _ = coord.Run(ctx) })
	d := &daemon{member: name, address: l.Addr().String(), coordinator: coord, gateway: entry.New(entry.Config{
		Store: s, Policy: watcher, Coordinator: coord, MaxConfigurationAge: 4 * time.Second, FailClosed: true, Admission: c.admission, Log: logr.Discard(),
		Metrics: metrics.NewSet(),
	})}
	d.configured = func() bool { return watcher.Current().Policy != nil }
	d.stop = func() {
		d.stopped.Do(func() {
			cancel()
			node.Close()
			group.Wait()
		})
	}
	c.t.Cleanup(d.stop)
	c.mu.Lock()
	c.daemons[name] = d
	c.mu.Unlock()
	return d
}

// leader returns the member that leads according to the daemon, or nothing if it knows none.
func (d *daemon) leader() ident.MemberID {
	l, ok := d.coordinator.Leader()
	if !ok || l.Vacant {
		return ""
	}
	return l.Member
}

// await polls until a condition holds and fails the test after the limit.
func (c *testCell) await(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatalf("timed out after %s waiting for: %s", limit, what)
}

func jobID(n int) ident.JobID { return ident.JobID(fmt.Sprintf("%016x", n)) }

func request(id ident.JobID) entry.Request {
	return entry.Request{Host: testHost, Path: testPrefix + string(id), Key: testKey}
}

// submit submits a job with some tasks and returns the response.
func (d *daemon) submit(id ident.JobID, tasks int) entry.Response {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return d.gateway.Submit(ctx, request(id), func(ident.JobID) (*sched.Job, error) {
		return &sched.Job{Steps: []sched.Step{{
			Count: tasks, Demand: resource.Vector{CPU: resource.Cores(1), Memory: 100}, Estimate: taskTime,
		}}}, nil
	})
}

func (d *daemon) read(id ident.JobID) entry.Response {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return d.gateway.Read(ctx, request(id))
}

// awaitCompleted waits for the completion of the first jobs and reports the violations that the simulated servers saw.
func (c *testCell) awaitCompleted(d *daemon, jobs int, limit time.Duration) {
	c.t.Helper()
	for n := range jobs {
		c.await("completion of job "+string(jobID(n)), limit, func() bool { return d.read(jobID(n)).State == sched.StateCompleted })
	}
	for _, v := range c.fleet.Violations() {
		c.t.Error(v)
	}
}

// mustSubmit submits jobs and fails the test unless all are accepted.
func (c *testCell) mustSubmit(d *daemon, jobs, tasks int) {
	c.t.Helper()
	for n := range jobs {
		if a := d.submit(jobID(n), tasks); a.Kind != entry.Accepted {
			c.t.Fatalf("job %d: %s, %s", n, a.Kind, a.Reason)
		}
	}
}
